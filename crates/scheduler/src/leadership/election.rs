//! Who leads. One state machine per node; [`Leadership::step`] is the only place where it changes.
//!
//! The term is the revision of the `leader` key, which only rises. Safety does not depend on anything
//! here: every write of a leader is conditional on its term, so a leader that doesn't know that it is
//! deposed can write nothing. The election only keeps two nodes from doing the same work.

use crate::leadership::fencing_token::Term;
use crate::time::{TimeDelta, Timestamp};

/// A node's part in the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Another node leads, or none: waits for the leader key to be deleted.
    Follower,
    /// Requests a lease and creates the leader key.
    Candidate,
    /// Holds the leader key; reads the records before it decides anything.
    Loading {
        /// Its term.
        term: Term,
    },
    /// Holds the leader key, and decides.
    Leader {
        /// Its term.
        term: Term,
    },
}

/// What can happen to a node's role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ElectionEvent {
    /// The leader key was deleted, or its lease expired.
    Vacant,
    /// This node created the key.
    Won {
        /// The key's revision.
        term: Term,
    },
    /// Another node created it, or the attempt failed.
    Failed,
    /// The records have been read.
    Loaded {
        /// The term under which they were read.
        term: Term,
    },
    /// The lease expired, the key is another node's, or this node steps down.
    Lost,
}

/// A node's role, and when it may be a candidate again.
#[derive(Debug)]
pub struct Leadership {
    role: Role,
    /// Until when this node is no candidate, having just stepped down.
    backing_off_until: Timestamp,
}

impl Default for Leadership {
    fn default() -> Self {
        Leadership { role: Role::Follower, backing_off_until: Timestamp(0) }
    }
}

impl Leadership {
    /// The node's role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The term of which this node holds the leader key.
    pub fn term(&self) -> Option<Term> {
        match self.role {
            Role::Loading { term } | Role::Leader { term } => Some(term),
            Role::Follower | Role::Candidate => None,
        }
    }

    /// Leaves the lead to others for that long: this node is no candidate until then.
    pub fn back_off(&mut self, now: Timestamp, span: TimeDelta) {
        self.backing_off_until = now + span;
    }

    /// Changes the role, if the event means anything in it; returns whether it did.
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
