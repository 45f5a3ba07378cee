//! Adds changed chunks of tasks to a batch.
//!
//! A chunk is written as one value if that is small enough. Otherwise (an earlier version created
//! chunks for a larger value limit than the service now has) the stored chunk is left as it is, and
//! its changed tasks are written to parts: separate records that each cover some of its tasks.
//! Every record holds the current state of its tasks and is guarded by its own revision. A reader
//! uses, for each task, the record that was written last, so the records are consistent even if a
//! leader stops after writing only some of the parts.
//!
//! How many tasks a part holds depends on the value limit that the leader knows, and may change with
//! every write. Before a part is replaced by a shorter one, the tasks beyond its new end are written
//! to parts of their own, in the same or an earlier transaction.

use std::collections::BTreeSet;
use std::ops::Range;

use crate::model::chunk_table::ChunkWrites;
use crate::model::cluster::Cluster;
use crate::model::ids::TaskId;
use crate::model::job::Job;
use crate::model::start::TaskStart;
use crate::model::task::TaskPhase;
use crate::storage::batch::{Batch, ChunkId, LostTask, TaskRecordId};
use crate::storage::records::{self, EncodedTasks};
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
        let encoded = EncodedTasks::new(self.cluster, job, tasks.clone(), &nonce);
        let value_bytes = self.transactions.limits().value_bytes;
        if encoded.size() > value_bytes {
            let size = records::part_size(self.cluster, job, tasks.clone(), value_bytes);
            let windows = Windows { tasks, size };
            return self.add_parts(id, &windows, &nonce);
        }
        // The record holds all tasks of the chunk, so it takes none out of the store.
        if self.batch.put_tasks(job, TaskRecordId { chunk: id, part: None }, encoded).is_ok() {
            self.note_tasks(id, tasks);
            self.mark_in_flight(id, BatchedChanges::All);
        }
    }

    /// Adds the changed tasks as parts of the chunk.
    fn add_parts(&mut self, id: ChunkId, windows: &Windows, nonce: &str) {
        let Some(job) = self.cluster.jobs.get(&id.job) else { return };
        let changed = job.changed.range(windows.tasks.clone());
        let firsts: BTreeSet<u32> = changed.map(|task| windows.around(task).start).collect();
        if firsts.is_empty() {
            // Every change of the chunk is already stored, so there is no write to wait for.
            return self.update_writes(id, ChunkWrites::nothing_waits);
        }
        for first in firsts {
            if self.add_part(id, windows, first, nonce).is_err() {
                // The remaining parts are written in the next round.
                return self.mark_in_flight(id, BatchedChanges::Partial);
            }
        }
        self.mark_in_flight(id, BatchedChanges::All);
    }

    /// Adds the window around the task as a part, unless the batch has it already. The tasks that
    /// the replaced record would leave without one are added first; they are in later windows.
    fn add_part(
        &mut self,
        id: ChunkId,
        windows: &Windows,
        task: u32,
        nonce: &str,
    ) -> Result<(), BatchFull> {
        let tasks = windows.around(task);
        let record = TaskRecordId { chunk: id, part: Some(tasks.start) };
        while !self.batch.writes(record) {
            if self.batch.is_full(self.max_operations) {
                return Err(BatchFull);
            }
            let Some(job) = self.cluster.jobs.get(&id.job) else { return Ok(()) };
            let encoded = EncodedTasks::new(self.cluster, job, tasks.clone(), nonce);
            match self.batch.put_tasks(job, record, encoded) {
                Ok(()) => self.note_tasks(id, tasks.clone()),
                Err(LostTask(task)) => self.add_part(id, windows, task, nonce)?,
            }
        }
        Ok(())
    }

    /// Registers with the batch how its outcome affects each of these tasks.
    fn note_tasks(&mut self, id: ChunkId, tasks: Range<u32>) {
        let Some(job) = self.cluster.jobs.get_mut(&id.job) else { return };
        for index in tasks {
            note_task(self.batch, job, id, index);
        }
        match job.chunks.writes(id.chunk).start_due {
            Some(_) => self.transactions.count_starts_written(),
            None => self.transactions.count_task_states_written(),
        }
    }

    /// Marks the chunk as having writes in the batch.
    fn mark_in_flight(&mut self, id: ChunkId, batched: BatchedChanges) {
        self.update_writes(id, |writes| {
            writes.in_flight = true;
            if batched == BatchedChanges::All {
                writes.nothing_waits();
            }
        });
        self.batch.note_chunk(id);
    }

    fn update_writes(&mut self, id: ChunkId, update: impl FnOnce(&mut ChunkWrites)) {
        if let Some(job) = self.cluster.jobs.get_mut(&id.job) {
            job.chunks.update_writes(id.chunk, update);
        }
    }
}

/// The division of a chunk's tasks into parts of equal size. They are aligned to the start of the
/// chunk, so every write under the same limit uses the same part keys.
struct Windows {
    /// Tasks of the chunk.
    tasks: Range<u32>,
    /// Number of tasks in each part but the last.
    size: u32,
}

impl Windows {
    /// Returns the tasks of the part that contains the task.
    fn around(&self, task: u32) -> Range<u32> {
        let first = task - (task - self.tasks.start) % self.size;
        first..first.saturating_add(self.size).min(self.tasks.end)
    }
}

/// The batch holds as many operations as it may.
struct BatchFull;

/// How many of a chunk's changes the batch contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BatchedChanges {
    All,
    Partial,
}

fn note_task(batch: &mut Batch, job: &mut Job, chunk: ChunkId, index: u32) {
    let id = TaskId { job: chunk.job, index };
    // Only tasks with an entry have a start or a completion that isn't stored.
    if let Some(task) = job.tasks.entry(index) {
        if task.phase == TaskPhase::Done {
            batch.note_completion(id);
        }
        if task.phase == TaskPhase::Planned {
            batch.note_start(TaskStart { task: id, placement: task.placement() });
        }
    }
    if job.changed.remove(index) {
        batch.note_changed(id);
    }
}
