//! Scaling in: draining machines that idle, and returning drained machines to the cloud.

use crate::autoscaling::TERMINATION_RETRY_INTERVAL;
use crate::command::Command;
use crate::event::{Event, MachineScaledIn};
use crate::model::ids::MachineIndex;
use crate::model::machine::{DrainReason, MachineState};
use crate::scheduler::Scheduler;
use crate::time::{TimeDelta, Timestamp};

impl Scheduler {
    /// Marks machines for return that were idle for too long, ordinary ones first, and keeps the
    /// headroom.
    pub(super) fn drain_idle(&mut self, now: Timestamp) {
        let mut free_cpus: f64 = self
            .cluster
            .machines
            .iter()
            .filter(|m| self.is_schedulable(now, m))
            .filter_map(|m| Some(self.cluster.machine_types[m.kind?].cpus - m.used().cpus))
            .sum();
        let headroom = self.headroom_cpus(now);
        let ordinary_is_cheap = self.ordinary_is_cheap();
        let mut idle: Vec<usize> = (0..self.cluster.machines.len())
            .filter(|&i| {
                let m = &self.cluster.machines[i];
                let limit = match (ordinary_is_cheap, m.spot) {
                    (true, _) => self.tunables.idle_cheap,
                    (false, true) => self.tunables.idle_spot,
                    (false, false) => self.tunables.idle_ordinary,
                };
                self.is_schedulable(now, m) && m.tasks.is_empty() && now.since(m.idle_since) > limit
            })
            .collect();
        idle.sort_by_key(|&i| (self.cluster.machines[i].spot, self.cluster.machines[i].idle_since));
        for i in idle {
            let cpus =
                self.cluster.machines[i].kind.map_or(0.0, |k| self.cluster.machine_types[k].cpus);
            // Expensive ordinary machines don't serve as headroom.
            if (ordinary_is_cheap || self.cluster.machines[i].spot) && free_cpus - cpus < headroom {
                break;
            }
            free_cpus -= cpus;
            self.cluster.machines[i].drain_reason = Some(DrainReason::Idle);
        }
    }

    /// Returns machines that are marked and either empty or beyond recovery, and repeats requests
    /// that weren't answered.
    pub(super) fn scale_in(&mut self, now: Timestamp) {
        if now < self.autoscaler.requests_paused_until || self.autoscaler.pending_scale_ins > 1 {
            return;
        }
        let mut names = Vec::new();
        let mut scaled_in = Vec::new();
        let mut pending_scale_ins = Vec::new();
        for (m, ix) in self.cluster.machines.iter_mut().zip(0..) {
            let retry = m.state == MachineState::Terminating
                && m.termination_sent_at.is_some_and(|t| now.since(t) > TERMINATION_RETRY_INTERVAL);
            // A drained machine is returned once it is empty. A silent one is returned with its
            // tasks, since only its termination proves that they stopped. One that never came up is
            // returned at once.
            let is_unrecoverable = m.drain_reason.is_some_and(DrainReason::terminates_with_tasks);
            let due = m.state != MachineState::Terminated
                && m.state != MachineState::Terminating
                && (is_unrecoverable
                    || (m.drain_reason.is_some() && m.tasks.is_empty() && m.unexpected_tasks == 0));
            if (due || retry) && names.len() < 100 {
                scaled_in.push(MachineScaledIn { machine: m.name.clone(), reason: m.drain_reason });
                m.state = MachineState::Terminating;
                pending_scale_ins.push(ix);
                m.termination_sent_at = Some(now);
                names.push(m.name.clone());
            }
        }
        for ix in pending_scale_ins {
            self.cluster.invalidate_cached_heartbeat(MachineIndex(ix));
        }
        if !names.is_empty() {
            self.autoscaler.pending_scale_ins += 1;
            self.log(Event::ScaleIn { machines: scaled_in });
            self.commands.push(Command::ScaleIn { machines: names });
        }
    }

    /// Handles the answer to [`Command::ScaleIn`]; `ok` is whether it was 200, which proves that
    /// the machines are gone.
    pub fn scale_in_answered(&mut self, now: Timestamp, names: &[String], ok: bool) {
        self.autoscaler.pending_scale_ins = self.autoscaler.pending_scale_ins.saturating_sub(1);
        for name in names {
            if ok {
                self.clear_refusals(name);
                self.machine_gone(now, name);
            } else if let Some(&m) = self.cluster.machines_by_name.get(name) {
                self.cluster.machines[m].termination_sent_at =
                    Some(now - TERMINATION_RETRY_INTERVAL + TimeDelta::from_millis(1_500));
            }
        }
    }

    /// Takes over a return that a former leader recorded. Nothing is placed on the machine, and its
    /// tasks count as running until the return is answered.
    pub fn adopt_scale_in(&mut self, now: Timestamp, name: &str) {
        let ix = self.cluster.machine_named(now, name);
        let machine = &mut self.cluster.machines[ix];
        machine.state = MachineState::Terminating;
        machine.termination_sent_at = Some(now);
        self.cluster.invalidate_cached_heartbeat(ix);
    }

    /// Makes the offer of a returned machine available again, whatever was refused before. (After a
    /// zone was cut off, half the fleet had been returned, and nothing was requested there for half
    /// a minute.)
    fn clear_refusals(&mut self, name: &str) {
        let Some(&m) = self.cluster.machines_by_name.get(name) else { return };
        let machine = &self.cluster.machines[m];
        if let Some(kind) = machine.kind {
            let offer = (kind, machine.zone.clone(), machine.spot);
            self.autoscaler.refused.remove(&offer);
        }
    }
}
