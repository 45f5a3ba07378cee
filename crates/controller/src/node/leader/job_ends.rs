//! Whether jobs have ended, by what is stored. The ends of all jobs ever are never listed: they are compared.

use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::protocol::key_value::{Compare, Transaction};
use walnutlug_scheduler::queue::dependencies::JobEndLookup;
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;

use crate::key_value_client::{
    InvalidResponse, KeyValueError, LostAnswer, Rejection, RequestClass, StoreRequest,
};
use crate::node::Node;

/// Which of the jobs have ended.
///
/// # Errors
/// If the key-value store doesn't answer, or its answer makes no sense.
pub(super) async fn find_ended(
    node: &Node,
    mut open: Vec<String>,
) -> Result<Vec<String>, KeyValueError> {
    let mut found = Vec::new();
    while !open.is_empty() {
        let batch_start = open.len().saturating_sub(node.key_value.max_compares());
        let request = StoreRequest::Commit { operations: 0 };
        match node
            .key_value
            .commit(RequestClass::Dispatch, &no_ends_transaction(&open[batch_start..]))
            .await
        {
            TransactionOutcome::Committed { .. } => open.truncate(batch_start),
            TransactionOutcome::Conflict { failed } => {
                let open_before = open.len();
                open.retain(|job| !failed.contains(&keys::end(job)));
                if open.len() == open_before {
                    let source = InvalidResponse::UnrelatedConflict;
                    return Err(KeyValueError::InvalidResponse { request, source });
                }
                let ended = failed.iter().filter_map(|key| key.strip_prefix(keys::END));
                found.extend(ended.map(str::to_owned));
            }
            TransactionOutcome::Rejected | TransactionOutcome::TooLarge => {
                return Err(KeyValueError::Rejected { request, source: Rejection::Transaction });
            }
            TransactionOutcome::Indeterminate => {
                let source = LostAnswer::Transaction;
                return Err(KeyValueError::Indeterminate { request, source });
            }
        }
    }
    Ok(found)
}

/// A transaction that succeeds if none of the jobs has ended.
fn no_ends_transaction(jobs: &[String]) -> Transaction {
    let end_is_absent = |job: &String| Compare { key: keys::end(job), revision: Revision::NONE };
    Transaction { compares: jobs.iter().map(end_is_absent).collect(), operations: Vec::new() }
}

/// The state of the jobs by what is stored, as far as it can be read.
pub(super) async fn look_up(node: &Node, jobs: Vec<String>) -> Vec<(String, JobEndLookup)> {
    let mut found = Vec::new();
    let Ok(ended) = find_ended(node, jobs.clone()).await else { return found };
    for job in &ended {
        if let Ok(Some(end)) = node.key_value.job_end(job).await {
            found.push((job.clone(), JobEndLookup::Ended(end)));
        }
    }
    for job in jobs.into_iter().filter(|job| !ended.contains(job)) {
        if let Ok(lookup) = look_up_open(node, &job).await {
            found.push((job, lookup));
        }
    }
    found
}

/// Whether a job that has not ended was accepted. What the scheduler has was; of anything else, the submission_record is looked
/// for once.
async fn look_up_open(node: &Node, job: &str) -> Result<JobEndLookup, KeyValueError> {
    let known = node
        .scheduler
        .borrow()
        .as_ref()
        .is_some_and(|scheduler| scheduler.cluster.jobs_by_name.contains_key(job));
    if known {
        return Ok(JobEndLookup::Open);
    }
    let submission_record = node.key_value.get(RequestClass::Dispatch, &keys::job(job)).await?;
    Ok(if submission_record.is_some() { JobEndLookup::Open } else { JobEndLookup::Missing })
}
