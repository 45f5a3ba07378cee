//! The transactions in flight, what their answers mean, and how much may be written beside them.

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

/// Until a transaction is sent again whose answer was lost.
const RETRY_AFTER_LOST_ANSWER: TimeDelta = TimeDelta::from_millis(250);
/// Until a transaction with an open outcome is sent again that was refused, or of which a record could
/// not be read.
const RETRY_AFTER_REFUSAL: TimeDelta = TimeDelta::from_millis(500);
/// Until anything is written after a transaction was refused.
const PAUSE_AFTER_REFUSAL: TimeDelta = TimeDelta::from_millis(300);

/// What the key-value store takes at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransactionLimits {
    /// The largest value, in bytes.
    pub value_bytes: usize,
    /// The most operations in a transaction.
    pub operations: usize,
}

/// Operations that the write rate has room for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WriteAllowance {
    /// Now.
    pub left: f64,
    /// At most: those of one second.
    pub per_s: f64,
}

/// What an answer means for the transaction that it belongs to.
#[derive(Debug)]
pub(crate) enum Resolution {
    /// No such transaction is in flight.
    Unknown,
    /// Its outcome is still open.
    Open,
    /// Its outcome is still open; it met the ends of these jobs, and one of its records has to be read.
    ReadBack {
        /// To be sent.
        read: Command,
        /// Jobs whose ends are stored, whichever they are.
        ended: Vec<String>,
    },
    /// It was executed.
    Committed {
        /// What it wrote.
        batch: Batch,
        /// The store's revision of it.
        revision: Revision,
    },
    /// It was not executed, and will not be.
    NotExecuted {
        /// What it would have written.
        batch: Batch,
        /// Jobs whose ends are stored, whichever they are.
        ended: Vec<String>,
    },
    /// It was not executed, and this node may lead no longer.
    StepDown {
        /// What it would have written.
        batch: Batch,
        /// Why.
        reason: StepDownReason,
    },
}

impl Resolution {
    fn not_executed(transaction: InFlightTransaction) -> Resolution {
        Resolution::NotExecuted { batch: transaction.into_batch(), ended: Vec::new() }
    }
}

/// The transactions whose outcome is open, and what may be written beside them.
#[derive(Debug)]
pub(crate) struct Transactions {
    /// The leader's term, on which every transaction depends.
    term: Term,
    in_flight: BTreeMap<u64, InFlightTransaction>,
    next_id: u64,
    /// The store refused the last write: nothing is decided until it answers again.
    paused_until: Timestamp,
    /// As far as is known.
    limits: TransactionLimits,
    /// `None`: any number.
    allowance: Option<WriteAllowance>,
    /// Chunks with planned starts that are not on their way to the store.
    planned_chunks: usize,
    counts: WriteCounts,
}

impl Transactions {
    /// With nothing in flight, and no limit to the rate.
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

    // ---- what may be written --------------------------------------------------------------

    /// Sets what the key-value store takes at once; it may become less at any time.
    pub(crate) fn set_limits(&mut self, limits: TransactionLimits) {
        self.limits = TransactionLimits { operations: limits.operations.max(1), ..limits };
    }

    /// What the key-value store takes at once.
    pub(crate) fn limits(&self) -> TransactionLimits {
        self.limits
    }

    /// Sets how many operations the write rate has room for. What is decided beyond that waits here,
    /// where the most urgent goes first, and not in front of the service.
    pub(crate) fn set_write_allowance(&mut self, allowance: WriteAllowance) {
        self.allowance = Some(allowance);
    }

    /// Operations that may be written now, keeping the given part of the most for what is more urgent.
    pub(crate) fn write_allowance(&self, keep: f64) -> usize {
        let spare = |a: WriteAllowance| (a.left - keep * a.per_s).max(0.0) as usize;
        self.allowance.map_or(usize::MAX, spare)
    }

    /// Operations that the write rate has room for in a second; `None`: any number.
    pub(crate) fn writes_per_second(&self) -> Option<f64> {
        self.allowance.map(|allowance| allowance.per_s.max(1.0))
    }

    /// Whether a round may write anything now.
    pub(crate) fn may_write(&self, now: Timestamp, tunables: &Tunables) -> bool {
        now >= self.paused_until
            && self.in_flight.len() < tunables.txns_in_flight as usize
            && self.write_allowance(0.0) >= 1
    }

    /// How many transactions are in flight.
    pub(crate) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Whether one of task states and deletions alone is in flight.
    pub(crate) fn background_in_flight(&self) -> bool {
        self.in_flight.values().any(InFlightTransaction::is_background)
    }

    // ---- counts ---------------------------------------------------------------------------

    /// Chunks with planned starts that are not on their way to the store.
    pub(crate) fn planned_chunks(&self) -> usize {
        self.planned_chunks
    }

    /// Counts the chunks with planned starts anew.
    pub(crate) fn set_planned_chunks(&mut self, chunks: usize) {
        self.planned_chunks = chunks;
    }

    /// A start was planned, which waits to be written.
    pub(crate) fn start_planned(&mut self, planned: StartPlanned) {
        self.planned_chunks += usize::from(planned.first_of_chunk);
        self.counts.tasks_placed += 1;
        self.counts.image_cached += usize::from(planned.image_cached);
    }

    /// A chunk with planned starts is on its way to the store.
    pub(crate) fn planned_chunk_taken(&mut self) {
        self.planned_chunks -= 1;
    }

    /// A chunk, or a part of one, is written because of planned starts.
    pub(crate) fn count_starts_written(&mut self) {
        self.counts.starts += 1;
    }

    /// A chunk, or a part of one, is written because of task states alone.
    pub(crate) fn count_task_states_written(&mut self) {
        self.counts.task_states += 1;
    }

    /// Ends of jobs are written.
    pub(crate) fn count_ends_written(&mut self, ends: usize) {
        self.counts.job_ends += ends;
    }

    /// Records of a job are deleted, perhaps the last of them.
    pub(crate) fn count_deletions(&mut self, records: usize, last: bool) {
        self.counts.deletes += records;
        self.counts.jobs_deleted += usize::from(last);
    }

    /// The counts since they were taken last.
    pub(crate) fn take_counts(&mut self) -> WriteCounts {
        std::mem::take(&mut self.counts)
    }

    // ---- transactions in flight -----------------------------------------------------------

    /// Names the next transaction in the records that it writes.
    pub(crate) fn next_nonce(&self) -> String {
        format!("{}-{}", self.term, self.next_id)
    }

    /// Sends the batch, unless it is empty.
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

    /// Sends again what is due.
    pub(crate) fn resend_due(&mut self, now: Timestamp) -> Vec<Command> {
        let due = self.in_flight.iter_mut().filter_map(|(&id, in_flight)| {
            let transaction = in_flight.resend_if_due(now)?;
            Some(Command::Commit { id, transaction })
        });
        due.collect()
    }

    /// The answer to a [`Command::Commit`].
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
                // It may have been executed, or may be yet. Sending the same again with the same
                // guards settles it: only one of the copies can ever take effect.
                transaction.became_indeterminate();
                transaction.retry(now + RETRY_AFTER_LOST_ANSWER);
                self.keep_open(id, transaction)
            }
            TransactionOutcome::Rejected if transaction.is_indeterminate() => {
                transaction.retry(now + RETRY_AFTER_REFUSAL);
                self.keep_open(id, transaction)
            }
            TransactionOutcome::Rejected => {
                self.paused_until = now + PAUSE_AFTER_REFUSAL;
                Resolution::not_executed(transaction)
            }
            TransactionOutcome::TooLarge => self.too_large(id, transaction),
            TransactionOutcome::Conflict { failed } => self.conflict(id, transaction, &failed),
        }
    }

    /// The answer to a [`Command::Read`].
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
                self.keep_open(id, transaction)
            }
            ReadOutcome::Found { value, revision } => self.read_back(transaction, &value, revision),
            ReadOutcome::Missing => self.read_back(transaction, &Value::Null, Revision::NONE),
        }
    }

    fn keep_open(&mut self, id: u64, transaction: InFlightTransaction) -> Resolution {
        self.in_flight.insert(id, transaction);
        Resolution::Open
    }

    fn keep_reading(
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

    /// The limits fell. This copy was not executed, and no earlier one will be any more; but one may
    /// have been before they fell.
    fn too_large(&mut self, id: u64, mut transaction: InFlightTransaction) -> Resolution {
        let key = transaction.first_chunk_key().map(str::to_owned);
        match key {
            Some(key) if transaction.is_indeterminate() => {
                transaction.became_too_large();
                self.keep_reading(id, transaction, key, Vec::new())
            }
            // An end or a deletion that took effect unheard is met by its next try.
            _ => Resolution::not_executed(transaction),
        }
    }

    /// These keys are not what the transaction expects.
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
            // Of an indeterminate transaction, most likely its own first copy: the value says so.
            // Until it is read the outcome stays open.
            Some(key) => self.keep_reading(id, transaction, key.clone(), ended),
            None => Resolution::NotExecuted { batch: transaction.into_batch(), ended },
        }
    }

    /// One of the transaction's records has this value and revision (0: no such key).
    fn read_back(
        &mut self,
        transaction: InFlightTransaction,
        value: &Value,
        revision: Revision,
    ) -> Resolution {
        if records::was_written_by(value, transaction.nonce()) {
            return self.committed(transaction, revision);
        }
        if transaction.is_too_large() && transaction.expects_revision(revision) {
            return Resolution::not_executed(transaction);
        }
        // Under this term only this leader writes chunks, so a strange value means that the cluster
        // is not what is stored. Reading everything again is the safe way.
        let (batch, reason) = (transaction.into_batch(), StepDownReason::UnexpectedChunk);
        Resolution::StepDown { batch, reason }
    }
}

#[cfg(test)]
mod tests;
