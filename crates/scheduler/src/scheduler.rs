//! The leader's registry: jobs, tasks and machines, what is known of each, and the one way to change it.
//!
//! A [`Scheduler`] lives for one term. It is built from the stored records, told what happens, and
//! asked for commands; when the term is lost it is thrown away. Rounds and their writes are in
//! [`crate::storage::transactions`], what workers tell in [`crate::reconciliation::heartbeats`].

use std::collections::BTreeSet;

use serde_json::Value;
use walnutlug_admission::shares::Shares;

use crate::command::{Command, ReadOutcome, TransactionOutcome};
use crate::dispatch::starts::{self, ReleasedStarts};
use crate::dispatch::Messages;
use crate::event::{Anomaly, Event};
use crate::leadership::authority::LeaderAuthority;
use crate::leadership::election::token;
use crate::model::cluster::Cluster;
use crate::model::job::{JobIndex, TaskId};
use crate::model::job_spec::JobSpec;
use crate::model::job_state::JobEvent;
use crate::model::machine::MachineState;
use crate::model::run_times::RunTimes;
use crate::model::task::{MachineIndex, TaskEvent, TaskPhase};
use crate::protocol::cloud::MachineType;
use crate::protocol::key_value::KeyValue;
use crate::protocol::workers::WorkerCommand;
use crate::queue::dependencies::DependencyGraph;
use crate::storage::batch::{CommitEffects, StoredEnd};
use crate::storage::loader::{self, DescriptionError, LoadedJob};
use crate::storage::transactions::{Resolution, TransactionLimits, Transactions, WriteAllowance};
use crate::storage::write_round::WriteRound;
use crate::time::{TimeDelta, Timestamp};
use crate::tunables::{Site, Tunables};

/// The leader's table of jobs and machines, and the decisions about them; lives for one term.
pub struct Scheduler {
    pub site: std::rc::Rc<Site>,
    pub tunables: std::rc::Rc<Tunables>,
    pub term: u64,
    pub started_at: Timestamp,
    /// Jobs, tasks and machines.
    pub cluster: Cluster,
    pub(crate) dependency_graph: DependencyGraph,
    /// Whether the fleet is overloaded, and what each class keeps of it then.
    pub fair_share: crate::queue::fair_share::FairShare,
    pub(crate) run_times: RunTimes,
    pub autoscaler: crate::autoscaling::Autoscaler,
    pub(crate) transactions: Transactions,
    pub(crate) messages: Messages,
    /// What this leader may do by what it knows of its lease and of cancellations.
    pub authority: LeaderAuthority,
    pub(crate) last_round: Timestamp,
    pub(crate) last_preempt: Timestamp,
    /// Processors of the machines that are up, as of the last round.
    pub(crate) fleet_cpus: f64,
    /// What was logged of anomalies, each once.
    pub(crate) anomalies: BTreeSet<(String, Anomaly)>,
    pub(crate) out: Vec<Command>,
    /// What decisions cost, for tests.
    pub examined: Examined,
}

/// How much was looked at to decide, counted for tests of what a round or a heartbeat costs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Examined {
    /// Machines looked at for placing.
    pub machines: u64,
    /// Jobs looked at for placing, once for each pass over them.
    pub jobs: u64,
    /// Machines looked at for something to send.
    pub send_checks: u64,
}

/// Report intervals, each up to a quarter longer than told, after which a worker is overdue.
pub const OVERDUE: f64 = 1.4;
/// How often every machine is looked at for what time alone brings: an overdue heartbeat, a deadline,
/// the end of a pause. What events bring is looked at when they come.
const SWEEP_EVERY: TimeDelta = TimeDelta::from_millis(200);
/// Odd things to remember as logged: several for each machine of any fleet.
const MAX_ANOMALIES: usize = 20_000;

impl Scheduler {
    pub fn new(
        site: std::rc::Rc<Site>,
        tunables: std::rc::Rc<Tunables>,
        term: u64,
        types: Vec<MachineType>,
        now: Timestamp,
    ) -> Scheduler {
        let shares = Shares::new(crate::queue::fair_share::entitlements(&site, &tunables));
        let limits = TransactionLimits { value_bytes: site.value_bytes, operations: site.txn_ops };
        Scheduler {
            term,
            started_at: now,
            cluster: Cluster::new(term, token(term, 0) - 1, types, shares),
            dependency_graph: DependencyGraph::default(),
            fair_share: crate::queue::fair_share::FairShare::default(),
            run_times: RunTimes::default(),
            autoscaler: crate::autoscaling::Autoscaler::default(),
            transactions: Transactions::new(term, limits),
            messages: Messages::new(now),
            authority: LeaderAuthority::new(&site, now),
            last_round: Timestamp(0),
            last_preempt: Timestamp(0),
            fleet_cpus: 0.0,
            anomalies: BTreeSet::new(),
            out: Vec::new(),
            examined: Examined::default(),
            tunables,
            site,
        }
    }

    /// Sets what the key-value store takes at once; it may become less at any time.
    pub fn set_limits(&mut self, limits: TransactionLimits) {
        self.transactions.set_limits(limits);
    }

    /// Sets how many operations the write rate has room for.
    pub fn set_write_allowance(&mut self, allowance: WriteAllowance) {
        self.transactions.set_write_allowance(allowance);
    }

    /// Adds a job from its stored description; a job that is known already is left as it is. `wall_us`
    /// is the wall clock now, in microseconds.
    ///
    /// # Errors
    ///
    /// If the description is damaged. It is logged, and the job is passed over.
    pub fn add_job(
        &mut self,
        now: Timestamp,
        name: &str,
        value: &Value,
        wall_us: u64,
    ) -> Result<(), DescriptionError> {
        match loader::load_job(&mut self.cluster, now, name, value, wall_us) {
            Ok(LoadedJob::Known) => Ok(()),
            Ok(LoadedJob::Added(index)) => {
                self.job_added(now, index);
                Ok(())
            }
            Err(error) => {
                self.log_once(name, error.anomaly());
                Err(error)
            }
        }
    }

    fn job_added(&mut self, now: Timestamp, index: JobIndex) {
        if let Some(job) = self.cluster.job(index).filter(|job| job.spec.dependencies.is_empty()) {
            self.run_times.learn_size(&job.spec, now, job.accepted);
        }
        self.add_dependencies(now, index);
    }

    /// Takes over the stored chunks of tasks, all of them at once, after the jobs' descriptions.
    /// Returns the keys that belong to no job or can't be read.
    pub fn load_chunks(&mut self, now: Timestamp, stored: &[KeyValue]) -> Vec<String> {
        loader::load_chunks(&mut self.cluster, now, stored)
    }

    /// Called often: starts a round if there is something to do, and sends what is due.
    pub fn tick(&mut self, now: Timestamp) {
        self.out.extend(self.transactions.resend_due(now));
        let sweep = now.since(self.messages.last_sweep) >= SWEEP_EVERY;
        if sweep {
            self.messages.last_sweep = now;
            self.settle(now);
        }
        if self.authority.holds_lease()
            && now.since(self.last_round) >= self.tunables.round_every
            && self.transactions.may_write(now, &self.tunables)
        {
            self.run_round(now);
        }
        self.look_up_job_ends(now);
        self.send_messages(now, sweep);
    }

    /// Places what waits, and writes what was decided.
    fn run_round(&mut self, now: Timestamp) {
        self.last_round = now;
        if self.cluster.placement_needed && !self.waits_for_writes() {
            self.cluster.placement_needed = false;
            self.place(now);
        }
        let round = WriteRound {
            cluster: &mut self.cluster,
            transactions: &mut self.transactions,
            dependency_graph: &self.dependency_graph,
            tunables: &self.tunables,
            now,
        };
        self.out.extend(round.run());
    }

    /// The answer to a [`Command::Commit`].
    pub fn transaction_answered(&mut self, now: Timestamp, id: u64, outcome: TransactionOutcome) {
        let resolution = self.transactions.answered(now, id, outcome);
        self.resolved(now, resolution);
    }

    /// The answer to a [`Command::Read`].
    pub fn read_answered(&mut self, now: Timestamp, id: u64, outcome: ReadOutcome) {
        let resolution = self.transactions.read_answered(now, id, outcome);
        self.resolved(now, resolution);
    }

    /// Hands on what an answer of the key-value store means.
    fn resolved(&mut self, now: Timestamp, resolution: Resolution) {
        match resolution {
            Resolution::Unknown | Resolution::Open => {}
            Resolution::ReadBack { read, ended } => {
                self.jobs_ended_unknown_how(now, &ended);
                self.out.push(read);
            }
            Resolution::Committed { batch, revision } => {
                let effects = batch.committed(&mut self.cluster, now, revision);
                self.committed(now, effects);
            }
            Resolution::NotExecuted { batch, ended } => {
                self.jobs_ended_unknown_how(now, &ended);
                batch.not_executed(&mut self.cluster, now);
            }
            Resolution::StepDown { batch, reason } => {
                self.out.push(Command::StepDown(reason));
                batch.not_executed(&mut self.cluster, now);
            }
        }
    }

    fn jobs_ended_unknown_how(&mut self, now: Timestamp, names: &[String]) {
        for name in names {
            self.job_ended_unknown_how(now, name);
        }
    }

    /// Hands on what a committed transaction leaves to do.
    fn committed(&mut self, now: Timestamp, effects: CommitEffects) {
        for id in effects.starts {
            if let Some(machine) = starts::queue_start(&mut self.cluster, id) {
                self.enqueue_send(machine);
            }
        }
        for StoredEnd { job, end, event } in effects.ends {
            self.log(event);
            // Committed, so stored: what waits for it may begin in this very turn.
            self.job_ended(now, &job, end);
        }
    }

    /// The starts that go out with the machine's next message; without one (`sending` is false) only
    /// those are taken back that can't be sent any more.
    pub(crate) fn release_starts(
        &mut self,
        now: Timestamp,
        machine: MachineIndex,
        sending: bool,
    ) -> ReleasedStarts {
        starts::release_starts(&mut self.cluster, &self.authority, now, machine, sending)
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

    /// The job has ended for its users: nothing of it is started any more. How it ended isn't told
    /// here, so nothing is released by it; see [`Scheduler::job_ended`].
    pub fn job_over(&mut self, now: Timestamp, name: &str) {
        let Some(&ix) = self.cluster.jobs_by_name.get(name) else { return };
        let Some(job) = self.cluster.jobs.get_mut(&ix) else { return };
        if !job.apply(JobEvent::Ended) {
            return;
        }
        self.cluster.placement_needed = true;
        self.remove_dependencies(now, ix);
        let Some(job) = self.cluster.jobs.get(&ix) else { return };
        let all: Vec<u32> =
            (0..job.spec.tasks).filter(|&i| job.tasks[i as usize].phase.placed()).collect();
        for index in all {
            self.stop(now, (ix, index), 0.0);
        }
    }

    // ---- the registry -------------------------------------------------------------------------

    /// Plans a start: written with the next transactions, sent after they are committed.
    pub(crate) fn dispatch(&mut self, now: Timestamp, id: TaskId, machine: MachineIndex) {
        let agent_epoch = self.cluster.machines[machine as usize].agent_epoch;
        if self.cluster.apply(now, id, TaskEvent::Dispatch { machine, agent_epoch }) {
            if let Some(job) = self.cluster.jobs.get_mut(&id.0) {
                let chunk = job.chunk_of(id.1);
                let due = &mut job.chunks[chunk].start_due;
                if due.is_none() {
                    self.transactions.chunk_planned();
                }
                due.get_or_insert(now);
                let images = &self.cluster.machines[machine as usize].images;
                let counts = self.transactions.counts_mut();
                counts.tasks_placed += 1;
                counts.image_cached += usize::from(images.contains(&job.spec.image));
                // It will be there once fetched; the next task for it need not fetch it elsewhere.
                let image = job.spec.image.clone();
                self.cluster.has_image(machine, image);
            }
        }
    }

    /// Tells a task's machine to stop it; repeated with every heartbeat until it is gone.
    pub(crate) fn stop(&mut self, now: Timestamp, id: TaskId, grace_s: f64) {
        let Some(job) = self.cluster.jobs.get(&id.0) else { return };
        let task = job.tasks[id.1 as usize];
        if task.phase == TaskPhase::Dispatching && task.token == 0 {
            // Not sent yet, and with the job over or the task wanted elsewhere it never will be:
            // the commit's answer takes it back.
            return;
        }
        let name = format!("{}/{}", job.name, id.1);
        if self.cluster.apply(now, id, TaskEvent::Stop) {
            let attempt = u64::from(task.attempt);
            let call = WorkerCommand::Kill { task: name, attempt, grace_s };
            let machine = &mut self.cluster.machines[task.machine as usize];
            if machine.state == MachineState::Up {
                machine.outbox.push(call);
                self.enqueue_send(task.machine);
            }
        }
    }

    /// Something may have to be sent to the machine.
    pub(crate) fn enqueue_send(&mut self, m: MachineIndex) {
        let machine = &mut self.cluster.machines[m as usize];
        if !machine.in_send_queue {
            machine.in_send_queue = true;
            self.messages.send_queue.push(m);
        }
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
