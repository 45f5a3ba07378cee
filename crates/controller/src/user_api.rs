//! The users' API: submissions, polls and cancellations. Any node serves it, from the key-value store
//! alone; what the leader and the other nodes broadcast only adds counts for display.
//!
//! No answer is ever older than one that any node gave before: an end never changes, and "not ended" is
//! said only after the key-value store confirmed it.

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

use tokio::time::Duration;

use batch_writer::SubmissionQueue;
use known_jobs::KnownJobs;
use status::StatusQueries;

pub(crate) use cancellation::cancel;
pub(crate) use known_jobs::TaskCounts;
pub(crate) use status::poll;
pub(crate) use submission::submit;

/// After this long an undecided request is refused, to be repeated by its user.
const DECIDE_WITHIN: Duration = Duration::from_millis(2_500);

/// A node's part in the users' API.
#[derive(Debug, Default)]
pub(crate) struct UserApi {
    /// What this node knows of jobs.
    pub(crate) known_jobs: KnownJobs,
    submissions: SubmissionQueue,
    status_queries: StatusQueries,
}

#[cfg(test)]
mod concurrent_failures_tests;
#[cfg(test)]
mod tests;
