//! Adds changed chunks of tasks to a batch.
//!
//! A chunk is written whole where it is small enough a value. One that isn't (a former version made
//! chunks for larger values than the service takes by now) stays as it is, and those of its tasks that
//! changed go into parts beside it. Each record of either kind holds its tasks as they are at that
//! moment and is guarded by its own revision; whoever reads them takes, of each task, the one that was
//! written last. So it makes no difference which parts were written before a leader ended.

use std::collections::BTreeSet;
use std::ops::Range;

use crate::leadership::fencing_token::FencingToken;
use crate::model::cluster::Cluster;
use crate::model::job::{Chunk, Job};
use crate::model::task::TaskPhase;
use crate::storage::batch::{Batch, ChunkId, TaskRecordId};
use crate::storage::records;
use crate::storage::transactions::Transactions;

/// Adds changed chunks to a batch that takes a number of operations.
pub(crate) struct ChunkWriter<'a> {
    pub(crate) cluster: &'a mut Cluster,
    pub(crate) transactions: &'a mut Transactions,
    pub(crate) batch: &'a mut Batch,
    pub(crate) max_operations: usize,
}

impl ChunkWriter<'_> {
    /// Adds what changed of the chunk, as far as the batch takes it.
    pub(crate) fn add_chunk(&mut self, id: ChunkId) {
        let Some(job) = self.cluster.jobs.get(&id.job) else { return };
        let tasks = job.chunk_tasks(id.chunk);
        let nonce = self.transactions.next_nonce();
        let value = records::encode_tasks(self.cluster, job, tasks.clone(), &nonce);
        if value.size() > self.transactions.limits().value_bytes {
            return self.add_parts(id, tasks, &nonce);
        }
        self.note_tasks(id, tasks);
        if let Some(job) = self.cluster.jobs.get(&id.job) {
            self.batch.put_tasks(job, TaskRecordId { chunk: id, part: None }, value);
        }
        self.mark_in_flight(id, Progress::Whole);
    }

    /// Adds the changed tasks in parts.
    fn add_parts(&mut self, id: ChunkId, tasks: Range<u32>, nonce: &str) {
        let size = records::part_size(self.transactions.limits().value_bytes);
        let Some(job) = self.cluster.jobs.get(&id.job) else { return };
        // By the start of their window, counted from the chunk's: the same windows each time.
        let windows: BTreeSet<u32> = job
            .changed
            .range(tasks.clone())
            .map(|task| task - (task - tasks.start) % size)
            .collect();
        if windows.is_empty() {
            // All of it is written: nothing to wait for an answer to.
            if let Some(chunk) = self.chunk_mut(id) {
                (chunk.start_due, chunk.unpersisted_since) = (None, None);
            }
            return;
        }
        for from in windows {
            if self.batch.is_full(self.max_operations) {
                // The rest of it waits for the next round.
                return self.mark_in_flight(id, Progress::Partly);
            }
            self.add_part(id, from..(from + size).min(tasks.end), nonce);
        }
        self.mark_in_flight(id, Progress::Whole);
    }

    fn add_part(&mut self, id: ChunkId, tasks: Range<u32>, nonce: &str) {
        let Some(job) = self.cluster.jobs.get(&id.job) else { return };
        let record = TaskRecordId { chunk: id, part: Some(tasks.start) };
        let value = records::encode_tasks(self.cluster, job, tasks.clone(), nonce);
        self.note_tasks(id, tasks);
        if let Some(job) = self.cluster.jobs.get(&id.job) {
            self.batch.put_tasks(job, record, value);
        }
    }

    /// Notes what the record of these tasks means for each of them.
    fn note_tasks(&mut self, id: ChunkId, tasks: Range<u32>) {
        let Some(job) = self.cluster.jobs.get_mut(&id.job) else { return };
        for index in tasks {
            note_task(self.batch, job, id, index);
        }
        match job.chunks[id.chunk].start_due {
            Some(_) => self.transactions.count_starts_written(),
            None => self.transactions.count_task_states_written(),
        }
    }

    /// The chunk has something in the batch.
    fn mark_in_flight(&mut self, id: ChunkId, progress: Progress) {
        if let Some(chunk) = self.chunk_mut(id) {
            chunk.in_flight = true;
            if progress == Progress::Whole {
                (chunk.start_due, chunk.unpersisted_since) = (None, None);
            }
        }
        self.batch.note_chunk(id);
    }

    fn chunk_mut(&mut self, id: ChunkId) -> Option<&mut Chunk> {
        self.cluster.jobs.get_mut(&id.job)?.chunks.get_mut(id.chunk)
    }
}

/// How much of what a chunk has to write is in the batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Whole,
    Partly,
}

fn note_task(batch: &mut Batch, job: &mut Job, chunk: ChunkId, index: u32) {
    let id = (chunk.job, index);
    let task = &job.tasks[index as usize];
    if task.phase == TaskPhase::Done && !job.recorded.contains(index) {
        batch.note_completion(id);
    }
    if task.phase == TaskPhase::Dispatching && task.token == FencingToken::NONE {
        batch.note_start(id);
    }
    if job.changed.remove(index) {
        batch.note_changed(id);
    }
}
