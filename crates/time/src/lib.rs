//! Time as whole microseconds, in two types that cannot be confused.
//!
//! The scheduler does not read a clock: every call takes the current time as an argument. A
//! [`Timestamp`] is a point on the node's monotonic clock, and a [`TimeDelta`] is a duration. The
//! protocols use decimal seconds and milliseconds, which are converted only where messages are read
//! and written.

use std::ops::{Add, Sub};

/// A point on this process's monotonic clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeDelta(pub u64);

impl Timestamp {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is in the future.
    pub fn since(self, earlier: Timestamp) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(earlier.0))
    }
}

impl TimeDelta {
    /// Zero duration.
    pub const ZERO: TimeDelta = TimeDelta(0);

    /// Converts whole milliseconds; values that overflow are clamped.
    pub const fn from_millis(ms: u64) -> TimeDelta {
        TimeDelta(ms.saturating_mul(1_000))
    }

    /// Converts whole seconds; values that overflow are clamped.
    pub const fn from_secs(s: u64) -> TimeDelta {
        TimeDelta(s.saturating_mul(1_000_000))
    }

    /// Converts decimal seconds. Negative values and NaN become zero. Values above 1e9 s (about
    /// thirty years) are clamped, so that sums never overflow.
    pub fn from_secs_f64(s: f64) -> TimeDelta {
        const MAX_SECS: f64 = 1.0e9;
        if s > 0.0 {
            TimeDelta((s.min(MAX_SECS) * 1e6).round() as u64)
        } else {
            TimeDelta::ZERO
        }
    }

    /// Returns the duration in decimal seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Multiplies by a factor, clamped like [`TimeDelta::from_secs_f64`].
    pub fn mul_f64(self, factor: f64) -> TimeDelta {
        TimeDelta::from_secs_f64(self.as_secs_f64() * factor)
    }
}

impl Add<TimeDelta> for Timestamp {
    type Output = Timestamp;
    fn add(self, delta: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_add(delta.0))
    }
}

impl Sub<TimeDelta> for Timestamp {
    type Output = Timestamp;
    fn sub(self, delta: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_sub(delta.0))
    }
}

impl Add for TimeDelta {
    type Output = TimeDelta;
    fn add(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0.saturating_add(other.0))
    }
}

impl Sub for TimeDelta {
    type Output = TimeDelta;
    fn sub(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(other.0))
    }
}

#[cfg(test)]
mod tests;
