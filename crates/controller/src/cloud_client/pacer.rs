//! Paces the requests of this node to stay within the cloud's rate.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::{sleep_until, Instant};

/// Fraction of the cloud's rate that this node uses.
const RATE_SHARE: f64 = 0.8;
/// Length of a burst: requests worth this time may be sent at once. The cloud allows bursts worth
/// two seconds; half of that is used.
const BURST: Duration = Duration::from_secs(1);

/// Spaces requests evenly, and permits a burst after a pause.
#[derive(Debug)]
pub(super) struct Pacer {
    interval: Duration,
    next_slot: Cell<Instant>,
}

impl Pacer {
    /// Creates a pacer for a cloud that accepts `requests_per_s` requests per second.
    pub(super) fn new(requests_per_s: f64) -> Pacer {
        let interval = Duration::from_secs_f64(1.0 / (requests_per_s * RATE_SHARE));
        Pacer { interval, next_slot: Cell::new(Instant::now()) }
    }

    /// Waits until the next request may be sent. The caller must send one then, because its slot is
    /// used up.
    pub(super) async fn wait(&self) {
        let now = Instant::now();
        let earliest = now.checked_sub(BURST).unwrap_or(now);
        let slot = self.next_slot.get().max(earliest);
        self.next_slot.set(slot + self.interval);
        sleep_until(slot).await;
    }
}
