//! The state machine that tracks one transaction until its outcome is certain.
//!
//! ```text
//!         +--(refused after a lost answer, answer lost, read failed)--> waiting to retry
//!  sent --+                                                               |       |
//!    ^    +--(conflict with a record, limits lowered)--> reading back ----+       |
//!    +----------------------------------------------------------------------------+
//! ```
//!
//! The tracking ends when the transaction is committed, or certainly not executed now or later, or
//! when the leader steps down, which makes any copy fail.

use crate::protocol::key_value::{Operation, Transaction};
use crate::storage::batch::Batch;
use crate::storage::keys;
use crate::time::Timestamp;

/// What the transaction is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Waiting for the answer to the transaction.
    Sent,
    /// Waiting for the time at which to resend it.
    WaitingToRetry { at: Timestamp },
    /// Waiting for the answer to a read of one of its records.
    ReadingBack,
}

/// What is known about the copies of the transaction that were sent earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EarlierCopies {
    /// Every copy was answered, and none took effect.
    NotExecuted,
    /// At least one answer was lost, so a conflict may be with an earlier copy of this transaction.
    Indeterminate,
    /// An earlier copy may have taken effect, or may still do so, and the transaction can't be resent
    /// because it exceeds the service's limits.
    IndeterminateAndTooLarge,
}

/// A transaction whose outcome is not yet certain.
#[derive(Debug)]
pub(crate) struct InFlightTransaction {
    batch: Batch,
    nonce: String,
    stage: Stage,
    earlier_copies: EarlierCopies,
}

impl InFlightTransaction {
    /// Creates a transaction that was sent for the first time. `nonce` identifies it in the records
    /// that it writes.
    pub(crate) fn sent(batch: Batch, nonce: String) -> InFlightTransaction {
        let earlier_copies = EarlierCopies::NotExecuted;
        InFlightTransaction { batch, nonce, stage: Stage::Sent, earlier_copies }
    }

    /// Marks the transaction as sent and returns a copy to send, if its time to be resent has come.
    pub(crate) fn resend_if_due(&mut self, now: Timestamp) -> Option<Transaction> {
        match self.stage {
            Stage::WaitingToRetry { at } if now >= at => {
                self.stage = Stage::Sent;
                Some(self.batch.transaction().clone())
            }
            _ => None,
        }
    }

    /// Schedules the transaction to be resent at the given time.
    pub(crate) fn retry(&mut self, at: Timestamp) {
        self.stage = Stage::WaitingToRetry { at };
    }

    /// Registers that the copy sent last may have been executed, or may still be.
    pub(crate) fn became_indeterminate(&mut self) {
        if self.earlier_copies == EarlierCopies::NotExecuted {
            self.earlier_copies = EarlierCopies::Indeterminate;
        }
    }

    /// Registers that the service's limits fell below the size of the transaction, while an earlier
    /// copy may have been executed, or may still be.
    pub(crate) fn became_too_large(&mut self) {
        self.earlier_copies = EarlierCopies::IndeterminateAndTooLarge;
    }

    /// Registers that one of the transaction's records is being read.
    pub(crate) fn reading_back(&mut self) {
        self.stage = Stage::ReadingBack;
    }

    /// Returns whether an earlier copy may have taken effect.
    pub(crate) fn is_indeterminate(&self) -> bool {
        self.earlier_copies != EarlierCopies::NotExecuted
    }

    /// Returns whether the transaction exceeds the service's limits and so can't be resent.
    pub(crate) fn is_too_large(&self) -> bool {
        self.earlier_copies == EarlierCopies::IndeterminateAndTooLarge
    }

    /// Returns whether the transaction holds only task states and deletions.
    pub(crate) fn is_background(&self) -> bool {
        self.batch.is_background()
    }

    /// Returns the nonce that identifies the transaction in the records that it writes.
    pub(crate) fn nonce(&self) -> &str {
        &self.nonce
    }

    /// Returns the key of the first chunk or part that the transaction writes.
    pub(crate) fn first_chunk_key(&self) -> Option<&str> {
        self.batch.transaction().operations.iter().find_map(|operation| match operation {
            Operation::Put { put, .. } if put.starts_with(keys::RUN) => Some(put.as_str()),
            _ => None,
        })
    }

    /// Returns the batch once the outcome is certain.
    pub(crate) fn into_batch(self) -> Batch {
        self.batch
    }
}
