//! The user-facing API: submitting, polling and cancelling jobs. Every node serves it from the key-value
//! store alone; broadcasts from the leader and other nodes only contribute task counts for display.
//!
//! A response never contradicts an earlier response of any node: a stored job end never changes, and a
//! job is reported as open only after the key-value store has confirmed that it has no end.

mod batch_writer;
mod cancellation;
mod dependencies;
#[cfg(test)]
pub(crate) mod fake_cluster;
mod job_lookup;
mod known_jobs;
mod status;
mod submission;
mod task_slots;

use std::cell::RefCell;

use tokio::time::Duration;
use walnutlug_admission::job_memory::JobMemory;
use walnutlug_scheduler::time::Timestamp;

use batch_writer::SubmissionQueue;
use known_jobs::KnownJobs;
use status::StatusQueries;

pub(crate) use cancellation::cancel;
pub(crate) use known_jobs::TaskCounts;
pub(crate) use status::poll;
pub(crate) use submission::submit;

/// Time after which a request without a definite outcome gets a 503 and the user has to retry it.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Per-node state of the user API: the job cache, queued submissions and pending status queries.
#[derive(Debug)]
pub(crate) struct UserApi {
    /// Cache of job states read from the store or received from other nodes.
    pub(crate) known_jobs: KnownJobs,
    submissions: SubmissionQueue,
    status_queries: StatusQueries,
    job_memory: RefCell<JobMemory>,
}

impl UserApi {
    /// Creates the state of a node that has served no request yet. `job_memory_bytes` limits the
    /// memory for jobs on each of the `nodes`.
    pub(crate) fn new(job_memory_bytes: Option<u64>, nodes: usize) -> UserApi {
        UserApi {
            known_jobs: KnownJobs::default(),
            submissions: SubmissionQueue::default(),
            status_queries: StatusQueries::default(),
            job_memory: RefCell::new(JobMemory::new(job_memory_bytes, nodes)),
        }
    }

    /// Records how much memory the leader's jobs may take, in bytes.
    pub(crate) fn record_held_jobs(&self, now: Timestamp, bytes: u64) {
        self.job_memory.borrow_mut().record_held(now, bytes);
    }
}

#[cfg(test)]
mod concurrent_failures_tests;
#[cfg(test)]
mod job_memory_tests;
#[cfg(test)]
mod tests;
