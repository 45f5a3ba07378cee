//! Deletion of the records of ended jobs.
//!
//! Several transactions may be needed for one job. The description goes last, so that a chunk never
//! outlives it.

use crate::model::cluster::Cluster;
use crate::model::ids::JobIndex;
use crate::model::job::Job;
use crate::model::job_state::JobEvent;
use crate::storage::batch::Batch;
use crate::storage::keys;
use crate::storage::revision::Revision;

/// A part of a chunk, by the chunk's number and the part's first task.
type PartId = (usize, u32);

/// What one transaction deletes of a job's records.
#[derive(Debug)]
pub(crate) struct RecordDeletion {
    job: JobIndex,
    /// Whether nothing is left of them after it.
    last: bool,
    parts: Vec<PartId>,
}

/// Adds the deletion of an ended job's records to the batch, as many as it takes, if nothing of the
/// job can be on a machine or on its way to the store any more. Returns whether all of them go.
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
    delete_chunks(batch, job, max_operations);
    let parts = delete_parts(batch, job, max_operations);
    let some_left =
        !job.parts.is_empty() || job.chunks.iter().any(|chunk| chunk.revision > Revision::NONE);
    let last = !some_left && !batch.is_full(max_operations);
    if last {
        batch.delete(keys::description(&job.name, !job.spec.dependencies.is_empty()));
    }
    batch.note_deletion(RecordDeletion { job: job_index, last, parts });
    last
}

fn is_deletable(job: &Job) -> bool {
    job.may_delete_records() && job.placed == 0 && !job.chunks.iter().any(|chunk| chunk.in_flight)
}

fn delete_chunks(batch: &mut Batch, job: &mut Job, max_operations: usize) {
    for (number, chunk) in job.chunks.iter_mut().enumerate() {
        if chunk.revision > Revision::NONE && !batch.is_full(max_operations) {
            batch.delete(keys::run(&job.name, number));
            chunk.revision = Revision::NONE;
        }
    }
}

fn delete_parts(batch: &mut Batch, job: &mut Job, max_operations: usize) -> Vec<PartId> {
    let mut deleted = Vec::new();
    while !batch.is_full(max_operations) {
        let Some((part, _)) = job.parts.pop_first() else { break };
        batch.delete(keys::part(&job.name, part.0, part.1));
        deleted.push(part);
    }
    deleted
}

impl RecordDeletion {
    /// The records are gone, and with the last of them the job.
    pub(crate) fn committed(self, cluster: &mut Cluster) {
        if self.last {
            cluster.remove_job(self.job);
        } else if let Some(job) = cluster.jobs.get_mut(&self.job) {
            job.apply(JobEvent::DeletionIncomplete);
        }
    }

    /// The transaction had no effect for certain, or a lost answer to an earlier copy hides that it
    /// had one.
    pub(crate) fn not_executed(self, cluster: &mut Cluster) {
        let Some(job) = cluster.jobs.get_mut(&self.job) else { return };
        job.apply(JobEvent::DeletionIncomplete);
        job.parts.extend(self.parts.into_iter().map(|part| (part, Revision::UNKNOWN)));
        // Which chunks still exist is not known any more; deleting a key that does not exist does no
        // harm.
        for chunk in &mut job.chunks {
            chunk.revision = chunk.revision.max(Revision::UNKNOWN);
        }
    }
}
