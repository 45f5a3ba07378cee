//! Who leads. One state machine per node; [`Leadership::step`] is the only place where it changes.
//!
//! The term is the mark of the `leader` key, which the protocol lets only rise. Nothing here keeps
//! the rules: every write of a leader guards its term, so a leader that doesn't know it is deposed
//! can write nothing. Leadership only keeps two nodes from doing the same work.

use crate::time::{Span, Time};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Somebody else leads, or nobody: waiting to see the key gone.
    Following,
    /// Getting a lease and creating the key.
    Standing,
    /// Holds the key; reads the records before it decides anything.
    Loading { term: u64 },
    /// Decides.
    Leading { term: u64 },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Input {
    /// The leader key is gone.
    Vacant,
    /// This node created the key.
    Won { term: u64 },
    /// Somebody else did, or the attempt failed.
    Failed,
    /// The records have been read.
    Loaded { term: u64 },
    /// The lease ran out, the key is another's, or this node gives way.
    Lost,
}

#[derive(Debug)]
pub struct Leadership {
    role: Role,
    /// Until when this node leaves the lead to others, having just given way.
    aside_until: Time,
}

impl Default for Leadership {
    fn default() -> Self {
        Leadership { role: Role::Following, aside_until: Time(0) }
    }
}

impl Leadership {
    pub fn role(&self) -> Role {
        self.role
    }

    pub fn term(&self) -> Option<u64> {
        match self.role {
            Role::Loading { term } | Role::Leading { term } => Some(term),
            Role::Following | Role::Standing => None,
        }
    }

    /// Lets others lead for a while.
    pub fn stand_aside(&mut self, now: Time, span: Span) {
        self.aside_until = now + span;
    }

    pub fn step(&mut self, now: Time, input: Input) -> bool {
        let next = match (self.role, input) {
            (Role::Following, Input::Vacant) if now >= self.aside_until => Role::Standing,
            (Role::Standing, Input::Won { term }) => Role::Loading { term },
            (Role::Standing, Input::Failed) => Role::Following,
            (Role::Loading { term }, Input::Loaded { term: loaded }) if term == loaded => {
                Role::Leading { term }
            }
            (Role::Loading { .. } | Role::Leading { .. }, Input::Lost) => Role::Following,
            _ => return false,
        };
        self.role = next;
        true
    }
}

/// Bits of a token below the term: the worker's fence number.
const FENCING_COUNTER_BITS: u32 = 20;

/// The token for a worker: the term above, the worker's fence below. A new term or a raised fence
/// each make a worker refuse everything sent before.
pub fn token(term: u64, fencing_counter: u64) -> u64 {
    (term << FENCING_COUNTER_BITS) | fencing_counter.min((1 << FENCING_COUNTER_BITS) - 1)
}

pub fn term_of(token: u64) -> u64 {
    token >> FENCING_COUNTER_BITS
}

#[cfg(test)]
mod tests;
