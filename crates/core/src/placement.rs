//! What runs where: the order of jobs, the fullest machine that fits, and what may be stopped.

use std::cmp::Ordering;

use crate::book::{grace_of, Job, JobIx, Machine, MachineState, Scheduler, TaskId, OVERDUE};
use crate::job::{Rank, SLACK};
use crate::leadership::token;
use crate::task::{MachineIx, Phase};
use crate::time::{Span, Time};

/// Without a job of a class for this long, no room is kept for its next one.
const LULL: Span = Span::secs(120);
/// Seconds of lost work that a job's missed deadline counts for when choosing what to stop.
const SPOILT: f64 = 300.0;
/// Seconds after which a missed aim on starting is given up, and the one on finishing counts.
const GRACE: f64 = 1.5;
/// Seconds that it takes to place a stopped task again.
const RESTART: f64 = 10.0;

/// Where a job stands in the queue. Smaller comes first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Urgency {
    pub rank: Rank,
    /// Within its team's guarantee.
    pub owed: bool,
    /// Can't meet its deadline any more: others still can.
    pub hopeless: bool,
    /// Seconds until the job has to start to meet its aim.
    pub slack: f64,
    /// The same without the aim on starting: what a machine that has yet to boot can still help.
    pub finish_slack: f64,
    pub accepted: Time,
}

impl Urgency {
    pub fn order(&self, other: &Urgency) -> Ordering {
        other
            .rank
            .cmp(&self.rank)
            .then(other.owed.cmp(&self.owed))
            .then(self.hopeless.cmp(&other.hopeless))
            .then(self.slack.total_cmp(&other.slack))
            .then(self.accepted.cmp(&other.accepted))
    }
}

impl Scheduler {
    /// How long a task of the job is expected to run. The owner's estimate is corrected by what
    /// the class's tasks took so far, and by the job's own once some have completed; an estimate
    /// of nothing, or an absurd one, is bounded so that it can't upset the order.
    pub fn expected_run(&self, job: &Job) -> f64 {
        if job.run_times.1 >= 2 {
            return job.run_times.0 / f64::from(job.run_times.1);
        }
        let estimate = job.spec.estimate_s.clamp(0.1, 1.0e6);
        match self.ratios.get(&job.spec.class) {
            Some(&(sum, n)) if n >= 5.0 => estimate * (sum / n).exp(),
            _ => estimate,
        }
    }

    pub fn urgency(&self, now: Time, job: &Job) -> Urgency {
        let spec = &job.spec;
        let run = self.expected_run(job);
        let age = now.since(job.accepted).as_secs();
        let mut slack = f64::INFINITY;
        let mut hopeless = false;
        if let Some(deadline) = spec.deadline_s {
            // Estimates err by half: only what is far beyond its time is given up, and then the
            // class's longer deadline counts, if it has one.
            let least = (age + 0.5 * run) / deadline.max(0.1);
            slack = deadline * self.site.deadline_times(&spec.class, least) - age - run;
            hopeless = slack < -0.5 * run;
        }
        if let Some(within) = self.site.finish_aim(&spec.class) {
            slack = slack.min(within.as_secs() - age - run);
        }
        let finish_slack = slack;
        // A start that is late already gains nothing from being hurried further: then the class's
        // next aim on starting counts, if it has a looser one.
        let lost = Span::from_secs(age - GRACE);
        match self.site.next_wait_aim(&spec.class, lost) {
            Some(within) => slack = slack.min(within.as_secs() - age),
            None if slack == f64::INFINITY => {
                if let Some(within) = self.site.wait_aim(&spec.class) {
                    slack = within.as_secs() - age;
                }
            }
            None => {}
        }
        if slack == f64::INFINITY {
            // Without any aim, age alone counts, behind everything that is pressed for time.
            slack = 3_600.0 - age;
        }
        let owed = self.site.team(&spec.team).is_some_and(|team| {
            let (cpus, gpus) = self.team_use.get(&spec.team).copied().unwrap_or_default();
            let within = |used: f64, takes: f64, owed: f64| {
                takes <= 0.0 || (owed > 0.0 && used + takes <= owed + SLACK)
            };
            (team.cpus > 0.0 || team.gpus > 0.0)
                && within(cpus, spec.cpus, team.cpus)
                && within(gpus, spec.gpus, team.gpus)
        });
        Urgency { rank: spec.rank, owed, hopeless, slack, finish_slack, accepted: job.accepted }
    }

    /// Jobs with tasks to place, the most urgent first.
    pub fn queue(&self, now: Time) -> Vec<(Urgency, JobIx)> {
        let mut queue: Vec<(Urgency, JobIx)> = self
            .jobs
            .iter()
            .filter_map(|(&ix, job)| {
                let open = !job.over && !job.ending && job.pending() > 0 && now >= job.not_before;
                open.then(|| (self.urgency(now, job), ix))
            })
            .collect();
        queue.sort_by(|a, b| a.0.order(&b.0).then(a.1.cmp(&b.1)));
        queue
    }

    /// Whether anything may be started on the machine now.
    pub fn open_for_work(&self, now: Time, m: &Machine) -> bool {
        // A report under this term is what opens a machine: until then nobody can tell what the
        // last leader left on it. One that has been silent for a while is not trusted either.
        m.state == MachineState::Up
            && m.kind.is_some()
            && m.seen_token >= token(self.term, 0)
            && m.notice.is_none()
            && m.draining.is_none()
            && m.foreign == 0
            && now >= m.retry_at
            && now.since(m.last_report) <= self.site.report.scale(OVERDUE) + Span::millis(300)
    }

    pub fn fits(&self, job: &Job, m: &Machine) -> bool {
        let Some(kind) = m.kind.and_then(|k| self.types.get(k)) else { return false };
        let spec = &job.spec;
        (spec.spot || !m.spot)
            && spec.allows_type(&kind.name)
            && spec.zone.as_ref().is_none_or(|z| *z == m.zone)
            && m.cpus + spec.cpus <= kind.cpus + SLACK
            && m.gpus + spec.gpus <= kind.gpus + SLACK
            && m.memory + spec.memory_gb <= kind.memory_gb + SLACK
    }

    /// Whether the job's other tasks allow one more in the zone. Every task that is not proven
    /// absent counts, so that a late start can't break the rule.
    pub fn zone_allows(&self, job: &Job, zone: &str) -> bool {
        if job.spec.one_zone && job.zones.keys().any(|z| z != zone) {
            return false;
        }
        if job.spec.spread {
            let most = job.spec.tasks.div_ceil(2);
            // Tasks whose machine's zone is not known yet could be anywhere.
            let unknown = job.zones.get("").copied().unwrap_or(0);
            let here = job.zones.get(zone).copied().unwrap_or(0);
            if here + unknown + 1 > most {
                return false;
            }
        }
        true
    }

    pub fn team_allows(&self, job: &Job) -> bool {
        let Some(team) = self.site.team(&job.spec.team) else { return false };
        let (cpus, gpus) = self.team_use.get(&job.spec.team).copied().unwrap_or_default();
        team.allows(cpus + job.spec.cpus, gpus + job.spec.gpus)
    }

    /// The fullest machine that fits. Fullness counts in quarters of a machine, so that ties are
    /// common; they go to a machine with the image, then to the cheapest.
    fn choose(&self, now: Time, job: &Job, only_zone: Option<&str>) -> Option<MachineIx> {
        // Where the aim on starting leaves no time for a fetch, the image comes before fullness.
        let quick = self.site.wait_aim(&job.spec.class).is_some();
        let mut best: Option<(i64, i64, f64, MachineIx)> = None;
        for (ix, m) in self.machines.iter().enumerate() {
            if !self.open_for_work(now, m)
                || only_zone.is_some_and(|z| z != m.zone)
                || !self.fits(job, m)
                || !self.zone_allows(job, &m.zone)
            {
                continue;
            }
            let Some(kind) = m.kind.and_then(|k| self.types.get(k)) else { continue };
            let left = (kind.cpus - m.cpus).max(0.0) / kind.cpus.max(SLACK);
            let has_image = m.images.contains(&job.spec.image);
            let ahead = if quick && has_image { 100 } else { 0 };
            let fullness = ahead - ((left * 4.0).ceil() as i64);
            let cached = i64::from(has_image);
            let price = if m.spot { kind.spot_price } else { kind.price } / kind.cpus.max(SLACK);
            let key = (fullness, cached, -price, ix as MachineIx);
            if best
                .is_none_or(|b| (key.0, key.1).cmp(&(b.0, b.1)).then(key.2.total_cmp(&b.2)).is_gt())
            {
                best = Some(key);
            }
        }
        best.map(|b| b.3)
    }

    /// For a job whose tasks must share a zone: the zone with most room for it, while none of it
    /// is placed.
    fn zone_for(&self, now: Time, job: &Job) -> Option<String> {
        let mut room: std::collections::BTreeMap<&str, u32> = Default::default();
        for m in &self.machines {
            if !self.open_for_work(now, m) || !self.fits(job, m) {
                continue;
            }
            let Some(kind) = m.kind.and_then(|k| self.types.get(k)) else { continue };
            let by = |free: f64, takes: f64| if takes > 0.0 { free / takes } else { f64::MAX };
            let n = by(kind.cpus - m.cpus + SLACK, job.spec.cpus)
                .min(by(kind.gpus - m.gpus + SLACK, job.spec.gpus))
                .min(by(kind.memory_gb - m.memory + SLACK, job.spec.memory_gb));
            *room.entry(&m.zone).or_default() += n as u32;
        }
        room.into_iter().max_by_key(|&(_, n)| n).map(|(z, _)| z.to_owned())
    }

    /// One round of decisions over everything that waits.
    pub fn place(&mut self, now: Time) {
        let mut blocked: Vec<(Urgency, JobIx)> = Vec::new();
        for (urgency, ix) in self.queue(now) {
            let Some(job) = self.job(ix) else { continue };
            let zone = (job.spec.one_zone && job.zones.is_empty())
                .then(|| self.zone_for(now, job))
                .flatten();
            let mut index = job.scan_from;
            let total = job.spec.tasks;
            let mut stuck = false;
            while index < total {
                let Some(job) = self.job(ix) else { break };
                if job.tasks[index as usize].phase != Phase::Pending {
                    index += 1;
                    continue;
                }
                if !self.team_allows(job) {
                    break;
                }
                let Some(m) = self.choose(now, job, zone.as_deref()) else {
                    stuck = true;
                    break;
                };
                self.dispatch(now, (ix, index), m);
                index += 1;
            }
            if let Some(job) = self.jobs.get_mut(&ix) {
                job.scan_from = index;
            }
            if stuck {
                blocked.push((urgency, ix));
            }
        }
        self.preempt(now, &blocked);
    }

    /// Stops work of lower priority for urgent jobs that found no room: the least lost work
    /// first, and no more than they need beyond the room that is already being made.
    fn preempt(&mut self, now: Time, blocked: &[(Urgency, JobIx)]) {
        let mut coming: f64 = self
            .machines
            .iter()
            .filter(|m| m.state == MachineState::Up)
            .flat_map(|m| m.tasks.iter())
            .filter_map(|id| {
                let job = self.job(id.0)?;
                (job.tasks[id.1 as usize].phase == Phase::Stopping).then_some(job.spec.cpus)
            })
            .sum();
        for &(urgency, ix) in blocked {
            if urgency.slack > self.tun.preempt_slack.as_secs() {
                continue;
            }
            let Some(job) = self.job(ix) else { continue };
            if !self.team_allows(job) {
                continue;
            }
            let mut need = f64::from(job.pending()) * job.spec.cpus.max(0.1);
            let used = need.min(coming);
            coming -= used;
            need -= used;
            if need <= SLACK {
                continue;
            }
            let mut victims: Vec<(f64, TaskId, f64)> = Vec::new();
            for m in &self.machines {
                if !self.open_for_work(now, m) {
                    continue;
                }
                // Only where the job could run at all were the machine empty of victims.
                let Some(kind) = m.kind.and_then(|k| self.types.get(k)) else { continue };
                let fits = (job.spec.spot || !m.spot)
                    && job.spec.fits_type(kind)
                    && job.spec.zone.as_ref().is_none_or(|z| *z == m.zone)
                    && self.zone_allows(job, &m.zone);
                if !fits {
                    continue;
                }
                for &id in &m.tasks {
                    let Some(other) = self.job(id.0) else { continue };
                    let phase = other.tasks[id.1 as usize].phase;
                    if phase != Phase::Running || !self.may_stop(urgency, job, other) {
                        continue;
                    }
                    let ran = other.started.get(&id.1).map_or(0.0, |&t| now.since(t).as_secs());
                    let lost = if other.spec.checkpoint_s > 0.0 {
                        other.spec.save_s.min(ran)
                    } else {
                        ran
                    };
                    let mut cost = lost * other.spec.cpus;
                    if self.would_be_late(now, other, ran) {
                        cost += SPOILT * other.spec.cpus;
                    }
                    victims.push((cost, id, other.spec.cpus));
                }
            }
            victims.sort_by(|a, b| (a.0 / a.2.max(0.1)).total_cmp(&(b.0 / b.2.max(0.1))));
            for (_, id, cpus) in victims {
                if need <= SLACK {
                    break;
                }
                need -= cpus;
                let Some(other) = self.job(id.0) else { continue };
                let grace = grace_of(&other.spec);
                let text = format!("{}/{} gives way to a more urgent job", other.name, id.1);
                self.note(text);
                self.stop(now, id, grace);
            }
        }
    }

    /// Whether the job is in time as things stand and would not be if a task that has run for
    /// `ran` seconds had to start again.
    fn would_be_late(&self, now: Time, job: &Job, ran: f64) -> bool {
        let Some(deadline) = job.spec.deadline_s else { return false };
        let left = deadline - now.since(job.accepted).as_secs();
        let run = self.expected_run(job);
        left >= (run - ran).max(0.0) && left < run + RESTART
    }

    /// The protocol's reasons for stopping one job's task for another's.
    fn may_stop(&self, urgency: Urgency, job: &Job, other: &Job) -> bool {
        if other.spec.rank < job.spec.rank {
            return true;
        }
        if !urgency.owed || other.spec.team == job.spec.team {
            return false;
        }
        // Work beyond another team's guarantee gives way to a team's own guarantee.
        self.site.team(&other.spec.team).is_some_and(|team| {
            let (cpus, gpus) = self.team_use.get(&other.spec.team).copied().unwrap_or_default();
            cpus > team.cpus + SLACK || gpus > team.gpus + SLACK
        })
    }

    /// Whether the class is one whose tasks should start within a short time.
    pub(crate) fn is_quick(&self, class: &str) -> bool {
        self.site.wait_aim(class).is_some_and(|w| w < Span::secs(30))
    }

    /// Room that a job of a class with a wait aim may need at any moment.
    pub fn headroom_cpus(&self, now: Time) -> f64 {
        let jobs =
            if self.ordinary_is_cheap() { self.tun.headroom_cheap } else { self.tun.headroom };
        self.sizes
            .iter()
            .filter(|(class, _)| self.is_quick(class))
            .filter(|(_, (_, last))| now.since(*last) < LULL)
            .map(|(_, (size, _))| size * jobs)
            .fold(0.0, f64::max)
    }
}
