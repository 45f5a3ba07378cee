//! Decides when a stored start is included in a request to its machine, and which starts are never
//! sent.

use crate::dispatch::channel::SentStart;
use crate::leadership::authority::LeaderAuthority;
use crate::leadership::fencing_token::FencingToken;
use crate::model::cluster::Cluster;
use crate::model::ids::MachineIndex;
use crate::model::job::TaskId;
use crate::model::machine::{Machine, MachineState};
use crate::model::task::{TaskEvent, TaskPhase};
use crate::protocol::workers::WorkerCommand;
use crate::time::Timestamp;

/// Conditions under which stored starts may be sent at a given time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartGate<'a> {
    /// Time of the decision.
    pub(crate) now: Timestamp,
    /// Determines whether this leader may start tasks, and how old a stored start may be.
    pub(crate) authority: &'a LeaderAuthority,
}

/// Starts included in one request, with their commands.
#[derive(Debug, Default)]
pub(super) struct ReleasedStarts {
    pub(super) starts: Vec<SentStart>,
    pub(super) commands: Vec<WorkerCommand>,
}

/// Decision on a stored start that has not been sent.
enum StartDecision {
    /// Include it in the next request.
    Send(SentStart, WorkerCommand),
    /// Keep it waiting.
    Wait,
    /// Retract it: it was stored but never sent and never will be, so the attempt is known to be
    /// absent.
    Retract,
    /// Drop it, because it is no longer a pending start of this machine.
    Forget,
}

/// Returns whether the machine may receive any starts.
fn accepts_starts(machine: &Machine) -> bool {
    machine.state == MachineState::Up
        && machine.interruption_at.is_none()
        && machine.drain_reason.is_none()
}

/// Selects the waiting starts to include in the request about to be sent, and marks them as sent
/// with that request's token. The token must not be assigned any earlier: a heartbeat could then
/// prove a start absent that still waits here. If the machine no longer accepts starts, all of them
/// are retracted, even if no request is sent.
pub(super) fn release(
    cluster: &mut Cluster,
    gate: &StartGate,
    index: MachineIndex,
    may_send_starts: bool,
) -> ReleasedStarts {
    let machine = &mut cluster.machines[index];
    let mut released = ReleasedStarts::default();
    if !machine.channel.has_starts() || (accepts_starts(machine) && !may_send_starts) {
        return released;
    }
    let token = machine.token(cluster.term);
    for id in machine.channel.take_starts() {
        match decide(cluster, gate, index, id) {
            StartDecision::Send(start, command) => {
                released.starts.push(start);
                released.commands.push(command);
                cluster.apply(gate.now, id, TaskEvent::Sent { token });
            }
            StartDecision::Wait => cluster.machines[index].channel.push_start(id),
            StartDecision::Retract => {
                cluster.apply(gate.now, id, TaskEvent::ProvenAbsent);
            }
            StartDecision::Forget => {}
        }
    }
    if !released.starts.is_empty() {
        let machine = &mut cluster.machines[index];
        machine.fence.start_sent(token);
    }
    released
}

fn decide(cluster: &Cluster, gate: &StartGate, index: MachineIndex, id: TaskId) -> StartDecision {
    let Some(job) = cluster.job(id.0) else { return StartDecision::Forget };
    let task = job.tasks[id.1 as usize];
    let machine = &cluster.machines[index];
    if task.phase != TaskPhase::Dispatching
        || task.token != FencingToken::NONE
        || task.machine != index
    {
        return StartDecision::Forget;
    }
    if job.is_ended() || !accepts_starts(machine) || task.agent_epoch != machine.agent_epoch {
        return StartDecision::Retract;
    }
    // If another machine reports the task as live, contrary to the cluster state, it has to be
    // stopped there first.
    if !gate.authority.may_send_start(gate.now, task.since)
        || cluster.conflicting_replicas.contains_key(&id)
    {
        return StartDecision::Wait;
    }
    let command =
        WorkerCommand::Run { task: format!("{}/{}", job.name, id.1), attempt: task.attempt };
    StartDecision::Send(SentStart { task: id, attempt: task.attempt }, command)
}

/// Retracts all starts waiting for a machine that is gone; they will never be sent.
pub(super) fn retract_all(cluster: &mut Cluster, now: Timestamp, index: MachineIndex) {
    for id in cluster.machines[index].channel.take_starts() {
        let is_waiting = cluster.job(id.0).is_some_and(|job| {
            let task = &job.tasks[id.1 as usize];
            task.phase == TaskPhase::Dispatching
                && task.token == FencingToken::NONE
                && task.machine == index
        });
        if is_waiting {
            cluster.apply(now, id, TaskEvent::ProvenAbsent);
        }
    }
}
