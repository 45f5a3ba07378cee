//! One transaction on its way to a certain outcome, as a state machine.
//!
//! ```text
//!         +--(refused after a lost answer, answer lost, read failed)--> waiting to be retried
//!  sent --+                                                               |       |
//!    ^    +--(conflict with a record, limits fell)--> reading back -------+       |
//!    +----------------------------------------------------------------------------+
//! ```
//!
//! It ends when the outcome is certain: committed, or not executed now or ever.

use crate::protocol::key_value::{Operation, Transaction};
use crate::storage::batch::Batch;
use crate::storage::keys;
use crate::storage::revision::Revision;
use crate::time::Timestamp;

/// What the transaction waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The answer to the transaction.
    Sent,
    /// The time to send it again.
    WaitingToRetry { at: Timestamp },
    /// The answer to the reading of one of its records.
    ReadingBack,
}

/// What may have become of the copies that were sent earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EarlierCopies {
    /// Every answer arrived: none took effect.
    NotExecuted,
    /// An answer was lost at least once, so that a conflict may be with its own earlier copy.
    Indeterminate,
    /// One may have taken effect, but the transaction is over the service's limits by now: none will
    /// any more.
    IndeterminateAndTooLarge,
}

/// A transaction whose outcome is open.
#[derive(Debug)]
pub(crate) struct InFlightTransaction {
    batch: Batch,
    nonce: String,
    stage: Stage,
    earlier_copies: EarlierCopies,
}

impl InFlightTransaction {
    /// Sent for the first time. `nonce` names it in the records that it writes.
    pub(crate) fn sent(batch: Batch, nonce: String) -> InFlightTransaction {
        let earlier_copies = EarlierCopies::NotExecuted;
        InFlightTransaction { batch, nonce, stage: Stage::Sent, earlier_copies }
    }

    /// Sends it again, if that is due.
    pub(crate) fn resend_if_due(&mut self, now: Timestamp) -> Option<Transaction> {
        match self.stage {
            Stage::WaitingToRetry { at } if now >= at => {
                self.stage = Stage::Sent;
                Some(self.batch.transaction().clone())
            }
            _ => None,
        }
    }

    /// It is to be sent again.
    pub(crate) fn retry(&mut self, at: Timestamp) {
        self.stage = Stage::WaitingToRetry { at };
    }

    /// The copy that was sent last may have been executed, or may be yet.
    pub(crate) fn became_indeterminate(&mut self) {
        if self.earlier_copies == EarlierCopies::NotExecuted {
            self.earlier_copies = EarlierCopies::Indeterminate;
        }
    }

    /// The limits fell below it. No copy will be executed any more, but an earlier one may have been
    /// before.
    pub(crate) fn became_too_large(&mut self) {
        self.earlier_copies = EarlierCopies::IndeterminateAndTooLarge;
    }

    /// One of its records is being read.
    pub(crate) fn reading_back(&mut self) {
        self.stage = Stage::ReadingBack;
    }

    /// Whether an earlier copy may have taken effect.
    pub(crate) fn is_indeterminate(&self) -> bool {
        self.earlier_copies != EarlierCopies::NotExecuted
    }

    /// Whether no copy can take effect any more.
    pub(crate) fn is_too_large(&self) -> bool {
        self.earlier_copies == EarlierCopies::IndeterminateAndTooLarge
    }

    /// Whether nothing waits for it.
    pub(crate) fn is_background(&self) -> bool {
        self.batch.is_background()
    }

    /// Its name in the records that it writes.
    pub(crate) fn nonce(&self) -> &str {
        &self.nonce
    }

    /// The first chunk or part that it writes.
    pub(crate) fn first_chunk_key(&self) -> Option<&str> {
        self.batch.transaction().operations.iter().find_map(|operation| match operation {
            Operation::Put { put, .. } if put.starts_with(keys::RUN) => Some(put.as_str()),
            _ => None,
        })
    }

    /// Whether a record that it writes had this revision before.
    pub(crate) fn expects_revision(&self, revision: Revision) -> bool {
        let compares = &self.batch.transaction().compares;
        compares.iter().any(|c| c.key.starts_with(keys::RUN) && c.revision == revision)
    }

    /// Its outcome is certain: what is left is what it was to write.
    pub(crate) fn into_batch(self) -> Batch {
        self.batch
    }
}
