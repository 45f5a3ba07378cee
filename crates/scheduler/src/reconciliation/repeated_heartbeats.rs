//! Reports that say nothing new.
//!
//! Most reports repeat the one before them: the same tasks, in the same states, under the same token.
//! [`Scheduler::cache_heartbeat`] finds out whether a heartbeat has left nothing to do, so that the same
//! report under a later sequence number could not either. The node keeps the answer beside the text of
//! the heartbeat, and hands a repetition to [`Scheduler::answer_repeated_heartbeat`], which looks at one machine and
//! nothing else.
//!
//! The heartbeat may have come through another node, which then answers the repetitions itself (see
//! [`crate::reconciliation::delegation`]); it is the holder of the mark and is told when that is withdrawn.
//!
//! This is exact and no estimate: whatever could give such a heartbeat a meaning (a task of the machine
//! changes, its fence is raised, another report of it comes, the machine types change) withdraws the
//! mark first, and the heartbeat is then read in full.

use std::collections::BTreeSet;

use crate::leadership::fencing_token::{FencingToken, Term};
use crate::model::ids::MachineIndex;
use crate::model::job::TaskId;
use crate::model::machine::MachineState;
use crate::model::task::TaskPhase;
use crate::protocol;
use crate::protocol::workers::{Heartbeat, TaskState, TaskStatus};
use crate::reconciliation::heartbeats::STARTED_AFTER;
use crate::scheduler::Scheduler;
use crate::time::{TimeDelta, Timestamp};

/// Names one heartbeat that left nothing to do. Of use to the scheduler that gave it, and to no other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachedHeartbeat {
    /// The term of the scheduler.
    pub term: Term,
    /// The machine's place in that scheduler's table.
    pub machine: MachineIndex,
    /// Never given twice in a term.
    pub number: u64,
}

/// Who answers repetitions of a settled report: 0 is the leader's own node, and what other numbers
/// mean is the caller's.
pub type CacheHolder = u16;

/// The holder that is the leader's own node.
pub const OWN_NODE: CacheHolder = 0;

/// A mark that holds no more, and who has to be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Invalidated {
    /// The node that answered repetitions so far.
    pub holder: CacheHolder,
    /// What it may not answer any more.
    pub cached: CachedHeartbeat,
}

/// What a machine keeps of its last settled report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CacheRecord {
    pub(crate) number: u64,
    pub(crate) holder: CacheHolder,
    /// From then on time alone gives the heartbeat a meaning: a task has run for long enough to count
    /// as begun.
    until: Timestamp,
}

impl Scheduler {
    /// To be asked right after the heartbeat was answered without commands. `None`: a repetition of it
    /// would have to be read in full.
    pub fn cache_heartbeat(
        &mut self,
        now: Timestamp,
        heartbeat: &Heartbeat,
        holder: CacheHolder,
    ) -> Option<CachedHeartbeat> {
        let &machine = self.cluster.machines_by_name.get(&heartbeat.machine)?;
        let known = &self.cluster.machines[machine];
        let is_newest =
            (heartbeat.agent_epoch, heartbeat.sequence) == (known.agent_epoch, known.sequence);
        // The answer raises no token, and the machine owes none.
        let token_agrees = heartbeat.token == known.acknowledged_token
            && heartbeat.token == known.token(self.term)
            && heartbeat.token >= FencingToken::first_of(self.term).max(known.required_token);
        let machine_is_well = known.state == MachineState::Up
            && known.kind.is_some()
            && known.interruption_at.is_none()
            && heartbeat.interruption_notice_s.is_none()
            && known.unacknowledged_since.is_none()
            && known.unexpected_tasks == 0
            && known.retry_at <= now;
        if !is_newest || !token_agrees || !machine_is_well {
            return None;
        }
        if known.tasks.len() != heartbeat.tasks.len() {
            return None;
        }
        let mut until = Timestamp(u64::MAX);
        let mut reported: BTreeSet<TaskId> = BTreeSet::new();
        for entry in &heartbeat.tasks {
            let (task, meaningless_until) = self.cacheable_task(machine, entry)?;
            until = until.min(meaningless_until);
            reported.insert(task);
        }
        if reported != known.tasks || until <= now {
            return None;
        }
        self.cluster.invalidate_cached_heartbeat(machine);
        self.cluster.last_cached_number += 1;
        let number = self.cluster.last_cached_number;
        self.cluster.machines[machine].cached = Some(CacheRecord { number, holder, until });
        Some(CachedHeartbeat { term: self.term, machine, number })
    }

    /// The task, if it is reported as it is known here, and until when that means nothing.
    fn cacheable_task(
        &self,
        machine: MachineIndex,
        entry: &TaskStatus,
    ) -> Option<(TaskId, Timestamp)> {
        let (name, index) = protocol::workers::parse_task_id(&entry.task)?;
        let &job_index = self.cluster.jobs_by_name.get(name)?;
        let job = self.cluster.job(job_index)?;
        let task = job.tasks.get(index as usize)?;
        let as_known = task.phase == TaskPhase::Running
            && task.machine == machine
            && task.attempt == entry.attempt
            && !job.is_ended();
        if !as_known {
            return None;
        }
        let until = match entry.state {
            TaskState::Fetching => Timestamp(u64::MAX),
            TaskState::Running if job.has_started => Timestamp(u64::MAX),
            TaskState::Running => *job.started.get(&index)? + STARTED_AFTER,
            TaskState::Flushing | TaskState::Exited | TaskState::Other => return None,
        };
        Some(((job_index, index), until))
    }

    /// For how long repetitions of the settled report mean nothing, if nothing happens.
    pub fn cached_for(&self, now: Timestamp, cached: CachedHeartbeat) -> TimeDelta {
        let machine = self.cluster.machines.get(cached.machine.as_usize());
        let known = machine.and_then(|m| m.cached).filter(|s| s.number == cached.number);
        known.map_or(TimeDelta::ZERO, |s| s.until.since(now))
    }

    /// The settled report came again, the same but for its sequence number. The token to answer with,
    /// and no commands; `None`: the heartbeat has to be read in full.
    pub fn answer_repeated_heartbeat(
        &mut self,
        now: Timestamp,
        cached: CachedHeartbeat,
        sequence: u64,
    ) -> Option<FencingToken> {
        if !self.may_renew_leases(now) || !self.record_repeated_heartbeat(now, cached, sequence) {
            return None;
        }
        let machine = self.cluster.machines.get(cached.machine.as_usize())?;
        Some(machine.token(self.term))
    }

    /// The settled report came again, here or at its holder, who answered it. Whether it was of use.
    pub fn record_repeated_heartbeat(
        &mut self,
        now: Timestamp,
        cached: CachedHeartbeat,
        sequence: u64,
    ) -> bool {
        if cached.term != self.term {
            return false;
        }
        let Some(machine) = self.cluster.machines.get_mut(cached.machine.as_usize()) else {
            return false;
        };
        let holds = machine.cached.is_some_and(|s| s.number == cached.number && now < s.until);
        if !holds || sequence <= machine.sequence {
            return false;
        }
        machine.sequence = sequence;
        machine.last_heartbeat = now;
        true
    }
}
