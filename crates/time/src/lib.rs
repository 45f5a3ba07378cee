//! Whole microseconds, as two types that cannot be mixed up.
//!
//! The scheduler has no clock: the time is an argument of every call. A [`Timestamp`] is a point on the node's
//! steady clock, a [`TimeDelta`] a length of time. The protocol speaks of decimal seconds and
//! milliseconds; they are converted at the edge and nowhere else.

use std::ops::{Add, Sub};

/// A point on this process's steady clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

/// A length of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeDelta(pub u64);

impl Timestamp {
    /// The time from `earlier` to this point; nothing if it lies ahead.
    pub fn since(self, earlier: Timestamp) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(earlier.0))
    }
}

impl TimeDelta {
    /// No time at all.
    pub const ZERO: TimeDelta = TimeDelta(0);

    /// From whole milliseconds.
    pub const fn from_millis(ms: u64) -> TimeDelta {
        TimeDelta(ms.saturating_mul(1_000))
    }

    /// From whole seconds.
    pub const fn from_secs(s: u64) -> TimeDelta {
        TimeDelta(s.saturating_mul(1_000_000))
    }

    /// Converts decimal seconds; what is negative or not a number becomes nothing, and what is
    /// absurdly long is cut at about thirty years so that sums never overflow.
    pub fn from_secs_f64(s: f64) -> TimeDelta {
        const LONGEST: f64 = 1.0e9;
        if s > 0.0 {
            TimeDelta((s.min(LONGEST) * 1e6).round() as u64)
        } else {
            TimeDelta::ZERO
        }
    }

    /// In decimal seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Multiplied by a factor, bounded as [`TimeDelta::from_secs_f64`] is.
    pub fn mul_f64(self, by: f64) -> TimeDelta {
        TimeDelta::from_secs_f64(self.as_secs_f64() * by)
    }
}

impl Add<TimeDelta> for Timestamp {
    type Output = Timestamp;
    fn add(self, span: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0))
    }
}

impl Sub<TimeDelta> for Timestamp {
    type Output = Timestamp;
    fn sub(self, span: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.0))
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
