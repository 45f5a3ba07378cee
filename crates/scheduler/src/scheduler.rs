//! The leader's registry: jobs, tasks and machines, what is known of each, and the one way to change it.
//!
//! A [`Scheduler`] lives for one term. It is built from the stored records, told what happens, and
//! asked for commands; when the term is lost it is thrown away. Rounds and their writes are in
//! [`crate::storage::transactions`], what workers tell in [`crate::reconciliation::heartbeats`].

use std::collections::BTreeSet;

use walnutlug_admission::shares::Shares;

use crate::command::Command;
use crate::dispatch::Messages;
use crate::event::{Anomaly, Event};
use crate::leadership::fencing_token::{FencingToken, Term};
use crate::leadership::watermark;
use crate::model::cluster::Cluster;
use crate::model::ids::MachineIndex;
use crate::model::job::TaskId;
use crate::model::job_spec::JobSpec;
use crate::model::job_state::JobEvent;
use crate::model::machine::MachineState;
use crate::model::run_times::RunTimes;
use crate::model::task::{TaskEvent, TaskPhase};
use crate::protocol::cloud::MachineType;
use crate::protocol::workers::WorkerCommand;
use crate::queue::dependencies::DependencyGraph;
use crate::storage::transactions::{Limits, Transactions};
use crate::time::Timestamp;
use crate::tunables::{Site, Tunables};

/// The leader's table of jobs and machines, and the decisions about them; lives for one term.
pub struct Scheduler {
    pub site: std::rc::Rc<Site>,
    pub tunables: std::rc::Rc<Tunables>,
    pub term: Term,
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
    /// Whether the lease is certainly held. Without it another node may lead: this one goes on
    /// answering its workers, so that their tasks live, and starts, rents and returns nothing.
    /// (A leader cut off from the key-value store once gave back machines that had merely gone over
    /// to its successor.)
    pub holds_lease: bool,
    /// Every cancellation that any user was told of before this is in the table; see
    /// [`crate::leadership::watermark`].
    pub cancellations_known_until: Timestamp,
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
/// Odd things to remember as logged: several for each machine of any fleet.
const MAX_ANOMALIES: usize = 20_000;

impl Scheduler {
    pub fn new(
        site: std::rc::Rc<Site>,
        tunables: std::rc::Rc<Tunables>,
        term: Term,
        types: Vec<MachineType>,
        now: Timestamp,
    ) -> Scheduler {
        let shares = Shares::new(crate::queue::fair_share::entitlements(&site, &tunables));
        let limits = Limits { value_bytes: site.value_bytes, txn_ops: site.txn_ops };
        Scheduler {
            term,
            started_at: now,
            cluster: Cluster::new(term, FencingToken::last_before(term), types, shares),
            dependency_graph: DependencyGraph::default(),
            fair_share: crate::queue::fair_share::FairShare::default(),
            run_times: RunTimes::default(),
            autoscaler: crate::autoscaling::Autoscaler::default(),
            transactions: Transactions::new(limits),
            messages: Messages::new(now),
            holds_lease: true,
            cancellations_known_until: now,
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

    /// Tells what the key-value store takes at once; it may become less at any time.
    pub fn set_limits(&mut self, value_bytes: usize, txn_ops: usize) {
        self.transactions.set_limits(value_bytes, txn_ops);
    }

    /// Tells how many operations the write rate has room for now, of how many at most.
    pub fn set_write_allowance(&mut self, left: f64, most: f64) {
        self.transactions.set_write_allowance(left, most);
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
        let agent_epoch = self.cluster.machines[machine].agent_epoch;
        if self.cluster.apply(now, id, TaskEvent::Dispatch { machine, agent_epoch }) {
            if let Some(job) = self.cluster.jobs.get_mut(&id.0) {
                let chunk = job.chunk_of(id.1);
                let due = &mut job.chunks[chunk].start_due;
                self.transactions.planned_chunks += usize::from(due.is_none());
                due.get_or_insert(now);
                self.transactions.counts.tasks_placed += 1;
                let images = &self.cluster.machines[machine].images;
                self.transactions.counts.image_cached +=
                    usize::from(images.contains(&job.spec.image));
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
        if task.phase == TaskPhase::Dispatching && task.token == FencingToken::NONE {
            // Not sent yet, and with the job over or the task wanted elsewhere it never will be:
            // the commit's answer takes it back.
            return;
        }
        let name = format!("{}/{}", job.name, id.1);
        if self.cluster.apply(now, id, TaskEvent::Stop) {
            let attempt = task.attempt;
            let call = WorkerCommand::Kill { task: name, attempt, grace_s };
            let machine = &mut self.cluster.machines[task.machine];
            if machine.state == MachineState::Up {
                machine.outbox.push(call);
                self.enqueue_send(task.machine);
            }
        }
    }

    /// Something may have to be sent to the machine.
    pub(crate) fn enqueue_send(&mut self, m: MachineIndex) {
        let machine = &mut self.cluster.machines[m];
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
