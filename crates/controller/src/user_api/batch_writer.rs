//! Writes accepted submissions in batches, so that those which come while one transaction is in flight
//! share the next.

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
use super::DECIDE_WITHIN;
use crate::key_value_client::RequestClass;
use crate::node::Node;
use crate::peers::Frame;

/// Batches that are written at once.
const MAX_WRITERS: u32 = 2;
/// Bytes of one batch, and what a job's keys take beside its description.
const MAX_BATCH_BYTES: usize = 40 * 1024;
const KEYS_BYTES: usize = 256;
/// Operations that accept one job: its key, and its description or its end.
pub(super) const OPERATIONS_PER_JOB: usize = 2;
/// An acceptance whose answer takes longer is sent once more.
const SECOND_COPY_AFTER: Duration = Duration::from_millis(70);

/// Submissions of a team and priority take turns with the others'; all are one lane if the order isn't
/// shared.
pub(super) type Lane = Option<(String, Priority)>;

/// What became of a submission that was to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Acceptance {
    /// It was written now.
    New,
    /// The job was accepted before.
    Known,
    /// It may or may not have been written.
    Indeterminate,
}

/// A submission that waits to be written.
#[derive(Debug)]
pub(super) struct PendingSubmission {
    pub(super) name: String,
    pub(super) description: Document,
    pub(super) dependencies: Rc<[String]>,
    /// A job that it depends on is cancelled: it is accepted, and ends with that.
    pub(super) is_cancelled: bool,
    pub(super) reply: oneshot::Sender<Acceptance>,
}

/// The submissions that wait to be written.
#[derive(Debug)]
pub(super) struct SubmissionQueue {
    lanes: RefCell<RoundRobinQueue<Lane, PendingSubmission>>,
    writers: TaskSlots,
}

impl Default for SubmissionQueue {
    fn default() -> SubmissionQueue {
        SubmissionQueue { lanes: RefCell::default(), writers: TaskSlots::new(MAX_WRITERS) }
    }
}

impl SubmissionQueue {
    /// How many submissions would be written before a new one of that lane.
    pub(super) fn ahead_of(&self, lane: &Lane) -> usize {
        self.lanes.borrow().ahead_of(lane)
    }

    /// The next submissions that fit one transaction.
    fn take_batch(&self, max_operations: usize) -> Vec<PendingSubmission> {
        let mut lanes = self.lanes.borrow_mut();
        // Where nobody waits any more the user was answered to come again.
        lanes.retain(|pending| !pending.reply.is_closed());
        let max_jobs = (max_operations / OPERATIONS_PER_JOB).max(1);
        let mut bytes = 0;
        let mut batch = Vec::new();
        while let Some(next) = lanes.peek().filter(|_| batch.len() < max_jobs) {
            bytes += next.description.size() + KEYS_BYTES;
            if !batch.is_empty() && bytes > MAX_BATCH_BYTES {
                break;
            }
            batch.extend(lanes.pop());
        }
        batch
    }
}

/// Queues a submission, and has the queue written.
pub(super) fn write_submission(node: &Rc<Node>, lane: Lane, pending: PendingSubmission) {
    let queue = &node.user_api.submissions;
    queue.lanes.borrow_mut().push(lane, pending);
    let Some(slot) = queue.writers.take() else { return };
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
    let deadline = Instant::now() + DECIDE_WITHIN;
    while !batch.is_empty() {
        match commit_twice(node, &acceptance_of(&batch)).await {
            TransactionOutcome::Committed { .. } => return confirm(node, batch),
            TransactionOutcome::Conflict { failed } => match without_known(node, batch, &failed) {
                Some(rest) => batch = rest,
                None => return,
            },
            TransactionOutcome::Indeterminate if Instant::now() < deadline => {}
            TransactionOutcome::TooLarge if batch.len() > 1 => {
                // Each may fit alone. What is refused even so is answered to come again, and then
                // keeps to the limits that were learned by it.
                for pending in batch {
                    Box::pin(write_batch(node, vec![pending])).await;
                }
                return;
            }
            TransactionOutcome::Indeterminate
            | TransactionOutcome::Rejected
            | TransactionOutcome::TooLarge => return reply_all(batch, Acceptance::Indeterminate),
        }
    }
}

/// The transaction that accepts all of the batch, if none of its jobs was accepted before.
fn acceptance_of(batch: &[PendingSubmission]) -> Transaction {
    let mut transaction = Transaction::default();
    let mut names: Vec<&str> = Vec::new();
    for pending in batch {
        let name = pending.name.as_str();
        if names.contains(&name) {
            continue; // The same job twice at once: one record serves both.
        }
        names.push(name);
        transaction.compares.push(Compare { key: keys::job(name), revision: Revision::NONE });
        let accepted = Operation::put(keys::job(name), serde_json::json!(1));
        transaction.operations.push(accepted);
        transaction.operations.push(if pending.is_cancelled {
            // Accepted and ended at once: there is nothing to run.
            Operation::put(keys::end(name), serde_json::json!(JobEnd::Cancelled))
        } else {
            let key = keys::description(name, !pending.dependencies.is_empty());
            Operation::put_document(key, pending.description.clone())
        });
    }
    transaction
}

/// All of the batch is written.
fn confirm(node: &Rc<Node>, batch: Vec<PendingSubmission>) {
    let known_jobs = &node.user_api.known_jobs;
    for PendingSubmission { name, dependencies, is_cancelled, reply, .. } in batch {
        if is_cancelled {
            node.record_job_end(&name, JobEnd::Cancelled);
        } else {
            known_jobs.learn_dependencies(&name, dependencies);
        }
        node.broadcast(&Frame::NewJob { job: name });
        let _ = reply.send(Acceptance::New);
    }
    node.watch_wakeup.notify_one();
}

/// Some are known already, perhaps by a copy of this very transaction whose answer was lost. Answers
/// those, and returns the others, to be tried again. `None`: all are answered.
fn without_known(
    node: &Node,
    batch: Vec<PendingSubmission>,
    failed: &[String],
) -> Option<Vec<PendingSubmission>> {
    let (known, rest): (Vec<_>, Vec<_>) =
        batch.into_iter().partition(|pending| failed.contains(&keys::job(&pending.name)));
    if known.is_empty() {
        // A conflict on none of the keys makes no sense.
        reply_all(rest, Acceptance::Indeterminate);
        return None;
    }
    for pending in known {
        // Perhaps by another node, which saw what it depends on in another state.
        node.user_api.known_jobs.learn_accepted(&pending.name);
        let _ = pending.reply.send(Acceptance::Known);
    }
    Some(rest)
}

/// Sends an acceptance, and once more over another connection if the answer takes long: now and then
/// the key-value store takes some hundred milliseconds over one request and few over the next. Both
/// compare the job's absence, so only one takes effect; the other then finds the job known.
async fn commit_twice(node: &Rc<Node>, transaction: &Transaction) -> TransactionOutcome {
    let first = node.key_value.commit(RequestClass::Submission, transaction);
    tokio::pin!(first);
    if let Ok(outcome) = timeout(SECOND_COPY_AFTER, &mut first).await {
        return outcome;
    }
    let second = node.key_value.commit(RequestClass::Submission, transaction);
    tokio::pin!(second);
    tokio::select! {
        outcome = &mut first => if is_certain(&outcome) { outcome } else { second.await },
        outcome = &mut second => if is_certain(&outcome) { outcome } else { first.await },
    }
}

fn is_certain(outcome: &TransactionOutcome) -> bool {
    matches!(outcome, TransactionOutcome::Committed { .. } | TransactionOutcome::Conflict { .. })
}

fn reply_all(batch: Vec<PendingSubmission>, acceptance: Acceptance) {
    for pending in batch {
        let _ = pending.reply.send(acceptance);
    }
}
