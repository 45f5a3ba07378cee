//! Heartbeats that say nothing new.
//!
//! Most heartbeats repeat the one before them: the same tasks, in the same states, under the same token.
//! [`Scheduler::cache_heartbeat`](crate::scheduler::Scheduler::cache_heartbeat) finds out whether a
//! heartbeat has left nothing to do, so that the same one under a later sequence number could not either.
//! The node keeps the answer beside the text of the heartbeat, and hands a repetition to
//! [`Scheduler::answer_repeated_heartbeat`](crate::scheduler::Scheduler::answer_repeated_heartbeat), which
//! examines one machine and nothing else.
//!
//! The heartbeat may have come through another node, which then answers the repetitions itself (see
//! [`crate::reconciliation::delegation`]); it is the holder of the cache entry and is told when that is
//! invalidated.
//!
//! This is exact and no estimate: whatever could give such a heartbeat a meaning (a task of the machine
//! changes, its fencing counter is raised, another heartbeat of it comes, the machine types change)
//! invalidates the entry first, and the heartbeat is then read in full.

use std::collections::BTreeSet;

use crate::leadership::fencing_token::Term;
use crate::model::cluster::Cluster;
use crate::model::ids::MachineIndex;
use crate::model::job::TaskId;
use crate::model::machine::{Machine, MachineState};
use crate::model::task::TaskPhase;
use crate::protocol::workers::{parse_task_id, Heartbeat, TaskState, TaskStatus};
use crate::reconciliation::absence::STARTED_AFTER;
use crate::reconciliation::heartbeat_cache::{CacheHolder, CachedHeartbeat};
use crate::time::Timestamp;

/// No time alone gives the heartbeat a meaning.
const NEVER: Timestamp = Timestamp(u64::MAX);

/// Caches a heartbeat that was just answered without commands. `None`: it left something to do, and a
/// repetition has to be read in full.
pub(crate) fn cache(
    cluster: &mut Cluster,
    now: Timestamp,
    heartbeat: &Heartbeat,
    holder: CacheHolder,
) -> Option<CachedHeartbeat> {
    let &machine = cluster.machines_by_name.get(&heartbeat.machine)?;
    let expires_at = meaningless_until(cluster, now, machine, heartbeat)?;
    Some(cluster.heartbeat_cache.insert(machine, holder, expires_at))
}

/// A cached heartbeat came again, here or at its holder, who answered it. Whether it was still valid
/// and newer than the last one.
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

/// Until when repetitions of the heartbeat mean nothing. `None`: they mean something already.
fn meaningless_until(
    cluster: &Cluster,
    now: Timestamp,
    index: MachineIndex,
    heartbeat: &Heartbeat,
) -> Option<Timestamp> {
    let machine = &cluster.machines[index];
    let is_newest =
        (heartbeat.agent_epoch, heartbeat.sequence) == (machine.agent_epoch, machine.sequence);
    if !is_newest
        || !owes_no_token(machine, cluster.term, heartbeat)
        || !is_undisturbed(machine, now, heartbeat)
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

/// The answer raises no token, and the machine owes none.
fn owes_no_token(machine: &Machine, term: Term, heartbeat: &Heartbeat) -> bool {
    heartbeat.token == machine.fence.acknowledged()
        && heartbeat.token == machine.token(term)
        && machine.fence.is_acknowledged(term)
}

/// Nothing about the machine asks for more than its lease to be renewed.
fn is_undisturbed(machine: &Machine, now: Timestamp, heartbeat: &Heartbeat) -> bool {
    machine.state == MachineState::Up
        && machine.kind.is_some()
        && machine.interruption_at.is_none()
        && heartbeat.interruption_notice_s.is_none()
        && machine.fence.unacknowledged_since().is_none()
        && machine.unexpected_tasks == 0
        && !machine.channel.is_paused(now)
}

/// The task, if it is reported as the tables have it, and until when that means nothing.
fn cacheable_task(
    cluster: &Cluster,
    machine: MachineIndex,
    entry: &TaskStatus,
) -> Option<(TaskId, Timestamp)> {
    let (name, index) = parse_task_id(&entry.task)?;
    let &job_index = cluster.jobs_by_name.get(name)?;
    let job = cluster.job(job_index)?;
    let task = job.tasks.get(index as usize)?;
    let is_as_known = task.phase == TaskPhase::Running
        && task.machine == machine
        && task.attempt == entry.attempt
        && !job.is_ended();
    if !is_as_known {
        return None;
    }
    let expires_at = match entry.state {
        TaskState::Fetching => NEVER,
        TaskState::Running if job.has_started => NEVER,
        // Then the task has run for long enough to count as started.
        TaskState::Running => *job.started.get(&index)? + STARTED_AFTER,
        TaskState::Flushing | TaskState::Exited | TaskState::Other => return None,
    };
    Some(((job_index, index), expires_at))
}
