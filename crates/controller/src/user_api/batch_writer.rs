//! Writes submissions to the key-value store in batches: those that arrive while transactions are in
//! flight share a later one.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::oneshot;
use tokio::time::{timeout, Duration, Instant};
use walnutlug_admission::turns::RoundRobinQueue;
use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::model::job_spec::{JobEnd, Priority};
use walnutlug_scheduler::protocol::key_value::{Compare, Operation, Transaction};
use walnutlug_scheduler::storage::document::Document;
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;

use super::task_slots::TaskSlots;
use super::REQUEST_TIMEOUT;
use crate::key_value_client::RequestClass;
use crate::node::Node;
use crate::peers::Frame;

/// Limit on batches in flight at the same time.
const MAX_CONCURRENT_WRITERS: u32 = 2;
/// Size limit of a batch. Each job counts with its description and `KEY_BYTES_PER_JOB`.
const MAX_BATCH_BYTES: usize = 40 * 1024;
const KEY_BYTES_PER_JOB: usize = 256;
/// Store operations needed to accept a job: one for its key, one for its description or its end.
pub(super) const OPERATIONS_PER_JOB: usize = 2;
/// Response time after which a transaction is sent a second time, as a hedged request.
const HEDGE_DELAY: Duration = Duration::from_millis(70);

/// Lane of the submission queue: one per team and priority. Lanes are served round-robin. `None` is the
/// single lane used when the `shared_order` tunable is off.
pub(super) type Lane = Option<(String, Priority)>;

/// Result of writing a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// This write accepted the job.
    Written,
    /// The job had been accepted earlier, possibly by a copy of the same request.
    AlreadyAccepted,
    /// It is unknown whether the write took effect.
    Indeterminate,
}

/// A validated submission in the write queue.
#[derive(Debug)]
pub(super) struct PendingSubmission {
    pub(super) name: String,
    pub(super) description: Document,
    pub(super) dependencies: Rc<[String]>,
    /// Set if a dependency is cancelled: the job is stored as accepted and cancelled at once.
    pub(super) is_cancelled: bool,
    pub(super) reply: oneshot::Sender<WriteOutcome>,
}

/// Queue of submissions and the background tasks that write them.
#[derive(Debug)]
pub(super) struct SubmissionQueue {
    lanes: RefCell<RoundRobinQueue<Lane, PendingSubmission>>,
    writers: TaskSlots,
}

impl Default for SubmissionQueue {
    fn default() -> SubmissionQueue {
        SubmissionQueue {
            lanes: RefCell::default(),
            writers: TaskSlots::new(MAX_CONCURRENT_WRITERS),
        }
    }
}

impl SubmissionQueue {
    /// Returns the number of queued submissions that would be written before a new one of that lane.
    pub(super) fn ahead_of(&self, lane: &Lane) -> usize {
        self.lanes.borrow().ahead_of(lane)
    }

    /// Removes the next submissions that fit into one transaction.
    fn take_batch(&self, max_operations: usize) -> Vec<PendingSubmission> {
        let mut lanes = self.lanes.borrow_mut();
        // A closed reply channel means that the request timed out and its user was told to retry.
        lanes.retain(|pending| !pending.reply.is_closed());
        let max_jobs = (max_operations / OPERATIONS_PER_JOB).max(1);
        let mut bytes = 0;
        let mut batch = Vec::new();
        while let Some(next) = lanes.peek().filter(|_| batch.len() < max_jobs) {
            bytes += next.description.size() + KEY_BYTES_PER_JOB;
            if !batch.is_empty() && bytes > MAX_BATCH_BYTES {
                break;
            }
            batch.extend(lanes.pop());
        }
        batch
    }
}

/// Queues a submission and starts a writer task unless `MAX_CONCURRENT_WRITERS` are running.
pub(super) fn write_submission(node: &Rc<Node>, lane: Lane, pending: PendingSubmission) {
    let queue = &node.user_api.submissions;
    queue.lanes.borrow_mut().push(lane, pending);
    let Some(slot) = queue.writers.try_acquire() else { return };
    let node = node.clone();
    tokio::task::spawn_local(async move {
        loop {
            let max_operations = node.key_value.limits().txn_ops;
            let batch = node.user_api.submissions.take_batch(max_operations);
            if batch.is_empty() {
                break;
            }
            write_batch(&node, batch).await;
        }
        drop(slot);
    });
}

async fn write_batch(node: &Rc<Node>, mut batch: Vec<PendingSubmission>) {
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    while !batch.is_empty() {
        match commit_hedged(node, &acceptance_transaction(&batch)).await {
            TransactionOutcome::Committed { .. } => return complete_batch(node, batch),
            TransactionOutcome::Conflict { failed } => match reply_accepted(node, batch, &failed) {
                Some(remaining) => batch = remaining,
                None => return,
            },
            TransactionOutcome::Indeterminate if Instant::now() < deadline => {}
            TransactionOutcome::TooLarge if batch.len() > 1 => {
                // Write each submission on its own. One that is still too large gets a 503; the refusal
                // has lowered this node's known limits, so its retry is checked against those.
                for pending in batch {
                    Box::pin(write_batch(node, vec![pending])).await;
                }
                return;
            }
            TransactionOutcome::Indeterminate
            | TransactionOutcome::Rejected
            | TransactionOutcome::TooLarge => return reply_all(batch, WriteOutcome::Indeterminate),
        }
    }
}

/// Builds the transaction that accepts the whole batch if none of its jobs has been accepted yet.
fn acceptance_transaction(batch: &[PendingSubmission]) -> Transaction {
    let mut transaction = Transaction::default();
    let mut names: Vec<&str> = Vec::new();
    for pending in batch {
        let name = pending.name.as_str();
        if names.contains(&name) {
            continue; // Submitted twice within the batch: one record serves both.
        }
        names.push(name);
        transaction.compares.push(Compare { key: keys::job(name), revision: Revision::NONE });
        let accepted = Operation::put(keys::job(name), serde_json::json!(1));
        transaction.operations.push(accepted);
        transaction.operations.push(if pending.is_cancelled {
            // The job ends as soon as it is accepted, so no description is stored for the scheduler.
            Operation::put(keys::end(name), serde_json::json!(JobEnd::Cancelled))
        } else {
            let key = keys::description(name, !pending.dependencies.is_empty());
            Operation::put_document(key, pending.description.clone())
        });
    }
    transaction
}

/// Records a written batch: updates the cache, notifies the other nodes and replies to the users.
fn complete_batch(node: &Rc<Node>, batch: Vec<PendingSubmission>) {
    let known_jobs = &node.user_api.known_jobs;
    for PendingSubmission { name, dependencies, is_cancelled, reply, .. } in batch {
        if is_cancelled {
            node.record_job_end(&name, JobEnd::Cancelled);
        } else {
            known_jobs.record_dependencies(&name, dependencies);
        }
        node.broadcast(&Frame::NewJob { job: name });
        let _ = reply.send(WriteOutcome::Written);
    }
    node.watch_wakeup.notify_one();
}

/// Handles a conflict: replies to submissions whose jobs exist already, possibly written by a copy of the
/// same transaction whose response was lost, and returns the others for another attempt. Returns `None`
/// if the conflict names none of the batch's jobs; all submissions have then been replied to.
fn reply_accepted(
    node: &Node,
    batch: Vec<PendingSubmission>,
    failed: &[String],
) -> Option<Vec<PendingSubmission>> {
    let (accepted_before, remaining): (Vec<_>, Vec<_>) =
        batch.into_iter().partition(|pending| failed.contains(&keys::job(&pending.name)));
    if accepted_before.is_empty() {
        // Invalid response: the conflict names none of the compared keys.
        reply_all(remaining, WriteOutcome::Indeterminate);
        return None;
    }
    for pending in accepted_before {
        // Another node may have accepted the job with other open dependencies, so the dependencies of
        // this submission are not recorded.
        node.user_api.known_jobs.record_accepted(&pending.name);
        let _ = pending.reply.send(WriteOutcome::AlreadyAccepted);
    }
    Some(remaining)
}

/// Commits a transaction as a hedged request: sends it again over another connection if the response
/// takes longer than `HEDGE_DELAY`, because the key-value store occasionally needs some hundred
/// milliseconds for one request and only a few for the next. Both copies require the jobs to be absent,
/// so only one takes effect and the other conflicts.
async fn commit_hedged(node: &Rc<Node>, transaction: &Transaction) -> TransactionOutcome {
    let first = node.key_value.commit(RequestClass::Submission, transaction);
    tokio::pin!(first);
    if let Ok(outcome) = timeout(HEDGE_DELAY, &mut first).await {
        return outcome;
    }
    let second = node.key_value.commit(RequestClass::Submission, transaction);
    tokio::pin!(second);
    tokio::select! {
        outcome = &mut first => if is_conclusive(&outcome) { outcome } else { second.await },
        outcome = &mut second => if is_conclusive(&outcome) { outcome } else { first.await },
    }
}

fn is_conclusive(outcome: &TransactionOutcome) -> bool {
    matches!(outcome, TransactionOutcome::Committed { .. } | TransactionOutcome::Conflict { .. })
}

fn reply_all(batch: Vec<PendingSubmission>, outcome: WriteOutcome) {
    for pending in batch {
        let _ = pending.reply.send(outcome);
    }
}
