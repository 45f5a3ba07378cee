//! The leader's scheduler: holds the owners of its state and routes each event to them.
//!
//! A [`Scheduler`] lives for one term. It is built from the stored records, takes events, and returns
//! commands; when the term is lost it is discarded. Rounds of writes are in
//! `storage::write_round`, what workers' heartbeats prove in [`crate::reconciliation`].

mod machine_health;
mod worker_events;

use std::rc::Rc;

use serde_json::Value;
use walnutlug_admission::shares::Shares;

use crate::autoscaling::Autoscaler;
use crate::command::{Command, CommandQueue, ReadOutcome, TransactionOutcome};
use crate::dispatch::starts::StartGate;
use crate::dispatch::Messages;
use crate::event::{Anomaly, Event};
use crate::leadership::authority::LeaderAuthority;
use crate::leadership::fencing_token::{FencingToken, Term};
use crate::model::cluster::Cluster;
use crate::model::ids::{JobIndex, MachineIndex};
use crate::model::job::TaskId;
use crate::model::run_times::RunTimes;
use crate::protocol::cloud::MachineType;
use crate::protocol::key_value::KeyValue;
use crate::queue::dependencies::DependencyGraph;
use crate::queue::fair_share::{self, FairShare};
use crate::reconciliation::expiry::expire_unconfirmed_starts;
use crate::storage::batch::{CommitEffects, StoredEnd};
use crate::storage::loader::{self, DescriptionError, LoadedJob};
use crate::storage::transactions::{Resolution, TransactionLimits, Transactions, WriteAllowance};
use crate::storage::write_round::WriteRound;
use crate::time::Timestamp;
use crate::tunables::{Site, Tunables};

/// The leader's table of jobs and machines, and the decisions about them; lives for one term.
pub struct Scheduler {
    /// The platform's settings.
    pub site: Rc<Site>,
    /// The operators' settings.
    pub tunables: Rc<Tunables>,
    /// The term for which it decides.
    pub term: Term,
    /// When it began to decide.
    pub started_at: Timestamp,
    /// Jobs, tasks and machines.
    pub cluster: Cluster,
    pub(crate) dependency_graph: DependencyGraph,
    /// Whether the fleet is overloaded, and what each class keeps of it then.
    pub fair_share: FairShare,
    pub(crate) run_times: RunTimes,
    /// The machines that were requested and returned.
    pub autoscaler: Autoscaler,
    pub(crate) transactions: Transactions,
    pub(crate) messages: Messages,
    /// What this leader may do by what it knows of its lease and of cancellations.
    pub authority: LeaderAuthority,
    /// When the last round was.
    pub(crate) last_round: Timestamp,
    /// When preemption was last considered.
    pub(crate) last_preempt: Timestamp,
    /// Processors of the machines that are up, as of the last round.
    pub(crate) fleet_cpus: f64,
    pub(crate) commands: CommandQueue,
    /// What decisions cost, for tests.
    pub examined: Examined,
}

/// How many entries were looked at to decide, counted for tests of what a round or a heartbeat costs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Examined {
    /// Machines looked at for placing.
    pub machines: u64,
    /// Jobs looked at for placing, once for each pass over them.
    pub jobs: u64,
    /// Machines looked at for something to send.
    pub send_checks: u64,
}

/// Heartbeat intervals after which a worker is overdue. (Each is up to a quarter longer than the one
/// that the worker is given.)
pub const OVERDUE_INTERVALS: f64 = 1.4;

impl Scheduler {
    /// Without jobs and machines: the stored records are to be added next.
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
        self.commands.extend(round.run());
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
                self.jobs_ended_with_unknown_outcome(now, &ended);
                self.commands.push(read);
            }
            Resolution::Committed { batch, revision } => {
                let effects = batch.committed(&mut self.cluster, now, revision);
                self.committed(now, effects);
            }
            Resolution::NotExecuted { batch, ended } => {
                self.jobs_ended_with_unknown_outcome(now, &ended);
                batch.not_executed(&mut self.cluster, now);
            }
            Resolution::StepDown { batch, reason } => {
                self.commands.push(Command::StepDown(reason));
                batch.not_executed(&mut self.cluster, now);
            }
        }
    }

    fn jobs_ended_with_unknown_outcome(&mut self, now: Timestamp, names: &[String]) {
        for name in names {
            self.job_ended_with_unknown_outcome(now, name);
        }
    }

    /// Hands on what a committed transaction leaves to do.
    fn committed(&mut self, now: Timestamp, effects: CommitEffects) {
        for id in effects.starts {
            self.messages.start_stored(&mut self.cluster, id);
        }
        for StoredEnd { job, end, event } in effects.ends {
            self.log(event);
            // Committed, so stored: what waits for it may begin in this very turn.
            self.job_ended(now, &job, end);
        }
    }

    /// Takes the commands that were decided since the last call, in the order in which they are to be
    /// carried out.
    pub fn take_commands(&mut self) -> Vec<Command> {
        self.commands.take()
    }

    /// Logs an event.
    pub(crate) fn log(&mut self, event: Event) {
        self.commands.log(event);
    }

    /// Logs an anomaly, once for each machine or job and kind.
    pub(crate) fn log_once(&mut self, name: &str, kind: Anomaly) {
        self.commands.log_once(name, kind);
    }

    /// The job's end is stored, but not known: nothing of it is started any more, what is placed is
    /// stopped, and no other job is released by it; see [`Scheduler::job_ended`].
    pub fn mark_job_ended(&mut self, now: Timestamp, name: &str) {
        let Some(index) = self.cluster.end_job(name) else { return };
        self.remove_dependencies(now, index);
        for id in self.cluster.placed_tasks(index) {
            self.stop(now, id, 0.0);
        }
    }

    /// Plans a start: written with the next transactions, sent after they are committed.
    pub(crate) fn plan_start(&mut self, now: Timestamp, id: TaskId, machine: MachineIndex) {
        if let Some(planned) = self.cluster.plan_start(now, id, machine) {
            self.transactions.start_planned(planned);
        }
    }

    /// Sends what waits for workers. In a sweep all machines are examined, otherwise those that
    /// something happened to.
    fn send_messages(&mut self, now: Timestamp, is_sweep: bool) {
        let gate = StartGate { now, authority: &self.authority };
        let due = self.messages.take_due(&mut self.cluster, &self.site, &gate, is_sweep);
        self.examined.send_checks += due.machines_examined;
        self.commands.extend(due.commands);
    }

    /// Commands a task's machine to stop it, with that many seconds to save its work.
    pub(crate) fn stop(&mut self, now: Timestamp, id: TaskId, grace_s: f64) {
        self.messages.stop_task(&mut self.cluster, now, id, grace_s);
    }
}
