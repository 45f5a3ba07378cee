//! Merges the task list of a heartbeat into the cluster state: which tasks are present on the
//! machine, which exited, and which are proven absent. A task that is placed on the machine but
//! missing from the heartbeat counts as absent only if the heartbeat proves that its start command
//! can no longer be executed.

use crate::leadership::fencing_token::FencingToken;
use crate::model::cluster::Cluster;
use crate::model::ids::{MachineIndex, TaskId};
use crate::model::task::{Task, TaskEvent};
use crate::protocol::workers::{ExitReason, Heartbeat, TaskState, TaskStatus};
use crate::reconciliation::heartbeats::Reconciler;
use crate::reconciliation::reported_tasks::ReportedTasks;
use crate::time::{TimeDelta, Timestamp};

/// Run time after which a task counts as started for the job's users. A task that is stopped within
/// half a minute does not count.
pub(crate) const STARTED_AFTER: TimeDelta = TimeDelta::from_secs(32);

/// Result of comparing a heartbeat with an attempt that is placed on the reporting machine.
enum Evidence<'a> {
    /// This attempt or another attempt of the task is on the machine. Holds the entry if it is this
    /// attempt that was reported.
    Present(Option<&'a TaskStatus>),
    /// The heartbeat reports that the attempt exited.
    Exited(ExitReason),
    /// The attempt is not reported, and its start command can no longer be executed.
    ProvenAbsent,
    /// The attempt is not reported, but its start command may still be in transit.
    Inconclusive,
}

impl<'a> Evidence<'a> {
    fn of(
        id: TaskId,
        task: &Task,
        heartbeat: &Heartbeat,
        reported: &ReportedTasks<'a>,
    ) -> Evidence<'a> {
        let entry = reported.newest(id).filter(|entry| entry.attempt == task.attempt);
        match entry {
            Some(entry) if entry.state != TaskState::Exited => Evidence::Present(Some(entry)),
            // The worker refuses an attempt while another attempt of the task is on the machine, so
            // the task is present. When such a refusal counted as absence, the task was started a
            // second time on another machine.
            _ if reported.any_live(id) => Evidence::Present(None),
            Some(entry) => Evidence::Exited(entry.cause.unwrap_or(ExitReason::Other)),
            None if proves_absence(task, heartbeat) => Evidence::ProvenAbsent,
            None => Evidence::Inconclusive,
        }
    }
}

/// Returns whether the task's start can no longer be executed on the reporting machine. The worker
/// must have moved on to a later agent epoch, or have seen a token above the one that the start
/// carries; until then the start may still be in transit.
fn proves_absence(task: &Task, heartbeat: &Heartbeat) -> bool {
    task.token != FencingToken::NONE
        && (heartbeat.agent_epoch > task.agent_epoch || heartbeat.token > task.token)
}

/// Counts the live tasks reported by the machine that are not placed there, and records where each
/// known one of them runs. Returns whether the count changed.
pub(crate) fn update_unexpected_tasks(
    cluster: &mut Cluster,
    machine: MachineIndex,
    reported: &ReportedTasks,
) -> bool {
    cluster.conflicting_replicas.clear(machine);
    let mut unexpected = 0;
    for entry in reported.iter().filter(|entry| entry.is_live()) {
        if entry.id.is_some_and(|id| cluster.is_placed(machine, id, entry.status.attempt)) {
            continue;
        }
        unexpected += 1;
        if let Some(id) = entry.id {
            cluster.conflicting_replicas.insert(id, machine);
        }
    }
    let known = &mut cluster.machines[machine].unexpected_tasks;
    std::mem::replace(known, unexpected) != unexpected
}

/// Applies what the heartbeat shows about each task placed on its machine. Returns whether any of
/// them is no longer there.
pub(crate) fn merge_placed_tasks(
    reconciler: &mut Reconciler,
    machine: MachineIndex,
    heartbeat: &Heartbeat,
    reported: &ReportedTasks,
) -> bool {
    let placed: Vec<TaskId> = reconciler.cluster.machines[machine].tasks.iter().copied().collect();
    let mut any_ended = false;
    for id in placed {
        let Some(task) = reconciler.cluster.task(id) else { continue };
        match Evidence::of(id, &task, heartbeat, reported) {
            Evidence::Present(entry) => {
                if let Some(entry) = entry {
                    mark_observed(reconciler.cluster, reconciler.now, machine, id, entry.state);
                }
            }
            Evidence::Exited(reason) => {
                any_ended = true;
                reconciler.task_exited(id, machine, reason);
            }
            Evidence::ProvenAbsent => {
                any_ended = true;
                reconciler.cluster.apply(reconciler.now, id, TaskEvent::ProvenAbsent);
            }
            Evidence::Inconclusive => {}
        }
    }
    any_ended
}

/// Records that the attempt is present on its machine.
fn mark_observed(
    cluster: &mut Cluster,
    now: Timestamp,
    machine: MachineIndex,
    id: TaskId,
    state: TaskState,
) {
    if state == TaskState::Running {
        record_running(cluster, now, machine, id);
    }
    cluster.apply(now, id, TaskEvent::Observed);
}

/// Records the start time of a running attempt. Its image must be on the machine too, since the
/// attempt runs.
fn record_running(cluster: &mut Cluster, now: Timestamp, machine: MachineIndex, id: TaskId) {
    let Some(job) = cluster.job(id.job) else { return };
    let Some(task) = job.tasks.get(id.index) else { return };
    let image = job.spec.image.clone();
    let began = cluster.run_started_at(now, &task);
    if let Some(job) = cluster.jobs.get_mut(&id.job) {
        let since = *job.started.entry(id.index).or_insert(began);
        job.has_started |= now.since(since) >= STARTED_AFTER;
    }
    cluster.machines[machine].add_image(image);
}

/// Raises the fencing counter if a task that was sent under the machine's current token is missing
/// from the heartbeat. This is unexpected but proves nothing by itself; once the worker has seen
/// the raised token, its next heartbeat proves whether the task is absent.
pub(crate) fn raise_fence_for_missing_tasks(
    cluster: &mut Cluster,
    index: MachineIndex,
    reported: &ReportedTasks,
) {
    let machine = &cluster.machines[index];
    let current_token = machine.token(cluster.term);
    let is_missing = |id: &TaskId| {
        cluster.task(*id).is_some_and(|task| {
            task.token != FencingToken::NONE
                && task.token == current_token
                && reported.newest(*id).is_none()
        })
    };
    if !machine.channel.has_request_in_flight() && machine.tasks.iter().any(is_missing) {
        cluster.machines[index].fence.raise();
    }
}
