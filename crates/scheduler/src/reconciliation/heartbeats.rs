//! What a worker's heartbeat proves, step by step: completions always count, everything else only in
//! the newest heartbeat of its machine.

use crate::dispatch::Messages;
use crate::event::{Anomaly, Event};
use crate::leadership::fencing_token::{FencingToken, Term};
use crate::model::cluster::Cluster;
use crate::model::ids::MachineIndex;
use crate::model::machine::MachineState;
use crate::model::run_times::RunTimes;
use crate::protocol::workers::{ExitReason, Heartbeat, WorkerCommand};
use crate::reconciliation::reported_tasks::ReportedTasks;
use crate::reconciliation::{absence, machine_status};
use crate::time::Timestamp;

/// How a heartbeat came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeartbeatSource {
    /// By itself, on a connection of the worker's. It may be a copy from long ago.
    Connection,
    /// As the answer to a request, from the machine as it is now.
    DirectAnswer,
}

/// The answer to a heartbeat. It renews the lease of the worker's tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct HeartbeatAnswer {
    /// The machine's fencing token.
    pub token: FencingToken,
    /// What the worker should do.
    pub commands: Vec<WorkerCommand>,
}

/// Why this node may not answer a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeartbeatRefusal {
    /// The worker has acknowledged a token of a later term; most likely another node leads.
    #[error(
        "the worker has acknowledged a token of term {acknowledged}, this node leads term {term}"
    )]
    NewerTerm {
        /// The term of the worker's token.
        acknowledged: Term,
        /// The term of this scheduler.
        term: Term,
    },
    /// Cancellations may be unknown here for longer than a renewed lease allows.
    #[error("cancellations may be unknown here for too long to renew a lease")]
    CancellationsUnknown,
}

/// Merges heartbeats into the tables at one point in time, with the owners that this changes. The ends of
/// attempts are applied in [`crate::reconciliation::task_ends`].
pub(crate) struct Reconciler<'a> {
    pub(crate) now: Timestamp,
    /// How many jobs have to fail on a machine, before anything completes there, for it to be drained.
    pub(crate) sick_after: u32,
    pub(crate) cluster: &'a mut Cluster,
    pub(crate) messages: &'a mut Messages,
    pub(crate) run_times: &'a mut RunTimes,
    /// What happened, for the log.
    pub(crate) events: Vec<Event>,
}

impl Reconciler<'_> {
    /// Merges a heartbeat into the tables; the index of its machine. An older heartbeat adds completions
    /// and changes nothing else.
    pub(crate) fn reconcile(
        &mut self,
        heartbeat: &Heartbeat,
        reported: &ReportedTasks,
        source: HeartbeatSource,
    ) -> MachineIndex {
        let index = self.cluster.machine_named(self.now, &heartbeat.machine);
        let machine = &self.cluster.machines[index];
        if machine.state == MachineState::Terminated {
            return index;
        }
        let is_newer =
            (heartbeat.agent_epoch, heartbeat.sequence) > (machine.agent_epoch, machine.sequence);
        self.record_completions(index, reported);
        if !is_newer {
            return index;
        }
        self.cluster.invalidate_cached_heartbeat(index);
        // A heartbeat under a newer term is another leader's to judge.
        if heartbeat.token.term() <= self.cluster.term {
            self.merge_newest(index, heartbeat, reported, source);
        }
        index
    }

    /// A completion is final, however late the heartbeat that shows it.
    fn record_completions(&mut self, machine: MachineIndex, reported: &ReportedTasks) {
        for entry in reported.iter().filter(|entry| !entry.is_live()) {
            if let (Some(id), Some(ExitReason::Done)) = (entry.id, entry.status.cause) {
                self.task_completed(id, machine, entry.status.attempt);
            }
        }
    }

    /// Merges the newest heartbeat of a machine.
    fn merge_newest(
        &mut self,
        machine: MachineIndex,
        heartbeat: &Heartbeat,
        reported: &ReportedTasks,
        source: HeartbeatSource,
    ) {
        let notice = machine_status::update(self.cluster, self.now, machine, heartbeat, source);
        self.events.extend(notice);
        self.messages.enqueue(self.cluster, machine);
        let unexpected_changed = absence::update_unexpected_tasks(self.cluster, machine, reported);
        if self.cluster.machines[machine].unexpected_tasks > 0 {
            let (name, kind) = (heartbeat.machine.clone(), Anomaly::UnexpectedTasks);
            self.events.push(Event::Anomaly { name, kind });
        }
        let any_ended = absence::merge_placed_tasks(self, machine, heartbeat, reported);
        absence::raise_fence_for_missing_tasks(self.cluster, machine, reported);
        self.cluster.placement_needed |= unexpected_changed || any_ended;
    }
}
