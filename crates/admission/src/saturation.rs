//! Whether the fleet is overloaded, with hysteresis.

use walnutlug_time::{TimeDelta, Timestamp};

/// When the fleet counts as saturated, and when no more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Thresholds {
    /// Waiting work, as a part of the fleet, from which on the fleet may be saturated.
    pub enter: f64,
    /// Waiting work below which it may be saturated no more.
    pub leave: f64,
    /// Waiting work at which nobody waits to see whether it goes away.
    pub at_once: f64,
    /// For how long work has to wait. Machines that are on their way are taken off the waiting
    /// work, so this is the time of a boot that could have been asked for.
    pub enter_after: TimeDelta,
    /// For how long there has to be room.
    pub leave_after: TimeDelta,
}

/// What the last observations amount to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// There is room.
    Room,
    /// Work has waited since then, which may be a passing lack of machines.
    Filling(Timestamp),
    /// Work has waited for long enough.
    Saturated,
    /// Saturated, but there has been room since then.
    Clearing(Timestamp),
}

/// A change that is worth a line in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The fleet is saturated from now on.
    Entered,
    /// The fleet is no longer saturated.
    Left,
}

/// Follows how much work waits without finding room.
#[derive(Debug, Clone, PartialEq)]
pub struct Saturation {
    phase: Phase,
}

impl Default for Saturation {
    fn default() -> Saturation {
        Saturation { phase: Phase::Room }
    }
}

impl Saturation {
    /// Whether the fleet counts as saturated, by the observations so far.
    pub fn is_saturated(&self) -> bool {
        matches!(self.phase, Phase::Saturated | Phase::Clearing(_))
    }

    /// Takes in how much work finds no room: a part of the fleet, less what is on its way.
    pub fn observe(&mut self, now: Timestamp, waiting: f64, at: &Thresholds) -> Option<Change> {
        let before = self.is_saturated();
        self.phase = match self.phase {
            Phase::Room | Phase::Filling(_) if waiting >= at.at_once => Phase::Saturated,
            Phase::Room if waiting >= at.enter => Phase::Filling(now),
            Phase::Filling(_) if waiting < at.enter => Phase::Room,
            Phase::Filling(since) if now.since(since) >= at.enter_after => Phase::Saturated,
            Phase::Saturated if waiting < at.leave => Phase::Clearing(now),
            Phase::Clearing(since) if now.since(since) >= at.leave_after => Phase::Room,
            Phase::Clearing(_) if waiting >= at.leave => Phase::Saturated,
            unchanged => unchanged,
        };
        match (before, self.is_saturated()) {
            (false, true) => Some(Change::Entered),
            (true, false) => Some(Change::Left),
            _ => None,
        }
    }
}
