//! Cancellations: of a job by its user, and of the jobs that depend on a cancelled one.

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
use super::DECIDE_WITHIN;
use crate::http::server::Answer;
use crate::key_value_client::RequestClass;
use crate::node::Node;

/// Cancels a job for its user, unless it has ended.
pub(crate) async fn cancel(node: Rc<Node>, name: &str) -> Answer {
    if !is_job_id(name) {
        return Answer::error(404, "no such job");
    }
    let give_up_at = Instant::now() + DECIDE_WITHIN;
    loop {
        match job_status(&node, name).await {
            JobStatus::NeverAccepted => return Answer::error(404, "no such job"),
            JobStatus::Ended(end) => {
                return Answer::json(200, &job_response(name, stage_of_end(end), None));
            }
            JobStatus::Unclear => return Answer::later("the job's state can't be read now"),
            JobStatus::Open => {}
        }
        // Whoever writes the end first wins, so users can't be answered both a last finish and a
        // cancellation; and every start compares this key's absence.
        let transaction = cancel_all([name]);
        match node.key_value.commit(RequestClass::Submission, &transaction).await {
            TransactionOutcome::Committed { .. } => {
                info!(job = %name, "job cancelled by its user");
                node.record_job_end(name, JobEnd::Cancelled);
                return Answer::json(200, &job_response(name, JobStage::Cancelled, None));
            }
            // Ended meanwhile, or by a copy of this transaction: the next lookup shows.
            TransactionOutcome::Conflict { .. } | TransactionOutcome::Indeterminate
                if Instant::now() < give_up_at => {}
            _ => return Answer::later("the withdrawal can't be recorded now"),
        }
    }
}

/// Ends the jobs as cancelled, if none of them has ended.
fn cancel_all<'a>(names: impl IntoIterator<Item = &'a str>) -> Transaction {
    let mut transaction = Transaction::default();
    for name in names {
        let key = keys::end(name);
        transaction.compares.push(Compare { key: key.clone(), revision: Revision::NONE });
        transaction.operations.push(Operation::put(key, serde_json::json!(JobEnd::Cancelled)));
    }
    transaction
}

/// Writes the ends of jobs that depend on a cancelled one, and returns whether any end was learned. The
/// leader does the same; but until it has, no user may be answered that such a job is queued.
pub(super) async fn cancel_dependents(node: &Rc<Node>, names: &[String]) -> bool {
    let mut learned_any = false;
    for some in names.chunks(node.key_value.limits().txn_ops.max(1)) {
        let transaction = cancel_all(some.iter().map(String::as_str));
        match node.key_value.commit(RequestClass::Submission, &transaction).await {
            TransactionOutcome::Committed { .. } => {
                for name in some {
                    info!(job = %name, "job cancelled: a job it depends on was cancelled");
                    node.record_job_end(name, JobEnd::Cancelled);
                }
                learned_any = true;
            }
            TransactionOutcome::Conflict { failed } => {
                for name in failed.iter().filter_map(|key| key.strip_prefix(keys::END)) {
                    learned_any |= learn_stored_end(node, name).await;
                }
            }
            TransactionOutcome::Rejected
            | TransactionOutcome::Indeterminate
            | TransactionOutcome::TooLarge => {}
        }
    }
    learned_any
}

/// Reads the job's end and learns it. Whether there was one.
pub(super) async fn learn_stored_end(node: &Rc<Node>, name: &str) -> bool {
    match node.key_value.job_end(name).await {
        Ok(Some(end)) => {
            node.record_job_end(name, end);
            true
        }
        Ok(None) | Err(_) => false,
    }
}
