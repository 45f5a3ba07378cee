//! State of the cluster during one term: jobs, tasks and machines, and the assignments between
//! them.
//!
//! Every change of a task's state goes through `Cluster::apply`, which keeps the aggregates of its
//! job, machine, team and class consistent with it.

mod machine_table;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use walnutlug_admission::shares::Shares;

use crate::event::HeldEntries;
use crate::leadership::fencing_token::{FencingToken, Term};
use crate::model::chunk_table::ChunkWrites;
use crate::model::conflicting_replicas::ConflictingReplicas;
use crate::model::ids::{Attempt, JobIndex, MachineIndex, TaskId};
use crate::model::job::Job;
use crate::model::job_state::JobEvent;
use crate::model::machine::Machine;
use crate::model::start::Placement;
use crate::model::task::{Task, TaskEvent, TaskPhase};
use crate::protocol::cloud::MachineType;
use crate::reconciliation::heartbeat_cache::{CacheInvalidation, HeartbeatCache};
use crate::time::{TimeDelta, Timestamp};

/// Minimum time from the placement of a task until it runs: one storage write, one request to the
/// worker and, in most cases, an image fetch.
const MIN_START_LATENCY: TimeDelta = TimeDelta::from_secs(1);

/// Resources used by a team's tasks, including every task that is not yet proven absent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamUsage {
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
}

/// Properties of a planned task start that decide how its record is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StartPlanned {
    /// Whether no other start in the same chunk is waiting to be written.
    pub(crate) first_of_chunk: bool,
    /// Whether the machine already has the job's image, or is fetching it.
    pub(crate) image_cached: bool,
}

/// State of all jobs, tasks and machines as known to the leader of one term.
#[derive(Debug)]
pub struct Cluster {
    pub(crate) term: Term,
    /// Placeholder token for starts that were sent by an earlier term, whose real token is not
    /// known.
    pub(crate) loaded_token: FencingToken,
    /// Jobs by index. An index is never reused, so a late response cannot refer to a different job.
    pub jobs: BTreeMap<JobIndex, Job>,
    next_job: JobIndex,
    /// Most memory that the jobs may take besides their placed tasks, in bytes.
    job_bytes: u64,
    /// Maps a job's name to its index in `jobs`.
    pub jobs_by_name: HashMap<String, JobIndex>,
    /// All machines, including terminated ones until their entry is reused.
    pub machines: Vec<Machine>,
    /// Maps a machine's name to its index in `machines`.
    pub machines_by_name: HashMap<String, MachineIndex>,
    /// Terminated machines with the time they were queued for reuse, oldest first.
    pub(crate) terminated: VecDeque<(Timestamp, MachineIndex)>,
    /// Machine types offered by the cloud. A type's index never changes, because machines refer to
    /// it.
    pub machine_types: Vec<MachineType>,
    /// Resources in use, by team name.
    pub team_usage: HashMap<String, TeamUsage>,
    /// Shares of the fleet held by each team and each of its job classes.
    pub shares: Shares,
    /// Tasks that machines report as live contrary to the task table.
    pub(crate) conflicting_replicas: ConflictingReplicas,
    /// Set when a change may allow the next placement round to place or preempt tasks.
    pub placement_needed: bool,
    /// Last heartbeat of each machine whose exact repetition needs no processing.
    pub(crate) heartbeat_cache: HeartbeatCache,
}

impl Cluster {
    /// Creates a cluster without jobs or machines.
    pub(crate) fn new(
        term: Term,
        loaded_token: FencingToken,
        machine_types: Vec<MachineType>,
        shares: Shares,
    ) -> Cluster {
        Cluster {
            term,
            loaded_token,
            jobs: BTreeMap::new(),
            next_job: JobIndex(0),
            job_bytes: 0,
            jobs_by_name: HashMap::new(),
            machines: Vec::new(),
            machines_by_name: HashMap::new(),
            terminated: VecDeque::new(),
            machine_types,
            team_usage: HashMap::new(),
            shares,
            conflicting_replicas: ConflictingReplicas::default(),
            placement_needed: true,
            heartbeat_cache: HeartbeatCache::new(term),
        }
    }

    /// Returns the job with this index. A job stays in the table until its last record is deleted.
    pub fn job(&self, index: JobIndex) -> Option<&Job> {
        self.jobs.get(&index)
    }

    /// Returns the task, unless its job was removed.
    pub(crate) fn task(&self, id: TaskId) -> Option<Task> {
        self.job(id.job)?.tasks.get(id.index)
    }

    /// Returns the name under which workers and users know the task, unless its job was removed.
    pub(crate) fn task_name(&self, id: TaskId) -> Option<String> {
        self.job(id.job).map(|job| job.task_name(id.index))
    }

    /// Adds a job and returns its index, which was never used before.
    pub(crate) fn add_job(&mut self, job: Job) -> JobIndex {
        let index = self.next_job;
        self.next_job = index.next();
        self.jobs_by_name.insert(job.name.clone(), index);
        self.job_bytes += job.max_bytes();
        self.jobs.insert(index, job);
        self.placement_needed = true;
        index
    }

    /// Removes a job after its last stored record was deleted.
    pub(crate) fn remove_job(&mut self, index: JobIndex) {
        if let Some(job) = self.jobs.remove(&index) {
            self.jobs_by_name.remove(&job.name);
            self.job_bytes -= job.max_bytes();
            self.shares.remove_job(job.share_class);
        }
    }

    /// Returns the most memory that the jobs may take besides their placed tasks, in bytes. A job
    /// counts from its acceptance until its last record is deleted.
    pub fn job_bytes(&self) -> u64 {
        self.job_bytes
    }

    /// Returns the numbers of entries in the tables.
    pub(crate) fn held_entries(&self) -> HeldEntries {
        HeldEntries {
            jobs: self.jobs.len(),
            max_job_bytes: self.job_bytes,
            tasks: self.jobs.values().map(|job| job.tasks.entry_count()).sum(),
            chunks: self.jobs.values().map(|job| job.chunks.recorded_count()).sum(),
            machines: self.machines.len(),
        }
    }

    /// Marks the job as ended, whether it completed or was cancelled. Returns its index, or `None`
    /// if it is unknown or was already marked.
    pub(crate) fn end_job(&mut self, name: &str) -> Option<JobIndex> {
        let &index = self.jobs_by_name.get(name)?;
        if !self.jobs.get_mut(&index)?.apply(JobEvent::Ended) {
            return None;
        }
        self.placement_needed = true;
        Some(index)
    }

    /// Returns the job's tasks that are not proven absent from a machine.
    pub(crate) fn placed_tasks(&self, index: JobIndex) -> Vec<TaskId> {
        let Some(job) = self.job(index) else { return Vec::new() };
        job.tasks.placed().map(|(task, _)| TaskId { job: index, index: task }).collect()
    }

    /// Plans the start of a task on a machine. The start is sent only after it has been written.
    /// Returns `None` if the task is not pending.
    pub(crate) fn plan_start(
        &mut self,
        now: Timestamp,
        id: TaskId,
        machine: MachineIndex,
    ) -> Option<StartPlanned> {
        let agent_epoch = self.machines[machine].agent_epoch;
        if !self.apply(now, id, TaskEvent::Dispatch { machine, agent_epoch }) {
            return None;
        }
        let job = self.jobs.get_mut(&id.job)?;
        job.capacity_wait.task_placed(now);
        if job.pending() == 0 {
            job.capacity_wait.demand_met();
        }
        let image = job.spec.image.clone();
        let chunk = job.chunk_of(id.index);
        let first_of_chunk = job.chunks.update_writes(chunk, |writes| {
            let is_first = writes.start_due.is_none();
            writes.start_due.get_or_insert(now);
            is_first
        });
        let image_cached = self.machines[machine].has_image(&image);
        let planned = StartPlanned { first_of_chunk, image_cached };
        // The worker will fetch the image, so later tasks with the same image should prefer this
        // machine.
        self.machines[machine].add_image(image);
        Some(planned)
    }

    /// Makes the planned starts of an ended job pending again that no transaction holds: none will
    /// be written any more. Those in a transaction are settled by its outcome.
    pub(crate) fn retract_unwritten_starts(&mut self, now: Timestamp, index: JobIndex) {
        let Some(job) = self.jobs.get_mut(&index).filter(|job| job.placed > 0) else { return };
        let has_unwritten = |writes: &ChunkWrites| !writes.in_flight && writes.start_due.is_some();
        let chunks = job.chunks.all_writes().filter(|(_, writes)| has_unwritten(writes));
        let chunks: BTreeSet<usize> = chunks.map(|(chunk, _)| chunk).collect();
        for &chunk in &chunks {
            job.chunks.update_writes(chunk, |writes| writes.start_due = None);
        }
        let placed = job.tasks.placed().map(|(task, state)| (task, state.placement()));
        let unwritten: Vec<(u32, Placement)> =
            placed.filter(|&(task, _)| chunks.contains(&job.chunk_of(task))).collect();
        for (task, placement) in unwritten {
            let id = TaskId { job: index, index: task };
            self.apply(now, id, TaskEvent::NotRecorded(placement));
        }
    }

    /// Returns the indices of all machines in table order.
    pub(crate) fn machine_indices(&self) -> impl Iterator<Item = MachineIndex> {
        (0..self.machines.len()).map(MachineIndex::from)
    }

    /// Returns the names of all jobs that have not ended as far as this leader knows.
    pub fn open_jobs(&self) -> Vec<String> {
        self.jobs.values().filter(|job| !job.is_ended()).map(|job| job.name.clone()).collect()
    }

    /// Assigns a task to a machine and adds it to the usage of its job, team, class and zone.
    pub(crate) fn attach(&mut self, id: TaskId, index: MachineIndex) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let machine = &mut self.machines[index];
        if !machine.attach(id, &job.spec) {
            return;
        }
        job.placed += 1;
        *job.zones.entry(machine.zone.clone()).or_default() += 1;
        let team = self.team_usage.entry(job.spec.team.clone()).or_default();
        team.cpus += job.spec.cpus;
        team.gpus += job.spec.gpus;
        self.shares.task_placed(job.share_class, job.spec.task());
    }

    /// Reverses [`Cluster::attach`]. Called only when the task is proven absent from the machine.
    fn detach(&mut self, now: Timestamp, id: TaskId, index: MachineIndex) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let machine = &mut self.machines[index];
        if !machine.detach(now, id, &job.spec) {
            return;
        }
        job.placed -= 1;
        job.leave_zone(&machine.zone);
        if let Some(team) = self.team_usage.get_mut(&job.spec.team) {
            team.cpus = (team.cpus - job.spec.cpus).max(0.0);
            team.gpus = (team.gpus - job.spec.gpus).max(0.0);
        }
        self.shares.task_gone(job.share_class, job.spec.task());
        job.started.remove(&id.index);
        job.scan_from = job.scan_from.min(id.index);
        self.placement_needed = true;
    }

    /// Applies an event to a task and updates all aggregates that depend on the task's state.
    /// Returns whether the event changed anything. This is the only way to change a task's state.
    pub(crate) fn apply(&mut self, now: Timestamp, id: TaskId, event: TaskEvent) -> bool {
        let Some(job) = self.jobs.get_mut(&id.job) else { return false };
        let Some(mut task) = job.tasks.get(id.index) else { return false };
        let before = task.phase;
        if !task.step(now, event) {
            return false;
        }
        let after = task.phase;
        let machine = task.machine;
        job.tasks.set(id.index, task);
        match event {
            TaskEvent::Completed
            | TaskEvent::ProvenAbsent
            | TaskEvent::NotSent(_)
            | TaskEvent::ConfirmationExpired => {
                let chunk = job.chunk_of(id.index);
                job.chunks.update_writes(chunk, |writes| {
                    writes.unpersisted_since.get_or_insert(now);
                });
                job.changed.insert(id.index);
            }
            TaskEvent::Dispatch { .. } | TaskEvent::NotRecorded(_) => {
                job.changed.insert(id.index);
            }
            TaskEvent::Recorded(_)
            | TaskEvent::Sent { .. }
            | TaskEvent::Observed
            | TaskEvent::Stop => {}
        }
        job.stopping += u32::from(after == TaskPhase::Stopping);
        job.stopping -= u32::from(before == TaskPhase::Stopping && after != TaskPhase::Stopping);
        if after == TaskPhase::Stopping {
            self.shares.task_stopping(job.share_class, job.spec.task());
        } else if before == TaskPhase::Stopping {
            self.shares.task_stopped(job.share_class, job.spec.task());
        }
        if after == TaskPhase::Done {
            job.done += 1;
            job.errors = 0;
        }
        if let Some(machine) = self.machines.get_mut(machine.as_usize()) {
            machine.count_stopping(before, after);
        }
        if before.placed() || after.placed() {
            self.invalidate_cached_heartbeat(machine);
        }
        if before.placed() && !after.placed() {
            self.detach(now, id, machine);
        } else if let TaskEvent::Dispatch { machine, .. } = event {
            self.attach(id, machine);
        }
        true
    }

    /// Returns whether the task was placed in an earlier term and has not been observed in this
    /// one.
    pub(crate) fn predates_term(&self, task: &Task) -> bool {
        task.phase == TaskPhase::Dispatching && task.token == self.loaded_token
    }

    /// Returns the time from which to count the run of a task that is observed running for the
    /// first time. For a task placed by an earlier leader, that is its placement plus
    /// [`MIN_START_LATENCY`]. Counting from the failover instead made the learned run times far too
    /// short, so that every task still running looked slow and a fifth of a fleet without any slow
    /// machine was drained.
    pub(crate) fn run_started_at(&self, now: Timestamp, task: &Task) -> Timestamp {
        if self.predates_term(task) {
            (task.placed_at + MIN_START_LATENCY).min(now)
        } else {
            now
        }
    }

    /// Returns the numbers of completed and of running tasks, for the job's status.
    pub fn counts(&self, index: JobIndex) -> Option<(u32, u32)> {
        let job = self.job(index)?;
        Some((job.done, job.started.len() as u32))
    }

    /// Returns whether this attempt of the task is recorded as being on the machine, or as having
    /// completed there without the completion being stored.
    pub(crate) fn is_placed(&self, machine: MachineIndex, id: TaskId, attempt: Attempt) -> bool {
        let entry = self.job(id.job).and_then(|job| job.tasks.entry(id.index));
        entry.is_some_and(|task| task.attempt == attempt && task.machine == machine)
    }

    pub(crate) fn rezone(&mut self, tasks: &[TaskId], old: &str, new: &str) {
        for id in tasks {
            if let Some(job) = self.jobs.get_mut(&id.job) {
                job.leave_zone(old);
                *job.zones.entry(new.to_owned()).or_default() += 1;
            }
        }
    }

    /// Drops the cached heartbeat of a machine, so that its next repetition is processed in full.
    /// Every invalidation goes through here, so that the node that holds the cached entry is always
    /// notified.
    pub(crate) fn invalidate_cached_heartbeat(&mut self, machine: MachineIndex) {
        self.heartbeat_cache.invalidate(machine);
    }

    /// Returns the cached heartbeats held by other nodes that were invalidated since the last call,
    /// in order of invalidation.
    pub fn take_invalidations(&mut self) -> Vec<CacheInvalidation> {
        self.heartbeat_cache.take_invalidations()
    }

    /// Returns the resources used by the team's tasks.
    pub(crate) fn team_usage(&self, team: &str) -> TeamUsage {
        self.team_usage.get(team).copied().unwrap_or_default()
    }

    /// Updates known machine types and appends new ones. Known types keep their index, because
    /// machines refer to it.
    pub fn set_types(&mut self, types: Vec<MachineType>) {
        for new in types {
            match self.machine_types.iter_mut().find(|t| t.name == new.name) {
                Some(known) => *known = new,
                None => self.machine_types.push(new),
            }
        }
        self.placement_needed = true;
    }
}
