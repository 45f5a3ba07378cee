//! Who leads. One state machine per node; [`Leadership::step`] is the only place where it changes.
//!
//! The term is the mark of the `leader` key, which the protocol lets only rise. Nothing here keeps
//! the rules: every write of a leader guards its term, so a leader that doesn't know it is deposed
//! can write nothing. Leadership only keeps two nodes from doing the same work.

use crate::leadership::fencing_token::Term;
use crate::time::{TimeDelta, Timestamp};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Somebody else leads, or nobody: waiting to see the key gone.
    Follower,
    /// Getting a lease and creating the key.
    Candidate,
    /// Holds the key; reads the records before it decides anything.
    Loading { term: Term },
    /// Decides.
    Leader { term: Term },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ElectionEvent {
    /// The leader key is gone.
    Vacant,
    /// This node created the key.
    Won { term: Term },
    /// Somebody else did, or the attempt failed.
    Failed,
    /// The records have been read.
    Loaded { term: Term },
    /// The lease ran out, the key is another's, or this node gives way.
    Lost,
}

#[derive(Debug)]
pub struct Leadership {
    role: Role,
    /// Until when this node leaves the lead to others, having just given way.
    backing_off_until: Timestamp,
}

impl Default for Leadership {
    fn default() -> Self {
        Leadership { role: Role::Follower, backing_off_until: Timestamp(0) }
    }
}

impl Leadership {
    pub fn role(&self) -> Role {
        self.role
    }

    pub fn term(&self) -> Option<Term> {
        match self.role {
            Role::Loading { term } | Role::Leader { term } => Some(term),
            Role::Follower | Role::Candidate => None,
        }
    }

    /// Lets others lead for a while.
    pub fn back_off(&mut self, now: Timestamp, span: TimeDelta) {
        self.backing_off_until = now + span;
    }

    pub fn step(&mut self, now: Timestamp, input: ElectionEvent) -> bool {
        let next = match (self.role, input) {
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
