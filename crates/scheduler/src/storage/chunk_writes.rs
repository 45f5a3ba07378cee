//! Adds changed chunks of tasks to a batch.
//!
//! A chunk is written as one value if that is small enough. Otherwise (an earlier version created
//! chunks for a larger value limit than the service now has) the stored chunk is left as it is, and
//! its changed tasks are written to parts: separate records that each cover some of its tasks.
//! Every record holds the current state of its tasks and is guarded by its own revision. A reader
//! uses, for each task, the record that was written last, so the records are consistent even if a
//! leader stops after writing only some of the parts.

use std::collections::BTreeSet;
use std::ops::Range;

use crate::model::cluster::Cluster;
use crate::model::ids::TaskId;
use crate::model::job::{Chunk, Job};
use crate::model::start::TaskStart;
use crate::model::task::TaskPhase;
use crate::storage::batch::{Batch, ChunkId, TaskRecordId};
use crate::storage::records;
use crate::storage::transactions::Transactions;

/// Adds changed chunks to a batch until it holds `max_operations` operations.
pub(crate) struct ChunkWriter<'a> {
    pub(crate) cluster: &'a mut Cluster,
    pub(crate) transactions: &'a mut Transactions,
    pub(crate) batch: &'a mut Batch,
    pub(crate) max_operations: usize,
}

impl ChunkWriter<'_> {
    /// Adds the changes of the chunk, as far as they fit into the batch.
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
        self.mark_in_flight(id, BatchedChanges::All);
    }

    /// Adds the changed tasks as parts of the chunk.
    fn add_parts(&mut self, id: ChunkId, tasks: Range<u32>, nonce: &str) {
        let size = records::part_size(self.transactions.limits().value_bytes);
        let Some(job) = self.cluster.jobs.get(&id.job) else { return };
        // First tasks of the fixed-size windows that contain changed tasks. Windows are aligned to
        // the start of the chunk, so every write uses the same part keys.
        let windows: BTreeSet<u32> = job
            .changed
            .range(tasks.clone())
            .map(|task| task - (task - tasks.start) % size)
            .collect();
        if windows.is_empty() {
            // Every change of the chunk is already stored, so there is no write to wait for.
            if let Some(chunk) = self.chunk_mut(id) {
                (chunk.start_due, chunk.unpersisted_since) = (None, None);
            }
            return;
        }
        for from in windows {
            if self.batch.is_full(self.max_operations) {
                // The remaining parts are written in the next round.
                return self.mark_in_flight(id, BatchedChanges::Partial);
            }
            self.add_part(id, from..(from + size).min(tasks.end), nonce);
        }
        self.mark_in_flight(id, BatchedChanges::All);
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

    /// Registers with the batch how its outcome affects each of these tasks.
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

    /// Marks the chunk as having writes in the batch.
    fn mark_in_flight(&mut self, id: ChunkId, batched: BatchedChanges) {
        if let Some(chunk) = self.chunk_mut(id) {
            chunk.in_flight = true;
            if batched == BatchedChanges::All {
                (chunk.start_due, chunk.unpersisted_since) = (None, None);
            }
        }
        self.batch.note_chunk(id);
    }

    fn chunk_mut(&mut self, id: ChunkId) -> Option<&mut Chunk> {
        self.cluster.jobs.get_mut(&id.job)?.chunks.get_mut(id.chunk)
    }
}

/// How many of a chunk's changes the batch contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BatchedChanges {
    All,
    Partial,
}

fn note_task(batch: &mut Batch, job: &mut Job, chunk: ChunkId, index: u32) {
    let id = TaskId { job: chunk.job, index };
    let task = &job.tasks[index as usize];
    if task.phase == TaskPhase::Done && !job.stored_completions.contains(index) {
        batch.note_completion(id);
    }
    if task.phase == TaskPhase::Planned {
        batch.note_start(TaskStart { task: id, placement: task.placement() });
    }
    if job.changed.remove(index) {
        batch.note_changed(id);
    }
}
