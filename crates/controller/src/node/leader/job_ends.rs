//! Looks up in the key-value store whether jobs have ended. The ends of all jobs ever run are too
//! many to list, so transactions compare just the keys in question.

use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::protocol::key_value::{Compare, Transaction};
use walnutlug_scheduler::queue::dependencies::JobEndLookup;
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;

use crate::key_value_client::{
    InvalidResponse, KeyValueError, Rejection, RequestClass, StoreRequest, UnknownOutcome,
};
use crate::node::Node;

/// Returns those of the jobs that have ended.
///
/// # Errors
/// Returns an error if the key-value store does not respond or its response is invalid.
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
                let source = UnknownOutcome::Transaction;
                return Err(KeyValueError::Indeterminate { request, source });
            }
        }
    }
    Ok(found)
}

/// Builds a transaction that succeeds only if none of the jobs has ended.
fn no_ends_transaction(jobs: &[String]) -> Transaction {
    let end_is_absent = |job: &String| Compare { key: keys::end(job), revision: Revision::NONE };
    Transaction { compares: jobs.iter().map(end_is_absent).collect(), operations: Vec::new() }
}

/// Returns the stored state of the jobs. Omits jobs whose state cannot be read.
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

/// Returns whether a job that has not ended was ever accepted. A job known to the scheduler was;
/// for any other job, its submission record is read once.
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
