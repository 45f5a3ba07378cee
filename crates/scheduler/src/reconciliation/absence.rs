//! Merging a heartbeat's task list into the tables: what is there, what ended, and what is proven
//! absent. A task that the tables place on the machine and the heartbeat doesn't list is absent only if
//! the heartbeat proves that its start can't be executed any more.

use crate::leadership::fencing_token::FencingToken;
use crate::model::cluster::Cluster;
use crate::model::ids::MachineIndex;
use crate::model::job::TaskId;
use crate::model::task::{Task, TaskEvent};
use crate::protocol::workers::{ExitReason, Heartbeat, TaskState, TaskStatus};
use crate::reconciliation::heartbeats::Reconciler;
use crate::reconciliation::reported_tasks::ReportedTasks;
use crate::time::{TimeDelta, Timestamp};

/// A start counts for the job's users if it is not stopped again within half a minute.
pub(crate) const STARTED_AFTER: TimeDelta = TimeDelta::from_secs(32);

/// What a heartbeat shows of an attempt that the tables place on its machine.
enum Evidence<'a> {
    /// It is there, or another attempt of the task is.
    Present(Option<&'a TaskStatus>),
    /// It ended.
    Exited(ExitReason),
    /// It is not listed, and its start can't be executed any more.
    ProvenAbsent,
    /// It is not listed, but its start may still be under way.
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
            // An attempt that was refused since another is there says that the task is there. (Taken
            // for absent, it was started a second time elsewhere.)
            _ if reported.any_live(id) => Evidence::Present(None),
            Some(entry) => Evidence::Exited(entry.cause.unwrap_or(ExitReason::Other)),
            None if proves_absence(task, heartbeat) => Evidence::ProvenAbsent,
            None => Evidence::Inconclusive,
        }
    }
}

/// An absent task proves nothing while its start may still be under way: the worker must have moved on
/// to a later agent epoch, or have seen a token above the one that the start carries.
fn proves_absence(task: &Task, heartbeat: &Heartbeat) -> bool {
    task.token != FencingToken::NONE
        && (heartbeat.agent_epoch > task.agent_epoch || heartbeat.token > task.token)
}

/// Counts the live tasks that the tables don't place on the machine, and notes where each known one of
/// them is. Whether their number changed.
pub(crate) fn update_unexpected_tasks(
    cluster: &mut Cluster,
    machine: MachineIndex,
    reported: &ReportedTasks,
) -> bool {
    cluster.conflicting_replicas.retain(|_, on| *on != machine);
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

/// Merges what the heartbeat shows of the tasks that the tables place on its machine. Whether any of
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
        let Some(job) = reconciler.cluster.job(id.0) else { continue };
        let task = job.tasks[id.1 as usize];
        match Evidence::of(id, &task, heartbeat, reported) {
            Evidence::Present(entry) => {
                if let Some(entry) = entry {
                    observed(reconciler.cluster, reconciler.now, machine, id, entry.state);
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

/// The attempt is on its machine.
fn observed(
    cluster: &mut Cluster,
    now: Timestamp,
    machine: MachineIndex,
    id: TaskId,
    state: TaskState,
) {
    if state == TaskState::Running {
        observed_running(cluster, now, machine, id);
    }
    cluster.apply(now, id, TaskEvent::Observed);
}

/// The attempt runs, so its image is on the machine.
fn observed_running(cluster: &mut Cluster, now: Timestamp, machine: MachineIndex, id: TaskId) {
    let Some(job) = cluster.job(id.0) else { return };
    let image = job.spec.image.clone();
    let began = cluster.run_started_at(now, &job.tasks[id.1 as usize]);
    if let Some(job) = cluster.jobs.get_mut(&id.0) {
        let since = *job.started.entry(id.1).or_insert(began);
        job.has_started |= now.since(since) >= STARTED_AFTER;
    }
    cluster.machines[machine].add_image(image);
}

/// A confirmed task that is missing under the very token it was sent with is strange; a raised fencing
/// counter turns the next heartbeat into proof.
pub(crate) fn raise_fence_for_missing_tasks(
    cluster: &mut Cluster,
    index: MachineIndex,
    reported: &ReportedTasks,
) {
    let machine = &cluster.machines[index];
    let current_token = machine.token(cluster.term);
    let is_missing = |id: &TaskId| {
        cluster.job(id.0).is_some_and(|job| {
            let task = &job.tasks[id.1 as usize];
            task.token != FencingToken::NONE
                && task.token == current_token
                && reported.newest(*id).is_none()
        })
    };
    if !machine.channel.has_request_in_flight() && machine.tasks.iter().any(is_missing) {
        cluster.machines[index].fence.raise();
    }
}
