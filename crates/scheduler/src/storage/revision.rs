//! Revisions of the key-value store, and their conversion to and from terms.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::leadership::fencing_token::Term;

/// The revision of a key or of the whole store: the number of the change that produced it.
/// Revisions only increase.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Revision of a key that does not exist.
    pub const NONE: Revision = Revision(0);
    /// Placeholder for the unknown revision of a key that may or may not exist.
    pub const UNKNOWN: Revision = Revision(1);

    /// Returns the number as sent on the wire.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Converts the revision of the `leader` key to the term of the leader that created it.
impl From<Revision> for Term {
    fn from(revision: Revision) -> Term {
        Term(revision.0)
    }
}

/// Converts a term to the revision of the `leader` key in that term.
impl From<Term> for Revision {
    fn from(term: Term) -> Revision {
        Revision(term.0)
    }
}
