//! Cancels jobs: on a user's request, and when a job that they depend on was cancelled.

use std::rc::Rc;

use tokio::time::Instant;
use tracing::info;
use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::protocol::key_value::{Compare, Operation, Transaction};
use walnutlug_scheduler::protocol::users::{is_job_id, job_response, JobStage};
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;

use super::status::{job_status, stage_of_end, JobStatus};
use super::REQUEST_TIMEOUT;
use crate::http::server::Answer;
use crate::key_value_client::RequestClass;
use crate::node::Node;

/// Handles a user's cancel request. A job that has already ended keeps its end, which is returned.
pub(crate) async fn cancel(node: Rc<Node>, name: &str) -> Answer {
    if !is_job_id(name) {
        return Answer::error(404, "no such job");
    }
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    loop {
        match job_status(&node, name).await {
            JobStatus::NeverAccepted => return Answer::error(404, "no such job"),
            JobStatus::Ended(end) => {
                return Answer::json(200, &job_response(name, stage_of_end(end), None));
            }
            JobStatus::Unknown => return Answer::retry("could not read the job state; try again"),
            JobStatus::Open => {}
        }
        // The first writer of the end key wins, so a job is never reported both as done and as cancelled.
        // Every task start also requires this key to be absent.
        let transaction = cancellation_transaction([name]);
        match node.key_value.commit(RequestClass::Submission, &transaction).await {
            TransactionOutcome::Committed { .. } => {
                info!(job = %name, "job cancelled by its user");
                node.record_job_end(name, JobEnd::Cancelled);
                return Answer::json(200, &job_response(name, JobStage::Cancelled, None));
            }
            // The job may have ended meanwhile, or a copy of this transaction took effect: look it up.
            TransactionOutcome::Conflict { .. } | TransactionOutcome::Indeterminate
                if Instant::now() < deadline => {}
            _ => return Answer::retry("could not confirm the withdrawal; try again"),
        }
    }
}

/// Builds a transaction that stores the jobs as cancelled, provided that none of them has ended.
fn cancellation_transaction<'a>(names: impl IntoIterator<Item = &'a str>) -> Transaction {
    let mut transaction = Transaction::default();
    for name in names {
        let key = keys::end(name);
        transaction.compares.push(Compare { key: key.clone(), revision: Revision::NONE });
        transaction.operations.push(Operation::put(key, serde_json::json!(JobEnd::Cancelled)));
    }
    transaction
}

/// Stores jobs that depend on a cancelled job as cancelled too, and returns whether the end of any of
/// them was recorded. The leader does the same later, but a user must not be told in the meantime that
/// such a job is still queued.
pub(super) async fn cancel_dependents(node: &Rc<Node>, names: &[String]) -> bool {
    let mut recorded_any = false;
    for batch in names.chunks(node.key_value.limits().txn_ops.max(1)) {
        let transaction = cancellation_transaction(batch.iter().map(String::as_str));
        match node.key_value.commit(RequestClass::Submission, &transaction).await {
            TransactionOutcome::Committed { .. } => {
                for name in batch {
                    info!(job = %name, "job cancelled: a job it depends on was cancelled");
                    node.record_job_end(name, JobEnd::Cancelled);
                }
                recorded_any = true;
            }
            TransactionOutcome::Conflict { failed } => {
                for name in failed.iter().filter_map(|key| key.strip_prefix(keys::END)) {
                    recorded_any |= load_stored_end(node, name).await;
                }
            }
            TransactionOutcome::Rejected
            | TransactionOutcome::Indeterminate
            | TransactionOutcome::TooLarge => {}
        }
    }
    recorded_any
}

/// Reads the job's end from the store, records it, and returns whether there was one.
pub(super) async fn load_stored_end(node: &Rc<Node>, name: &str) -> bool {
    match node.key_value.job_end(name).await {
        Ok(Some(end)) => {
            node.record_job_end(name, end);
            true
        }
        Ok(None) | Err(_) => false,
    }
}
