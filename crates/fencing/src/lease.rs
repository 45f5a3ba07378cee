//! A node's view of the lease under which it holds a role. [`RoleLease::step`] makes every state
//! change.
//!
//! The key-value store expires a lease one full `ttl` after the last renewal that it processed,
//! which is later than the renewal was sent. A holder that counts from the time of sending, and
//! allows for a slow clock, therefore stops before the store admits another holder, and needs no
//! message to do so.

use walnutlug_scheduler::storage::revision::Revision;
use walnutlug_scheduler::time::{TimeDelta, Timestamp};

use crate::leased_role::{Epoch, EpochError};

/// Maximum drift between the monotonic clocks of two machines, as a fraction of the elapsed time.
/// The protocol allows 0.05% on either side.
const MAX_CLOCK_DRIFT: f64 = 0.001;
/// Error that the timer resolution may add on either side.
const TIMER_ERROR: TimeDelta = TimeDelta::from_millis(2);

/// Returns how long the lease is certainly held, counted from the sending of a renewal.
pub fn safe_lease_time(ttl: TimeDelta) -> TimeDelta {
    ttl - ttl.mul_f64(MAX_CLOCK_DRIFT) - TIMER_ERROR
}

/// State of a role at this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// This node neither holds the role nor tries to acquire it.
    Idle,
    /// A lease was granted, and the creation of the role key is in progress.
    Acquiring {
        /// When the lease request was sent.
        sent: Timestamp,
    },
    /// The role is held, certainly so until `until`. After that it may still be held: the holder
    /// does not act, and a renewal that the store accepts shows that no other node acquired the
    /// role.
    Held {
        /// Epoch under which the role is held.
        epoch: Epoch,
        /// Time before which the lease can't have expired.
        until: Timestamp,
    },
    /// The epoch of an acquired role was invalid. This process does not acquire the role again.
    Stopped {
        /// Why the epoch is invalid.
        error: EpochError,
    },
}

/// Event that can change the state of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseInput {
    /// The store granted a lease.
    Granted {
        /// When the lease request was sent.
        sent: Timestamp,
    },
    /// The role key was created by this node, or was read back as its own after an unknown outcome.
    Won {
        /// Revision of the role key, which becomes the epoch.
        revision: Revision,
    },
    /// The role key could not be created: another node was first, or the request failed.
    Failed,
    /// The store accepted a renewal of the lease.
    Renewed {
        /// When the renewal was sent.
        sent: Timestamp,
    },
    /// The lease expired, the role key belongs to another node, or this node released the role.
    Ended,
}

/// Permission for one action under an epoch, to be obtained directly before the action.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    epoch: Epoch,
}

impl Permit {
    /// Returns the epoch under which the action is permitted.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }
}

/// Lease of one role at one node, as a state machine.
#[derive(Debug)]
pub struct RoleLease {
    ttl: TimeDelta,
    state: LeaseState,
    /// Highest epoch seen in use by any node; an acquired epoch must be above it.
    highest_epoch: Option<Epoch>,
}

impl RoleLease {
    /// Creates the state machine for a role that is not held. `ttl` is the time to live of its
    /// leases.
    pub fn new(ttl: TimeDelta) -> RoleLease {
        RoleLease { ttl, state: LeaseState::Idle, highest_epoch: None }
    }

    /// Returns the current state of the role.
    pub fn state(&self) -> LeaseState {
        self.state
    }

    /// Returns the time to live that each renewal restores.
    pub fn ttl(&self) -> TimeDelta {
        self.ttl
    }

    /// Notes an epoch that this node or another was seen to use.
    pub fn observe(&mut self, epoch: Epoch) {
        self.highest_epoch = self.highest_epoch.max(Some(epoch));
    }

    /// Applies an event. Returns whether it is valid in the current state; if not, nothing changes.
    pub fn step(&mut self, input: LeaseInput) -> bool {
        let next = match (self.state, input) {
            (LeaseState::Idle, LeaseInput::Granted { sent }) => LeaseState::Acquiring { sent },
            (LeaseState::Acquiring { sent }, LeaseInput::Won { revision }) => {
                self.state_after_acquiring(sent, revision)
            }
            (LeaseState::Acquiring { .. }, LeaseInput::Failed) => LeaseState::Idle,
            (LeaseState::Held { epoch, until }, LeaseInput::Renewed { sent }) => {
                LeaseState::Held { epoch, until: until.max(sent + safe_lease_time(self.ttl)) }
            }
            (LeaseState::Acquiring { .. } | LeaseState::Held { .. }, LeaseInput::Ended) => {
                LeaseState::Idle
            }
            _ => return false,
        };
        self.state = next;
        true
    }

    fn state_after_acquiring(&mut self, sent: Timestamp, revision: Revision) -> LeaseState {
        let epoch = Epoch::try_from(revision).and_then(|e| e.must_follow(self.highest_epoch));
        match epoch {
            Ok(epoch) => {
                self.highest_epoch = Some(epoch);
                LeaseState::Held { epoch, until: sent + safe_lease_time(self.ttl) }
            }
            Err(error) => LeaseState::Stopped { error },
        }
    }

    /// Returns the epoch if this node believes to hold the role, even if the lease may have
    /// expired.
    pub fn epoch(&self) -> Option<Epoch> {
        match self.state {
            LeaseState::Held { epoch, .. } => Some(epoch),
            LeaseState::Idle | LeaseState::Acquiring { .. } | LeaseState::Stopped { .. } => None,
        }
    }

    /// Returns the time until which the lease is certainly held, or `None` if the role is not held.
    pub fn held_until(&self) -> Option<Timestamp> {
        match self.state {
            LeaseState::Held { until, .. } => Some(until),
            LeaseState::Idle | LeaseState::Acquiring { .. } | LeaseState::Stopped { .. } => None,
        }
    }

    /// Returns a permit if the lease is certainly held at `now`. Call it as late as possible before
    /// the action.
    pub fn permit(&self, now: Timestamp) -> Option<Permit> {
        match self.state {
            LeaseState::Held { epoch, until } if now < until => Some(Permit { epoch }),
            _ => None,
        }
    }
}
