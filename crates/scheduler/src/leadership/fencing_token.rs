//! The term of a leader, and the token by which workers refuse what older leaders sent.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A leader's term: the revision of the `leader` key that it created, which only rises.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// On the wire, of a node that does not lead.
    pub const NONE: Term = Term(0);

    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Bits of a token below the term: the worker's fencing counter.
const FENCING_COUNTER_BITS: u32 = 20;

/// The token for a worker: the term above, the worker's fencing counter below. A new term or a raised
/// counter each make a worker refuse everything sent before.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Below every token of a leader: the start of a task was not sent yet, or the worker has seen none.
    pub const NONE: FencingToken = FencingToken(0);

    /// A counter beyond what fits counts as the largest that does.
    pub fn new(term: Term, fencing_counter: u64) -> FencingToken {
        let counter = fencing_counter.min((1 << FENCING_COUNTER_BITS) - 1);
        FencingToken((term.0 << FENCING_COUNTER_BITS) | counter)
    }

    /// The least token of a term.
    pub fn first_of(term: Term) -> FencingToken {
        FencingToken::new(term, 0)
    }

    /// The greatest token below all of that term's.
    pub fn last_before(term: Term) -> FencingToken {
        FencingToken(FencingToken::first_of(term).0 - 1)
    }

    /// The term under which the token was made.
    pub fn term(self) -> Term {
        Term(self.0 >> FENCING_COUNTER_BITS)
    }

    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
