//! Starts between their commit and their message: the last check before they are sent.

use crate::leadership::authority::LeaderAuthority;
use crate::leadership::fencing_token::FencingToken;
use crate::model::cluster::Cluster;
use crate::model::ids::{Attempt, MachineIndex};
use crate::model::job::TaskId;
use crate::model::machine::MachineState;
use crate::model::task::{TaskEvent, TaskPhase};
use crate::protocol::workers::WorkerCommand;
use crate::time::Timestamp;

/// Starts that go out with a machine's next message.
#[derive(Debug, Default)]
pub(crate) struct ReleasedStarts {
    /// The tasks, each with the attempt that is started.
    pub(crate) ids: Vec<(TaskId, Attempt)>,
    /// The commands that start them.
    pub(crate) commands: Vec<WorkerCommand>,
}

/// What is done with a start that waits for its machine's next message.
enum Decision {
    Send {
        attempt: Attempt,
        command: WorkerCommand,
    },
    Wait,
    /// Recorded, never sent and never to be sent: absent by this leader's own doing.
    Withdraw,
    /// It is not this machine's start any more.
    Forget,
}

/// A committed start joins its machine's next message. Returns the machine.
pub(crate) fn queue_start(cluster: &mut Cluster, id: TaskId) -> Option<MachineIndex> {
    let task = cluster.job(id.0)?.tasks[id.1 as usize];
    if task.phase != TaskPhase::Dispatching || task.token != FencingToken::NONE {
        return None;
    }
    cluster.machines[task.machine].starting.push(id);
    Some(task.machine)
}

/// The last look at the starts that wait for a machine's next message. Those that may still go are
/// marked as sent with the very token of the message; a start that is given its token any earlier could
/// be proven absent by a heartbeat while it still waits here. Without a message (`sending` is false)
/// only those are taken back that can't be sent any more.
pub(crate) fn release_starts(
    cluster: &mut Cluster,
    authority: &LeaderAuthority,
    now: Timestamp,
    machine_index: MachineIndex,
    sending: bool,
) -> ReleasedStarts {
    let machine = &mut cluster.machines[machine_index];
    let accepts_starts = machine.state == MachineState::Up
        && machine.interruption_at.is_none()
        && machine.drain_reason.is_none();
    if machine.starting.is_empty() || (accepts_starts && !sending) {
        return ReleasedStarts::default();
    }
    let token = machine.token(cluster.term);
    let waiting = std::mem::take(&mut machine.starting);
    let mut released = ReleasedStarts::default();
    let mut still_waiting = Vec::new();
    for id in waiting {
        match decide(cluster, authority, now, machine_index, accepts_starts, id) {
            Decision::Send { attempt, command } => {
                released.ids.push((id, attempt));
                released.commands.push(command);
                cluster.apply(now, id, TaskEvent::Sent { token });
            }
            Decision::Wait => still_waiting.push(id),
            Decision::Withdraw => {
                cluster.apply(now, id, TaskEvent::ProvenAbsent);
            }
            Decision::Forget => {}
        }
    }
    let machine = &mut cluster.machines[machine_index];
    machine.starting = still_waiting;
    if !released.ids.is_empty() {
        machine.start_token = machine.start_token.max(token);
    }
    released
}

fn decide(
    cluster: &Cluster,
    authority: &LeaderAuthority,
    now: Timestamp,
    machine_index: MachineIndex,
    accepts_starts: bool,
    id: TaskId,
) -> Decision {
    let Some(job) = cluster.job(id.0) else { return Decision::Forget };
    let task = job.tasks[id.1 as usize];
    if task.phase != TaskPhase::Dispatching
        || task.token != FencingToken::NONE
        || task.machine != machine_index
    {
        return Decision::Forget;
    }
    let agent_epoch = cluster.machines[machine_index].agent_epoch;
    if job.is_ended() || !accepts_starts || task.agent_epoch != agent_epoch {
        return Decision::Withdraw;
    }
    // One that a machine shows live against the table is stopped there first.
    if !authority.may_send_start(now, task.since) || cluster.conflicting_replicas.contains_key(&id)
    {
        return Decision::Wait;
    }
    let name = format!("{}/{}", job.name, id.1);
    let attempt = task.attempt;
    let command = WorkerCommand::Run { task: name, attempt };
    Decision::Send { attempt, command }
}
