//! Keeps this node's requests within the cloud's rate.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::{sleep_until, Instant};

/// The part of the cloud's rate that is used.
const RATE_SHARE: f64 = 0.8;
/// The cloud allows bursts worth two seconds; half of that is used.
const BURST: Duration = Duration::from_secs(1);

/// Spaces requests evenly, but for a burst after a pause.
#[derive(Debug)]
pub(super) struct Pacer {
    interval: Duration,
    next: Cell<Instant>,
}

impl Pacer {
    /// For a cloud that takes so many requests per second.
    pub(super) fn new(requests_per_s: f64) -> Pacer {
        let interval = Duration::from_secs_f64(1.0 / (requests_per_s * RATE_SHARE));
        Pacer { interval, next: Cell::new(Instant::now()) }
    }

    /// Returns when the next request may be sent, which must be sent then.
    pub(super) async fn wait(&self) {
        let now = Instant::now();
        let earliest = now.checked_sub(BURST).unwrap_or(now);
        let slot = self.next.get().max(earliest);
        self.next.set(slot + self.interval);
        sleep_until(slot).await;
    }
}
