//! Leader election, as one state machine per node. Only [`Leadership::step`] changes the role.
//!
//! The term is the revision of the `leader` key, which only increases. Safety does not depend on
//! this module: every write of a leader is conditional on its term, so a leader that is unaware of
//! having been replaced can't write anything. The election only prevents two nodes from doing the
//! same work.

use crate::leadership::fencing_token::Term;
use crate::time::{TimeDelta, Timestamp};

/// The role of a node in the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Another node leads, or none does. The node waits for the leader key to be deleted.
    Follower,
    /// The node requests a lease and tries to create the leader key.
    Candidate,
    /// The node holds the leader key and reads the stored records before it makes decisions.
    Loading {
        /// Revision of the leader key that the node created.
        term: Term,
    },
    /// The node holds the leader key and makes the scheduling decisions.
    Leader {
        /// Revision of the leader key that the node created.
        term: Term,
    },
}

/// An event that can change a node's role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ElectionEvent {
    /// The leader key was deleted, or its lease expired.
    Vacant,
    /// This node created the leader key.
    Won {
        /// Revision of the created key.
        term: Term,
    },
    /// Another node created the leader key, or the attempt failed.
    Failed,
    /// The stored records have been read.
    Loaded {
        /// The term in which the records were read; ignored unless it is the current one.
        term: Term,
    },
    /// The lease expired, another node holds the leader key, or this node steps down.
    Lost,
}

/// The role of a node, and the time from which it may be a candidate again.
#[derive(Debug)]
pub struct Leadership {
    role: Role,
    /// Time before which this node does not become a candidate, because it has just stepped down.
    backing_off_until: Timestamp,
}

impl Default for Leadership {
    fn default() -> Self {
        Leadership { role: Role::Follower, backing_off_until: Timestamp(0) }
    }
}

impl Leadership {
    /// Returns the node's current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the term in which this node holds the leader key, `None` if it doesn't hold it.
    pub fn term(&self) -> Option<Term> {
        match self.role {
            Role::Loading { term } | Role::Leader { term } => Some(term),
            Role::Follower | Role::Candidate => None,
        }
    }

    /// Keeps this node from becoming a candidate for the given duration, so that another node can
    /// become leader.
    pub fn back_off(&mut self, now: Timestamp, duration: TimeDelta) {
        self.backing_off_until = now + duration;
    }

    /// Applies the event to the role. Returns `false`, leaving the role as it is, if the event has
    /// no effect in the current role.
    pub fn step(&mut self, now: Timestamp, event: ElectionEvent) -> bool {
        let next = match (self.role, event) {
            (Role::Follower, ElectionEvent::Vacant) if now >= self.backing_off_until => {
                Role::Candidate
            }
            (Role::Candidate, ElectionEvent::Won { term }) => Role::Loading { term },
            (Role::Candidate, ElectionEvent::Failed) => Role::Follower,
            (Role::Loading { term }, ElectionEvent::Loaded { term: loaded }) if term == loaded => {
                Role::Leader { term }
            }
            (Role::Loading { .. } | Role::Leader { .. }, ElectionEvent::Lost) => Role::Follower,
            _ => return false,
        };
        self.role = next;
        true
    }
}

#[cfg(test)]
mod tests;
