//! Decides when a stored start is included in a request to its machine, and which starts are never
//! sent.

use crate::event::{StartOutcome, SupersededStart};
use crate::leadership::authority::LeaderAuthority;
use crate::model::cluster::Cluster;
use crate::model::ids::MachineIndex;
use crate::model::machine::{Machine, MachineState};
use crate::model::start::TaskStart;
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
    pub(super) starts: Vec<TaskStart>,
    pub(super) commands: Vec<WorkerCommand>,
}

/// Decision on a stored start that has not been sent.
enum StartDecision {
    /// Include it in the next request.
    Send(WorkerCommand),
    /// Keep it waiting.
    Wait,
    /// Retract it: it was stored but never sent and never will be, so the attempt is known to be
    /// absent.
    Retract,
    /// Drop it, because it is no longer the recorded start of its task.
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
/// prove a start absent that still waits here. Starts that will never be sent are retracted even if
/// no request is sent now.
pub(super) fn release(
    cluster: &mut Cluster,
    gate: &StartGate,
    index: MachineIndex,
    may_send_starts: bool,
) -> ReleasedStarts {
    let machine = &mut cluster.machines[index];
    let mut released = ReleasedStarts::default();
    let token = machine.token(cluster.term);
    for start in machine.channel.take_starts() {
        let TaskStart { task, placement } = start;
        match decide(cluster, gate, start, may_send_starts) {
            StartDecision::Send(command) => {
                if cluster.apply(gate.now, task, TaskEvent::Sent { placement, token }) {
                    released.starts.push(start);
                    released.commands.push(command);
                }
            }
            StartDecision::Wait => cluster.machines[index].channel.push_start(start),
            StartDecision::Retract => {
                cluster.apply(gate.now, task, TaskEvent::NotSent(placement));
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

fn decide(
    cluster: &Cluster,
    gate: &StartGate,
    start: TaskStart,
    may_send_starts: bool,
) -> StartDecision {
    let TaskStart { task: id, placement } = start;
    let Some(job) = cluster.job(id.job) else { return StartDecision::Forget };
    let Some(task) = job.tasks.get(id.index) else { return StartDecision::Forget };
    if task.phase != TaskPhase::Recorded || task.placement() != placement {
        return StartDecision::Forget;
    }
    let machine = &cluster.machines[placement.machine];
    if job.is_ended() || !accepts_starts(machine) || placement.agent_epoch != machine.agent_epoch {
        return StartDecision::Retract;
    }
    // If another machine reports the task as live, contrary to the cluster state, it has to be
    // stopped there first.
    if !may_send_starts
        || !gate.authority.may_send_start(gate.now, task.placed_at)
        || cluster.conflicting_replicas.contains(id)
    {
        return StartDecision::Wait;
    }
    let (task, attempt) = (job.task_name(id.index), placement.attempt);
    StartDecision::Send(WorkerCommand::Run { task, attempt })
}

/// Retracts all starts waiting for a machine that is gone; they will never be sent.
pub(super) fn retract_all(cluster: &mut Cluster, now: Timestamp, index: MachineIndex) {
    for TaskStart { task, placement } in cluster.machines[index].channel.take_starts() {
        cluster.apply(now, task, TaskEvent::NotSent(placement));
    }
}

/// Compares a settled start with the current state of its task, for the log. Returns `None` if the
/// job is no longer known.
pub(crate) fn describe_superseded(
    cluster: &Cluster,
    start: TaskStart,
    outcome: StartOutcome,
) -> Option<SupersededStart> {
    let TaskStart { task: id, placement } = start;
    let task = cluster.task(id)?;
    let machine_name = |machine: MachineIndex| cluster.machines[machine].name.clone();
    Some(SupersededStart {
        task: cluster.task_name(id)?,
        outcome,
        attempt: placement.attempt,
        machine: machine_name(placement.machine),
        current_phase: task.phase,
        current_attempt: task.attempt,
        current_machine: task.phase.placed().then(|| machine_name(task.machine)),
    })
}
