//! The jobs, tasks and machines of a term, and the one way to change what connects them.
//!
//! Every change of a task goes through `Cluster::apply`, so that the sums of its job, its machine, its team
//! and its class always agree with it.

use std::collections::{BTreeMap, HashMap, VecDeque};

use walnutlug_admission::shares::Shares;

use crate::leadership::fencing_token::{FencingToken, Term};
use crate::model::ids::{Attempt, JobIndex, MachineIndex};
use crate::model::job::{Job, TaskId};
use crate::model::job_state::JobEvent;
use crate::model::machine::{Machine, MachineState};
use crate::model::task::{Task, TaskEvent, TaskPhase};
use crate::protocol::cloud::MachineType;
use crate::reconciliation::heartbeat_cache::{CacheInvalidation, HeartbeatCache};
use crate::time::{TimeDelta, Timestamp};

/// How long a machine that is gone is remembered, against late heartbeats of it.
const FORGET_AFTER: TimeDelta = TimeDelta::from_secs(600);
/// What a task that was placed needs at least until it runs: a write, a message, mostly an image.
const START_TAKES: TimeDelta = TimeDelta::from_secs(1);

/// What a team's tasks use that aren't proven absent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamUsage {
    /// Processors.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
}

/// What a planned start means for the writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StartPlanned {
    /// Whether no other start of its chunk waits to be written.
    pub(crate) first_of_chunk: bool,
    /// Whether the machine is known to have the job's image.
    pub(crate) image_cached: bool,
}

/// Jobs, tasks and machines as the leader of one term knows them.
#[derive(Debug)]
pub struct Cluster {
    pub(crate) term: Term,
    /// Stands for the unknown token of a start that an earlier term sent.
    pub(crate) loaded_token: FencingToken,
    /// By a number that is never used again, so that a late answer can't mean another job.
    pub jobs: BTreeMap<JobIndex, Job>,
    next_job: JobIndex,
    /// The indices of the jobs.
    pub jobs_by_name: HashMap<String, JobIndex>,
    /// All machines, also those that are gone until their place is used again.
    pub machines: Vec<Machine>,
    /// The indices of the machines.
    pub machines_by_name: HashMap<String, MachineIndex>,
    /// Machines that are gone, in the order in which they went.
    pub(crate) terminated: VecDeque<(Timestamp, MachineIndex)>,
    /// What the cloud offers; a type's place never changes.
    pub machine_types: Vec<MachineType>,
    /// What the teams use.
    pub team_usage: HashMap<String, TeamUsage>,
    /// What the teams and their classes hold of the fleet.
    pub shares: Shares,
    /// Tasks that a machine shows live under an attempt that is not the table's, and where. Whatever the
    /// table says, they are there.
    pub(crate) conflicting_replicas: BTreeMap<TaskId, MachineIndex>,
    /// Something changed that a round of placement may act on.
    pub placement_needed: bool,
    /// The machines' last heartbeats, as far as repetitions of them mean nothing.
    pub(crate) heartbeat_cache: HeartbeatCache,
}

impl Cluster {
    /// Without jobs and machines.
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
            jobs_by_name: HashMap::new(),
            machines: Vec::new(),
            machines_by_name: HashMap::new(),
            terminated: VecDeque::new(),
            machine_types,
            team_usage: HashMap::new(),
            shares,
            conflicting_replicas: BTreeMap::new(),
            placement_needed: true,
            heartbeat_cache: HeartbeatCache::new(term),
        }
    }

    /// The job of that index, until its last record is deleted.
    pub fn job(&self, ix: JobIndex) -> Option<&Job> {
        self.jobs.get(&ix)
    }

    /// Adds a job under a number that was never used before.
    pub(crate) fn add_job(&mut self, job: Job) -> JobIndex {
        let index = self.next_job;
        self.next_job = index.next();
        self.jobs_by_name.insert(job.name.clone(), index);
        self.jobs.insert(index, job);
        self.placement_needed = true;
        index
    }

    /// Removes a job whose last record was deleted.
    pub(crate) fn remove_job(&mut self, index: JobIndex) {
        if let Some(job) = self.jobs.remove(&index) {
            self.jobs_by_name.remove(&job.name);
            self.shares.remove_job(job.share_class);
        }
    }

    /// Marks the job as ended, whichever its end. Returns it, unless it was marked before or is
    /// unknown.
    pub(crate) fn end_job(&mut self, name: &str) -> Option<JobIndex> {
        let &index = self.jobs_by_name.get(name)?;
        if !self.jobs.get_mut(&index)?.apply(JobEvent::Ended) {
            return None;
        }
        self.placement_needed = true;
        Some(index)
    }

    /// The job's tasks that are not proven absent.
    pub(crate) fn placed_tasks(&self, index: JobIndex) -> Vec<TaskId> {
        let Some(job) = self.job(index) else { return Vec::new() };
        let tasks = (0..).zip(&job.tasks);
        tasks.filter(|(_, task)| task.phase.placed()).map(|(task, _)| (index, task)).collect()
    }

    /// Plans a task's start on a machine, to be written before it is sent. `None` if the task is not
    /// pending.
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
        let job = self.jobs.get_mut(&id.0)?;
        let image = job.spec.image.clone();
        let chunk = job.chunk_of(id.1);
        let start_due = &mut job.chunks[chunk].start_due;
        let planned = StartPlanned {
            first_of_chunk: start_due.is_none(),
            image_cached: self.machines[machine].has_image(&image),
        };
        start_due.get_or_insert(now);
        // It will be there once fetched; the next task for it need not fetch it elsewhere.
        self.machines[machine].add_image(image);
        Some(planned)
    }

    /// The indices of all machines, in the order of the table.
    pub(crate) fn machine_indices(&self) -> impl Iterator<Item = MachineIndex> {
        (0..self.machines.len()).map(MachineIndex::from)
    }

    /// The machine of that name, made up as silent if nothing is known of it.
    pub fn machine_named(&mut self, now: Timestamp, name: &str) -> MachineIndex {
        if let Some(&ix) = self.machines_by_name.get(name) {
            return ix;
        }
        let machine = Machine::new(now, name);
        let ix = match self.free_place(now) {
            Some(ix) => {
                self.machines_by_name.remove(&self.machines[ix].name);
                self.machines[ix] = machine;
                ix
            }
            None => {
                self.machines.push(machine);
                MachineIndex::from(self.machines.len() - 1)
            }
        };
        self.machines_by_name.insert(name.to_owned(), ix);
        ix
    }

    /// The place of a machine that is long gone, for a new one: the table would grow for as long as a
    /// leader leads. Nothing may refer to it any more. Only the one that went first is looked at (a
    /// look at all of them for each new machine made a failover's list cost its square).
    fn free_place(&mut self, now: Timestamp) -> Option<MachineIndex> {
        let &(gone_at, ix) = self.terminated.front()?;
        if now.since(gone_at) <= FORGET_AFTER {
            return None;
        }
        self.terminated.pop_front();
        let m = &self.machines[ix];
        if m.state == MachineState::Terminated
            && m.tasks.is_empty()
            && !m.channel.has_request_in_flight()
        {
            return Some(ix);
        }
        self.terminated.push_back((now, ix));
        None
    }

    /// Another node tells where a machine can be reached: only worth asking there.
    pub fn hint_address(&mut self, now: Timestamp, name: &str, address: &str) {
        let m = self.machine_named(now, name);
        let machine = &mut self.machines[m];
        if machine.state == MachineState::Booting && machine.address.is_empty() {
            machine.address = address.to_owned();
            machine.hinted_up_at.get_or_insert(now);
        }
    }

    /// Names of the jobs that have not ended as far as is known here.
    pub fn open_jobs(&self) -> Vec<String> {
        self.jobs.values().filter(|j| !j.is_ended()).map(|j| j.name.clone()).collect()
    }

    /// Counts a placed task on its machine, for its team and its zone.
    pub(crate) fn attach(&mut self, id: TaskId, m: MachineIndex) {
        let Some(job) = self.jobs.get_mut(&id.0) else { return };
        let machine = &mut self.machines[m];
        if !machine.attach(id, &job.spec) {
            return;
        }
        job.tasks[id.1 as usize].machine = m;
        job.placed += 1;
        *job.zones.entry(machine.zone.clone()).or_default() += 1;
        let team = self.team_usage.entry(job.spec.team.clone()).or_default();
        team.cpus += job.spec.cpus;
        team.gpus += job.spec.gpus;
        self.shares.task_placed(job.share_class, job.spec.task());
    }

    /// The reverse of [`Cluster::attach`]; only called on proof.
    pub(crate) fn detach(&mut self, now: Timestamp, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.0) else { return };
        let machine = &mut self.machines[job.tasks[id.1 as usize].machine];
        if !machine.detach(now, id, &job.spec) {
            return;
        }
        job.placed -= 1;
        if let Some(n) = job.zones.get_mut(&machine.zone) {
            *n -= 1;
            if *n == 0 {
                job.zones.remove(&machine.zone);
            }
        }
        if let Some(team) = self.team_usage.get_mut(&job.spec.team) {
            team.cpus = (team.cpus - job.spec.cpus).max(0.0);
            team.gpus = (team.gpus - job.spec.gpus).max(0.0);
        }
        self.shares.task_gone(job.share_class, job.spec.task());
        job.started.remove(&id.1);
        job.scan_from = job.scan_from.min(id.1);
        self.placement_needed = true;
    }

    /// Applies an event to a task; whether it changed anything. Every change of a task's state goes through here,
    /// so that the sums always agree with it.
    pub(crate) fn apply(&mut self, now: Timestamp, id: TaskId, input: TaskEvent) -> bool {
        let Some(job) = self.jobs.get_mut(&id.0) else { return false };
        let Some(task) = job.tasks.get_mut(id.1 as usize) else { return false };
        let before = task.phase;
        if !task.step(now, input) {
            return false;
        }
        let after = task.phase;
        let machine = task.machine;
        match input {
            TaskEvent::Completed | TaskEvent::ProvenAbsent | TaskEvent::ConfirmationExpired => {
                let chunk = job.chunk_of(id.1);
                job.chunks[chunk].unpersisted_since.get_or_insert(now);
                job.changed.insert(id.1);
            }
            TaskEvent::Dispatch { .. } | TaskEvent::Retract => {
                job.changed.insert(id.1);
            }
            TaskEvent::Sent { .. } | TaskEvent::Observed | TaskEvent::Stop => {}
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
            self.detach(now, id);
        } else if let TaskEvent::Dispatch { machine, .. } = input {
            self.attach(id, machine);
        }
        true
    }

    /// Whether the task was placed under an earlier term and hasn't been seen under this one.
    pub(crate) fn predates_term(&self, task: &Task) -> bool {
        task.phase == TaskPhase::Dispatching && task.token == self.loaded_token
    }

    /// Since when a task runs that is seen running for the first time. One that an earlier leader
    /// placed has run since then. (Counted from the failover, run times were learned that were far
    /// too short, every task that ran on looked slow beside them, and a fifth of a fleet without a
    /// slow machine was drained.)
    pub(crate) fn run_started_at(&self, now: Timestamp, task: &Task) -> Timestamp {
        if self.predates_term(task) {
            (task.placed_at + START_TAKES).min(now)
        } else {
            now
        }
    }

    /// Tasks of the job that are done and that run, for display.
    pub fn counts(&self, ix: JobIndex) -> Option<(u32, u32)> {
        let job = self.job(ix)?;
        Some((job.done, job.started.len() as u32))
    }

    /// Whether that attempt of the task is on the machine as far as is known here.
    pub(crate) fn is_placed(&self, m: MachineIndex, id: TaskId, attempt: Attempt) -> bool {
        self.job(id.0).is_some_and(|job| {
            let task = &job.tasks[id.1 as usize];
            task.attempt == attempt && task.machine == m && task.phase != TaskPhase::Pending
        })
    }

    pub(crate) fn rezone(&mut self, tasks: &[TaskId], old: &str, new: &str) {
        for id in tasks {
            if let Some(job) = self.jobs.get_mut(&id.0) {
                if let Some(n) = job.zones.get_mut(old) {
                    *n -= 1;
                    if *n == 0 {
                        job.zones.remove(old);
                    }
                }
                *job.zones.entry(new.to_owned()).or_default() += 1;
            }
        }
    }

    /// A repetition of the machine's last heartbeat may mean something from now on. The only place where
    /// a cache entry is ended, so that its holder is always told.
    pub(crate) fn invalidate_cached_heartbeat(&mut self, machine: MachineIndex) {
        self.heartbeat_cache.invalidate(machine);
    }

    /// The cache entries of other holders that were invalidated since the last call, in their order.
    pub fn take_invalidations(&mut self) -> Vec<CacheInvalidation> {
        self.heartbeat_cache.take_invalidations()
    }

    /// What the team's tasks use.
    pub(crate) fn team_usage(&self, team: &str) -> TeamUsage {
        self.team_usage.get(team).copied().unwrap_or_default()
    }

    /// Takes over newer machine types. The places of known ones don't change, since machines
    /// refer to them.
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
