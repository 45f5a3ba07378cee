//! Which machines are well: silent, deaf, overdue, slow or about to be taken, each alone and all together.

use crate::event::Event;
use crate::leadership::fencing_token::FencingToken;
use crate::model::machine::DrainReason;
use crate::model::machine::MachineState;
use crate::model::task::TaskPhase;
use crate::scheduler::{Scheduler, OVERDUE};
use crate::time::{TimeDelta, Timestamp};

/// From this many machines on, what they do together says something.
const MANY: usize = 8;

/// How often every task's run time is compared with its siblings'.
const SLOW_EVERY: TimeDelta = TimeDelta::from_secs(2);

/// Messages lost in a row, to any machines, that are more than the bad luck of some of them.
const MANY_LOST: u32 = 12;

/// The part of a notice's time that is counted on.
const NOTICE_PERIOD_TRUSTED: f64 = 0.75;

impl Scheduler {
    /// Whether all of several machines that should report have been silent for a while: more
    /// likely this node can't be reached than that all of them failed at once. Of many machines some
    /// report at any moment, so that one interval without any is enough.
    pub fn hears_no_worker(&self, now: Timestamp) -> bool {
        let up = || self.cluster.machines.iter().filter(|m| m.state == MachineState::Up);
        let n = up().count();
        let heartbeat = self.site.heartbeat_interval;
        let silence =
            if n >= MANY { heartbeat } else { heartbeat + heartbeat + TimeDelta::from_secs(1) };
        now.since(self.started_at) > silence
            && n > 0
            && up().all(|m| {
                let deaf = m.unacknowledged_since.is_some_and(|t| now.since(t) > silence);
                deaf || now.since(m.last_heartbeat) > silence
            })
    }

    /// Whether no worker is reached any more: for a report's interval every message was lost, and there
    /// were several. Their reports may still come, through other nodes, so this leader isn't deaf; but
    /// whatever it starts is lost. (A leader cut off from the workers went on so for 40 s, lost each
    /// start that it sent, and gave machines back that other nodes reach.) Without machines there is nothing
    /// to reach. (A leader that had returned its whole idle fleet gave way for the messages that were under
    /// way to it, and so did the next: nobody led for six seconds.)
    pub fn reaches_no_worker(&self, now: Timestamp) -> bool {
        self.messages.lost_in_a_row >= MANY_LOST
            && now.since(self.messages.last_answered) > self.site.heartbeat_interval
            && self.cluster.machines.iter().any(|m| m.state == MachineState::Up)
    }

    /// The zones whose machines are unheard as a whole: of many machines about half should have
    /// reported within half an interval, and nearly none has. (The machines that happened to have
    /// reported longest ago pass any patience first, when most of the others are not even due: one by
    /// one a leader cut off from the workers gave back 500 of 800 before it gave way.)
    pub(crate) fn silent_zones(&self, now: Timestamp) -> Vec<String> {
        let half = self.site.heartbeat_interval.mul_f64(0.5);
        let mut zones: std::collections::BTreeMap<&str, (usize, usize)> = Default::default();
        let up = self.cluster.machines.iter().filter(|m| m.state == MachineState::Up);
        for m in up.filter(|m| m.drain_reason.is_none()) {
            let (all, heard) = zones.entry(&m.zone).or_default();
            *all += 1;
            *heard += usize::from(now.since(m.last_heartbeat) <= half);
        }
        let unheard =
            zones.into_iter().filter(|(_, (all, heard))| *all >= MANY && heard * 5 < *all);
        unheard.map(|(zone, _)| zone.to_owned()).collect()
    }

    /// Silence after which a machine is given up: its heartbeat is overdue, it was asked directly and
    /// has had the time to answer. (Counted in seconds that suited reports every three, every
    /// machine whose reports came six seconds apart was given back as soon as one was a bit late.)
    pub(crate) fn suspicion_timeout(&self) -> TimeDelta {
        self.site.heartbeat_interval.mul_f64(OVERDUE) + self.tunables.patience
    }

    /// Marks machines that have to go: silent, overdue, slow, faulty.
    pub(crate) fn assess_health(&mut self, now: Timestamp, unheard: &[String]) {
        let suspicion_timeout = self.suspicion_timeout();
        // One that is heard and doesn't hear has twice the patience: it may be the answer alone
        // that was late.
        let lost_for = |m: &crate::model::machine::Machine| {
            let deaf =
                m.unacknowledged_since.map_or(TimeDelta::ZERO, |t| TimeDelta(now.since(t).0 / 2));
            now.since(m.last_heartbeat).max(deaf)
        };
        let holding = self
            .cluster
            .machines
            .iter()
            .filter(|m| m.state == MachineState::Up && m.drain_reason.is_none())
            .count();
        let silent: Vec<usize> = (0..self.cluster.machines.len())
            .filter(|&i| {
                let m = &self.cluster.machines[i];
                let waits = m.state == MachineState::Up
                    || (m.state == MachineState::Booting && !m.tasks.is_empty());
                waits && m.drain_reason.is_none() && lost_for(m) > suspicion_timeout
            })
            .collect();
        // When most of the fleet is silent at once, the trouble is more likely between here and
        // there than on every machine: wait longer before giving so much work up.
        let many = silent.len() > 3 && silent.len() * 2 > holding;
        for i in silent {
            let m = &self.cluster.machines[i];
            let together = many || unheard.contains(&m.zone);
            if together && lost_for(m) < suspicion_timeout + suspicion_timeout + suspicion_timeout {
                continue;
            }
            let silent = now.since(m.last_heartbeat) > suspicion_timeout;
            self.drain(i, if silent { DrainReason::Silent } else { DrainReason::Unreachable });
        }
        for i in 0..self.cluster.machines.len() {
            let m = &self.cluster.machines[i];
            if m.state == MachineState::Booting && m.tasks.is_empty() && m.drain_reason.is_none() {
                let boot = m
                    .kind
                    .and_then(|k| self.cluster.machine_types.get(k))
                    .map_or(60.0, |k| k.boot_s);
                let limit = TimeDelta::from_secs_f64(boot.max(5.0) * self.tunables.boot_patience);
                // A new leader hears of machines that came up long ago, and has to give each the
                // time to answer it. (By their age alone, each failover gave back every machine
                // that was idle and hadn't reported within its first second: a third of the fleet.)
                let asked = match m.hinted_up_at {
                    Some(since) => {
                        now.since(since) > suspicion_timeout + suspicion_timeout + suspicion_timeout
                    }
                    None => now.since(m.last_heartbeat) > suspicion_timeout + suspicion_timeout,
                };
                if now.since(m.requested_at) > limit && asked {
                    self.drain(i, DrainReason::NeverCameUp);
                }
            }
        }
        if now.since(self.autoscaler.slow_looked_for) >= SLOW_EVERY {
            self.autoscaler.slow_looked_for = now;
            self.drain_slow_machines(now);
        }
    }

    /// Stops what won't be done on a machine before the cloud takes it, where it can run elsewhere:
    /// left alone, it would lose the rest of the notice as well, and the time until the machine is
    /// found to be gone. What has a good chance to complete, or nowhere to go, runs on.
    pub(crate) fn evict_before_interruption(&mut self, now: Timestamp) {
        if !self.cluster.machines.iter().any(|m| m.interruption_at.is_some() && !m.tasks.is_empty())
        {
            return;
        }
        let mut room: f64 = self
            .cluster
            .machines
            .iter()
            .filter(|m| self.open_for_work(now, m))
            .filter_map(|m| Some((self.cluster.machine_types.get(m.kind?)?.cpus - m.cpus).max(0.0)))
            .sum();
        let mut leave = Vec::new();
        for m in self.cluster.machines.iter().filter(|m| m.state == MachineState::Up) {
            let Some(interruption_at) = m.interruption_at else { continue };
            // It may come at half the time told.
            let left = interruption_at.since(now).as_secs_f64() * NOTICE_PERIOD_TRUSTED;
            for &id in &m.tasks {
                let Some(job) = self.cluster.job(id.0) else { continue };
                let task = &job.tasks[id.1 as usize];
                let started = job.started.get(&id.1);
                let ran = started.map_or(0.0, |&t| now.since(t).as_secs_f64());
                let sent = task.token != FencingToken::NONE && task.phase != TaskPhase::Stopping;
                if !sent || ran + left >= self.run_times.expected_run(job) || room < job.spec.cpus {
                    continue;
                }
                room -= job.spec.cpus;
                leave.push((id, crate::scheduler::grace_of(&job.spec)));
            }
        }
        for (id, grace) in leave {
            self.stop(now, id, grace);
        }
    }

    /// A machine on which tasks run far longer than their siblings elsewhere is drained.
    fn drain_slow_machines(&mut self, now: Timestamp) {
        let mut slow = Vec::new();
        for (i, m) in self.cluster.machines.iter().enumerate() {
            if m.state != MachineState::Up || m.drain_reason.is_some() {
                continue;
            }
            let late = m
                .tasks
                .iter()
                .filter(|id| {
                    self.cluster.job(id.0).is_some_and(|j| {
                        let Some(&t) = j.started.get(&id.1) else { return false };
                        j.run_times.1 >= 3
                            && now.since(t).as_secs_f64()
                                > self.tunables.slow_factor * j.run_times.0
                                    / f64::from(j.run_times.1)
                                    + 5.0
                    })
                })
                .count();
            if late >= 1 && late * 2 >= m.tasks.len() {
                slow.push(i);
            }
        }
        for i in slow {
            self.drain(i, DrainReason::Slow);
        }
    }

    /// Nothing more is placed on the machine, and it is returned to the cloud.
    pub(crate) fn drain(&mut self, index: usize, reason: DrainReason) {
        let machine = &mut self.cluster.machines[index];
        machine.drain_reason = Some(reason);
        let machine = machine.name.clone();
        self.log(Event::MachineDrained { machine, reason });
    }
}
