//! What runs where: the order of jobs, the fullest machine that fits, and what may be stopped.

use walnutlug_admission::resources::Resources;

use crate::event::Event;
use crate::model::cluster::TeamUsage;
use crate::model::ids::{JobIndex, MachineIndex};
use crate::model::job::{Job, TaskId};
use crate::model::job_spec::{JobSpec, Priority};
use crate::model::machine::{Machine, MachineState};
use crate::model::task::TaskPhase;
use crate::model::EPSILON;
use crate::queue::order::{Aging, QueueKey};
use crate::scheduler::{Scheduler, OVERDUE_INTERVALS};
use crate::time::{TimeDelta, Timestamp};

/// Without a job of a class for this long, no room is kept for its next one.
const LULL: TimeDelta = TimeDelta::from_secs(120);
/// Seconds of lost work that a job's missed deadline counts for when choosing what to stop.
const SPOILT: f64 = 300.0;
/// Shortest time between two looks for work to stop: what was stopped needs a moment to go.
const PREEMPT_EVERY: TimeDelta = TimeDelta::from_millis(300);
/// Jobs for which work is stopped in one look; the next look takes the next.
pub(crate) const MAX_PREEMPTING_JOBS: usize = 16;
/// Seconds that it takes to place a stopped task again.
const RESTART: f64 = 10.0;

/// How well a machine suits a job; what comes first here counts first, and the larger is the better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Fitness {
    /// Of the kind, spot or ordinary, that work like the job's is kept to where both cost about the same.
    safe: bool,
    /// Has the image, for a class with an aim on starting.
    ready: bool,
    /// In quarters of the machine.
    fullness: i64,
    image: bool,
}

/// Room on a machine.
#[derive(Debug, Clone, Copy)]
struct Amount {
    cpus: f64,
    gpus: f64,
    memory: f64,
}

impl Amount {
    fn add(&mut self, spec: &JobSpec) {
        self.cpus += spec.cpus;
        self.gpus += spec.gpus;
        self.memory += spec.memory_gb;
    }

    /// Takes the room of one task, if it is there.
    fn take(&mut self, spec: &JobSpec) -> bool {
        let fits = spec.cpus <= self.cpus + EPSILON
            && spec.gpus <= self.gpus + EPSILON
            && spec.memory_gb <= self.memory + EPSILON;
        if fits {
            self.cpus -= spec.cpus;
            self.gpus -= spec.gpus;
            self.memory -= spec.memory_gb;
        }
        fits
    }
}

/// Work that could be stopped for a more urgent job.
#[derive(Debug)]
struct PreemptionCandidate {
    /// Seconds of work that would be lost.
    cost: f64,
    id: TaskId,
    stopped: bool,
}

/// A machine with such work, the least lost first.
#[derive(Debug)]
struct PreemptableMachine {
    machine: MachineIndex,
    /// What is free, or is being freed.
    free: Amount,
    candidates: Vec<PreemptionCandidate>,
}

impl Scheduler {
    /// Processors of open machines that old jobs may still be given ahead of others.
    pub(crate) fn room_for_aged(&self, now: Timestamp) -> f64 {
        let all: f64 = self
            .cluster
            .machines
            .iter()
            .filter(|m| m.state == MachineState::Up)
            .filter_map(|m| Some(self.cluster.machine_types.get(m.kind?)?.cpus))
            .sum();
        let old = self.cluster.jobs.values().filter(|j| j.placed > 0 && !j.is_ended());
        let used: f64 = old
            .filter(|j| now.since(j.ready_at) > self.tunables.lift_after)
            .map(|j| f64::from(j.placed) * j.spec.cpus)
            .sum();
        all * self.tunables.lift_share - used
    }

    /// Whether anything may be started on the machine now.
    pub fn is_schedulable(&self, now: Timestamp, m: &Machine) -> bool {
        // A heartbeat under this term is what opens a machine: until then nobody can tell what the
        // last leader left on it. One that has been silent for a while is not trusted either.
        m.state == MachineState::Up
            && m.kind.is_some()
            && m.fence.is_acknowledged(self.term)
            && m.interruption_at.is_none()
            && m.drain_reason.is_none()
            && m.unexpected_tasks == 0
            && !m.channel.is_paused(now)
            && now.since(m.last_heartbeat)
                <= self.site.heartbeat_interval.mul_f64(OVERDUE_INTERVALS)
                    + TimeDelta::from_millis(300)
    }

    /// Whether one more task of the job fits the machine as it is.
    pub fn fits(&self, job: &Job, m: &Machine) -> bool {
        let Some(kind) = m.kind.and_then(|k| self.cluster.machine_types.get(k)) else {
            return false;
        };
        let spec = &job.spec;
        (spec.spot || !m.spot)
            && spec.allows_type(&kind.name)
            && spec.zone.as_ref().is_none_or(|z| *z == m.zone)
            && m.used().cpus + spec.cpus <= kind.cpus + EPSILON
            && m.used().gpus + spec.gpus <= kind.gpus + EPSILON
            && m.used().memory_gb + spec.memory_gb <= kind.memory_gb + EPSILON
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

    /// Whether the team's limit allows one more task of the job.
    pub fn team_allows(&self, job: &Job) -> bool {
        let Some(team) = self.site.team(&job.spec.team) else { return false };
        let TeamUsage { cpus, gpus } = self.cluster.team_usage(&job.spec.team);
        team.allows(cpus + job.spec.cpus, gpus + job.spec.gpus)
    }

    /// The machines among `open` that the job fits, the best first. The fullest comes first;
    /// fullness counts in quarters of a machine, so that ties are common; they go to a machine with
    /// the image, then to the cheapest. A task makes its machine fuller, so the best stays the best
    /// until it is full: one look serves all tasks of the job.
    fn candidates(&self, now: Timestamp, job: &Job, open: &[MachineIndex]) -> Vec<MachineIndex> {
        // Where the aim on starting leaves no time for a fetch, the image comes before fullness.
        let waits = self.site.start_objective(&job.spec.class).is_some();
        // Where ordinary machines cost little more than spot ones they are there anyway, and what is
        // pressed for time goes to them: of a job of many tasks nearly always one is on a spot machine
        // that the cloud takes, and the job is late by all that this task had run. What has more time
        // leaves them free.
        let lean = self.ordinary_is_cheap();
        let quick = self.has_short_start_objective(&job.spec.class);
        let mut found: Vec<(Fitness, f64, MachineIndex)> = Vec::new();
        for &ix in open {
            let m = &self.cluster.machines[ix];
            if !self.fits(job, m) || job.avoids(now, ix) {
                continue;
            }
            let Some(kind) = m.kind.and_then(|k| self.cluster.machine_types.get(k)) else {
                continue;
            };
            let left = (kind.cpus - m.used().cpus).max(0.0) / kind.cpus.max(EPSILON);
            let image = m.has_image(&job.spec.image);
            let fitness = Fitness {
                safe: lean && m.spot != quick,
                ready: waits && image,
                fullness: -((left * 4.0).ceil() as i64),
                image,
            };
            let price = if m.spot { kind.spot_price } else { kind.price } / kind.cpus.max(EPSILON);
            found.push((fitness, price, ix));
        }
        found.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        found.into_iter().map(|f| f.2).collect()
    }

    /// For a job whose tasks must share a zone: the zone with most room for it, while none of it
    /// is placed.
    fn zone_for(&self, job: &Job, open: &[MachineIndex]) -> Option<String> {
        let mut room: std::collections::BTreeMap<&str, u32> = Default::default();
        for m in open.iter().map(|&ix| &self.cluster.machines[ix]) {
            if !self.fits(job, m) {
                continue;
            }
            let Some(kind) = m.kind.and_then(|k| self.cluster.machine_types.get(k)) else {
                continue;
            };
            let by = |free: f64, takes: f64| if takes > 0.0 { free / takes } else { f64::MAX };
            let n = by(kind.cpus - m.used().cpus + EPSILON, job.spec.cpus)
                .min(by(kind.gpus - m.used().gpus + EPSILON, job.spec.gpus))
                .min(by(kind.memory_gb - m.used().memory_gb + EPSILON, job.spec.memory_gb));
            *room.entry(&m.zone).or_default() += n as u32;
        }
        room.into_iter().max_by_key(|&(_, n)| n).map(|(z, _)| z.to_owned())
    }

    /// One round of decisions over everything that waits. Which machines have any room is looked up
    /// once; a job then looks at those alone, so that a round costs about what it changes and not
    /// tasks times machines.
    pub fn place(&mut self, now: Timestamp) {
        let queue = self.queue(now);
        if queue.is_empty() {
            self.observe_saturation(now, &queue);
            return;
        }
        self.examined.jobs += 2 * queue.len() as u64;
        let least = self.smallest_task(&queue);
        let mut open: Vec<MachineIndex> = Vec::new();
        let mut fleet = Resources::NONE;
        for (m, ix) in self.cluster.machines.iter().zip(0..) {
            if m.state != MachineState::Up {
                continue;
            }
            fleet += m
                .kind
                .and_then(|k| self.cluster.machine_types.get(k))
                .map_or(Resources::NONE, |k| k.room());
            if self.has_room(m, least) && self.is_schedulable(now, m) {
                open.push(MachineIndex(ix));
            }
        }
        self.fleet_cpus = fleet.cpus;
        self.cluster.shares.set_fleet(fleet);
        let shared = self.fair_share.is_active();
        let blocked = if shared {
            self.place_by_share(now, &queue, open, least)
        } else {
            self.place_in_order(now, queue.clone(), open, least)
        };
        self.observe_saturation(now, &queue);
        self.preempt(now, &blocked);
    }

    /// The least of each resource that any task of the queue takes.
    fn smallest_task(&self, queue: &[(QueueKey, JobIndex)]) -> Resources {
        let most = f64::INFINITY;
        let mut least = Resources { cpus: most, gpus: 0.0, memory_gb: most };
        for job in queue.iter().filter_map(|&(_, ix)| self.cluster.job(ix)) {
            least.cpus = least.cpus.min(job.spec.cpus);
            least.memory_gb = least.memory_gb.min(job.spec.memory_gb);
        }
        least
    }

    /// Whether the machine has room for that much.
    pub(crate) fn has_room(&self, m: &Machine, task: Resources) -> bool {
        m.kind.and_then(|k| self.cluster.machine_types.get(k)).is_some_and(|kind| {
            kind.cpus - m.used().cpus + EPSILON >= task.cpus
                && kind.memory_gb - m.used().memory_gb + EPSILON >= task.memory_gb
        })
    }

    /// Places what it can in the order of the queue. Returns the jobs that found no machine.
    fn place_in_order(
        &mut self,
        now: Timestamp,
        mut queue: Vec<(QueueKey, JobIndex)>,
        mut open: Vec<MachineIndex>,
        least: Resources,
    ) -> Vec<(QueueKey, JobIndex)> {
        let mut blocked: Vec<(QueueKey, JobIndex)> = Vec::new();
        self.examined.jobs += 2 * queue.len() as u64;
        // What age lifts goes first, within its part; beyond that it takes its turn.
        let aged: Vec<(QueueKey, JobIndex)> =
            queue.iter().filter(|q| q.0.aging > Aging::None).copied().collect();
        let mut room = if aged.is_empty() { 0.0 } else { self.room_for_aged(now) };
        let mut reserved: Vec<MachineIndex> = Vec::new();
        let max_reserved = self.max_reserved();
        for (queue_key, ix) in aged {
            let Some(job) = self.cluster.job(ix) else { continue };
            let cpus = job.spec.cpus.max(0.1);
            let most = match queue_key.aging {
                Aging::Unbegun => 1,
                _ => (room / cpus).max(0.0) as u32,
            };
            let (placed, stuck) = self.place_job(now, ix, &open, most);
            room -= f64::from(placed) * cpus;
            if stuck && reserved.len() < max_reserved {
                reserved.extend(self.machines_to_reserve(now, ix, &reserved, 1));
            }
        }
        open.retain(|ix| !reserved.contains(ix));
        for entry in &mut queue {
            entry.0.aging = Aging::None;
        }
        queue.sort_by(|a, b| a.0.order(&b.0).then(a.1.cmp(&b.1)));
        for (queue_key, ix) in queue {
            if self.place_job(now, ix, &open, u32::MAX).1 {
                blocked.push((queue_key, ix));
            }
            open.retain(|&ix| self.has_room(&self.cluster.machines[ix], least));
        }
        blocked
    }

    /// How many machines at most are kept for lifted jobs that found no room.
    pub(crate) fn max_reserved(&self) -> usize {
        ((self.cluster.machines.len() as f64 * self.tunables.lift_share / 2.0) as usize).max(1)
    }

    /// The machines on which room for a task of the job is nearest, `count` at most: they get no other
    /// work until there is. Without this, a large task never finds its room on machines where small ones take every
    /// bit that gets free. (Seen on a recorded day: a route sheet began after 500 s among alarms.)
    pub(crate) fn machines_to_reserve(
        &self,
        now: Timestamp,
        ix: JobIndex,
        taken: &[MachineIndex],
        count: usize,
    ) -> Vec<MachineIndex> {
        let Some(job) = self.cluster.job(ix) else { return Vec::new() };
        let free = |m: &Machine| {
            let kind = &self.cluster.machine_types[m.kind.unwrap_or_default()];
            let by = |free: f64, takes: f64| if takes > 0.0 { free / takes } else { f64::MAX };
            by(kind.cpus - m.used().cpus, job.spec.cpus)
                .min(by(kind.memory_gb - m.used().memory_gb, job.spec.memory_gb))
                .min(by(kind.gpus - m.used().gpus, job.spec.gpus))
        };
        let usable = |m: &Machine| {
            m.kind
                .and_then(|k| self.cluster.machine_types.get(k))
                .is_some_and(|k| job.spec.fits_type(k))
                && (job.spec.spot || !m.spot)
                && job.spec.zone.as_ref().is_none_or(|z| *z == m.zone)
                && self.zone_allows(job, &m.zone)
                && self.is_schedulable(now, m)
        };
        let mut nearest: Vec<(f64, MachineIndex)> = (0..self.cluster.machines.len())
            .map(MachineIndex::from)
            .filter(|m| !taken.contains(m) && !job.avoids(now, *m))
            .map(|ix| (ix, &self.cluster.machines[ix]))
            .filter(|(_, m)| usable(m))
            .map(|(ix, m)| (free(m), ix))
            .collect();
        let order = |a: &(f64, MachineIndex), b: &(f64, MachineIndex)| {
            b.0.total_cmp(&a.0).then(a.1.cmp(&b.1))
        };
        if count < nearest.len() {
            nearest.select_nth_unstable_by(count, order);
            nearest.truncate(count);
        }
        nearest.into_iter().map(|(_, ix)| ix).collect()
    }

    /// Places up to `most` tasks of one job. Returns how many, and whether tasks are left that found no
    /// machine.
    pub(crate) fn place_job(
        &mut self,
        now: Timestamp,
        ix: JobIndex,
        open: &[MachineIndex],
        most: u32,
    ) -> (u32, bool) {
        let Some(job) = self.cluster.job(ix) else { return (0, false) };
        if most == 0 || job.pending() == 0 {
            return (0, false);
        }
        self.examined.machines += open.len() as u64;
        self.examined.jobs += 1;
        let Some(job) = self.cluster.job(ix) else { return (0, false) };
        let zone =
            (job.spec.one_zone && job.zones.is_empty()).then(|| self.zone_for(job, open)).flatten();
        let machines = self.candidates(now, job, open);
        let mut machines = machines.into_iter().peekable();
        let mut index = job.scan_from;
        let total = job.spec.tasks;
        let mut stuck = false;
        let mut placed = 0;
        while index < total && placed < most {
            let Some(job) = self.cluster.job(ix) else { break };
            if job.tasks[index as usize].phase != TaskPhase::Pending {
                index += 1;
                continue;
            }
            if !self.team_allows(job) {
                break;
            }
            let Some(&m) = machines.peek() else {
                stuck = true;
                break;
            };
            let machine = &self.cluster.machines[m];
            if zone.as_ref().is_some_and(|z| *z != machine.zone)
                || !self.fits(job, machine)
                || !self.zone_allows(job, &machine.zone)
            {
                machines.next();
                continue;
            }
            self.plan_start(now, (ix, index), m);
            placed += 1;
            index += 1;
        }
        if let Some(job) = self.cluster.jobs.get_mut(&ix) {
            job.scan_from = index;
        }
        (placed, stuck)
    }

    /// Stops work of lower priority for urgent jobs that found no room: the least lost work
    /// first, and no more than they need beyond the room that is already being made. What could be
    /// stopped is looked up once for all of them.
    ///
    /// Room is made machine by machine, as much as a task takes. (Counted over the whole fleet, the
    /// youngest small tasks made way here and there for a large one that fitted nowhere; their own job
    /// was placed there again, to be stopped again a moment later: 8,000 times in four minutes.)
    fn preempt(&mut self, now: Timestamp, blocked: &[(QueueKey, JobIndex)]) {
        let blocked: Vec<(QueueKey, JobIndex)> = blocked
            .iter()
            .filter(|(u, ix)| {
                self.may_preempt(u, *ix)
                    && self.cluster.job(*ix).is_some_and(|j| self.team_allows(j))
            })
            .take(MAX_PREEMPTING_JOBS)
            .copied()
            .collect();
        let Some(highest) = blocked.iter().map(|b| b.0.priority).max() else { return };
        if now.since(self.last_preempt) < PREEMPT_EVERY {
            self.cluster.placement_needed = true;
            return;
        }
        self.last_preempt = now;
        let within_guarantee = blocked.iter().any(|b| b.0.within_guarantee);
        let mut rooms = self.preemptable_machines(now, highest, within_guarantee);
        let old = (self.room_for_aged(now) >= 0.0).then(|| now - self.tunables.lift_after);
        for (queue_key, ix) in blocked {
            let Some(job) = self.cluster.job(ix) else { continue };
            let mut need = job.pending();
            let mut offers: Vec<(f64, usize, Vec<usize>)> = Vec::new();
            for (at, room) in rooms.iter_mut().enumerate() {
                let m = &self.cluster.machines[room.machine];
                if !m
                    .kind
                    .and_then(|k| self.cluster.machine_types.get(k))
                    .is_some_and(|k| job.spec.fits_type(k))
                    || (m.spot && !job.spec.spot)
                    || job.spec.zone.as_ref().is_some_and(|z| *z != m.zone)
                    || !self.zone_allows(job, &m.zone)
                    || job.avoids(now, room.machine)
                {
                    continue;
                }
                // What is being freed already serves the most pressed first.
                while need > 0 && room.free.take(&job.spec) {
                    need -= 1;
                }
                if need == 0 {
                    break;
                }
                self.preemption_options(queue_key, job, old, at, room, &mut offers);
            }
            offers.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            for (_, at, candidates) in offers.into_iter().take(need as usize) {
                for candidate in candidates {
                    self.preempt_candidate(now, queue_key, &mut rooms[at], candidate);
                }
                let Some(job) = self.cluster.job(ix) else { break };
                rooms[at].free.take(&job.spec);
            }
        }
    }

    /// Whether the job is late enough to have work of lower priority stopped.
    pub(crate) fn is_urgent(&self, queue_key: &QueueKey) -> bool {
        queue_key.slack <= self.tunables.preempt_slack.as_secs_f64()
    }

    /// The machines with work that could be stopped, and what is being freed there already.
    fn preemptable_machines(
        &self,
        now: Timestamp,
        highest: Priority,
        within_guarantee: bool,
    ) -> Vec<PreemptableMachine> {
        let mut rooms = Vec::new();
        for (machine, m) in self.cluster.machines.iter().enumerate() {
            // Without work to stop, and none that is stopping, a machine has no more room than when the
            // jobs found none there.
            let may_make_room =
                m.stopping() > 0 || within_guarantee || m.lowest_priority() < Some(highest);
            if m.tasks.is_empty() || !may_make_room || !self.is_schedulable(now, m) {
                continue;
            }
            let Some(kind) = m.kind.and_then(|k| self.cluster.machine_types.get(k)) else {
                continue;
            };
            let mut room = PreemptableMachine {
                machine: machine.into(),
                free: Amount {
                    cpus: kind.cpus - m.used().cpus,
                    gpus: kind.gpus - m.used().gpus,
                    memory: kind.memory_gb - m.used().memory_gb,
                },
                candidates: Vec::new(),
            };
            for &id in &m.tasks {
                let Some(other) = self.cluster.job(id.0) else { continue };
                match other.tasks[id.1 as usize].phase {
                    TaskPhase::Stopping => room.free.add(&other.spec),
                    TaskPhase::Running if other.priority < highest || within_guarantee => {
                        let Some(&began) = other.started.get(&id.1) else { continue };
                        let ran = now.since(began).as_secs_f64();
                        let saves = other.spec.checkpoint_s > 0.0;
                        let mut cost = if saves { other.spec.save_s.min(ran) } else { ran };
                        if self.would_be_late(now, other, ran) {
                            cost += SPOILT;
                        }
                        room.candidates.push(PreemptionCandidate { cost, id, stopped: false });
                    }
                    _ => {}
                }
            }
            room.candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost).then(a.id.cmp(&b.id)));
            rooms.push(room);
        }
        rooms
    }

    /// What would have to be stopped on one machine for each further task of the job, and at what
    /// cost.
    fn preemption_options(
        &self,
        queue_key: QueueKey,
        job: &Job,
        old: Option<Timestamp>,
        at: usize,
        room: &PreemptableMachine,
        offers: &mut Vec<(f64, usize, Vec<usize>)>,
    ) {
        let mut free = room.free;
        let (mut cost, mut least, mut candidates) = (0.0, 0.0f64, Vec::new());
        for (i, candidate) in room.candidates.iter().enumerate() {
            let Some(other) = self.cluster.job(candidate.id.0) else { continue };
            if candidate.stopped || !self.may_stop(queue_key, job, other, old) {
                continue;
            }
            free.add(&other.spec);
            cost += candidate.cost;
            candidates.push(i);
            // One large task may make room for several small ones.
            while free.take(&job.spec) {
                // Never cheaper than the one before it, on which it rests.
                least = least.max(cost);
                offers.push((least, at, std::mem::take(&mut candidates)));
                cost = 0.0;
            }
        }
    }

    fn preempt_candidate(
        &mut self,
        now: Timestamp,
        queue_key: QueueKey,
        room: &mut PreemptableMachine,
        candidate: usize,
    ) {
        let id = room.candidates[candidate].id;
        room.candidates[candidate].stopped = true;
        let Some(other) = self.cluster.job(id.0) else { return };
        if !queue_key.within_guarantee && self.is_at_floor(other) {
            return; // What was stopped before it in this look brought its class down there.
        }
        room.free.add(&other.spec);
        let grace = other.spec.stop_grace_s();
        let task = format!("{}/{}", other.name, id.1);
        self.log(Event::TaskPreempted { task });
        self.stop(now, id, grace);
    }

    /// Whether the job is in time as things stand and would not be if a task that has run for
    /// `ran` seconds had to start again.
    fn would_be_late(&self, now: Timestamp, job: &Job, ran: f64) -> bool {
        let Some(due) = &job.effective_deadline else { return false };
        let left = due.left(now);
        let run = self.run_times.expected_run(job);
        left >= (run - ran).max(0.0) && left < run + RESTART
    }

    /// The protocol's reasons for stopping one job's task for another's. What age has lifted is
    /// left alone while it keeps to its part of the fleet, or it would never get done.
    fn may_stop(
        &self,
        queue_key: QueueKey,
        job: &Job,
        other: &Job,
        old: Option<Timestamp>,
    ) -> bool {
        if old.is_some_and(|before| other.ready_at < before) {
            return false;
        }
        // At last it has begun: its first task is left to its end.
        let first = !other.has_started || (other.done == 0 && other.placed == 1);
        if first && self.last_round.since(other.ready_at) > self.tunables.begin_within {
            return false;
        }
        // In an overload a class keeps its floor, but against a guarantee.
        if !queue_key.within_guarantee && self.is_at_floor(other) {
            return false;
        }
        // A step of a chain counts as what needs it, when it stops others and when others would stop
        // it: stopped for work below the chain's last job, it would make that job late.
        if other.priority < job.priority {
            return true;
        }
        if !queue_key.within_guarantee || other.spec.team == job.spec.team {
            return false;
        }
        // Work beyond another team's guarantee gives way to a team's own guarantee.
        self.site.team(&other.spec.team).is_some_and(|team| {
            let TeamUsage { cpus, gpus } = self.cluster.team_usage(&other.spec.team);
            cpus > team.cpus + EPSILON || gpus > team.gpus + EPSILON
        })
    }

    /// Whether the class is one whose tasks should start within a short time.
    pub(crate) fn has_short_start_objective(&self, class: &str) -> bool {
        self.site.start_objective(class).is_some_and(|w| w < TimeDelta::from_secs(30))
    }

    /// Room that a job of a class with a wait aim may need at any moment.
    pub fn headroom_cpus(&self, now: Timestamp) -> f64 {
        let jobs = if self.ordinary_is_cheap() {
            self.tunables.headroom_cheap
        } else {
            self.tunables.headroom
        };
        self.run_times
            .sizes
            .iter()
            .filter(|(class, _)| self.has_short_start_objective(class))
            .filter(|(_, size)| now.since(size.last_seen) < LULL)
            .map(|(_, size)| size.cpus * jobs)
            .fold(0.0, f64::max)
    }
}
