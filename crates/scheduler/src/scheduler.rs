//! The leader's registry: jobs, tasks and machines, what is known of each, and the one way to change it.
//!
//! A [`Scheduler`] lives for one term. It is built from the stored records, told what happens, and
//! asked for commands; when the term is lost it is thrown away. Rounds and their writes are in
//! [`crate::storage::transactions`], what workers tell in [`crate::reconciliation::heartbeats`].

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use crate::command::Command;
use crate::event::{Anomaly, Event, WriteCounts};
use crate::leadership::election::token;
use crate::leadership::watermark;
use crate::model::job::{Job, JobIndex, TaskId};
use crate::model::job_spec::{JobSpec, Priority};
use crate::model::job_state::JobEvent;
use crate::model::machine::{Machine, MachineState};
use crate::model::task::{MachineIndex, Task, TaskEvent, TaskPhase};
use crate::protocol::cloud::MachineType;
use crate::protocol::workers::WorkerCommand;
use crate::queue::dependencies::DependencyGraph;
use crate::storage::transactions::InFlightTransaction;
use crate::time::{TimeDelta, Timestamp};
use crate::tunables::{Site, Tunables};

/// The leader\'s table of jobs and machines, and the decisions about them; lives for one term.
pub struct Scheduler {
    pub site: std::rc::Rc<Site>,
    pub tunables: std::rc::Rc<Tunables>,
    pub term: u64,
    /// Stands for the unknown token of a start that an earlier term sent.
    pub(crate) loaded_token: u64,
    /// By a number that is never used again, so that a late answer can't mean another job.
    pub jobs: BTreeMap<JobIndex, Job>,
    pub(crate) next_job: JobIndex,
    pub jobs_by_name: HashMap<String, JobIndex>,
    pub machines: Vec<Machine>,
    pub by_name: HashMap<String, MachineIndex>,
    /// Machines that are gone, in the order in which they went.
    pub(crate) gone: VecDeque<(Timestamp, MachineIndex)>,
    pub types: Vec<MachineType>,
    pub team_use: HashMap<String, (f64, f64)>,
    /// What the teams and their classes hold of the fleet, and whether that decides the order.
    pub fair_share: crate::queue::fair_share::FairShare,
    pub(crate) out: Vec<Command>,
    pub(crate) transactions: BTreeMap<u64, InFlightTransaction>,
    pub(crate) next_id: u64,
    /// The key-value store refused the last write: nothing is decided until it answers again.
    pub writes_paused_until: Timestamp,
    /// The largest value and the most changes of a transaction that the key-value store takes now, as
    /// far as is known.
    pub(crate) limits: Limits,
    pub(crate) dependency_graph: DependencyGraph,
    pub(crate) last_round: Timestamp,
    /// Changes that the key-value store's write rate has room for now, and at most; `None`: any.
    writes: Option<(f64, f64)>,
    /// Chunks with planned starts that are not on their way to the key-value store.
    pub(crate) planned_chunks: usize,
    pub(crate) write_counts: WriteCounts,
    pub dirty: bool,
    /// Whether the lease is certainly held. Without it another node may lead: this one goes on
    /// answering its workers, so that their tasks live, and starts, rents and returns nothing.
    /// (A leader cut off from the key-value store once gave back machines that had merely gone over
    /// to its successor.)
    pub holds_lease: bool,
    /// Every cancellation that any user was told of before this is in the registry; see
    /// [`crate::leadership::watermark`].
    pub cancellations_known_until: Timestamp,
    /// Tasks that a machine shows live under an attempt that is not the registry's, and where. Whatever
    /// the registry says, they are there.
    pub(crate) conflicting_replicas: BTreeMap<TaskId, MachineIndex>,
    /// What was logged of odd reports, each once.
    pub(crate) anomalies: BTreeSet<(String, Anomaly)>,
    /// Processors of the machines that are up, as of the last round.
    pub(crate) fleet_cpus: f64,
    pub(crate) last_preempt: Timestamp,
    /// Machines to be looked at for something to send, each once.
    pub(crate) send_queue: Vec<MachineIndex>,
    pub(crate) last_sweep: Timestamp,
    /// Numbers the heartbeats that left nothing to do.
    pub(crate) last_cached_number: u64,
    /// Those whose holders have to be told that they hold no more.
    pub(crate) invalidated: Vec<crate::reconciliation::repeated_heartbeats::Invalidated>,
    /// Messages to workers whose outcome is open.
    pub(crate) messages_in_flight: usize,
    /// When a worker last answered a message, and how many were lost since.
    pub(crate) last_message_answered: Timestamp,
    pub(crate) messages_lost_in_a_row: u32,
    /// Machines looked at for placing, for tests of what a round costs.
    pub machines_examined: u64,
    /// Jobs looked at for placing, once for each pass over them, for tests of what a round costs.
    pub jobs_examined: u64,
    /// Machines looked at for something to send, for tests of what a heartbeat costs.
    pub send_checks: u64,
    pub started_at: Timestamp,
    pub autoscaler: crate::autoscaling::Autoscaler,
    /// Learned ratio of run time to the owner's estimate, by class: sum of logs and count.
    pub ratios: HashMap<String, (f64, f64)>,
    /// Learned size of a job, in processors, by class, and when one came last.
    pub sizes: HashMap<String, (f64, Timestamp)>,
}

/// What the key-value store takes at once.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    pub value_bytes: usize,
    pub txn_ops: usize,
}

/// What a task that was placed needs at least until it runs: a write, a message, mostly an image.
const START_TAKES: TimeDelta = TimeDelta::from_secs(1);

/// Report intervals, each up to a quarter longer than told, after which a worker is overdue.
pub const OVERDUE: f64 = 1.4;
/// How long a machine that is gone is remembered, against late heartbeats of it.
const FORGET_AFTER: TimeDelta = TimeDelta::from_secs(600);
/// Odd things to remember as logged: several for each machine of any fleet.
const MAX_ANOMALIES: usize = 20_000;
/// Classes to learn about; more than any deployment has, fewer than would hurt.
const MAX_CLASSES: usize = 1_000;

impl Scheduler {
    pub fn new(
        site: std::rc::Rc<Site>,
        tunables: std::rc::Rc<Tunables>,
        term: u64,
        types: Vec<MachineType>,
        now: Timestamp,
    ) -> Scheduler {
        Scheduler {
            term,
            loaded_token: token(term, 0) - 1,
            jobs: BTreeMap::new(),
            next_job: 0,
            jobs_by_name: HashMap::new(),
            machines: Vec::new(),
            by_name: HashMap::new(),
            gone: VecDeque::new(),
            types,
            team_use: HashMap::new(),
            fair_share: crate::queue::fair_share::FairShare::new(&site, &tunables),
            out: Vec::new(),
            transactions: BTreeMap::new(),
            next_id: 1,
            writes_paused_until: Timestamp(0),
            limits: Limits { value_bytes: site.value_bytes, txn_ops: site.txn_ops },
            dependency_graph: DependencyGraph::default(),
            last_round: Timestamp(0),
            writes: None,
            planned_chunks: 0,
            write_counts: WriteCounts::default(),
            dirty: true,
            holds_lease: true,
            cancellations_known_until: now,
            conflicting_replicas: BTreeMap::new(),
            anomalies: BTreeSet::new(),
            fleet_cpus: 0.0,
            last_preempt: Timestamp(0),
            send_queue: Vec::new(),
            last_sweep: Timestamp(0),
            last_cached_number: 0,
            invalidated: Vec::new(),
            messages_in_flight: 0,
            last_message_answered: now,
            messages_lost_in_a_row: 0,
            machines_examined: 0,
            jobs_examined: 0,
            send_checks: 0,
            started_at: now,
            autoscaler: crate::autoscaling::Autoscaler::default(),
            ratios: HashMap::new(),
            sizes: HashMap::new(),
            tunables,
            site,
        }
    }

    /// Tells what the key-value store takes at once; it may become less at any time.
    pub fn set_limits(&mut self, value_bytes: usize, txn_ops: usize) {
        self.limits = Limits { value_bytes, txn_ops: txn_ops.max(1) };
    }

    /// Tells how many changes the write rate has room for now, of how many at most. What is decided
    /// beyond that waits here, where the most urgent goes first, and not in front of the service.
    pub fn set_write_allowance(&mut self, left: f64, most: f64) {
        self.writes = Some((left, most));
    }

    /// Changes that may be written now, keeping the given part of the most for what is more urgent.
    pub(crate) fn write_allowance(&self, keep: f64) -> usize {
        self.writes.map_or(usize::MAX, |(left, most)| (left - keep * most).max(0.0) as usize)
    }

    /// Changes that the write rate has room for in a second; `None`: any.
    pub(crate) fn writes_per_second(&self) -> Option<f64> {
        self.writes.map(|(_, most)| most.max(1.0))
    }

    pub(crate) fn spend_writes(&mut self, n: usize) {
        if let Some((left, _)) = &mut self.writes {
            *left -= n as f64;
        }
    }

    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.out)
    }

    pub(crate) fn log(&mut self, event: Event) {
        self.out.push(Command::Log(event));
    }

    /// Logs what should not be, once for each machine or job and kind.
    pub(crate) fn log_once(&mut self, name: &str, kind: Anomaly) {
        if self.anomalies.len() < MAX_ANOMALIES && self.anomalies.insert((name.to_owned(), kind)) {
            self.log(Event::Anomaly { name: name.to_owned(), kind });
        }
    }

    /// Whether a lease renewed now ends in time for whatever cancellation isn't known here. (A leader
    /// that the key-value store alone refused went on renewing through the outage that followed: tasks
    /// of jobs that others had cancelled meanwhile ran for as long as it lasted.)
    pub fn may_renew_leases(&self, now: Timestamp) -> bool {
        now.since(self.cancellations_known_until) <= watermark::window(&self.site)
    }

    /// Whether a start that was placed then may still be sent. Its write was guarded by the absence of
    /// the job's end, but since then the end may have been written: after an outage a start that had
    /// waited through it, or whose write was only then found to be committed, would come long after a
    /// user was told that the job is cancelled.
    pub(crate) fn may_start(&self, now: Timestamp, placed: Timestamp) -> bool {
        now.since(placed.max(self.cancellations_known_until))
            <= watermark::window(&self.site).mul_f64(0.5)
    }

    pub fn job(&self, ix: JobIndex) -> Option<&Job> {
        self.jobs.get(&ix)
    }

    /// Learns how large the class's jobs are, from one that can begin.
    pub(crate) fn learn_size(&mut self, spec: &JobSpec, now: Timestamp, since: Timestamp) {
        if self.sizes.len() > MAX_CLASSES {
            self.sizes.clear();
            self.ratios.clear();
        }
        let size = f64::from(spec.tasks) * spec.cpus;
        let known = self.sizes.entry(spec.class.clone()).or_insert((size, now));
        known.0 += 0.2 * (size - known.0);
        known.1 = known.1.max(since);
    }

    /// The machine of that name, made up as silent if nothing is known of it.
    pub fn machine_named(&mut self, now: Timestamp, name: &str) -> MachineIndex {
        if let Some(&ix) = self.by_name.get(name) {
            return ix;
        }
        let machine = Machine {
            name: name.to_owned(),
            address: String::new(),
            kind: None,
            zone: String::new(),
            spot: false,
            state: MachineState::Booting,
            agent_epoch: 0,
            sequence: 0,
            acknowledged_token: 0,
            token_sent_at: Timestamp(0),
            required_token: 0,
            unacknowledged_since: None,
            consecutive_losses: 0,
            expected: false,
            fencing_counter: 0,
            start_token: 0,
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
                self.by_name.remove(&self.machines[ix as usize].name);
                self.machines[ix as usize] = machine;
                ix
            }
            None => {
                self.machines.push(machine);
                self.machines.len() as MachineIndex - 1
            }
        };
        self.by_name.insert(name.to_owned(), ix);
        ix
    }

    /// The place of a machine that is long gone, for a new one: the table would grow for as long as a
    /// leader leads. Nothing may refer to it any more. Only the one that went first is looked at (a
    /// look at all of them for each new machine made a failover's list cost its square).
    fn free_place(&mut self, now: Timestamp) -> Option<MachineIndex> {
        let &(gone_at, ix) = self.gone.front()?;
        if now.since(gone_at) <= FORGET_AFTER {
            return None;
        }
        self.gone.pop_front();
        let m = &self.machines[ix as usize];
        if m.state == MachineState::Terminated && m.tasks.is_empty() && !m.request_in_flight {
            return Some(ix);
        }
        self.gone.push_back((now, ix));
        None
    }

    /// Another node tells where a machine can be reached: only worth asking there.
    pub fn hint_address(&mut self, now: Timestamp, name: &str, address: &str) {
        let m = self.machine_named(now, name);
        let machine = &mut self.machines[m as usize];
        if machine.state == MachineState::Booting && machine.address.is_empty() {
            machine.address = address.to_owned();
            machine.hinted_up_at.get_or_insert(now);
        }
    }

    /// Names of the jobs that have not ended as far as is known here.
    pub fn open_jobs(&self) -> Vec<String> {
        self.jobs.values().filter(|j| !j.is_ended()).map(|j| j.name.clone()).collect()
    }

    /// The job has ended for its users: nothing of it is started any more. How it ended isn't told
    /// here, so nothing is released by it; see [`Scheduler::job_ended`].
    pub fn job_over(&mut self, now: Timestamp, name: &str) {
        let Some(&ix) = self.jobs_by_name.get(name) else { return };
        let Some(job) = self.jobs.get_mut(&ix) else { return };
        if !job.apply(JobEvent::Ended) {
            return;
        }
        self.dirty = true;
        self.remove_dependencies(now, ix);
        let Some(job) = self.jobs.get(&ix) else { return };
        let all: Vec<u32> =
            (0..job.spec.tasks).filter(|&i| job.tasks[i as usize].phase.placed()).collect();
        for index in all {
            self.stop(now, (ix, index), 0.0);
        }
    }

    // ---- the registry -------------------------------------------------------------------------

    /// Counts a placed task on its machine, for its team and its zone.
    pub(crate) fn attach(&mut self, id: TaskId, m: MachineIndex) {
        let Some(job) = self.jobs.get_mut(&id.0) else { return };
        let machine = &mut self.machines[m as usize];
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
        let team = self.team_use.entry(job.spec.team.clone()).or_default();
        team.0 += job.spec.cpus;
        team.1 += job.spec.gpus;
        self.fair_share.shares.task_placed(job.share_class, job.spec.task());
    }

    /// The reverse of [`Scheduler::attach`]; only called on proof.
    pub(crate) fn detach(&mut self, now: Timestamp, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.0) else { return };
        let machine = &mut self.machines[job.tasks[id.1 as usize].machine as usize];
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
        if let Some(team) = self.team_use.get_mut(&job.spec.team) {
            team.0 = (team.0 - job.spec.cpus).max(0.0);
            team.1 = (team.1 - job.spec.gpus).max(0.0);
        }
        self.fair_share.shares.task_gone(job.share_class, job.spec.task());
        job.started.remove(&id.1);
        job.scan_from = job.scan_from.min(id.1);
        self.dirty = true;
    }

    /// Every change of a task's state goes through here, so that the sums always agree with it.
    pub(crate) fn step(&mut self, now: Timestamp, id: TaskId, input: TaskEvent) -> bool {
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
            self.fair_share.shares.task_stopping(job.share_class, job.spec.task());
        } else if before == TaskPhase::Stopping {
            self.fair_share.shares.task_stopped(job.share_class, job.spec.task());
        }
        if after == TaskPhase::Done {
            job.done += 1;
            job.errors = 0;
        }
        if let Some(machine) = self.machines.get_mut(machine as usize) {
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

    /// Plans a start: written with the next transactions, sent after they are committed.
    pub(crate) fn dispatch(&mut self, now: Timestamp, id: TaskId, machine: MachineIndex) {
        let agent_epoch = self.machines[machine as usize].agent_epoch;
        if self.step(now, id, TaskEvent::Dispatch { machine, agent_epoch }) {
            if let Some(job) = self.jobs.get_mut(&id.0) {
                let chunk = job.chunk_of(id.1);
                let due = &mut job.chunks[chunk].start_due;
                self.planned_chunks += usize::from(due.is_none());
                due.get_or_insert(now);
                self.write_counts.tasks_placed += 1;
                let images = &self.machines[machine as usize].images;
                self.write_counts.image_cached += usize::from(images.contains(&job.spec.image));
                // It will be there once fetched; the next task for it need not fetch it elsewhere.
                let image = job.spec.image.clone();
                self.has_image(machine, image);
            }
        }
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

    /// Tells a task's machine to stop it; repeated with every heartbeat until it is gone.
    pub(crate) fn stop(&mut self, now: Timestamp, id: TaskId, grace_s: f64) {
        let Some(job) = self.jobs.get(&id.0) else { return };
        let task = job.tasks[id.1 as usize];
        if task.phase == TaskPhase::Dispatching && task.token == 0 {
            // Not sent yet, and with the job over or the task wanted elsewhere it never will be:
            // the commit's answer takes it back.
            return;
        }
        let name = format!("{}/{}", job.name, id.1);
        if self.step(now, id, TaskEvent::Stop) {
            let attempt = u64::from(task.attempt);
            let call = WorkerCommand::Kill { task: name, attempt, grace_s };
            let machine = &mut self.machines[task.machine as usize];
            if machine.state == MachineState::Up {
                machine.outbox.push(call);
                self.enqueue_send(task.machine);
            }
        }
    }

    /// Something may have to be sent to the machine.
    pub(crate) fn enqueue_send(&mut self, m: MachineIndex) {
        let machine = &mut self.machines[m as usize];
        if !machine.in_send_queue {
            machine.in_send_queue = true;
            self.send_queue.push(m);
        }
    }

    /// Tasks of the job that are done and that run, for display.
    pub fn counts(&self, ix: JobIndex) -> Option<(u32, u32)> {
        let job = self.job(ix)?;
        Some((job.done, job.started.len() as u32))
    }
}
/// What a stopped task may take to save itself.
pub fn grace_of(spec: &JobSpec) -> f64 {
    if spec.checkpoint_s > 0.0 {
        spec.save_s
    } else {
        0.0
    }
}
