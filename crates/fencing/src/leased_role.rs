//! Which roles there are, who holds one, and the epoch under which it is held.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use walnutlug_scheduler::leadership::fencing_token::Term;
use walnutlug_scheduler::protocol::key_value::{Compare, KeyValue, Operation, Transaction};
use walnutlug_scheduler::storage::document::Document;
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;

/// Prefix of the keys that name the holders.
pub const ROLE_KEY_PREFIX: &str = "duty/";

/// The newest format of a holder's record that this version reads and the one that it writes.
pub const HOLDER_FORMAT: u64 = 1;

/// Work with one owner at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeasedRole {
    /// Scaling out and in, and adopting those that nobody expected. What it decides follows
    /// from the scheduler's tables of the leader, so it goes with the lead: one key, one lease, and the term is the
    /// epoch.
    Fleet,
    /// Reading the machine types and prices from the cloud and sharing them with all nodes.
    MachineTypes,
}

impl LeasedRole {
    /// All of them.
    pub const ALL: [LeasedRole; 2] = [LeasedRole::Fleet, LeasedRole::MachineTypes];

    /// Its name in stored keys.
    pub fn name(self) -> &'static str {
        match self {
            LeasedRole::Fleet => "fleet",
            LeasedRole::MachineTypes => "machine-types",
        }
    }

    /// The role of that name, if this version knows it.
    pub fn from_name(name: &str) -> Option<LeasedRole> {
        LeasedRole::ALL.into_iter().find(|role| role.name() == name)
    }

    /// The key that exists for as long as somebody holds the role. Its revision is the epoch.
    pub fn key(self) -> String {
        match self {
            LeasedRole::Fleet => keys::LEADER.to_owned(),
            LeasedRole::MachineTypes => format!("{ROLE_KEY_PREFIX}{}", self.name()),
        }
    }
}

/// Tells one holding of a role from all others. It is the revision of the role's key, as the term is the
/// revision of the leader's: revisions of the key-value store only rise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(u64);

/// Why a revision can't serve as an epoch. Each stops the role at this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EpochError {
    /// No key has this revision.
    #[error("epoch 0 is none")]
    Zero,
    /// Above what a term may be, so that tokens made of it would not rise any more.
    #[error("epoch {0} is beyond the limit {limit}", limit = Epoch::LIMIT)]
    AtLimit(u64),
    /// A higher one was in use: the key-value store lost what it had stored.
    #[error("epoch {found} went back: {known} was in use before")]
    WentBack {
        /// The epoch that was found now.
        found: u64,
        /// The highest one known.
        known: u64,
    },
}

impl Epoch {
    /// The largest epoch. Workers' tokens keep 44 bits for a term, which is a revision too.
    pub const LIMIT: u64 = (1 << 44) - 1;

    /// As a revision of the key-value store.
    pub fn revision(self) -> Revision {
        Revision(self.0)
    }

    /// Refuses an epoch that is not above one known to have been in use.
    pub fn must_follow(self, known: Option<Epoch>) -> Result<Epoch, EpochError> {
        match known {
            Some(known) if known >= self => {
                Err(EpochError::WentBack { found: self.0, known: known.0 })
            }
            _ => Ok(self),
        }
    }
}

/// The epoch of a key with that revision.
impl TryFrom<Revision> for Epoch {
    type Error = EpochError;

    fn try_from(revision: Revision) -> Result<Epoch, EpochError> {
        match revision.get() {
            0 => Err(EpochError::Zero),
            found @ 1..=Epoch::LIMIT => Ok(Epoch(found)),
            found => Err(EpochError::AtLimit(found)),
        }
    }
}

/// A leader's term as an epoch.
impl TryFrom<Term> for Epoch {
    type Error = EpochError;

    fn try_from(term: Term) -> Result<Epoch, EpochError> {
        Epoch::try_from(Revision::from(term))
    }
}

impl std::fmt::Display for Epoch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// The stored record of who holds a role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// The record's format.
    pub format: u64,
    /// The node's name.
    pub node: String,
    /// Tells this life of the node's process from its former ones.
    #[serde(rename = "inc")]
    pub incarnation: String,
    /// The lease that the key is attached to, so that the node itself, back in time, can end it.
    pub lease: u64,
}

/// A stored record that this version can't act on. Such a record is left as it is.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Not of the form that any version writes.
    #[error("{key}: can't be read: {fault}")]
    Unreadable {
        /// Where it is stored.
        key: String,
        /// What is wrong with it.
        fault: String,
    },
    /// Written by a newer version.
    #[error("{key}: is of format {found}, and this version reads up to {newest}")]
    NewerFormat {
        /// Where it is stored.
        key: String,
        /// Its format.
        found: u64,
        /// The newest format that this version reads.
        newest: u64,
    },
    /// Of a role that this version doesn't have.
    #[error("{key}: no such role is known")]
    UnknownRole {
        /// Where it is stored.
        key: String,
    },
    /// Held by a node that the settings don't name.
    #[error("{key}: held by {node:?}, which the settings don't name")]
    UnknownHolder {
        /// Where it is stored.
        key: String,
        /// The holder's name.
        node: String,
    },
    /// Its epoch is none.
    #[error("{key}: {error}")]
    Epoch {
        /// Where it is stored.
        key: String,
        /// What is wrong with it.
        error: EpochError,
    },
}

/// Reads the format number of a stored record, so that a newer one is told from a damaged one.
pub(crate) fn check_format(key: &str, value: &Value, newest: u64) -> Result<(), RecordError> {
    let unreadable = |fault: &str| RecordError::Unreadable { key: key.into(), fault: fault.into() };
    let format = value.get("format").ok_or_else(|| unreadable("format is missing"))?;
    match format.as_u64() {
        Some(found) if found > newest => {
            Err(RecordError::NewerFormat { key: key.to_owned(), found, newest })
        }
        Some(1..) => Ok(()),
        _ => Err(unreadable("format must be a whole number from 1")),
    }
}

/// Who holds which role under what epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldRole {
    /// The role.
    pub role: LeasedRole,
    /// Its epoch.
    pub epoch: Epoch,
    /// The holder.
    pub holder: HolderRecord,
}

impl HeldRole {
    /// Reads a stored holder; `nodes` are the names in the settings.
    pub fn read(key_value: &KeyValue, nodes: &[&str]) -> Result<HeldRole, RecordError> {
        let key = || key_value.key.clone();
        let name = key_value.key.strip_prefix(ROLE_KEY_PREFIX);
        let role = name.and_then(LeasedRole::from_name);
        let role = role.ok_or_else(|| RecordError::UnknownRole { key: key() })?;
        check_format(&key_value.key, &key_value.value, HOLDER_FORMAT)?;
        let holder: HolderRecord = serde_json::from_value(key_value.value.clone())
            .map_err(|e| RecordError::Unreadable { key: key(), fault: e.to_string() })?;
        if !nodes.contains(&holder.node.as_str()) {
            return Err(RecordError::UnknownHolder { key: key(), node: holder.node });
        }
        let epoch = Epoch::try_from(key_value.revision)
            .map_err(|error| RecordError::Epoch { key: key(), error })?;
        Ok(HeldRole { role, epoch, holder })
    }

    /// The transaction that takes the role, if nobody holds it. Its revision becomes the epoch.
    pub fn claim(role: LeasedRole, holder: &HolderRecord) -> Transaction {
        let key = role.key();
        let put = Operation::Put {
            put: key.clone(),
            value: Document::new(holder),
            lease: Some(holder.lease),
        };
        Transaction {
            compares: vec![Compare { key, revision: Revision::NONE }],
            operations: vec![put],
        }
    }
}
