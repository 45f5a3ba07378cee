//! Builds the commands that are returned in response to a heartbeat.

use crate::event::Anomaly;
use crate::model::cluster::Cluster;
use crate::model::ids::MachineIndex;
use crate::model::job::Job;
use crate::model::machine::{Machine, MachineState};
use crate::model::task::TaskPhase;
use crate::protocol::workers::{Heartbeat, WorkerCommand};
use crate::reconciliation::heartbeats::HeartbeatAnswer;
use crate::reconciliation::reported_tasks::{ReportedTask, ReportedTasks};
use crate::time::Timestamp;

/// Maximum number of commands in a response, which is a single line of at most 64 KiB; further
/// commands follow with the next response. The limit is needed because a heartbeat may list as many
/// tasks as fit into its own 64 KiB, and a command is longer than a task entry.
pub(crate) const MAX_COMMANDS: usize = 500;

/// Builds the response to a heartbeat that has been reconciled. Also returns the anomaly found in
/// the heartbeat, if any.
pub(crate) fn answer(
    cluster: &mut Cluster,
    now: Timestamp,
    index: MachineIndex,
    heartbeat: &Heartbeat,
    reported: &ReportedTasks,
) -> (HeartbeatAnswer, Option<Anomaly>) {
    let term = cluster.term;
    if let Some(anomaly) = anomaly_of(&cluster.machines[index], heartbeat) {
        let token = cluster.machines[index].token(term);
        return (HeartbeatAnswer { token, commands: Vec::new() }, Some(anomaly));
    }
    // Commands are sent even if the answer to a direct request has overtaken this heartbeat: the
    // response renews the lease, so it must also stop what has to be stopped. If the heartbeat is
    // an old copy, the commands are harmless.
    let commands = commands_for(cluster, index, reported);
    let machine = &mut cluster.machines[index];
    let token = machine.token(term);
    if token > heartbeat.token {
        machine.fence.sent_in_answer(now);
    }
    (HeartbeatAnswer { token, commands }, None)
}

/// Returns why the heartbeat is answered without commands, or `None` if it is answered normally.
fn anomaly_of(machine: &Machine, heartbeat: &Heartbeat) -> Option<Anomaly> {
    if machine.state == MachineState::Terminated {
        Some(Anomaly::HeartbeatAfterTermination)
    } else if heartbeat.agent_epoch < machine.agent_epoch {
        Some(Anomaly::LateHeartbeat)
    } else {
        None
    }
}

/// Returns the commands for the reported tasks: kill those that are not placed on the machine or
/// are being stopped, and reap those whose end is stored. Both commands are idempotent.
fn commands_for(
    cluster: &mut Cluster,
    machine: MachineIndex,
    reported: &ReportedTasks,
) -> Vec<WorkerCommand> {
    let mut commands = Vec::new();
    let mut reaps = Vec::new();
    for entry in reported.iter() {
        if entry.is_live() {
            commands.extend(kill_command(cluster, machine, entry));
        } else {
            reaps.extend(reap_command(cluster, machine, entry));
        }
    }
    if !reaps.is_empty() && fence_starts(cluster, machine) {
        commands.extend(reaps);
    }
    commands.truncate(MAX_COMMANDS);
    commands
}

/// Returns the job and the task's phase if the reported attempt is placed on the machine, or
/// completed there without the completion being stored.
fn placed_task<'a>(
    cluster: &'a Cluster,
    machine: MachineIndex,
    entry: &ReportedTask,
) -> Option<(&'a Job, TaskPhase)> {
    let id = entry.id.filter(|&id| cluster.is_placed(machine, id, entry.status.attempt))?;
    Some((cluster.job(id.job)?, cluster.task(id)?.phase))
}

/// Returns a kill command if the attempt is not placed on the machine, or if its task or job is
/// being stopped.
fn kill_command(
    cluster: &Cluster,
    machine: MachineIndex,
    entry: &ReportedTask,
) -> Option<WorkerCommand> {
    let grace_s = match placed_task(cluster, machine, entry) {
        None => 0.0,
        Some((job, _)) if job.is_ended() => 0.0,
        Some((job, TaskPhase::Stopping)) => job.spec.stop_grace_s(),
        Some(_) => return None,
    };
    let (task, attempt) = (entry.status.task.clone(), entry.status.attempt);
    Some(WorkerCommand::Kill { task, attempt, grace_s })
}

/// Returns a command that lets the worker forget an attempt that exited, unless its completion is
/// not stored yet.
fn reap_command(
    cluster: &Cluster,
    machine: MachineIndex,
    entry: &ReportedTask,
) -> Option<WorkerCommand> {
    // A task whose completion is stored no longer counts as placed.
    let keep = placed_task(cluster, machine, entry).is_some_and(|(job, _)| !job.is_ended());
    let (task, attempt) = (entry.status.task.clone(), entry.status.attempt);
    (!keep).then_some(WorkerCommand::Reap { task, attempt })
}

/// Raises the machine's token above that of every start sent to it, if a raise is needed and
/// allowed. Returns whether the token is above them. After a reap the worker has forgotten the
/// attempt, so a delayed copy of its start would run it again; a reap is therefore always sent with
/// such a token.
fn fence_starts(cluster: &mut Cluster, machine: MachineIndex) -> bool {
    let term = cluster.term;
    let machine = &mut cluster.machines[machine];
    if !machine.fence.is_above_starts(term) && !machine.channel.has_request_in_flight() {
        machine.fence.raise();
    }
    machine.fence.is_above_starts(term)
}
