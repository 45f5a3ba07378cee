//! The revisions of the key-value store.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::leadership::fencing_token::Term;

/// The version of a key, or of the whole store: the number of the change that it was made by. Revisions
/// only rise.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Of a key that does not exist.
    pub const NONE: Revision = Revision(0);
    /// Stands for that of a key of which it is only known that it may exist.
    pub const UNKNOWN: Revision = Revision(1);

    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The term of the leader whose key has this revision.
impl From<Revision> for Term {
    fn from(revision: Revision) -> Term {
        Term(revision.0)
    }
}

/// The revision that the `leader` key has under this term.
impl From<Term> for Revision {
    fn from(term: Term) -> Revision {
        Revision(term.0)
    }
}
