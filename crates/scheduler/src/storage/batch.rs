//! What one transaction writes, and what its outcome changes in the cluster.

use crate::event::{Event, JobDone};
use crate::leadership::fencing_token::Term;
use crate::model::cluster::Cluster;
use crate::model::ids::JobIndex;
use crate::model::job::{Job, TaskId};
use crate::model::job_spec::JobEnd;
use crate::model::job_state::JobEvent;
use crate::model::task::TaskEvent;
use crate::protocol::key_value::{Compare, Operation, Transaction};
use crate::storage::deletion::RecordDeletion;
use crate::storage::document::Document;
use crate::storage::keys;
use crate::storage::revision::Revision;
use crate::time::Timestamp;

/// Operations are added to a batch until its transaction is larger than this.
const MAX_TRANSACTION_BYTES: usize = 40 * 1024;
/// What an operation takes beside its value and, twice, its key.
const OPERATION_OVERHEAD_BYTES: usize = 64;

/// A chunk of a job's tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ChunkId {
    pub(crate) job: JobIndex,
    pub(crate) chunk: usize,
}

/// A record of some of a chunk's tasks: all of them, or a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TaskRecordId {
    pub(crate) chunk: ChunkId,
    /// The first task of a part; `None` for the whole chunk.
    pub(crate) part: Option<u32>,
}

/// The end of a job, to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct JobEnding {
    job: JobIndex,
    end: JobEnd,
}

/// What one transaction writes, and what its outcome decides.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    transaction: Transaction,
    bytes: usize,
    /// Chunks written, whole or in part.
    chunks: Vec<ChunkId>,
    /// What was written of them.
    records: Vec<TaskRecordId>,
    /// All tasks whose records are written anew.
    changed: Vec<TaskId>,
    /// Tasks whose starts may be sent once this is committed.
    starts: Vec<TaskId>,
    /// Tasks whose completion is recorded by it.
    completions: Vec<TaskId>,
    ends: Vec<JobEnding>,
    deletions: Vec<RecordDeletion>,
    background: bool,
}

/// What a committed batch leaves to do.
#[derive(Debug, Default)]
pub(crate) struct CommitEffects {
    /// Starts that may be sent from now on.
    pub(crate) starts: Vec<TaskId>,
    /// Ends that are stored from now on.
    pub(crate) ends: Vec<StoredEnd>,
}

/// An end of a job that this leader has stored.
#[derive(Debug)]
pub(crate) struct StoredEnd {
    /// The job's name.
    pub(crate) job: String,
    pub(crate) end: JobEnd,
    /// For the log.
    pub(crate) event: Event,
}

impl Batch {
    /// One of task states and deletions alone: nothing waits for it.
    pub(crate) fn background() -> Batch {
        Batch { background: true, ..Batch::default() }
    }

    /// Whether nothing waits for it.
    pub(crate) fn is_background(&self) -> bool {
        self.background
    }

    /// What is sent.
    pub(crate) fn transaction(&self) -> &Transaction {
        &self.transaction
    }

    /// How many operations it has.
    pub(crate) fn operations(&self) -> usize {
        self.transaction.operations.len()
    }

    /// Whether it takes nothing more, with room for that many operations.
    pub(crate) fn is_full(&self, max_operations: usize) -> bool {
        self.operations() >= max_operations || self.bytes > MAX_TRANSACTION_BYTES
    }

    /// Makes everything depend on this node's leadership.
    pub(crate) fn compare_term(&mut self, term: Term) {
        let compare = Compare { key: keys::LEADER.to_owned(), revision: term.into() };
        self.transaction.compares.insert(0, compare);
    }

    /// Makes everything depend on the key's revision (0: no such key).
    fn compare(&mut self, key: &str, revision: Revision) {
        if !self.transaction.compares.iter().any(|compare| compare.key == key) {
            self.transaction.compares.push(Compare { key: key.to_owned(), revision });
        }
    }

    /// Adds the record of some tasks of a chunk.
    pub(crate) fn put_tasks(&mut self, job: &Job, record: TaskRecordId, value: Document) {
        let TaskRecordId { chunk: ChunkId { chunk, .. }, part } = record;
        let whole = keys::run(&job.name, chunk);
        self.compare(&whole, job.chunks[chunk].revision);
        let key = match part {
            Some(from) => {
                let key = keys::part(&job.name, chunk, from);
                self.compare(
                    &key,
                    job.parts.get(&(chunk, from)).copied().unwrap_or(Revision::NONE),
                );
                key
            }
            None => whole,
        };
        // After an acknowledged cancellation nothing can be dispatched: the end's absence is part
        // of the write itself.
        self.compare(&keys::end(&job.name), Revision::NONE);
        self.bytes += value.size() + key.len() * 2 + OPERATION_OVERHEAD_BYTES;
        self.transaction.operations.push(Operation::put_document(key, value));
        self.records.push(record);
    }

    /// Adds a job's end, which is written only if it has none.
    pub(crate) fn put_end(&mut self, job_index: JobIndex, job_name: &str, end: JobEnd) {
        let key = keys::end(job_name);
        self.transaction.compares.push(Compare { key: key.clone(), revision: Revision::NONE });
        self.transaction.operations.push(Operation::put(key, end));
        self.ends.push(JobEnding { job: job_index, end });
    }

    /// Adds the deletion of a key.
    pub(crate) fn delete(&mut self, key: String) {
        self.transaction.operations.push(Operation::delete(key));
    }

    /// Notes that the chunk is written, whole or in part.
    pub(crate) fn note_chunk(&mut self, chunk: ChunkId) {
        self.chunks.push(chunk);
    }

    /// Notes a task whose record is written anew.
    pub(crate) fn note_changed(&mut self, task: TaskId) {
        self.changed.push(task);
    }

    /// Notes a task that may be started once this is committed.
    pub(crate) fn note_start(&mut self, task: TaskId) {
        self.starts.push(task);
    }

    /// Notes a task whose completion is recorded by this.
    pub(crate) fn note_completion(&mut self, task: TaskId) {
        self.completions.push(task);
    }

    /// Notes what is deleted of an ended job.
    pub(crate) fn note_deletion(&mut self, deletion: RecordDeletion) {
        self.deletions.push(deletion);
    }

    /// The transaction was committed, at that revision of the store.
    pub(crate) fn committed(
        self,
        cluster: &mut Cluster,
        now: Timestamp,
        revision: Revision,
    ) -> CommitEffects {
        for ChunkId { job, chunk } in &self.chunks {
            if let Some(job) = cluster.jobs.get_mut(job) {
                job.chunks[*chunk].in_flight = false;
            }
        }
        for TaskRecordId { chunk: ChunkId { job, chunk }, part } in self.records {
            let Some(job) = cluster.jobs.get_mut(&job) else { continue };
            match part {
                Some(from) => {
                    job.parts.insert((chunk, from), revision);
                }
                None => job.chunks[chunk].revision = revision,
            }
        }
        for (job, index) in self.completions {
            if let Some(job) = cluster.jobs.get_mut(&job) {
                job.recorded.insert(index);
            }
        }
        let ends = self.ends.iter().filter_map(|ending| stored_end(cluster, now, ending)).collect();
        for deletion in self.deletions {
            deletion.committed(cluster);
        }
        cluster.placement_needed = true;
        CommitEffects { starts: self.starts, ends }
    }

    /// The transaction certainly had no effect and will have none: what it would have started is
    /// pending again.
    pub(crate) fn not_executed(self, cluster: &mut Cluster, now: Timestamp) {
        for ChunkId { job, chunk } in self.chunks {
            if let Some(job) = cluster.jobs.get_mut(&job) {
                job.chunks[chunk].in_flight = false;
                job.chunks[chunk].unpersisted_since.get_or_insert(now);
            }
        }
        for (job, index) in self.changed {
            if let Some(job) = cluster.jobs.get_mut(&job) {
                job.changed.insert(index);
            }
        }
        for id in self.starts {
            cluster.apply(now, id, TaskEvent::Retract);
        }
        for JobEnding { job, .. } in self.ends {
            if let Some(job) = cluster.jobs.get_mut(&job) {
                job.apply(JobEvent::EndWriteFailed);
            }
        }
        for deletion in self.deletions {
            deletion.not_executed(cluster);
        }
        cluster.placement_needed = true;
    }
}

fn stored_end(cluster: &Cluster, now: Timestamp, ending: &JobEnding) -> Option<StoredEnd> {
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
    Some(StoredEnd { job: job.name.clone(), end: ending.end, event })
}
