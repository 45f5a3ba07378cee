//! Stored starts: when one joins its machine's next request, and which are never sent.

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

/// Which stored starts may be sent at one point in time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartGate<'a> {
    /// When it is decided.
    pub(crate) now: Timestamp,
    /// Whether this leader may start anything, and how old a start may be.
    pub(crate) authority: &'a LeaderAuthority,
}

/// Starts released for one request.
#[derive(Debug, Default)]
pub(super) struct ReleasedStarts {
    pub(super) starts: Vec<SentStart>,
    pub(super) commands: Vec<WorkerCommand>,
}

/// What becomes of a stored start that waits.
enum StartDecision {
    /// Sent with the next request.
    Send(SentStart, WorkerCommand),
    /// Goes on waiting.
    Wait,
    /// Recorded, never sent and never to be sent: absent by this scheduler's own doing.
    Retract,
    /// No longer a start of this machine.
    Forget,
}

/// Whether starts are sent to the machine at all.
fn accepts_starts(machine: &Machine) -> bool {
    machine.state == MachineState::Up
        && machine.interruption_at.is_none()
        && machine.drain_reason.is_none()
}

/// The last look at the starts that wait for a machine's next request. Those that may still be sent
/// are marked as sent with the very token of the request; a start that is given its token any
/// earlier could be proven absent by a heartbeat while it still waits here. If the machine accepts
/// none any more, they are all retracted, also without a request.
pub(super) fn release(
    cluster: &mut Cluster,
    gate: &StartGate,
    index: MachineIndex,
    is_sending: bool,
) -> ReleasedStarts {
    let machine = &mut cluster.machines[index];
    let mut released = ReleasedStarts::default();
    if !machine.channel.has_starts() || (accepts_starts(machine) && !is_sending) {
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
    // One that a machine reports live against the tables is stopped there first.
    if !gate.authority.may_send_start(gate.now, task.since)
        || cluster.conflicting_replicas.contains_key(&id)
    {
        return StartDecision::Wait;
    }
    let command =
        WorkerCommand::Run { task: format!("{}/{}", job.name, id.1), attempt: task.attempt };
    StartDecision::Send(SentStart { task: id, attempt: task.attempt }, command)
}

/// Starts that wait for a machine which is gone are never sent.
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
