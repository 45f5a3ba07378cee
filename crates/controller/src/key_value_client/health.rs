//! Tracks whether the key-value store answers this node, based on the node's own requests.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Age up to which the last answer shows that the store is reachable.
const REACHABLE_FOR: Duration = Duration::from_millis(2_500);
/// Time without an answer after which a store that fails requests counts as down.
const DOWN_AFTER: Duration = Duration::from_millis(1_500);
/// Age of the last answer after which a probe is worth a request.
const PROBE_AFTER: Duration = Duration::from_millis(900);

/// Time of the store's last answer to this node, and of the last failed request.
#[derive(Debug)]
pub(super) struct StoreHealth {
    last_answer: Cell<Instant>,
    last_failure: Cell<Option<Instant>>,
}

impl StoreHealth {
    pub(super) fn new(now: Instant) -> StoreHealth {
        StoreHealth { last_answer: Cell::new(now), last_failure: Cell::new(None) }
    }

    pub(super) fn record_answer(&self) {
        self.last_answer.set(Instant::now());
    }

    pub(super) fn record_failure(&self) {
        self.last_failure.set(Some(Instant::now()));
    }

    /// Returns whether the store has answered this node within the last seconds, and no later
    /// request has failed. A node that has sent no request doesn't know, and must not report that
    /// the store is reachable.
    pub(super) fn is_reachable(&self) -> bool {
        let last_answer = self.last_answer.get();
        let is_fresh = last_answer.elapsed() < REACHABLE_FOR;
        is_fresh && self.last_failure.get().is_none_or(|failure| last_answer >= failure)
    }

    /// Returns whether the store has not answered this node for so long that another attempt would
    /// only make a user wait. (In a partition without any answers, each attempt took its whole
    /// timeout.)
    pub(super) fn is_down(&self) -> bool {
        let last_answer = self.last_answer.get();
        !self.is_reachable()
            && self.last_failure.get().is_some_and(|failure| failure > last_answer)
            && last_answer.elapsed() > DOWN_AFTER
    }

    /// Returns how long ago the store last answered; zero while the store is reachable.
    pub(super) fn unreachable_for(&self) -> Duration {
        if self.is_reachable() {
            Duration::ZERO
        } else {
            self.last_answer.get().elapsed()
        }
    }

    pub(super) fn needs_probe(&self) -> bool {
        self.last_answer.get().elapsed() > PROBE_AFTER
    }
}
