//! Whether the store serves this node, by its own requests.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// How old an answer may be to show that the store serves this node.
const FRESH: Duration = Duration::from_millis(2_500);
const DOWN_AFTER: Duration = Duration::from_millis(1_500);
/// How old the last answer must be for a probe to be worth a request.
const PROBE_AFTER: Duration = Duration::from_millis(900);

/// When the store last answered this node, and when it last failed to.
#[derive(Debug)]
pub(super) struct StoreHealth {
    last_answer: Cell<Instant>,
    last_fault: Cell<Option<Instant>>,
}

impl StoreHealth {
    pub(super) fn new(now: Instant) -> StoreHealth {
        StoreHealth { last_answer: Cell::new(now), last_fault: Cell::new(None) }
    }

    pub(super) fn answered(&self) {
        self.last_answer.set(Instant::now());
    }

    pub(super) fn failed(&self) {
        self.last_fault.set(Some(Instant::now()));
    }

    /// Whether the store answers this node, by an answer of the last seconds: a node that sent no
    /// request doesn't know, and must not say that it is served.
    pub(super) fn is_reachable(&self) -> bool {
        let last_answer = self.last_answer.get();
        let is_fresh = last_answer.elapsed() < FRESH;
        is_fresh && self.last_fault.get().is_none_or(|fault| last_answer >= fault)
    }

    /// Whether the store has not answered this node for so long that a user who waits for one more
    /// try would only wait. (In a partition that answers nothing, each try took its whole timeout.)
    pub(super) fn is_down(&self) -> bool {
        let last_answer = self.last_answer.get();
        !self.is_reachable()
            && self.last_fault.get().is_some_and(|fault| fault > last_answer)
            && last_answer.elapsed() > DOWN_AFTER
    }

    /// How long the store has not answered this node.
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
