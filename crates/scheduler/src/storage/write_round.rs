//! Decides what one round of writes contains, before any of it is sent.
//!
//! Job ends and starts go first, in as few transactions as the limits allow. Writes that don't fit
//! wait for the next round, which combines more of them in each transaction. Task states and
//! deletions are sent separately, with part of the allowance withheld: sent along with the starts
//! at 20 changes per second, they used most of it and delayed starts and acceptances by whole
//! seconds.

use std::cmp::Reverse;

use crate::command::Command;
use crate::model::cluster::Cluster;
use crate::model::ids::JobIndex;
use crate::model::job::Job;
use crate::model::job_spec::{JobEnd, Priority};
use crate::model::job_state::JobEvent;
use crate::queue::dependencies::DependencyGraph;
use crate::storage::batch::{Batch, ChunkId};
use crate::storage::chunk_writes::ChunkWriter;
use crate::storage::deletion;
use crate::storage::transactions::Transactions;
use crate::time::{TimeDelta, Timestamp};
use crate::tunables::Tunables;

/// Fraction of the write allowance that task states and deletions leave for starts and job ends.
const RESERVED_FOR_STARTS_AND_ENDS: f64 = 0.4;
/// Multiple of the `evidence_delay` setting after which an unwritten task state may also use the
/// allowance reserved for starts and job ends.
const OVERDUE_DELAY_MULTIPLE: u64 = 5;

/// A chunk with planned starts. The ordering is that of the writes: highest priority first, then
/// longest waiting.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlannedStarts {
    priority: Reverse<Priority>,
    due: Timestamp,
    job: JobIndex,
    chunk: usize,
}

/// A chunk with unwritten task states. The ordering is that of the writes: longest waiting first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct UnpersistedChunk {
    since: Timestamp,
    job: JobIndex,
    chunk: usize,
}

/// All changes that wait to be written.
#[derive(Debug, Default)]
struct PendingWrites {
    starts: Vec<PlannedStarts>,
    /// Jobs whose tasks are all done and whose end is not yet written.
    done: Vec<JobIndex>,
    task_states: Vec<UnpersistedChunk>,
    /// Ended jobs whose records may be deleted.
    ended: Vec<JobIndex>,
}

impl PendingWrites {
    fn collect(cluster: &Cluster, tunables: &Tunables, now: Timestamp) -> PendingWrites {
        let mut pending = PendingWrites::default();
        for (&index, job) in &cluster.jobs {
            if job.is_ended() {
                pending.ended.push(index);
            } else if job.state().is_dependency_cancelled() {
                continue;
            } else if job.done == job.spec.tasks {
                if !job.state().is_writing_end() && !job.chunks.any_in_flight() {
                    pending.done.push(index);
                }
            } else {
                pending.add_chunks(index, job, tunables, now);
            }
        }
        pending
    }

    fn add_chunks(&mut self, index: JobIndex, job: &Job, tunables: &Tunables, now: Timestamp) {
        for (number, chunk) in job.chunks.all_writes().filter(|(_, writes)| !writes.in_flight) {
            if let Some(due) = chunk.start_due {
                let priority = Reverse(job.priority);
                self.starts.push(PlannedStarts { priority, due, job: index, chunk: number });
            } else if let Some(since) = chunk.unpersisted_since {
                if now.since(since) >= tunables.evidence_delay {
                    self.task_states.push(UnpersistedChunk { since, job: index, chunk: number });
                }
            }
        }
    }
}

/// The parts of the scheduler's state that a round of writes reads and changes.
pub(crate) struct WriteRound<'a> {
    pub(crate) cluster: &'a mut Cluster,
    pub(crate) transactions: &'a mut Transactions,
    pub(crate) dependency_graph: &'a DependencyGraph,
    pub(crate) tunables: &'a Tunables,
    pub(crate) now: Timestamp,
}

impl WriteRound<'_> {
    /// Adds the waiting changes to transactions, and returns the commands that send them.
    pub(crate) fn run(mut self) -> Vec<Command> {
        let mut commits = Vec::new();
        let mut pending = PendingWrites::collect(self.cluster, self.tunables, self.now);
        for &job in &pending.ended {
            self.cluster.retract_unwritten_starts(self.now, job);
        }
        // The user was already told that these jobs are cancelled along with the job that they
        // depend on, so their ends are written first.
        let cancelled: Vec<JobIndex> = self.dependency_graph.dependency_cancelled().collect();
        self.write_ends(&cancelled, JobEnd::Cancelled, &mut commits);
        pending.done.sort_by_key(|&index| Reverse(self.dependent_count(index)));
        self.write_ends(&pending.done, JobEnd::Done, &mut commits);
        pending.starts.sort_unstable();
        self.write_starts(pending.starts, &mut commits);
        pending.task_states.sort_unstable();
        self.write_background(&pending.task_states, &pending.ended, &mut commits);
        commits
    }

    /// Returns how many jobs depend on this one; the ends of jobs with the most dependents are
    /// written first.
    fn dependent_count(&self, index: JobIndex) -> usize {
        self.cluster.job(index).map_or(0, |job| self.dependency_graph.dependent_count(&job.name))
    }

    fn has_free_transaction(&self) -> bool {
        self.transactions.in_flight_count() < self.tunables.txns_in_flight as usize
    }

    /// Writes as many of the jobs' ends as is possible now. An end is written only once, as
    /// completion or as cancellation through a dependency, whichever comes first.
    fn write_ends(&mut self, jobs: &[JobIndex], end: JobEnd, commits: &mut Vec<Command>) {
        let can_write_end = |index: &&JobIndex| {
            let job = self.cluster.job(**index);
            job.is_some_and(|job| !job.state().is_writing_end() && !job.is_ended())
        };
        let jobs: Vec<JobIndex> = jobs.iter().filter(can_write_end).copied().collect();
        for group in jobs.chunks(self.transactions.limits().operations) {
            let budget = self.transactions.write_allowance(0.0).min(group.len());
            if self.has_free_transaction() && budget > 0 {
                commits.extend(self.send_ends(&group[..budget], end));
            }
        }
    }

    fn send_ends(&mut self, jobs: &[JobIndex], end: JobEnd) -> Option<Command> {
        let mut batch = Batch::default();
        for &index in jobs {
            let Some(job) = self.cluster.jobs.get_mut(&index) else { continue };
            job.apply(JobEvent::EndWriteStarted);
            batch.put_end(index, &job.name, end);
        }
        self.transactions.count_ends_written(batch.operations());
        self.transactions.send(batch)
    }

    /// Writes planned starts, most urgent first, together with the other changes of their chunks.
    fn write_starts(&mut self, starts: Vec<PlannedStarts>, commits: &mut Vec<Command>) {
        self.transactions.set_planned_chunks(starts.len());
        let mut starts = starts.into_iter().peekable();
        while starts.peek().is_some() {
            let budget = self.budget(0.0);
            if !self.has_free_transaction() || budget == 0 {
                self.cluster.placement_needed = true;
                break;
            }
            let mut batch = Batch::default();
            while !batch.is_full(budget) {
                let Some(PlannedStarts { job, chunk, .. }) = starts.next() else { break };
                self.transactions.planned_chunk_batched();
                self.add_chunk(&mut batch, ChunkId { job, chunk }, budget);
            }
            commits.extend(self.transactions.send(batch));
        }
    }

    /// Writes task states and deletes records, with at most one such transaction in flight.
    fn write_background(
        &mut self,
        task_states: &[UnpersistedChunk],
        ended: &[JobIndex],
        commits: &mut Vec<Command>,
    ) {
        let limit =
            TimeDelta(self.tunables.evidence_delay.0.saturating_mul(OVERDUE_DELAY_MULTIPLE));
        let overdue = task_states.first().is_some_and(|s| self.now.since(s.since) > limit);
        let budget = self.budget(if overdue { 0.0 } else { RESERVED_FOR_STARTS_AND_ENDS });
        if budget == 0 || self.transactions.background_in_flight() || !self.has_free_transaction() {
            return;
        }
        let mut batch = Batch::background();
        for &UnpersistedChunk { job, chunk, .. } in task_states {
            if batch.is_full(budget) {
                break;
            }
            self.add_chunk(&mut batch, ChunkId { job, chunk }, budget);
        }
        for &job in ended {
            if batch.is_full(budget) {
                break;
            }
            self.delete_records(&mut batch, job, budget);
        }
        commits.extend(self.transactions.send(batch));
    }

    /// Returns how many operations a transaction may contain now, if the given fraction of the
    /// allowance is reserved.
    fn budget(&self, reserved_fraction: f64) -> usize {
        self.transactions
            .write_allowance(reserved_fraction)
            .min(self.transactions.limits().operations)
    }

    fn add_chunk(&mut self, batch: &mut Batch, chunk: ChunkId, max_operations: usize) {
        let (cluster, transactions) = (&mut *self.cluster, &mut *self.transactions);
        ChunkWriter { cluster, transactions, batch, max_operations }.add_chunk(chunk);
    }

    fn delete_records(&mut self, batch: &mut Batch, job: JobIndex, max_operations: usize) {
        let before = batch.operations();
        let is_complete = deletion::delete_records(batch, self.cluster, job, max_operations);
        self.transactions.count_deletions(batch.operations() - before, is_complete);
    }
}
