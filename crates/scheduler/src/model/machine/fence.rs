//! The fencing state of one machine: the token that its requests carry, and the one that its worker has
//! acknowledged.

use crate::leadership::fencing_token::{FencingToken, Term};
use crate::time::Timestamp;

/// Which fencing token a machine's worker is sent, has acknowledged, and has to acknowledge before
/// anything more is started there.
#[derive(Debug, Clone, Default)]
pub struct Fence {
    /// The part of the token below the term.
    counter: u64,
    /// The token that the worker knew by its newest heartbeat.
    acknowledged: FencingToken,
    /// The token that it has to acknowledge: raised when a request to it was lost, or when its lease
    /// ran out though its heartbeats arrive.
    required: FencingToken,
    /// Since when it has owed that. A machine whose heartbeats arrive and that nothing reaches looks
    /// alive by its heartbeats; this is what gives it away.
    unacknowledged_since: Option<Timestamp>,
    /// When an answer to its heartbeat last carried a token that it had not seen.
    sent_at: Timestamp,
    /// Highest token with which a start was sent.
    highest_start: FencingToken,
}

impl Fence {
    /// The token that a request sent now carries.
    pub fn token(&self, term: Term) -> FencingToken {
        FencingToken::new(term, self.counter)
    }

    /// The token that the worker knew by its newest heartbeat.
    pub fn acknowledged(&self) -> FencingToken {
        self.acknowledged
    }

    /// Raises the token: the worker refuses everything sent before once it sees it.
    pub fn raise(&mut self) {
        self.counter += 1;
    }

    /// Raises the token, and nothing more is started on the machine until its worker acknowledges it.
    pub(crate) fn raise_required(&mut self, now: Timestamp, term: Term) {
        self.raise();
        self.required = self.token(term);
        self.unacknowledged_since.get_or_insert(now);
    }

    /// Takes over the token that the worker knows. Whether it owed an acknowledgement until now.
    pub(crate) fn acknowledge(&mut self, token: FencingToken) -> bool {
        self.acknowledged = token;
        !self.owes_required() && self.unacknowledged_since.take().is_some()
    }

    /// Whether the worker has not acknowledged the required token.
    pub(crate) fn owes_required(&self) -> bool {
        self.acknowledged < self.required
    }

    /// Whether the worker has acknowledged the term and the required token.
    pub(crate) fn is_acknowledged(&self, term: Term) -> bool {
        self.acknowledged >= FencingToken::first_of(term) && !self.owes_required()
    }

    /// Since when the worker has owed the required token.
    pub(crate) fn unacknowledged_since(&self) -> Option<Timestamp> {
        self.unacknowledged_since
    }

    /// An answer to its heartbeat shows the worker a token that it had not seen.
    pub(crate) fn sent_in_answer(&mut self, now: Timestamp) {
        self.sent_at = now;
    }

    /// When that last happened.
    pub(crate) fn sent_at(&self) -> Timestamp {
        self.sent_at
    }

    /// A start is sent with the token.
    pub(crate) fn start_sent(&mut self, token: FencingToken) {
        self.highest_start = self.highest_start.max(token);
    }

    /// Whether the token is above that of every start sent. A reap needs that.
    pub(crate) fn is_above_starts(&self, term: Term) -> bool {
        self.token(term) > self.highest_start
    }
}

#[cfg(test)]
mod tests;
