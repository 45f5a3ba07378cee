//! Terms, and the fencing tokens by which workers reject messages from earlier leaders.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The term of a leader: the revision of the `leader` key that it created, which only increases.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// The value sent on the wire by a node that does not lead.
    pub const NONE: Term = Term(0);

    /// Returns the number as sent on the wire.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Number of low bits of a fencing token that hold the worker's fencing counter; the term is above
/// them.
const FENCING_COUNTER_BITS: u32 = 20;

/// A fencing token for one worker: the term in the high bits, the worker's fencing counter in the
/// low bits. Either a new term or a higher counter makes the worker reject everything sent with an
/// earlier token.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Lower than every token of a leader. Used for a task whose start was not sent yet and for a
    /// worker that has seen no token.
    pub const NONE: FencingToken = FencingToken(0);

    /// Combines a term and a fencing counter. A counter that exceeds its bits is clamped to the
    /// largest value that fits.
    pub fn new(term: Term, fencing_counter: u64) -> FencingToken {
        let counter = fencing_counter.min((1 << FENCING_COUNTER_BITS) - 1);
        FencingToken((term.0 << FENCING_COUNTER_BITS) | counter)
    }

    /// Returns the lowest token of a term.
    pub fn first_of(term: Term) -> FencingToken {
        FencingToken::new(term, 0)
    }

    /// Returns the highest token below all tokens of a term.
    pub fn last_before(term: Term) -> FencingToken {
        FencingToken(FencingToken::first_of(term).0 - 1)
    }

    /// Returns the term in which the token was issued.
    pub fn term(self) -> Term {
        Term(self.0 >> FENCING_COUNTER_BITS)
    }

    /// Returns the number as sent on the wire.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
