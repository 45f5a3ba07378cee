//! The jobs, tasks and machines of a term, and the one way to change what connects them.
//!
//! Every change of a task goes through [`Cluster::apply`], so that the sums of its job, its machine, its team
//! and its class always agree with it.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use walnutlug_admission::shares::Shares;

use crate::leadership::fencing_token::{FencingToken, Term};
use crate::model::ids::{AgentEpoch, Attempt, JobIndex, MachineIndex};
use crate::model::job::{Job, TaskId};
use crate::model::job_spec::Priority;
use crate::model::machine::{Machine, MachineState};
use crate::model::task::{Task, TaskEvent, TaskPhase};
use crate::protocol::cloud::MachineType;
use crate::reconciliation::repeated_heartbeats::{
    CacheRecord, CachedHeartbeat, Invalidated, OWN_NODE,
};
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

/// Jobs, tasks and machines as the leader of one term knows them.
#[derive(Debug)]
pub struct Cluster {
    pub(crate) term: Term,
    /// Stands for the unknown token of a start that an earlier term sent.
    pub(crate) loaded_token: FencingToken,
    /// By a number that is never used again, so that a late answer can't mean another job.
    pub jobs: BTreeMap<JobIndex, Job>,
    pub(crate) next_job: JobIndex,
    pub jobs_by_name: HashMap<String, JobIndex>,
    pub machines: Vec<Machine>,
    pub machines_by_name: HashMap<String, MachineIndex>,
    /// Machines that are gone, in the order in which they went.
    pub(crate) terminated: VecDeque<(Timestamp, MachineIndex)>,
    pub machine_types: Vec<MachineType>,
    pub team_usage: HashMap<String, TeamUsage>,
    /// What the teams and their classes hold of the fleet.
    pub shares: Shares,
    /// Tasks that a machine shows live under an attempt that is not the table's, and where. Whatever the
    /// table says, they are there.
    pub(crate) conflicting_replicas: BTreeMap<TaskId, MachineIndex>,
    /// Something changed that a round of placement may act on.
    pub placement_needed: bool,
    /// Numbers the heartbeats that left nothing to do.
    pub(crate) last_cached_number: u64,
    /// Those whose holders have to be told that they hold no more.
    pub(crate) invalidated: Vec<Invalidated>,
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
            last_cached_number: 0,
            invalidated: Vec::new(),
        }
    }

    pub fn job(&self, ix: JobIndex) -> Option<&Job> {
        self.jobs.get(&ix)
    }

    /// The machine of that name, made up as silent if nothing is known of it.
    pub fn machine_named(&mut self, now: Timestamp, name: &str) -> MachineIndex {
        if let Some(&ix) = self.machines_by_name.get(name) {
            return ix;
        }
        let machine = Machine {
            name: name.to_owned(),
            address: String::new(),
            kind: None,
            zone: String::new(),
            spot: false,
            state: MachineState::Booting,
            agent_epoch: AgentEpoch::NONE,
            sequence: 0,
            acknowledged_token: FencingToken::NONE,
            token_sent_at: Timestamp(0),
            required_token: FencingToken::NONE,
            unacknowledged_since: None,
            consecutive_losses: 0,
            expected: false,
            fencing_counter: 0,
            start_token: FencingToken::NONE,
            hinted_up_at: None,
            last_heartbeat: now,
            requested_at: now,
            interruption_at: None,
            tasks: BTreeSet::new(),
            tasks_by_priority: [0; Priority::COUNT],
            stopping: 0,
            unexpected_tasks: 0,
            cpus: 0.0,
            gpus: 0.0,
            memory: 0.0,
            images: Vec::new(),
            outbox: Vec::new(),
            starting: Vec::new(),
            request_in_flight: false,
            in_send_queue: false,
            in_message: Vec::new(),
            retry_at: Timestamp(0),
            idle_since: now,
            failures: BTreeSet::new(),
            completed_at: Timestamp(0),
            drain_reason: None,
            termination_sent_at: None,
            cached: None,
        };
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
        if m.state == MachineState::Terminated && m.tasks.is_empty() && !m.request_in_flight {
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
        if !machine.tasks.insert(id) {
            return;
        }
        job.tasks[id.1 as usize].machine = m;
        machine.cpus += job.spec.cpus;
        machine.gpus += job.spec.gpus;
        machine.memory += job.spec.memory_gb;
        machine.tasks_by_priority[job.spec.priority as usize] += 1;
        job.placed += 1;
        *job.zones.entry(machine.zone.clone()).or_default() += 1;
        let team = self.team_usage.entry(job.spec.team.clone()).or_default();
        team.cpus += job.spec.cpus;
        team.gpus += job.spec.gpus;
        self.shares.task_placed(job.share_class, job.spec.task());
    }

    /// The reverse of [`Scheduler::attach`]; only called on proof.
    pub(crate) fn detach(&mut self, now: Timestamp, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.0) else { return };
        let machine = &mut self.machines[job.tasks[id.1 as usize].machine];
        if !machine.tasks.remove(&id) {
            return;
        }
        machine.tasks_by_priority[job.spec.priority as usize] -= 1;
        machine.cpus -= job.spec.cpus;
        machine.gpus -= job.spec.gpus;
        machine.memory -= job.spec.memory_gb;
        if machine.tasks.is_empty() {
            // Sums of decimals drift; an empty machine is a chance to start from nothing.
            (machine.cpus, machine.gpus, machine.memory) = (0.0, 0.0, 0.0);
            machine.idle_since = now;
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
            machine.stopping += u32::from(after == TaskPhase::Stopping);
            machine.stopping -=
                u32::from(before == TaskPhase::Stopping && after != TaskPhase::Stopping);
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
    pub(crate) fn placed_before(&self, task: &Task) -> bool {
        task.phase == TaskPhase::Dispatching && task.token == self.loaded_token
    }

    /// Since when a task runs that is seen running for the first time. One that an earlier leader
    /// placed has run since then. (Counted from the failover, run times were learned that were far
    /// too short, every task that ran on looked slow beside them, and a fifth of a fleet without a
    /// slow machine was drained.)
    pub(crate) fn began(&self, now: Timestamp, task: &Task) -> Timestamp {
        if self.placed_before(task) {
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

    pub(crate) fn has_image(&mut self, m: MachineIndex, image: String) {
        let images = &mut self.machines[m].images;
        if images.last() != Some(&image) {
            images.retain(|i| *i != image);
            images.push(image);
            if images.len() > 32 {
                images.remove(0);
            }
        }
    }

    /// A repetition of the machine's last heartbeat may mean something from now on. The only place where
    /// a mark ends, so that its holder is always told.
    pub(crate) fn invalidate_cached_heartbeat(&mut self, machine: MachineIndex) {
        let known = self.machines.get_mut(machine.as_usize());
        let Some(CacheRecord { number, holder, .. }) = known.and_then(|m| m.cached.take()) else {
            return;
        };
        if holder != OWN_NODE {
            let cached = CachedHeartbeat { term: self.term, machine, number };
            self.invalidated.push(Invalidated { holder, cached });
        }
    }

    /// The marks of other holders that ended since this was asked last, in their order.
    pub fn take_invalidated(&mut self) -> Vec<Invalidated> {
        std::mem::take(&mut self.invalidated)
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
