//! A node's own view of a lease that it holds a role by. [`RoleLease::step`] makes every change.
//!
//! The key-value store ends a lease a full `ttl` after the last renewal that it carried out, which is after the
//! renewal was sent. So a holder that counts from the sending, and allows for its clock being slow, stops
//! before the service lets anybody else in, and needs no message for that.

use walnutlug_scheduler::storage::revision::Revision;
use walnutlug_scheduler::time::{TimeDelta, Timestamp};

use crate::leased_role::{Epoch, EpochError};

/// How far apart the steady clocks of two machines may drift, as a part of the time that passed: 0.05%, by
/// the protocol, on either side.
const DRIFT: f64 = 0.001;
/// What a timer's step may add on either side.
const CLOCK_STEP: TimeDelta = TimeDelta::from_millis(2);

/// For how long after a renewal was sent the lease is certainly held.
pub fn safe_lease_time(ttl: TimeDelta) -> TimeDelta {
    ttl - ttl.mul_f64(DRIFT) - CLOCK_STEP
}

/// How a role stands at this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// Not held here.
    Idle,
    /// A lease was granted on a request sent then; the role's key is being created.
    Acquiring {
        /// When the lease was asked for.
        sent: Timestamp,
    },
    /// Held under the epoch; certainly so until then. After that it may be: nothing is done meanwhile, and
    /// a renewal that the service still takes shows that nobody else came in.
    Held {
        /// The epoch.
        epoch: Epoch,
        /// Up to when the lease can't have ended.
        until: Timestamp,
    },
    /// Something is wrong with the epochs: this node doesn't hold the role again in this life.
    Stopped {
        /// What is wrong.
        error: EpochError,
    },
}

/// What happens to a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseInput {
    /// The service granted a lease on a request sent then.
    Granted {
        /// When it was asked for.
        sent: Timestamp,
    },
    /// The role's key was created, or read back as this node's own, with this revision.
    Won {
        /// The key's revision.
        revision: Revision,
    },
    /// Somebody else was first, or the attempt failed.
    Failed,
    /// A renewal sent then was answered.
    Renewed {
        /// When it was sent.
        sent: Timestamp,
    },
    /// The lease ended, the key is another's, or the role is given up.
    Ended,
}

/// The right to act under an epoch, taken directly before acting and good for that one action.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    epoch: Epoch,
}

impl Permit {
    /// The epoch that the holder acts under.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }
}

/// One role's lease at one node.
#[derive(Debug)]
pub struct RoleLease {
    ttl: TimeDelta,
    state: LeaseState,
    /// The highest epoch that is known to have been in use.
    highest: Option<Epoch>,
}

impl RoleLease {
    /// Not held; leases are asked for with that time to live.
    pub fn new(ttl: TimeDelta) -> RoleLease {
        RoleLease { ttl, state: LeaseState::Idle, highest: None }
    }

    /// How the role stands.
    pub fn state(&self) -> LeaseState {
        self.state
    }

    /// How long each renewal is good for.
    pub fn ttl(&self) -> TimeDelta {
        self.ttl
    }

    /// An epoch was seen in use, by this node or another.
    pub fn observe(&mut self, epoch: Epoch) {
        self.highest = self.highest.max(Some(epoch));
    }

    /// Changes the state, if the input means anything in it.
    pub fn step(&mut self, input: LeaseInput) -> bool {
        let next = match (self.state, input) {
            (LeaseState::Idle, LeaseInput::Granted { sent }) => LeaseState::Acquiring { sent },
            (LeaseState::Acquiring { sent }, LeaseInput::Won { revision }) => {
                self.won(sent, revision)
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

    fn won(&mut self, sent: Timestamp, revision: Revision) -> LeaseState {
        let epoch = Epoch::try_from(revision).and_then(|e| e.must_follow(self.highest));
        match epoch {
            Ok(epoch) => {
                self.highest = Some(epoch);
                LeaseState::Held { epoch, until: sent + safe_lease_time(self.ttl) }
            }
            Err(error) => LeaseState::Stopped { error },
        }
    }

    /// The epoch, if the role is this node's as far as it knows.
    pub fn epoch(&self) -> Option<Epoch> {
        match self.state {
            LeaseState::Held { epoch, .. } => Some(epoch),
            LeaseState::Idle | LeaseState::Acquiring { .. } | LeaseState::Stopped { .. } => None,
        }
    }

    /// Up to when the lease is certainly held.
    pub fn held_until(&self) -> Option<Timestamp> {
        match self.state {
            LeaseState::Held { until, .. } => Some(until),
            LeaseState::Idle | LeaseState::Acquiring { .. } | LeaseState::Stopped { .. } => None,
        }
    }

    /// Whether the holder may act right now. To be asked as late before acting as can be.
    pub fn permit(&self, now: Timestamp) -> Option<Permit> {
        match self.state {
            LeaseState::Held { epoch, until } if now < until => Some(Permit { epoch }),
            _ => None,
        }
    }
}
