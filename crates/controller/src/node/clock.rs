//! The monotonic clock and the wall clock of a node.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;
use walnutlug_scheduler::time::Timestamp;

/// Value of the monotonic clock at process start, in microseconds. It is far above zero so that
/// times before the start, such as when a job was accepted, can be represented.
const MONOTONIC_BASE_US: u64 = 1 << 50;

/// Monotonic clock that starts with the node.
pub(super) struct Clock {
    started: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub(super) fn start() -> Clock {
        Clock { started: Instant::now() }
    }

    /// Returns the time since the clock started, offset by `MONOTONIC_BASE_US`.
    pub(super) fn now(&self) -> Timestamp {
        Timestamp(MONOTONIC_BASE_US + self.started.elapsed().as_micros() as u64)
    }
}

/// Returns the wall-clock time in microseconds since 1970, or 0 if the clock is set to an earlier
/// time.
pub(super) fn wall_clock_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_micros() as u64)
}
