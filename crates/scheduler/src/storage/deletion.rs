//! Deletion of the records of ended jobs.
//!
//! One job may need several transactions. The description is deleted last, so that a chunk never
//! exists without it.

use crate::model::cluster::Cluster;
use crate::model::ids::JobIndex;
use crate::model::job::Job;
use crate::model::job_state::JobEvent;
use crate::storage::batch::Batch;
use crate::storage::chunk_records::{PartKey, StoredRecord};
use crate::storage::keys;
use crate::storage::revision::Revision;

/// Identifies a record by the number of its chunk and its key there.
type RecordKey = (usize, PartKey);

/// The records of a job that one transaction deletes.
#[derive(Debug)]
pub(crate) struct RecordDeletion {
    job: JobIndex,
    /// Whether the job has no records left after this transaction.
    is_complete: bool,
    /// Records that it deletes.
    records: Vec<RecordKey>,
}

/// Adds as many deletions of an ended job's records as fit into the batch, provided that no task of
/// the job can still be on a machine and no write of it is in flight. Returns whether the batch
/// deletes all of its remaining records.
pub(crate) fn delete_records(
    batch: &mut Batch,
    cluster: &mut Cluster,
    job_index: JobIndex,
    max_operations: usize,
) -> bool {
    let Some(job) = cluster.jobs.get_mut(&job_index).filter(|job| is_deletable(job)) else {
        return false;
    };
    job.apply(JobEvent::DeletionStarted);
    let mut records = delete_chunks(batch, job, max_operations);
    records.extend(delete_parts(batch, job, max_operations));
    let records_remain = job.chunks.has_records();
    let is_complete = !records_remain && !batch.is_full(max_operations);
    if is_complete {
        batch.delete(keys::description(&job.name, !job.spec.dependencies.is_empty()));
    }
    batch.note_deletion(RecordDeletion { job: job_index, is_complete, records });
    is_complete
}

fn is_deletable(job: &Job) -> bool {
    job.may_delete_records() && job.placed == 0 && !job.chunks.any_in_flight()
}

fn delete_chunks(batch: &mut Batch, job: &mut Job, max_operations: usize) -> Vec<RecordKey> {
    let mut deleted = Vec::new();
    let name = &job.name;
    job.chunks.update_records(|number, records| {
        if !batch.is_full(max_operations) && records.remove_whole() {
            batch.delete(keys::run(name, number));
            deleted.push((number, None));
        }
    });
    deleted
}

fn delete_parts(batch: &mut Batch, job: &mut Job, max_operations: usize) -> Vec<RecordKey> {
    let mut deleted = Vec::new();
    let name = &job.name;
    job.chunks.update_records(|number, records| {
        while !batch.is_full(max_operations) {
            let Some(part) = records.pop_first_part() else { break };
            batch.delete(keys::task_record(name, number, part));
            deleted.push((number, part));
        }
    });
    deleted
}

impl RecordDeletion {
    /// Applies the committed deletion; the job is removed together with its last record.
    pub(crate) fn committed(self, cluster: &mut Cluster) {
        if self.is_complete {
            cluster.remove_job(self.job);
        } else if let Some(job) = cluster.jobs.get_mut(&self.job) {
            job.apply(JobEvent::DeletionIncomplete);
        }
    }

    /// Handles a deletion that was certainly not executed, or whose earlier copy took effect
    /// although its answer was lost.
    pub(crate) fn not_executed(self, cluster: &mut Cluster) {
        let Some(job) = cluster.jobs.get_mut(&self.job) else { return };
        job.apply(JobEvent::DeletionIncomplete);
        // It is unknown which of them still exist; deleting a missing key has no effect.
        for (chunk, part) in self.records {
            let tasks = job.chunk_tasks(chunk);
            let records = job.chunks.records_mut(chunk);
            if records.revision(part) == Revision::NONE {
                records.insert(part, StoredRecord { tasks, revision: Revision::UNKNOWN });
            }
        }
    }
}
