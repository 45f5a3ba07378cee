//! Fast path for heartbeats without new information.
//!
//! Most heartbeats repeat the previous one: the same tasks in the same states, under the same
//! token. [`Scheduler::cache_heartbeat`](crate::scheduler::Scheduler::cache_heartbeat) determines
//! whether a heartbeat required no action, so that the same heartbeat with a later sequence number
//! would require none either. The node stores the response together with the text of the heartbeat.
//! It passes a repetition to
//! [`Scheduler::answer_repeated_heartbeat`](crate::scheduler::Scheduler::answer_repeated_heartbeat),
//! which examines only that one machine.
//!
//! A heartbeat may also arrive through another node, which then answers the repetitions itself (see
//! [`crate::reconciliation::delegation`]). That node is the holder of the cache entry and is
//! notified when the entry is invalidated.
//!
//! The check is exact: any change that could make a repetition relevant (a task of the machine
//! changes, its fencing counter is raised, another of its heartbeats arrives, the machine types
//! change) first invalidates the entry, and the next heartbeat is then processed in full.

use std::collections::BTreeSet;

use crate::leadership::fencing_token::Term;
use crate::model::cluster::Cluster;
use crate::model::ids::{MachineIndex, TaskId};
use crate::model::machine::{Machine, MachineState};
use crate::model::task::TaskPhase;
use crate::protocol::workers::{parse_task_id, Heartbeat, TaskState, TaskStatus};
use crate::reconciliation::absence::STARTED_AFTER;
use crate::reconciliation::heartbeat_cache::{CacheHolder, CachedHeartbeat};
use crate::time::Timestamp;

/// Expiry of entries that stay valid until they are invalidated.
const NEVER: Timestamp = Timestamp(u64::MAX);

/// Caches a heartbeat that was just answered without commands. Returns `None` if the heartbeat
/// required an action, in which case a repetition has to be processed in full.
pub(crate) fn cache(
    cluster: &mut Cluster,
    now: Timestamp,
    heartbeat: &Heartbeat,
    holder: CacheHolder,
) -> Option<CachedHeartbeat> {
    let &machine = cluster.machines_by_name.get(&heartbeat.machine)?;
    let expires_at = cache_expiry(cluster, now, machine, heartbeat)?;
    Some(cluster.heartbeat_cache.insert(machine, holder, expires_at))
}

/// Records a repetition of a cached heartbeat that was answered here or by the entry's holder.
/// Returns whether the entry was still valid and the repetition newer than the last one.
pub(crate) fn record_repetition(
    cluster: &mut Cluster,
    now: Timestamp,
    cached: CachedHeartbeat,
    sequence: u64,
) -> bool {
    if !cluster.heartbeat_cache.is_valid(now, cached) {
        return false;
    }
    let machine = cluster.machines.get_mut(cached.machine.as_usize());
    machine.is_some_and(|machine| machine.record_repeated_heartbeat(now, sequence))
}

/// Returns the time until which repetitions of the heartbeat require no action, or `None` if they
/// already require one.
fn cache_expiry(
    cluster: &Cluster,
    now: Timestamp,
    index: MachineIndex,
    heartbeat: &Heartbeat,
) -> Option<Timestamp> {
    let machine = &cluster.machines[index];
    let is_newest =
        (heartbeat.agent_epoch, heartbeat.sequence) == (machine.agent_epoch, machine.sequence);
    if !is_newest
        || !is_token_current(machine, cluster.term, heartbeat)
        || !needs_only_lease_renewal(machine, now, heartbeat)
        || machine.tasks.len() != heartbeat.tasks.len()
    {
        return None;
    }
    let mut expires_at = NEVER;
    let mut reported: BTreeSet<TaskId> = BTreeSet::new();
    for entry in &heartbeat.tasks {
        let (task, task_expires_at) = cacheable_task(cluster, index, entry)?;
        expires_at = expires_at.min(task_expires_at);
        reported.insert(task);
    }
    (reported == machine.tasks && expires_at > now).then_some(expires_at)
}

/// Returns whether the worker has acknowledged the machine's current token, so that the response
/// would not carry a higher one.
fn is_token_current(machine: &Machine, term: Term, heartbeat: &Heartbeat) -> bool {
    heartbeat.token == machine.fence.acknowledged()
        && heartbeat.token == machine.token(term)
        && machine.fence.is_acknowledged(term)
}

/// Returns whether the response to the heartbeat only has to renew the machine's lease.
fn needs_only_lease_renewal(machine: &Machine, now: Timestamp, heartbeat: &Heartbeat) -> bool {
    machine.state == MachineState::Up
        && machine.kind.is_some()
        && machine.interruption_at.is_none()
        && heartbeat.interruption_notice_s.is_none()
        && machine.fence.unacknowledged_since().is_none()
        && machine.unexpected_tasks == 0
        && !machine.channel.is_paused(now)
}

/// Returns the task and the time until which its entry remains without consequence, or `None` if
/// the entry differs from the cluster state.
fn cacheable_task(
    cluster: &Cluster,
    machine: MachineIndex,
    entry: &TaskStatus,
) -> Option<(TaskId, Timestamp)> {
    let (name, index) = parse_task_id(&entry.task)?;
    let &job_index = cluster.jobs_by_name.get(name)?;
    let job = cluster.job(job_index)?;
    let task = job.tasks.get(index)?;
    let matches_cluster_state = task.phase == TaskPhase::Running
        && task.machine == machine
        && task.attempt == entry.attempt
        && !job.is_ended();
    if !matches_cluster_state {
        return None;
    }
    let expires_at = match entry.state {
        TaskState::Fetching => NEVER,
        TaskState::Running if job.has_started => NEVER,
        // From then on the task has run long enough to count as started.
        TaskState::Running => *job.started.get(&index)? + STARTED_AFTER,
        TaskState::Flushing | TaskState::Exited | TaskState::Other => return None,
    };
    Some((TaskId { job: job_index, index }, expires_at))
}
