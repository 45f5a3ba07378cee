//! Tracks the transactions in flight, interprets their answers, and limits the rate of writes.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::command::{Command, ReadOutcome, StepDownReason, TransactionOutcome};
use crate::event::WriteCounts;
use crate::leadership::fencing_token::Term;
use crate::model::cluster::StartPlanned;
use crate::storage::batch::Batch;
use crate::storage::in_flight::InFlightTransaction;
use crate::storage::keys;
use crate::storage::records;
use crate::storage::revision::Revision;
use crate::time::{TimeDelta, Timestamp};
use crate::tunables::Tunables;

/// Delay before resending a transaction whose answer was lost.
const RETRY_AFTER_LOST_ANSWER: TimeDelta = TimeDelta::from_millis(250);
/// Delay before resending a transaction whose outcome is still uncertain after a refusal or a
/// failed read of one of its records.
const RETRY_AFTER_REFUSAL: TimeDelta = TimeDelta::from_millis(500);
/// Time after a refused transaction during which nothing is written.
const PAUSE_AFTER_REFUSAL: TimeDelta = TimeDelta::from_millis(300);

/// Limits of the key-value store on one transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransactionLimits {
    /// Maximum size of a value, in bytes.
    pub value_bytes: usize,
    /// Maximum number of operations in a transaction.
    pub operations: usize,
}

/// Number of operations that the write rate allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WriteAllowance {
    /// Operations that may be written now.
    pub left: f64,
    /// Operations that may be written per second, which is also the most that may be written at
    /// once.
    pub per_s: f64,
}

/// The meaning of an answer for the transaction that it belongs to.
#[derive(Debug)]
pub(crate) enum Resolution {
    /// No transaction with this ID is in flight.
    Unknown,
    /// The outcome is still uncertain.
    Uncertain,
    /// The outcome is still uncertain, and one of the transaction's records must be read to
    /// determine it. The conflict also shows that some jobs have ended.
    ReadBack {
        /// The read command to issue.
        read: Command,
        /// Jobs whose ends are stored; whether as done or cancelled is unknown.
        ended: Vec<String>,
    },
    /// The transaction was executed.
    Committed {
        /// The writes that took effect.
        batch: Batch,
        /// Revision of the store after the transaction.
        revision: Revision,
    },
    /// The transaction was not executed and never will be.
    NotExecuted {
        /// The writes that did not take effect.
        batch: Batch,
        /// Jobs whose ends are stored; whether as done or cancelled is unknown.
        ended: Vec<String>,
    },
    /// The transaction was not executed, and this node must stop leading.
    StepDown {
        /// The writes that did not take effect.
        batch: Batch,
        /// The reason to report for the end of the term.
        reason: StepDownReason,
    },
}

impl Resolution {
    fn not_executed(transaction: InFlightTransaction) -> Resolution {
        Resolution::NotExecuted { batch: transaction.into_batch(), ended: Vec::new() }
    }
}

/// The transactions whose outcome is uncertain, and the limits and counts of writes.
#[derive(Debug)]
pub(crate) struct Transactions {
    /// The leader's term; every transaction requires that it is current.
    term: Term,
    in_flight: BTreeMap<u64, InFlightTransaction>,
    next_id: u64,
    /// Nothing is written before this time, because the store refused the last write. A commit
    /// resets it.
    paused_until: Timestamp,
    /// The limits reported last; the service may have lowered them since.
    limits: TransactionLimits,
    /// Remaining writes under the rate limit; `None` without a limit.
    allowance: Option<WriteAllowance>,
    /// Number of chunks with planned starts that are not yet in a transaction.
    planned_chunks: usize,
    counts: WriteCounts,
}

impl Transactions {
    /// Creates an empty set of transactions without a limit on the write rate.
    pub(crate) fn new(term: Term, limits: TransactionLimits) -> Transactions {
        Transactions {
            term,
            in_flight: BTreeMap::new(),
            next_id: 1,
            paused_until: Timestamp(0),
            limits,
            allowance: None,
            planned_chunks: 0,
            counts: WriteCounts::default(),
        }
    }

    // ---- write limits ---------------------------------------------------------------------

    /// Sets the limits of the key-value store on a transaction, which may be lowered at any time.
    pub(crate) fn set_limits(&mut self, limits: TransactionLimits) {
        self.limits = TransactionLimits { operations: limits.operations.max(1), ..limits };
    }

    /// Returns the limits of the key-value store on a transaction.
    pub(crate) fn limits(&self) -> TransactionLimits {
        self.limits
    }

    /// Sets how many operations the write rate currently allows. Writes beyond it wait in the
    /// scheduler, which sends the most urgent first, instead of queueing in front of the service.
    pub(crate) fn set_write_allowance(&mut self, allowance: WriteAllowance) {
        self.allowance = Some(allowance);
    }

    /// Returns how many operations may be written now, if the given fraction of one second's writes
    /// is reserved for more urgent ones.
    pub(crate) fn write_allowance(&self, reserved_fraction: f64) -> usize {
        let available =
            |a: WriteAllowance| (a.left - reserved_fraction * a.per_s).max(0.0) as usize;
        self.allowance.map_or(usize::MAX, available)
    }

    /// Returns the number of operations that may be written per second, `None` without a limit.
    pub(crate) fn writes_per_second(&self) -> Option<f64> {
        self.allowance.map(|allowance| allowance.per_s.max(1.0))
    }

    /// Returns whether a round of writes may send anything now.
    pub(crate) fn may_write(&self, now: Timestamp, tunables: &Tunables) -> bool {
        now >= self.paused_until
            && self.in_flight.len() < tunables.txns_in_flight as usize
            && self.write_allowance(0.0) >= 1
    }

    /// Returns the number of transactions in flight.
    pub(crate) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns whether a transaction with only task states and deletions is in flight.
    pub(crate) fn background_in_flight(&self) -> bool {
        self.in_flight.values().any(InFlightTransaction::is_background)
    }

    // ---- write counts ---------------------------------------------------------------------

    /// Returns the number of chunks with planned starts that are not yet in a transaction.
    pub(crate) fn planned_chunks(&self) -> usize {
        self.planned_chunks
    }

    /// Replaces the count of chunks with planned starts.
    pub(crate) fn set_planned_chunks(&mut self, chunks: usize) {
        self.planned_chunks = chunks;
    }

    /// Counts a start that was planned and waits to be written.
    pub(crate) fn count_planned_start(&mut self, planned: StartPlanned) {
        self.planned_chunks += usize::from(planned.first_of_chunk);
        self.counts.tasks_placed += 1;
        self.counts.image_cached += usize::from(planned.image_cached);
    }

    /// Counts a chunk with planned starts as added to a transaction.
    pub(crate) fn planned_chunk_batched(&mut self) {
        self.planned_chunks -= 1;
    }

    /// Counts the write of a chunk, or a part of one, that contains planned starts.
    pub(crate) fn count_starts_written(&mut self) {
        self.counts.starts += 1;
    }

    /// Counts the write of a chunk, or a part of one, that contains only task state changes.
    pub(crate) fn count_task_states_written(&mut self) {
        self.counts.task_states += 1;
    }

    /// Counts written job ends.
    pub(crate) fn count_ends_written(&mut self, ends: usize) {
        self.counts.job_ends += ends;
    }

    /// Counts deleted records of a job; `is_complete` is whether none of its records remain.
    pub(crate) fn count_deletions(&mut self, records: usize, is_complete: bool) {
        self.counts.deletes += records;
        self.counts.jobs_deleted += usize::from(is_complete);
    }

    /// Returns the counts since the last call, and resets them.
    pub(crate) fn take_counts(&mut self) -> WriteCounts {
        std::mem::take(&mut self.counts)
    }

    // ---- transactions in flight -----------------------------------------------------------

    /// Returns the nonce that identifies the next transaction in the records that it writes.
    pub(crate) fn next_nonce(&self) -> String {
        format!("{}-{}", self.term, self.next_id)
    }

    /// Sends the batch as a transaction, unless it is empty.
    pub(crate) fn send(&mut self, mut batch: Batch) -> Option<Command> {
        if batch.operations() == 0 {
            return None;
        }
        let nonce = self.next_nonce();
        let id = self.next_id;
        self.next_id += 1;
        if let Some(allowance) = &mut self.allowance {
            allowance.left -= batch.operations() as f64;
        }
        batch.compare_term(self.term);
        let transaction = batch.transaction().clone();
        self.in_flight.insert(id, InFlightTransaction::sent(batch, nonce));
        Some(Command::Commit { id, transaction })
    }

    /// Resends the transactions whose retry time has come.
    pub(crate) fn resend_due(&mut self, now: Timestamp) -> Vec<Command> {
        let due = self.in_flight.iter_mut().filter_map(|(&id, in_flight)| {
            let transaction = in_flight.resend_if_due(now)?;
            Some(Command::Commit { id, transaction })
        });
        due.collect()
    }

    /// Determines what the outcome of a [`Command::Commit`] means for its transaction.
    pub(crate) fn answered(
        &mut self,
        now: Timestamp,
        id: u64,
        outcome: TransactionOutcome,
    ) -> Resolution {
        let Some(mut transaction) = self.in_flight.remove(&id) else { return Resolution::Unknown };
        match outcome {
            TransactionOutcome::Committed { revision } => self.committed(transaction, revision),
            TransactionOutcome::Indeterminate => {
                // The transaction may have been executed, or may still be. Resending it with the
                // same compares resolves this, because at most one of the copies can take effect.
                transaction.became_indeterminate();
                transaction.retry(now + RETRY_AFTER_LOST_ANSWER);
                self.keep_in_flight(id, transaction)
            }
            TransactionOutcome::Rejected if transaction.is_indeterminate() => {
                transaction.retry(now + RETRY_AFTER_REFUSAL);
                self.keep_in_flight(id, transaction)
            }
            TransactionOutcome::Rejected => {
                self.paused_until = now + PAUSE_AFTER_REFUSAL;
                Resolution::not_executed(transaction)
            }
            TransactionOutcome::TooLarge => self.too_large(id, transaction),
            TransactionOutcome::Conflict { failed } => self.conflict(id, transaction, &failed),
        }
    }

    /// Determines what the outcome of a [`Command::Read`] means for its transaction.
    pub(crate) fn read_answered(
        &mut self,
        now: Timestamp,
        id: u64,
        outcome: ReadOutcome,
    ) -> Resolution {
        let Some(mut transaction) = self.in_flight.remove(&id) else { return Resolution::Unknown };
        match outcome {
            ReadOutcome::Unavailable => {
                transaction.became_indeterminate();
                transaction.retry(now + RETRY_AFTER_REFUSAL);
                self.keep_in_flight(id, transaction)
            }
            ReadOutcome::Found { value, revision } => self.read_back(transaction, &value, revision),
            ReadOutcome::Missing => self.read_back(transaction, &Value::Null, Revision::NONE),
        }
    }

    fn keep_in_flight(&mut self, id: u64, transaction: InFlightTransaction) -> Resolution {
        self.in_flight.insert(id, transaction);
        Resolution::Uncertain
    }

    fn start_read_back(
        &mut self,
        id: u64,
        mut transaction: InFlightTransaction,
        key: String,
        ended: Vec<String>,
    ) -> Resolution {
        transaction.reading_back();
        self.in_flight.insert(id, transaction);
        Resolution::ReadBack { read: Command::Read { id, key }, ended }
    }

    fn committed(&mut self, transaction: InFlightTransaction, revision: Revision) -> Resolution {
        self.paused_until = Timestamp(0);
        Resolution::Committed { batch: transaction.into_batch(), revision }
    }

    /// Handles a transaction that exceeds the service's lowered limits. This copy was not executed,
    /// but an earlier one may have been before the limits were lowered. The service may also have
    /// accepted it before and execute it later.
    fn too_large(&mut self, id: u64, mut transaction: InFlightTransaction) -> Resolution {
        let key = transaction.first_chunk_key().map(str::to_owned);
        match key {
            Some(key) if transaction.is_indeterminate() => {
                transaction.became_too_large();
                self.start_read_back(id, transaction, key, Vec::new())
            }
            // If a job end or a deletion took effect, or still does, the next attempt finds that out:
            // both are final, so a late copy changes nothing.
            _ => Resolution::not_executed(transaction),
        }
    }

    /// Handles a transaction whose compares failed on the given keys.
    fn conflict(
        &mut self,
        id: u64,
        transaction: InFlightTransaction,
        failed: &[String],
    ) -> Resolution {
        if failed.iter().any(|key| key == keys::LEADER) {
            let (batch, reason) = (transaction.into_batch(), StepDownReason::LeaderKeyTaken);
            return Resolution::StepDown { batch, reason };
        }
        let ended = failed.iter().filter_map(|key| key.strip_prefix(keys::END));
        let ended = ended.map(str::to_owned).collect();
        match failed.iter().find(|key| key.starts_with(keys::RUN)) {
            // If an answer was lost before, the conflict is most likely with the transaction's own
            // earlier copy, which the nonce in the value shows. The outcome stays uncertain until
            // the record is read.
            Some(key) => self.start_read_back(id, transaction, key.clone(), ended),
            None => Resolution::NotExecuted { batch: transaction.into_batch(), ended },
        }
    }

    /// Determines the outcome from the value and revision of one of the transaction's records; a
    /// missing record has `Revision::NONE`.
    fn read_back(
        &mut self,
        transaction: InFlightTransaction,
        value: &Value,
        revision: Revision,
    ) -> Resolution {
        if records::was_written_by(value, transaction.nonce()) {
            return self.committed(transaction, revision);
        }
        // In this term only this leader writes chunks, so an unexpected value means that the state
        // in memory differs from the stored state. Reading all records again in a new term is the
        // safe response. So it is if an earlier copy could be executed after the records that
        // replace it: no copy is executed in another term.
        let reason = match transaction.is_too_large() {
            true => StepDownReason::UnsettledTransaction,
            false => StepDownReason::UnexpectedChunk,
        };
        Resolution::StepDown { batch: transaction.into_batch(), reason }
    }
}

#[cfg(test)]
mod tests;
