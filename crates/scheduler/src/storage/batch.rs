//! Batches: the writes of one transaction, and the changes to the cluster that follow from its
//! outcome.

use std::ops::Range;

use crate::event::{Event, JobDone};
use crate::leadership::fencing_token::Term;
use crate::model::cluster::Cluster;
use crate::model::ids::{JobIndex, TaskId};
use crate::model::job::Job;
use crate::model::job_spec::JobEnd;
use crate::model::job_state::JobEvent;
use crate::model::start::TaskStart;
use crate::model::task::TaskEvent;
use crate::protocol::key_value::{Compare, Operation, Transaction};
use crate::storage::chunk_records::{PartKey, StoredRecord};
use crate::storage::deletion::RecordDeletion;
use crate::storage::keys;
use crate::storage::records::EncodedTasks;
use crate::storage::revision::Revision;
use crate::time::Timestamp;

/// Size above which no more operations are added to a batch.
const MAX_TRANSACTION_BYTES: usize = 40 * 1024;
/// Encoded size of an operation in addition to its value and twice its key.
const OPERATION_OVERHEAD_BYTES: usize = 64;

/// Identifies a chunk of a job's tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ChunkId {
    pub(crate) job: JobIndex,
    pub(crate) chunk: usize,
}

/// Identifies a task record: a whole chunk, or a part of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TaskRecordId {
    pub(crate) chunk: ChunkId,
    pub(crate) part: PartKey,
}

/// A task record that a batch writes.
#[derive(Debug)]
struct TaskRecordWrite {
    id: TaskRecordId,
    /// Tasks that the record holds.
    tasks: Range<u32>,
}

/// A task whose newest state would be in no record after a write, unless the same or an earlier
/// transaction writes it to another record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LostTask(pub(crate) u32);

/// The end of a job that a batch writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct JobEndWrite {
    job: JobIndex,
    end: JobEnd,
}

/// The operations of one transaction, and the state to update once its outcome is certain.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    transaction: Transaction,
    bytes: usize,
    /// Chunks of which the batch writes the whole or a part.
    chunks: Vec<ChunkId>,
    /// Records that the batch writes for these chunks.
    records: Vec<TaskRecordWrite>,
    /// Tasks that changed since their last write and are written by this batch.
    changed: Vec<TaskId>,
    /// Starts that are not recorded yet and become recorded with the batch.
    starts: Vec<TaskStart>,
    /// Tasks whose completion becomes durable with the batch.
    completions: Vec<TaskId>,
    ends: Vec<JobEndWrite>,
    deletions: Vec<RecordDeletion>,
    background: bool,
}

/// Follow-up work of a committed batch, left to the scheduler.
#[derive(Debug, Default)]
pub(crate) struct CommitEffects {
    /// Starts that are now stored.
    pub(crate) starts: Vec<TaskStart>,
    /// Job ends that are now stored.
    pub(crate) ends: Vec<StoredJobEnd>,
}

/// A job's end that a committed batch of this leader has stored.
#[derive(Debug)]
pub(crate) struct StoredJobEnd {
    /// Name of the ended job.
    pub(crate) job: String,
    pub(crate) end: JobEnd,
    /// Log event for the end.
    pub(crate) event: Event,
}

impl Batch {
    /// Creates an empty batch for task states and deletions only, which no start or job end depends
    /// on.
    pub(crate) fn background() -> Batch {
        Batch { background: true, ..Batch::default() }
    }

    /// Returns whether the batch holds only task states and deletions.
    pub(crate) fn is_background(&self) -> bool {
        self.background
    }

    pub(crate) fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// Returns the number of write operations in the transaction.
    pub(crate) fn operations(&self) -> usize {
        self.transaction.operations.len()
    }

    /// Returns whether no more operations fit, given a limit of `max_operations`.
    pub(crate) fn is_full(&self, max_operations: usize) -> bool {
        self.operations() >= max_operations || self.bytes > MAX_TRANSACTION_BYTES
    }

    /// Makes the transaction conditional on this node still holding the leader key of `term`.
    pub(crate) fn compare_term(&mut self, term: Term) {
        let compare = Compare { key: keys::LEADER.to_owned(), revision: term.into() };
        self.transaction.compares.insert(0, compare);
    }

    /// Makes the transaction conditional on the key's revision; `Revision::NONE` requires that the
    /// key does not exist.
    fn compare(&mut self, key: &str, revision: Revision) {
        if !self.transaction.compares.iter().any(|compare| compare.key == key) {
            self.transaction.compares.push(Compare { key: key.to_owned(), revision });
        }
    }

    /// Adds the record of a chunk, or of a part of it.
    ///
    /// # Errors
    ///
    /// If a task of the replaced record would be in no record afterwards, nothing is added. This is
    /// the only way to write a task record, so no transaction takes the state of a task out of the
    /// store.
    pub(crate) fn put_tasks(
        &mut self,
        job: &Job,
        id: TaskRecordId,
        encoded: EncodedTasks,
    ) -> Result<(), LostTask> {
        let TaskRecordId { chunk: ChunkId { chunk, .. }, part } = id;
        let records = job.chunks.records(chunk);
        let is_rewritten = |task| self.rewrites(id.chunk, task);
        let lost = records.and_then(|r| r.task_lost_by(part, encoded.tasks(), is_rewritten));
        if let Some(task) = lost {
            return Err(LostTask(task));
        }
        let revision = |key: PartKey| records.map_or(Revision::NONE, |r| r.revision(key));
        let key = keys::task_record(&job.name, chunk, part);
        self.compare(&keys::run(&job.name, chunk), revision(None));
        self.compare(&key, revision(part));
        // No task may be dispatched after its job's cancellation was confirmed, so the write itself
        // requires that the job has no end.
        self.compare(&keys::end(&job.name), Revision::NONE);
        self.bytes += encoded.size() + key.len() * 2 + OPERATION_OVERHEAD_BYTES;
        self.records.push(TaskRecordWrite { id, tasks: encoded.tasks().clone() });
        self.transaction.operations.push(Operation::put_document(key, encoded.into_value()));
        Ok(())
    }

    /// Returns whether the batch writes the record.
    pub(crate) fn writes(&self, id: TaskRecordId) -> bool {
        self.records.iter().any(|record| record.id == id)
    }

    /// Returns whether one of the chunk's records in the batch holds the task.
    fn rewrites(&self, chunk: ChunkId, task: u32) -> bool {
        self.records.iter().any(|record| record.id.chunk == chunk && record.tasks.contains(&task))
    }

    /// Adds a job's end; the transaction fails if the job already has one.
    pub(crate) fn put_end(&mut self, job_index: JobIndex, job_name: &str, end: JobEnd) {
        let key = keys::end(job_name);
        self.transaction.compares.push(Compare { key: key.clone(), revision: Revision::NONE });
        self.transaction.operations.push(Operation::put(key, end));
        self.ends.push(JobEndWrite { job: job_index, end });
    }

    pub(crate) fn delete(&mut self, key: String) {
        self.transaction.operations.push(Operation::delete(key));
    }

    /// Registers a chunk of which the batch writes the whole or a part.
    pub(crate) fn note_chunk(&mut self, chunk: ChunkId) {
        self.chunks.push(chunk);
    }

    /// Registers a task that changed since its last write and is written by this batch.
    pub(crate) fn note_changed(&mut self, task: TaskId) {
        self.changed.push(task);
    }

    /// Registers a start that becomes recorded with the batch.
    pub(crate) fn note_start(&mut self, start: TaskStart) {
        self.starts.push(start);
    }

    /// Registers a task whose completion becomes durable with the batch.
    pub(crate) fn note_completion(&mut self, task: TaskId) {
        self.completions.push(task);
    }

    /// Registers the records of an ended job that the batch deletes.
    pub(crate) fn note_deletion(&mut self, deletion: RecordDeletion) {
        self.deletions.push(deletion);
    }

    /// Applies a commit of the transaction at the given revision of the store to the cluster.
    pub(crate) fn committed(
        self,
        cluster: &mut Cluster,
        now: Timestamp,
        revision: Revision,
    ) -> CommitEffects {
        for ChunkId { job, chunk } in &self.chunks {
            if let Some(job) = cluster.jobs.get_mut(job) {
                job.chunks.update_writes(*chunk, |writes| writes.in_flight = false);
            }
        }
        for TaskRecordWrite { id: TaskRecordId { chunk, part }, tasks } in self.records {
            if let Some(job) = cluster.jobs.get_mut(&chunk.job) {
                let records = job.chunks.records_mut(chunk.chunk);
                records.insert(part, StoredRecord { tasks, revision });
            }
        }
        for TaskId { job, index } in self.completions {
            if let Some(job) = cluster.jobs.get_mut(&job) {
                job.tasks.completion_stored(index);
            }
        }
        let ends = self.ends.iter().filter_map(|ending| stored_end(cluster, now, ending)).collect();
        for deletion in self.deletions {
            deletion.committed(cluster);
        }
        cluster.placement_needed = true;
        CommitEffects { starts: self.starts, ends }
    }

    /// Applies a transaction that was not executed and never will be: the tasks whose starts it
    /// would have recorded are pending again, and the tasks that it wrote count as changed. Returns
    /// the starts that their tasks no longer waited for.
    pub(crate) fn not_executed(self, cluster: &mut Cluster, now: Timestamp) -> Vec<TaskStart> {
        for ChunkId { job, chunk } in self.chunks {
            if let Some(job) = cluster.jobs.get_mut(&job) {
                job.chunks.update_writes(chunk, |writes| {
                    writes.in_flight = false;
                    writes.unpersisted_since.get_or_insert(now);
                });
            }
        }
        for TaskId { job, index } in self.changed {
            if let Some(job) = cluster.jobs.get_mut(&job) {
                job.changed.insert(index);
            }
        }
        let mut superseded = self.starts;
        superseded.retain(|start| {
            !cluster.apply(now, start.task, TaskEvent::NotRecorded(start.placement))
        });
        for JobEndWrite { job, .. } in self.ends {
            if let Some(job) = cluster.jobs.get_mut(&job) {
                job.apply(JobEvent::EndWriteFailed);
            }
        }
        for deletion in self.deletions {
            deletion.not_executed(cluster);
        }
        cluster.placement_needed = true;
        superseded
    }
}

fn stored_end(cluster: &Cluster, now: Timestamp, ending: &JobEndWrite) -> Option<StoredJobEnd> {
    let job = cluster.job(ending.job)?;
    let event = match ending.end {
        JobEnd::Cancelled => Event::JobCancelledByDependency { job: job.name.clone() },
        JobEnd::Done => Event::JobDone(JobDone {
            job: job.name.clone(),
            class: job.spec.class.clone(),
            tasks: job.spec.tasks,
            elapsed: now.since(job.accepted),
            deadline_s: job.spec.deadline_s,
            estimate_s: job.spec.estimate_s,
            mean_run_s: job.run_times.0 / f64::from(job.run_times.1.max(1)),
        }),
    };
    Some(StoredJobEnd { job: job.name.clone(), end: ending.end, event })
}
