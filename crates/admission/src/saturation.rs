//! Detection of an overloaded fleet, with hysteresis.

use walnutlug_time::{TimeDelta, Timestamp};

/// Thresholds for entering and leaving saturation. Waiting work is measured as a fraction of the
/// fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Thresholds {
    /// Waiting work from which the fleet may become saturated.
    pub enter: f64,
    /// Waiting work below which the fleet may stop being saturated.
    pub leave: f64,
    /// Waiting work at which the fleet becomes saturated immediately, without `enter_after`.
    pub at_once: f64,
    /// How long waiting work must stay above `enter`. Machines that are booting are already
    /// deducted from the waiting work, so this corresponds to the time in which a machine could
    /// have been requested and booted.
    pub enter_after: TimeDelta,
    /// How long waiting work must stay below `leave`.
    pub leave_after: TimeDelta,
}

/// Conclusion from the observations so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The fleet has room for the waiting work.
    Normal,
    /// Work has been waiting since this time, possibly because of a temporary lack of machines.
    Entering(Timestamp),
    /// Work has been waiting for at least `enter_after`.
    Saturated,
    /// Still saturated, but there has been room since this time.
    Leaving(Timestamp),
}

/// Change of the saturation state, to be logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The fleet became saturated.
    Entered,
    /// The fleet stopped being saturated.
    Left,
}

/// Decides whether the fleet is saturated from the amount of work that finds no room.
#[derive(Debug, Clone, PartialEq)]
pub struct Saturation {
    phase: Phase,
}

impl Default for Saturation {
    fn default() -> Saturation {
        Saturation { phase: Phase::Normal }
    }
}

impl Saturation {
    /// Returns whether the fleet was saturated at the last observation.
    pub fn is_saturated(&self) -> bool {
        matches!(self.phase, Phase::Saturated | Phase::Leaving(_))
    }

    /// Records how much work finds no room, as a fraction of the fleet and without the work for
    /// which machines are booting. Returns the change that results, if any.
    pub fn observe(&mut self, now: Timestamp, waiting: f64, limits: &Thresholds) -> Option<Change> {
        let before = self.is_saturated();
        self.phase = match self.phase {
            Phase::Normal | Phase::Entering(_) if waiting >= limits.at_once => Phase::Saturated,
            Phase::Normal if waiting >= limits.enter => Phase::Entering(now),
            Phase::Entering(_) if waiting < limits.enter => Phase::Normal,
            Phase::Entering(since) if now.since(since) >= limits.enter_after => Phase::Saturated,
            Phase::Saturated if waiting < limits.leave => Phase::Leaving(now),
            Phase::Leaving(since) if now.since(since) >= limits.leave_after => Phase::Normal,
            Phase::Leaving(_) if waiting >= limits.leave => Phase::Saturated,
            unchanged => unchanged,
        };
        match (before, self.is_saturated()) {
            (false, true) => Some(Change::Entered),
            (true, false) => Some(Change::Left),
            _ => None,
        }
    }
}
