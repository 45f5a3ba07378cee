//! Roles that one node at a time holds, their stored holder records, and their epochs.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use walnutlug_scheduler::leadership::fencing_token::Term;
use walnutlug_scheduler::protocol::key_value::{Compare, KeyValue, Operation, Transaction};
use walnutlug_scheduler::storage::document::Document;
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;

/// Prefix of the keys that store the holders of roles.
pub const ROLE_KEY_PREFIX: &str = "duty/";

/// Format of the holder records that this version writes, and the newest that it reads.
pub const HOLDER_FORMAT: u64 = 1;

/// Work that exactly one node at a time may do, under a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeasedRole {
    /// Scaling the cluster out and in, and adopting machines that are not accounted for. The
    /// decisions follow from the leader's scheduler state, so the leader holds the role: both share
    /// one key and one lease, and the term is the epoch.
    Fleet,
    /// Fetching the machine types and prices from the cloud and sharing them with all nodes.
    MachineTypes,
}

impl LeasedRole {
    /// Every role that this version knows.
    pub const ALL: [LeasedRole; 2] = [LeasedRole::Fleet, LeasedRole::MachineTypes];

    /// Returns the name of the role in stored keys.
    pub fn name(self) -> &'static str {
        match self {
            LeasedRole::Fleet => "fleet",
            LeasedRole::MachineTypes => "machine-types",
        }
    }

    /// Returns the role with the given name, or `None` if this version doesn't know it.
    pub fn from_name(name: &str) -> Option<LeasedRole> {
        LeasedRole::ALL.into_iter().find(|role| role.name() == name)
    }

    /// Returns the key that exists while some node holds the role. Its revision is the epoch.
    pub fn key(self) -> String {
        match self {
            LeasedRole::Fleet => keys::LEADER.to_owned(),
            LeasedRole::MachineTypes => format!("{ROLE_KEY_PREFIX}{}", self.name()),
        }
    }
}

/// Fencing number of one period in which a node holds a role. It is the revision of the role key,
/// as a term is the revision of the leader key, so it grows with each holder: revisions of the
/// key-value store only increase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(u64);

/// Reason why a revision can't be used as an epoch. Each of them stops the role at this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EpochError {
    /// The revision is 0, which no existing key has.
    #[error("epoch 0 is not valid")]
    Zero,
    /// The revision is above [`Epoch::LIMIT`], so fencing tokens made from it would no longer
    /// increase.
    #[error("epoch {0} exceeds the limit {limit}", limit = Epoch::LIMIT)]
    AboveLimit(u64),
    /// The same epoch or a higher one was in use before: the key-value store lost data.
    #[error("epoch {found} is not above epoch {known}, which was in use before")]
    NotIncreasing {
        /// Epoch that was read or acquired now.
        found: u64,
        /// Highest epoch that was in use before.
        known: u64,
    },
}

impl Epoch {
    /// Largest valid epoch. The fencing tokens of workers hold a term, which is a revision too, in
    /// 44 bits.
    pub const LIMIT: u64 = (1 << 44) - 1;

    /// Returns the revision of the role key that this epoch stands for.
    pub fn revision(self) -> Revision {
        Revision(self.0)
    }

    /// Returns the epoch if it is above `known`, the highest one in use before, and an error
    /// otherwise.
    pub fn must_follow(self, known: Option<Epoch>) -> Result<Epoch, EpochError> {
        match known {
            Some(known) if known >= self => {
                Err(EpochError::NotIncreasing { found: self.0, known: known.0 })
            }
            _ => Ok(self),
        }
    }
}

/// Converts the revision of a role key into the epoch of its holder.
impl TryFrom<Revision> for Epoch {
    type Error = EpochError;

    fn try_from(revision: Revision) -> Result<Epoch, EpochError> {
        match revision.get() {
            0 => Err(EpochError::Zero),
            found @ 1..=Epoch::LIMIT => Ok(Epoch(found)),
            found => Err(EpochError::AboveLimit(found)),
        }
    }
}

/// Converts a leader's term into the epoch of the fleet role.
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

/// Stored record that names the holder of a role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRecord {
    /// Format number, [`HOLDER_FORMAT`] in a new record.
    pub format: u64,
    /// Name of the node that holds the role.
    pub node: String,
    /// Identifies the run of the node's process, to distinguish it from earlier runs of the same
    /// node.
    #[serde(rename = "inc")]
    pub incarnation: String,
    /// Lease that the role key is attached to. A node that restarts before it expires can revoke it
    /// by this id.
    pub lease: u64,
}

/// Reason why this version can't act on a stored record, which it then leaves unchanged.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The record does not have the form that any version writes.
    #[error("{key}: invalid record: {fault}")]
    Unreadable {
        /// Key of the record.
        key: String,
        /// Message of the parser, without the key.
        fault: String,
    },
    /// The record was written by a newer version.
    #[error("{key}: format {found} is newer than {newest}, the newest that this version reads")]
    NewerFormat {
        /// Key of the record.
        key: String,
        /// Format number of the record.
        found: u64,
        /// Newest format number that this version reads.
        newest: u64,
    },
    /// The key names a role that this version doesn't have.
    #[error("{key}: unknown role")]
    UnknownRole {
        /// Key of the record.
        key: String,
    },
    /// The role is held by a node that is not in the settings.
    #[error("{key}: held by node {node:?}, which is not in the settings")]
    UnknownHolder {
        /// Key of the record.
        key: String,
        /// Name of the holder.
        node: String,
    },
    /// The epoch of the record is invalid.
    #[error("{key}: {error}")]
    Epoch {
        /// Key of the record.
        key: String,
        /// Reason why the revision is not a valid epoch.
        error: EpochError,
    },
}

/// Checks the format number of a stored record, which tells a record of a newer version from a
/// damaged one.
pub(crate) fn check_format(key: &str, value: &Value, newest: u64) -> Result<(), RecordError> {
    let unreadable = |fault: &str| RecordError::Unreadable { key: key.into(), fault: fault.into() };
    let format = value.get("format").ok_or_else(|| unreadable("field `format` is missing"))?;
    match format.as_u64() {
        Some(found) if found > newest => {
            Err(RecordError::NewerFormat { key: key.to_owned(), found, newest })
        }
        Some(1..) => Ok(()),
        _ => Err(unreadable("field `format` must be an integer of at least 1")),
    }
}

/// Role that a node holds, as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldRole {
    /// Role that the stored key names.
    pub role: LeasedRole,
    /// Epoch under which it is held.
    pub epoch: Epoch,
    /// Stored record of the holder.
    pub holder: HolderRecord,
}

impl HeldRole {
    /// Parses a stored holder record. `nodes` are the node names in the settings.
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

    /// Returns the transaction that acquires the role if nobody holds it. Its commit revision
    /// becomes the epoch.
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
