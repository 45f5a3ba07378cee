//! Placement of tasks on machines: ranking of machines for a job, team and zone limits, reservation
//! of machines for aged jobs, and preemption.

use walnutlug_admission::resources::Resources;

use crate::event::Event;
use crate::model::cluster::TeamUsage;
use crate::model::ids::{JobIndex, MachineIndex, TaskId};
use crate::model::job::Job;
use crate::model::job_spec::{JobSpec, Priority};
use crate::model::machine::{Machine, MachineState};
use crate::model::task::TaskPhase;
use crate::model::EPSILON;
use crate::queue::order::{Aging, QueueKey};
use crate::scheduler::{Scheduler, OVERDUE_INTERVALS};
use crate::time::{TimeDelta, Timestamp};

/// Headroom for a class is dropped when no job of it has been seen for this long.
const HEADROOM_RETENTION: TimeDelta = TimeDelta::from_secs(120);
/// Added to the cost of preempting a task if its job would then miss its deadline, in seconds of
/// lost work.
const MISSED_DEADLINE_COST_S: f64 = 300.0;
/// Shortest time between two preemption passes: preempted tasks need a moment to stop.
const PREEMPT_INTERVAL: TimeDelta = TimeDelta::from_millis(300);
/// Most jobs for which one preemption pass stops work; the next pass serves the following ones.
pub(crate) const MAX_PREEMPTING_JOBS: usize = 16;
/// Expected time to place a preempted task again, in seconds.
const RESTART_S: f64 = 10.0;

/// Ranking of a machine for a job. Fields are compared in order of declaration; the larger value
/// wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct MachineRank {
    /// Whether the machine is of the kind, spot or ordinary (not spot), that jobs of this class are
    /// kept on while both kinds cost about the same.
    preferred_pricing: bool,
    /// Whether the machine has the image, for a class with a start objective; `false` for other
    /// classes.
    image_for_start_objective: bool,
    /// Negated free share of the machine's CPUs, in quarters rounded up: larger is fuller.
    fullness: i64,
    has_image: bool,
}

/// Resources that are free, or being freed, on a machine.
#[derive(Debug, Clone, Copy)]
struct FreeResources {
    cpus: f64,
    gpus: f64,
    memory: f64,
}

impl FreeResources {
    fn release(&mut self, spec: &JobSpec) {
        self.cpus += spec.cpus;
        self.gpus += spec.gpus;
        self.memory += spec.memory_gb;
    }

    /// Subtracts the resources of one task if they are free; returns whether they were.
    fn try_reserve(&mut self, spec: &JobSpec) -> bool {
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

/// A running task that may be preempted for a more urgent job.
#[derive(Debug)]
struct PreemptionCandidate {
    /// Seconds of work that preempting the task would lose, with [`MISSED_DEADLINE_COST_S`] if it
    /// makes its job late.
    cost: f64,
    id: TaskId,
    stopped: bool,
}

/// A machine with tasks that may be preempted, cheapest first.
#[derive(Debug)]
struct PreemptableMachine {
    machine: MachineIndex,
    /// Free resources, including those of tasks that are already stopping.
    free: FreeResources,
    candidates: Vec<PreemptionCandidate>,
}

impl Scheduler {
    /// CPUs that aged jobs may still take ahead of all others: `lift_share` of the machines that
    /// are up, less what aged jobs hold.
    pub(crate) fn cpus_left_for_aged(&self, now: Timestamp) -> f64 {
        let fleet_cpus: f64 = self
            .cluster
            .machines
            .iter()
            .filter(|m| m.state == MachineState::Up)
            .filter_map(|m| Some(self.cluster.machine_types.get(m.kind?)?.cpus))
            .sum();
        let aged = self.cluster.jobs.values().filter(|j| j.placed > 0 && !j.is_ended());
        let aged_cpus: f64 = aged
            .filter(|j| now.since(j.ready_at) > self.tunables.lift_after)
            .map(|j| f64::from(j.placed) * j.spec.cpus)
            .sum();
        fleet_cpus * self.tunables.lift_share - aged_cpus
    }

    /// Whether tasks may be started on the machine now.
    pub fn is_schedulable(&self, now: Timestamp, m: &Machine) -> bool {
        // A machine becomes schedulable with a heartbeat under the current term: before that,
        // nobody knows which tasks the previous leader left on it. A machine whose heartbeat is
        // overdue isn't trusted either.
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

    /// Whether one more task of the job fits into the machine's free resources and meets the job's
    /// spot, type and zone constraints.
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

    /// Whether the job's `one_zone` and `spread` constraints allow one more task in the zone. Every
    /// task that isn't proven absent counts, so that a late start can't violate them.
    pub fn zone_allows(&self, job: &Job, zone: &str) -> bool {
        if job.spec.one_zone && job.zones.keys().any(|z| z != zone) {
            return false;
        }
        if job.spec.spread {
            let max_per_zone = job.spec.tasks.div_ceil(2);
            // Tasks on machines of unknown zone could be in any zone.
            let in_unknown_zone = job.zones.get("").copied().unwrap_or(0);
            let in_zone = job.zones.get(zone).copied().unwrap_or(0);
            if in_zone + in_unknown_zone + 1 > max_per_zone {
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

    /// Machines among `open` that can take a task of the job, best first: the fullest, then one
    /// with the image, then the cheapest. Fullness is rounded to quarters of a machine, so that
    /// ties are common and the image and the price decide. Placing a task makes its machine fuller,
    /// so the order stays valid until the machine is full, and one ranking serves all tasks of the
    /// job.
    fn candidate_machines(
        &self,
        now: Timestamp,
        job: &Job,
        open: &[MachineIndex],
    ) -> Vec<MachineIndex> {
        // A start objective leaves no time to fetch the image, so the image ranks above fullness.
        let has_start_objective = self.site.start_objective(&job.spec.class).is_some();
        // While ordinary machines cost little more than spot ones, they are part of the fleet
        // anyway, and jobs with short start objectives go to them; other jobs leave them free. A
        // job of many tasks nearly always has one on a spot machine that the cloud reclaims, which
        // delays the job by the whole run time of that task.
        let ordinary_is_cheap = self.ordinary_is_cheap();
        let short_start = self.has_short_start_objective(&job.spec.class);
        let mut ranked: Vec<(MachineRank, f64, MachineIndex)> = Vec::new();
        for &ix in open {
            let m = &self.cluster.machines[ix];
            if !self.fits(job, m) || job.avoids(now, ix) {
                continue;
            }
            let Some(kind) = m.kind.and_then(|k| self.cluster.machine_types.get(k)) else {
                continue;
            };
            let free_share = (kind.cpus - m.used().cpus).max(0.0) / kind.cpus.max(EPSILON);
            let has_image = m.has_image(&job.spec.image);
            let rank = MachineRank {
                preferred_pricing: ordinary_is_cheap && m.spot != short_start,
                image_for_start_objective: has_start_objective && has_image,
                fullness: -((free_share * 4.0).ceil() as i64),
                has_image,
            };
            let price = if m.spot { kind.spot_price } else { kind.price } / kind.cpus.max(EPSILON);
            ranked.push((rank, price, ix));
        }
        ranked.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        ranked.into_iter().map(|f| f.2).collect()
    }

    /// The zone with most capacity for a job whose tasks must share one and none of which is
    /// placed.
    fn zone_for(&self, job: &Job, open: &[MachineIndex]) -> Option<String> {
        let mut capacity: std::collections::BTreeMap<&str, u32> = Default::default();
        for m in open.iter().map(|&ix| &self.cluster.machines[ix]) {
            if !self.fits(job, m) {
                continue;
            }
            let Some(kind) = m.kind.and_then(|k| self.cluster.machine_types.get(k)) else {
                continue;
            };
            let fitting =
                |free: f64, needed: f64| if needed > 0.0 { free / needed } else { f64::MAX };
            let n = fitting(kind.cpus - m.used().cpus + EPSILON, job.spec.cpus)
                .min(fitting(kind.gpus - m.used().gpus + EPSILON, job.spec.gpus))
                .min(fitting(kind.memory_gb - m.used().memory_gb + EPSILON, job.spec.memory_gb));
            *capacity.entry(&m.zone).or_default() += n as u32;
        }
        capacity.into_iter().max_by_key(|&(_, n)| n).map(|(z, _)| z.to_owned())
    }

    /// Runs one placement round over all queued jobs, then preempts for those that found no
    /// machine. The machines with free capacity are collected once and only these are examined for
    /// each job, so the cost follows the number of changes and not tasks times machines.
    pub fn place(&mut self, now: Timestamp) {
        let queue = self.queue(now);
        if queue.is_empty() {
            self.observe_saturation(now, &queue);
            return;
        }
        self.examined.jobs += 2 * queue.len() as u64;
        let smallest = self.smallest_task(&queue);
        let mut open: Vec<MachineIndex> = Vec::new();
        let mut fleet = Resources::NONE;
        for (m, ix) in self.cluster.machines.iter().zip(0..) {
            if m.state != MachineState::Up {
                continue;
            }
            fleet += m
                .kind
                .and_then(|k| self.cluster.machine_types.get(k))
                .map_or(Resources::NONE, |k| k.resources());
            if self.has_free_capacity(m, smallest) && self.is_schedulable(now, m) {
                open.push(MachineIndex(ix));
            }
        }
        self.fleet_cpus = fleet.cpus;
        self.cluster.shares.set_fleet(fleet);
        let fair_sharing = self.fair_share.is_active();
        let blocked = if fair_sharing {
            self.place_by_share(now, &queue, open, smallest)
        } else {
            self.place_in_order(now, queue.clone(), open, smallest)
        };
        self.observe_saturation(now, &queue);
        self.preempt(now, &blocked);
    }

    /// The smallest CPU and memory request among the tasks of the queued jobs; a machine with less
    /// free can take none of them.
    fn smallest_task(&self, queue: &[(QueueKey, JobIndex)]) -> Resources {
        let unbounded = f64::INFINITY;
        let mut smallest = Resources { cpus: unbounded, gpus: 0.0, memory_gb: unbounded };
        for job in queue.iter().filter_map(|&(_, ix)| self.cluster.job(ix)) {
            smallest.cpus = smallest.cpus.min(job.spec.cpus);
            smallest.memory_gb = smallest.memory_gb.min(job.spec.memory_gb);
        }
        smallest
    }

    /// Whether the machine has at least the CPUs and the memory of `task` free.
    pub(crate) fn has_free_capacity(&self, m: &Machine, task: Resources) -> bool {
        m.kind.and_then(|k| self.cluster.machine_types.get(k)).is_some_and(|kind| {
            kind.cpus - m.used().cpus + EPSILON >= task.cpus
                && kind.memory_gb - m.used().memory_gb + EPSILON >= task.memory_gb
        })
    }

    /// Places tasks in queue order. Returns the jobs left with tasks that found no machine.
    fn place_in_order(
        &mut self,
        now: Timestamp,
        mut queue: Vec<(QueueKey, JobIndex)>,
        mut open: Vec<MachineIndex>,
        smallest: Resources,
    ) -> Vec<(QueueKey, JobIndex)> {
        let mut blocked: Vec<(QueueKey, JobIndex)> = Vec::new();
        self.examined.jobs += 2 * queue.len() as u64;
        // Aged jobs are placed first, up to their share of the fleet; beyond it they are placed in
        // queue order.
        let aged: Vec<(QueueKey, JobIndex)> =
            queue.iter().filter(|q| q.0.aging > Aging::None).copied().collect();
        let mut aged_cpus_left = if aged.is_empty() { 0.0 } else { self.cpus_left_for_aged(now) };
        let mut reserved: Vec<MachineIndex> = Vec::new();
        let max_reserved = self.max_reserved();
        for (queue_key, ix) in aged {
            let Some(job) = self.cluster.job(ix) else { continue };
            let cpus = job.spec.cpus.max(0.1);
            let max_tasks = match queue_key.aging {
                Aging::NotStarted => 1,
                _ => (aged_cpus_left / cpus).max(0.0) as u32,
            };
            let (placed, out_of_machines) = self.place_job(now, ix, &open, max_tasks);
            aged_cpus_left -= f64::from(placed) * cpus;
            if out_of_machines && reserved.len() < max_reserved {
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
            open.retain(|&ix| self.has_free_capacity(&self.cluster.machines[ix], smallest));
        }
        blocked
    }

    /// Most machines that are reserved for aged jobs that found no machine.
    pub(crate) fn max_reserved(&self) -> usize {
        ((self.cluster.machines.len() as f64 * self.tunables.lift_share / 2.0) as usize).max(1)
    }

    /// The machines, `count` at most, that are closest to fitting a task of the job. They take no
    /// other work until the task fits. Without a reservation, small tasks take all capacity as it
    /// becomes free and a large task never starts. (On a recorded day a large job started only
    /// after 500 s, among urgent ones.)
    pub(crate) fn machines_to_reserve(
        &self,
        now: Timestamp,
        ix: JobIndex,
        already_reserved: &[MachineIndex],
        count: usize,
    ) -> Vec<MachineIndex> {
        let Some(job) = self.cluster.job(ix) else { return Vec::new() };
        let free_tasks = |m: &Machine| {
            let kind = &self.cluster.machine_types[m.kind.unwrap_or_default()];
            let fitting =
                |free: f64, needed: f64| if needed > 0.0 { free / needed } else { f64::MAX };
            fitting(kind.cpus - m.used().cpus, job.spec.cpus)
                .min(fitting(kind.memory_gb - m.used().memory_gb, job.spec.memory_gb))
                .min(fitting(kind.gpus - m.used().gpus, job.spec.gpus))
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
            .filter(|m| !already_reserved.contains(m) && !job.avoids(now, *m))
            .map(|ix| (ix, &self.cluster.machines[ix]))
            .filter(|(_, m)| usable(m))
            .map(|(ix, m)| (free_tasks(m), ix))
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

    /// Places up to `max_tasks` tasks of the job on `open` machines. Returns how many were placed,
    /// and whether it stopped for want of a machine.
    pub(crate) fn place_job(
        &mut self,
        now: Timestamp,
        ix: JobIndex,
        open: &[MachineIndex],
        max_tasks: u32,
    ) -> (u32, bool) {
        let Some(job) = self.cluster.job(ix) else { return (0, false) };
        if max_tasks == 0 || job.pending() == 0 {
            return (0, false);
        }
        self.examined.machines += open.len() as u64;
        self.examined.jobs += 1;
        let Some(job) = self.cluster.job(ix) else { return (0, false) };
        let zone =
            (job.spec.one_zone && job.zones.is_empty()).then(|| self.zone_for(job, open)).flatten();
        let machines = self.candidate_machines(now, job, open);
        let mut machines = machines.into_iter().peekable();
        let mut index = job.scan_from;
        let mut out_of_machines = false;
        let mut placed = 0;
        while placed < max_tasks {
            let Some(job) = self.cluster.job(ix) else { break };
            let Some(pending) = job.tasks.next_pending(index) else {
                index = job.spec.tasks;
                break;
            };
            index = pending;
            if !self.team_allows(job) {
                break;
            }
            let Some(&m) = machines.peek() else {
                out_of_machines = true;
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
            self.plan_start(now, TaskId { job: ix, index }, m);
            placed += 1;
            index += 1;
        }
        if let Some(job) = self.cluster.jobs.get_mut(&ix) {
            job.scan_from = index;
        }
        (placed, out_of_machines)
    }

    /// Preempts tasks for urgent jobs that found no machine: cheapest first, and no more than the
    /// jobs need beyond the capacity that is already being freed. The candidates are collected once
    /// for all jobs.
    ///
    /// Capacity is freed machine by machine, in amounts that fit a whole task. (Counted over the
    /// whole fleet, the youngest small tasks were stopped on several machines for a large task that
    /// still fitted on none, placed there again and stopped again: 8,000 times in four minutes.)
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
        let Some(highest_priority) = blocked.iter().map(|b| b.0.priority).max() else { return };
        if now.since(self.last_preempt) < PREEMPT_INTERVAL {
            self.cluster.placement_needed = true;
            return;
        }
        self.last_preempt = now;
        let within_guarantee = blocked.iter().any(|b| b.0.within_guarantee);
        let mut preemptable = self.preemptable_machines(now, highest_priority, within_guarantee);
        let aged_before =
            (self.cpus_left_for_aged(now) >= 0.0).then(|| now - self.tunables.lift_after);
        for (queue_key, ix) in blocked {
            let Some(job) = self.cluster.job(ix) else { continue };
            let mut tasks_needed = job.pending();
            let mut options: Vec<(f64, usize, Vec<usize>)> = Vec::new();
            for (slot, machine) in preemptable.iter_mut().enumerate() {
                let m = &self.cluster.machines[machine.machine];
                if !m
                    .kind
                    .and_then(|k| self.cluster.machine_types.get(k))
                    .is_some_and(|k| job.spec.fits_type(k))
                    || (m.spot && !job.spec.spot)
                    || job.spec.zone.as_ref().is_some_and(|z| *z != m.zone)
                    || !self.zone_allows(job, &m.zone)
                    || job.avoids(now, machine.machine)
                {
                    continue;
                }
                // Capacity that is already being freed goes to the most urgent jobs first.
                while tasks_needed > 0 && machine.free.try_reserve(&job.spec) {
                    tasks_needed -= 1;
                }
                if tasks_needed == 0 {
                    break;
                }
                self.preemption_options(queue_key, job, aged_before, slot, machine, &mut options);
            }
            options.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            for (_, slot, candidates) in options.into_iter().take(tasks_needed as usize) {
                for candidate in candidates {
                    self.preempt_candidate(now, queue_key, &mut preemptable[slot], candidate);
                }
                let Some(job) = self.cluster.job(ix) else { break };
                preemptable[slot].free.try_reserve(&job.spec);
            }
        }
    }

    /// Whether the job's slack is short enough for it to preempt work of lower priority.
    pub(crate) fn is_urgent(&self, queue_key: &QueueKey) -> bool {
        queue_key.slack <= self.tunables.preempt_slack.as_secs_f64()
    }

    /// The machines with tasks that may be preempted or are stopping, with the capacity being freed
    /// there.
    fn preemptable_machines(
        &self,
        now: Timestamp,
        highest_priority: Priority,
        within_guarantee: bool,
    ) -> Vec<PreemptableMachine> {
        let mut preemptable = Vec::new();
        for (machine, m) in self.cluster.machines.iter().enumerate() {
            // A machine with no preemptable and no stopping task has no more capacity than when the
            // jobs failed to fit on it.
            let may_free_capacity = m.stopping() > 0
                || within_guarantee
                || m.lowest_priority() < Some(highest_priority);
            if m.tasks.is_empty() || !may_free_capacity || !self.is_schedulable(now, m) {
                continue;
            }
            let Some(kind) = m.kind.and_then(|k| self.cluster.machine_types.get(k)) else {
                continue;
            };
            let mut entry = PreemptableMachine {
                machine: machine.into(),
                free: FreeResources {
                    cpus: kind.cpus - m.used().cpus,
                    gpus: kind.gpus - m.used().gpus,
                    memory: kind.memory_gb - m.used().memory_gb,
                },
                candidates: Vec::new(),
            };
            for &id in &m.tasks {
                let Some(other) = self.cluster.job(id.job) else { continue };
                let Some(task) = other.tasks.get(id.index) else { continue };
                match task.phase {
                    TaskPhase::Stopping => entry.free.release(&other.spec),
                    TaskPhase::Running if other.priority < highest_priority || within_guarantee => {
                        let Some(&began) = other.started.get(&id.index) else { continue };
                        let ran = now.since(began).as_secs_f64();
                        let saves = other.spec.checkpoint_s > 0.0;
                        let mut cost = if saves { other.spec.save_s.min(ran) } else { ran };
                        if self.restart_misses_deadline(now, other, ran) {
                            cost += MISSED_DEADLINE_COST_S;
                        }
                        entry.candidates.push(PreemptionCandidate { cost, id, stopped: false });
                    }
                    _ => {}
                }
            }
            entry.candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost).then(a.id.cmp(&b.id)));
            preemptable.push(entry);
        }
        preemptable
    }

    /// Adds an option to `options` for each further task of the job that preemption could fit on
    /// the machine: the cost, the machine and the tasks to stop.
    fn preemption_options(
        &self,
        queue_key: QueueKey,
        job: &Job,
        aged_before: Option<Timestamp>,
        slot: usize,
        machine: &PreemptableMachine,
        options: &mut Vec<(f64, usize, Vec<usize>)>,
    ) {
        let mut free = machine.free;
        let (mut cost, mut min_cost, mut candidates) = (0.0, 0.0f64, Vec::new());
        for (i, candidate) in machine.candidates.iter().enumerate() {
            let Some(other) = self.cluster.job(candidate.id.job) else { continue };
            if candidate.stopped || !self.may_be_preempted(queue_key, job, other, aged_before) {
                continue;
            }
            free.release(&other.spec);
            cost += candidate.cost;
            candidates.push(i);
            // Stopping one large task may free capacity for several small ones.
            while free.try_reserve(&job.spec) {
                // An option depends on those before it on this machine, so it must not sort ahead
                // of them.
                min_cost = min_cost.max(cost);
                options.push((min_cost, slot, std::mem::take(&mut candidates)));
                cost = 0.0;
            }
        }
    }

    fn preempt_candidate(
        &mut self,
        now: Timestamp,
        queue_key: QueueKey,
        machine: &mut PreemptableMachine,
        candidate: usize,
    ) {
        let id = machine.candidates[candidate].id;
        machine.candidates[candidate].stopped = true;
        let Some(other) = self.cluster.job(id.job) else { return };
        if !queue_key.within_guarantee && self.is_at_floor(other) {
            return; // Earlier preemptions of this pass brought the class down to its floor.
        }
        machine.free.release(&other.spec);
        let grace = other.spec.stop_grace_s();
        let task = other.task_name(id.index);
        self.log(Event::TaskPreempted { task });
        self.stop(now, id, grace);
    }

    /// Whether the job is on time now but would be late if a task that has run for `ran` seconds
    /// had to start again.
    fn restart_misses_deadline(&self, now: Timestamp, job: &Job, ran: f64) -> bool {
        let Some(deadline) = &job.effective_deadline else { return false };
        let left = deadline.left(now);
        let run = self.run_times.expected_run(job);
        left >= (run - ran).max(0.0) && left < run + RESTART_S
    }

    /// Whether the rules of preemption allow stopping a task of `other` for `job`. Aged jobs are
    /// exempt while they stay within their share of the fleet; otherwise they would never finish.
    fn may_be_preempted(
        &self,
        queue_key: QueueKey,
        job: &Job,
        other: &Job,
        aged_before: Option<Timestamp>,
    ) -> bool {
        if aged_before.is_some_and(|before| other.ready_at < before) {
            return false;
        }
        // The first task of a job that started only after `begin_within` runs to its end.
        let runs_first_task = !other.has_started || (other.done == 0 && other.placed == 1);
        if runs_first_task && self.last_round.since(other.ready_at) > self.tunables.begin_within {
            return false;
        }
        // Under overload a class keeps its floor, except against a team's guarantee.
        if !queue_key.within_guarantee && self.is_at_floor(other) {
            return false;
        }
        // A job in a chain counts with the priority inherited from its dependents, both when it
        // preempts and when it may be preempted: stopped for work of lower priority than the
        // chain's last job, it would make that job late.
        if other.priority < job.priority {
            return true;
        }
        if !queue_key.within_guarantee || other.spec.team == job.spec.team {
            return false;
        }
        // A team that is within its guarantee may preempt work of teams that exceed theirs.
        self.site.team(&other.spec.team).is_some_and(|team| {
            let TeamUsage { cpus, gpus } = self.cluster.team_usage(&other.spec.team);
            cpus > team.cpus + EPSILON || gpus > team.gpus + EPSILON
        })
    }

    /// Whether tasks of the class should start within less than 30 s.
    pub(crate) fn has_short_start_objective(&self, class: &str) -> bool {
        self.site.start_objective(class).is_some_and(|w| w < TimeDelta::from_secs(30))
    }

    /// CPUs to keep free for the next job of a class with a short start objective; the largest need
    /// among such classes seen lately.
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
            .filter(|(_, size)| now.since(size.last_seen) < HEADROOM_RETENTION)
            .map(|(_, size)| size.cpus * jobs)
            .fold(0.0, f64::max)
    }
}
