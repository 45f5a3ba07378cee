//! A node's clocks.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;
use walnutlug_scheduler::time::Timestamp;

/// Where the monotonic clock begins. Not at zero, so that times before the start of this process, such as a job's
/// acceptance, can be expressed.
const MONOTONIC_BASE_US: u64 = 1 << 50;

/// The monotonic clock of one node's process.
pub(super) struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts now.
    pub(super) fn start() -> Clock {
        Clock { started: Instant::now() }
    }

    /// The monotonic time.
    pub(super) fn now(&self) -> Timestamp {
        Timestamp(MONOTONIC_BASE_US + self.started.elapsed().as_micros() as u64)
    }
}

/// The time of day in microseconds since 1970.
pub(super) fn wall_clock_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_micros() as u64)
}
