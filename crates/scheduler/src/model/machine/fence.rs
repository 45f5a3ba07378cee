//! Fencing state of one machine: the token that requests to it carry, and the token that its worker
//! has acknowledged.

use crate::leadership::fencing_token::{FencingToken, Term};
use crate::time::Timestamp;

/// Tracks the fencing token sent to a worker, the token it has acknowledged, and the token it must
/// acknowledge before anything more is started there.
#[derive(Debug, Clone, Default)]
pub struct Fence {
    /// Lower part of the token; the upper part is the term.
    counter: u64,
    /// Highest token that the worker had seen when it sent its newest heartbeat.
    acknowledged: FencingToken,
    /// Token that the worker must acknowledge. Set when a request to it was lost, or when its lease
    /// expired although its heartbeats arrive.
    required: FencingToken,
    /// Since when the worker has failed to acknowledge the required token. A machine that sends
    /// heartbeats but receives no requests looks alive by its heartbeats; this time reveals it.
    unacknowledged_since: Option<Timestamp>,
    /// When a heartbeat response last carried a token that the worker had not seen.
    sent_at: Timestamp,
    /// Highest token with which a task start was sent.
    highest_start: FencingToken,
}

impl Fence {
    /// Returns the token for a request that is sent now.
    pub fn token(&self, term: Term) -> FencingToken {
        FencingToken::new(term, self.counter)
    }

    /// Returns the highest token that the worker had seen when it sent its newest heartbeat.
    pub fn acknowledged(&self) -> FencingToken {
        self.acknowledged
    }

    /// Raises the token. Once the worker sees the new token, it rejects all requests sent with a
    /// lower one.
    pub fn raise(&mut self) {
        self.counter += 1;
    }

    /// Raises the token and requires its acknowledgement: nothing more is started on the machine
    /// until the worker has seen it.
    pub(crate) fn raise_required(&mut self, now: Timestamp, term: Term) {
        self.raise();
        self.required = self.token(term);
        self.unacknowledged_since.get_or_insert(now);
    }

    /// Records the highest token that the worker has seen. Returns whether this ends the wait for a
    /// required token.
    pub(crate) fn acknowledge(&mut self, token: FencingToken) -> bool {
        self.acknowledged = token;
        !self.owes_required() && self.unacknowledged_since.take().is_some()
    }

    /// Returns whether the worker has yet to acknowledge the required token.
    pub(crate) fn owes_required(&self) -> bool {
        self.acknowledged < self.required
    }

    /// Returns whether the worker has acknowledged this term and the required token.
    pub(crate) fn is_acknowledged(&self, term: Term) -> bool {
        self.acknowledged >= FencingToken::first_of(term) && !self.owes_required()
    }

    /// Returns since when the worker has failed to acknowledge the required token.
    pub(crate) fn unacknowledged_since(&self) -> Option<Timestamp> {
        self.unacknowledged_since
    }

    /// Records that a heartbeat response carried a token that the worker had not seen.
    pub(crate) fn sent_in_answer(&mut self, now: Timestamp) {
        self.sent_at = now;
    }

    /// Returns when a heartbeat response last carried a token that the worker had not seen.
    pub(crate) fn sent_at(&self) -> Timestamp {
        self.sent_at
    }

    /// Records that a task start was sent with this token.
    pub(crate) fn start_sent(&mut self, token: FencingToken) {
        self.highest_start = self.highest_start.max(token);
    }

    /// Returns whether the current token is above that of every start sent. Only then may the
    /// worker be told to forget an exited task.
    pub(crate) fn is_above_starts(&self, term: Term) -> bool {
        self.token(term) > self.highest_start
    }
}

#[cfg(test)]
mod tests;
