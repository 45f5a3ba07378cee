//! Processing of a worker's heartbeat. Completions always count; all other information is used only
//! from the newest heartbeat of a machine.

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

/// How a heartbeat reached the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeartbeatSource {
    /// Sent by the worker on its own connection. It may be an old copy that was delayed.
    Connection,
    /// Answer to a request of the leader, so it shows the machine's current state.
    DirectAnswer,
}

/// Response to a heartbeat. It renews the lease of the worker's tasks.
#[derive(Debug, Clone, PartialEq)]
pub struct HeartbeatAnswer {
    /// Current fencing token of the machine.
    pub token: FencingToken,
    /// Commands for the worker to execute.
    pub commands: Vec<WorkerCommand>,
}

/// Reason why this node may not answer a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeartbeatRefusal {
    /// The worker has acknowledged a token of a later term, so another node probably leads.
    #[error(
        "the worker has acknowledged a token of term {acknowledged}, this node leads term {term}"
    )]
    NewerTerm {
        /// Term of the token that the worker has acknowledged.
        acknowledged: Term,
        /// Term led by this scheduler.
        term: Term,
    },
    /// The cancellations known to this node are too old for it to renew a lease.
    #[error("the cancellations known to this node are too old to renew a lease")]
    CancellationsUnknown,
}

/// Merges heartbeats into the cluster state at a single point in time. The handling of ended
/// attempts is in [`crate::reconciliation::task_ends`].
pub(crate) struct Reconciler<'a> {
    pub(crate) now: Timestamp,
    /// Number of jobs that have to fail on a machine, with no completion there in between, for it
    /// to be drained.
    pub(crate) sick_after: u32,
    pub(crate) cluster: &'a mut Cluster,
    pub(crate) messages: &'a mut Messages,
    pub(crate) run_times: &'a mut RunTimes,
    /// Events to be logged.
    pub(crate) events: Vec<Event>,
}

impl Reconciler<'_> {
    /// Merges a heartbeat into the cluster state and returns the index of its machine. A heartbeat
    /// that is not the newest only adds completions.
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
        // A token of a newer term means that another leader handles this machine.
        if heartbeat.token.term() <= self.cluster.term {
            self.merge_newest(index, heartbeat, reported, source);
        }
        index
    }

    /// Records the completed tasks. A completion is final, even if the heartbeat that reports it
    /// arrives late.
    fn record_completions(&mut self, machine: MachineIndex, reported: &ReportedTasks) {
        for entry in reported.iter().filter(|entry| !entry.is_live()) {
            if let (Some(id), Some(ExitReason::Done)) = (entry.id, entry.status.cause) {
                self.task_completed(id, machine, entry.status.attempt);
            }
        }
    }

    /// Merges a heartbeat that is newer than all others of its machine.
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
