//! The leader's scheduler, which owns the scheduling state and routes each event to the component
//! that handles it.
//!
//! A [`Scheduler`] lives for one term. It is built from the stored records, takes events, and
//! returns commands; it is discarded when the term ends. `storage::write_round` writes the
//! decisions, and [`crate::reconciliation`] evaluates the heartbeats of workers.

mod machine_health;
mod worker_events;

use std::rc::Rc;

use serde_json::Value;
use walnutlug_admission::shares::Shares;

use crate::autoscaling::Autoscaler;
use crate::command::{Command, CommandQueue, ReadOutcome, TransactionOutcome};
use crate::dispatch::starts::{self, StartGate};
use crate::dispatch::Messages;
use crate::event::{Anomaly, Event, StartOutcome};
use crate::leadership::authority::LeaderAuthority;
use crate::leadership::fencing_token::{FencingToken, Term};
use crate::model::cluster::Cluster;
use crate::model::ids::{JobIndex, MachineIndex, TaskId};
use crate::model::run_times::RunTimes;
use crate::model::start::TaskStart;
use crate::protocol::cloud::MachineType;
use crate::protocol::key_value::KeyValue;
use crate::queue::dependencies::DependencyGraph;
use crate::queue::fair_share::{self, FairShare};
use crate::reconciliation::expiry::expire_unconfirmed_starts;
use crate::storage::batch::{Batch, CommitEffects, StoredJobEnd};
use crate::storage::loader::{self, ChunkLoader, DescriptionError, LoadedJob};
use crate::storage::transactions::{Resolution, TransactionLimits, Transactions, WriteAllowance};
use crate::storage::write_round::WriteRound;
use crate::time::Timestamp;
use crate::tunables::{Site, Tunables};

/// The leader's state for one term, and the decisions on starting and stopping tasks and on scaling
/// the fleet.
pub struct Scheduler {
    /// Settings of the platform: service limits, intervals and objectives.
    pub site: Rc<Site>,
    /// Parameters set by the operators.
    pub tunables: Rc<Tunables>,
    /// The term in which this scheduler makes decisions.
    pub term: Term,
    /// Time at which this node began to make decisions in this term.
    pub started_at: Timestamp,
    /// Jobs, tasks and machines, as known to the leader.
    pub cluster: Cluster,
    pub(crate) dependency_graph: DependencyGraph,
    /// Overload state of the fleet, and the share that each class keeps during an overload.
    pub fair_share: FairShare,
    pub(crate) run_times: RunTimes,
    /// Requested and returned machines, and the state of scaling decisions.
    pub autoscaler: Autoscaler,
    pub(crate) transactions: Transactions,
    pub(crate) messages: Messages,
    /// Actions that the leader may take, given its lease and the cancellations that it knows.
    pub authority: LeaderAuthority,
    /// Time of the last round of placement and writes.
    pub(crate) last_round: Timestamp,
    /// Time at which preemption was last considered.
    pub(crate) last_preempt: Timestamp,
    /// Number of processors of all machines that are up, as of the last round.
    pub(crate) fleet_cpus: f64,
    pub(crate) commands: CommandQueue,
    /// Counters of the work done by decisions, for tests.
    pub examined: Examined,
}

/// Counts the entries examined by decisions, so that tests can bound the cost of a round or a
/// heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Examined {
    /// Machines examined by placement.
    pub machines: u64,
    /// Jobs examined by placement, once for each pass over them.
    pub jobs: u64,
    /// Machines examined for messages to send.
    pub send_checks: u64,
}

/// Number of heartbeat intervals without a heartbeat after which a worker is overdue. The actual
/// intervals are up to a quarter longer than the one that the worker is given.
pub const OVERDUE_INTERVALS: f64 = 1.4;

impl Scheduler {
    /// Creates a scheduler without jobs or machines; the stored records are added next.
    pub fn new(
        site: Rc<Site>,
        tunables: Rc<Tunables>,
        term: Term,
        types: Vec<MachineType>,
        now: Timestamp,
    ) -> Scheduler {
        let shares = Shares::new(fair_share::entitlements(&site, &tunables));
        let limits = TransactionLimits { value_bytes: site.value_bytes, operations: site.txn_ops };
        Scheduler {
            term,
            started_at: now,
            cluster: Cluster::new(term, FencingToken::last_before(term), types, shares),
            dependency_graph: DependencyGraph::default(),
            fair_share: FairShare::default(),
            run_times: RunTimes::default(),
            autoscaler: Autoscaler::default(),
            transactions: Transactions::new(term, limits),
            messages: Messages::new(now),
            authority: LeaderAuthority::new(&site, now),
            last_round: Timestamp(0),
            last_preempt: Timestamp(0),
            fleet_cpus: 0.0,
            commands: CommandQueue::default(),
            examined: Examined::default(),
            tunables,
            site,
        }
    }

    /// Sets the limits of the key-value store on a transaction, which may be lowered at any time.
    pub fn set_limits(&mut self, limits: TransactionLimits) {
        self.transactions.set_limits(limits);
    }

    /// Sets how many operations the write rate currently allows.
    pub fn set_write_allowance(&mut self, allowance: WriteAllowance) {
        self.transactions.set_write_allowance(allowance);
    }

    /// Adds a job from its stored description; a job that was already added is left unchanged.
    /// `wall_us` is the current wall-clock time in microseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the description can't be decoded or is out of range. The error is logged
    /// once per job, and the job is skipped.
    pub fn add_job(
        &mut self,
        now: Timestamp,
        name: &str,
        value: &Value,
        wall_us: u64,
    ) -> Result<(), DescriptionError> {
        match loader::load_job(&mut self.cluster, now, name, value, wall_us) {
            Ok(LoadedJob::AlreadyLoaded) => Ok(()),
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

    /// Loads all stored chunks of tasks, after the jobs' descriptions were added. Returns the keys
    /// that belong to no job or can't be decoded.
    pub fn load_chunks(&mut self, now: Timestamp, stored: &[KeyValue]) -> Vec<String> {
        let mut loader = ChunkLoader::new(now);
        let unreadable = self.load_page(&mut loader, stored);
        self.chunks_loaded(loader);
        unreadable
    }

    /// Loads some of the stored chunks of tasks, after the jobs' descriptions were added. Returns
    /// the keys that belong to no job or can't be decoded.
    pub fn load_page(&mut self, loader: &mut ChunkLoader, stored: &[KeyValue]) -> Vec<String> {
        loader.add(&mut self.cluster, stored)
    }

    /// Completes the load after the last page of chunks.
    pub fn chunks_loaded(&mut self, loader: ChunkLoader) {
        loader.finish(&mut self.cluster);
    }

    /// Advances the scheduler to `now`: runs a round if one is due, and sends or resends what is
    /// due. Called at short intervals.
    pub fn tick(&mut self, now: Timestamp) {
        self.commands.extend(self.transactions.resend_due(now));
        let sweep = self.messages.begin_sweep(now);
        if sweep {
            let events =
                expire_unconfirmed_starts(&mut self.cluster, now, &self.site, &self.tunables);
            self.log_all(events);
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

    /// Places waiting tasks and writes the decisions.
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
        self.commands.extend(round.run());
    }

    /// Handles the outcome of a [`Command::Commit`].
    pub fn transaction_answered(&mut self, now: Timestamp, id: u64, outcome: TransactionOutcome) {
        let resolution = self.transactions.answered(now, id, outcome);
        self.apply_resolution(now, resolution);
    }

    /// Handles the outcome of a [`Command::Read`].
    pub fn read_answered(&mut self, now: Timestamp, id: u64, outcome: ReadOutcome) {
        let resolution = self.transactions.read_answered(now, id, outcome);
        self.apply_resolution(now, resolution);
    }

    /// Applies the result of a transaction to the cluster.
    fn apply_resolution(&mut self, now: Timestamp, resolution: Resolution) {
        match resolution {
            Resolution::Unknown | Resolution::Uncertain => {}
            Resolution::ReadBack { read, ended } => {
                self.jobs_ended_with_unknown_outcome(now, &ended);
                self.commands.push(read);
            }
            Resolution::Committed { batch, revision } => {
                let effects = batch.committed(&mut self.cluster, now, revision);
                self.committed(now, effects);
            }
            Resolution::NotExecuted { batch, ended } => {
                self.jobs_ended_with_unknown_outcome(now, &ended);
                self.not_executed(now, batch);
            }
            Resolution::StepDown { batch, reason } => {
                self.commands.push(Command::StepDown(reason));
                self.not_executed(now, batch);
            }
        }
    }

    fn jobs_ended_with_unknown_outcome(&mut self, now: Timestamp, names: &[String]) {
        for name in names {
            self.job_ended_with_unknown_outcome(now, name);
        }
    }

    /// Queues the starts that a committed transaction stored, and processes its job ends.
    fn committed(&mut self, now: Timestamp, effects: CommitEffects) {
        for start in effects.starts {
            if !self.messages.start_stored(&mut self.cluster, now, start) {
                self.log_superseded(start, StartOutcome::Recorded);
            }
        }
        for StoredJobEnd { job, end, event } in effects.ends {
            self.log(event);
            // The end is stored, so dependent jobs may be placed in the same tick.
            self.job_ended(now, &job, end);
        }
    }

    /// Undoes what the transaction that was not executed would have recorded.
    fn not_executed(&mut self, now: Timestamp, batch: Batch) {
        for start in batch.not_executed(&mut self.cluster, now) {
            self.log_superseded(start, StartOutcome::NotRecorded);
        }
    }

    /// Logs that the outcome of a transaction was ignored for a start, because its task has another
    /// placement by now or was found running or completed.
    fn log_superseded(&mut self, start: TaskStart, outcome: StartOutcome) {
        let superseded = starts::describe_superseded(&self.cluster, start, outcome);
        self.commands.extend(superseded.map(|event| Command::Log(Event::StartSuperseded(event))));
    }

    /// Returns the commands decided since the last call, in the order in which to carry them out.
    pub fn take_commands(&mut self) -> Vec<Command> {
        self.commands.take()
    }

    pub(crate) fn log(&mut self, event: Event) {
        self.commands.log(event);
    }

    /// Logs an anomaly unless the same kind was already logged for this machine or job.
    pub(crate) fn log_once(&mut self, name: &str, kind: Anomaly) {
        self.commands.log_once(name, kind);
    }

    /// Marks a job as ended when its end is stored but not known to be completion or cancellation:
    /// no further task is started, placed tasks are stopped, and dependent jobs stay blocked. See
    /// [`Scheduler::job_ended`].
    pub fn mark_job_ended(&mut self, now: Timestamp, name: &str) {
        let Some(index) = self.cluster.end_job(name) else { return };
        self.remove_dependencies(now, index);
        for id in self.cluster.placed_tasks(index) {
            self.stop(now, id, 0.0);
        }
    }

    /// Plans the start of a task, which is written with the next transactions and sent after they
    /// commit.
    pub(crate) fn plan_start(&mut self, now: Timestamp, id: TaskId, machine: MachineIndex) {
        if let Some(planned) = self.cluster.plan_start(now, id, machine) {
            self.transactions.count_planned_start(planned);
        }
    }

    /// Sends pending messages to workers. A sweep examines all machines, otherwise only those with
    /// new events are examined.
    fn send_messages(&mut self, now: Timestamp, is_sweep: bool) {
        let gate = StartGate { now, authority: &self.authority };
        let due = self.messages.take_due(&mut self.cluster, &self.site, &gate, is_sweep);
        self.examined.send_checks += due.machines_examined;
        self.commands.extend(due.commands);
    }

    /// Orders a task's machine to stop it, with `grace_s` seconds to save its work.
    pub(crate) fn stop(&mut self, now: Timestamp, id: TaskId, grace_s: f64) {
        self.messages.stop_task(&mut self.cluster, now, id, grace_s);
    }
}
