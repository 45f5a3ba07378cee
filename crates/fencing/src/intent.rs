//! Outside actions, written down before they are sent.
//!
//! A record holds a few actions of one kind and is created once, under a fence, by the holder that decided
//! them. It is dropped when all of them are settled. Whoever holds the role next finds what is left.

use serde::{Deserialize, Serialize};
use walnutlug_scheduler::protocol::cloud::ScaleOutRequest;
use walnutlug_scheduler::protocol::key_value::KeyValue;
use walnutlug_scheduler::storage::revision::Revision;

use crate::leased_role::{check_format, Epoch, EpochError, LeasedRole, RecordError};

/// Prefix of the keys of all intents.
pub const INTENT_PREFIX: &str = "intent/";

/// The newest format of an intent's record that this version reads and the one that it writes.
pub const INTENT_FORMAT: u64 = 1;

/// A request for machines, under a name that is never used for another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ScaleOut {
    /// The request's name.
    pub request: String,
    /// The machine type.
    pub kind: String,
    /// The zone.
    pub zone: String,
    /// A spot machine.
    pub spot: bool,
    /// How many machines.
    pub count: u32,
}

impl ScaleOut {
    /// As the cloud wants it asked.
    pub fn request(&self) -> ScaleOutRequest {
        ScaleOutRequest {
            request: self.request.clone(),
            kind: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            count: self.count,
        }
    }
}

/// A machine to be given back.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TerminatedMachine {
    /// Its name.
    #[serde(rename = "name")]
    pub machine: String,
    /// Tasks are recorded on it, and returning it is what proves them gone. Without it nothing was recorded
    /// there, and nothing is any more once the intent is stored.
    #[serde(rename = "tasks")]
    pub holds_tasks: bool,
}

/// An action on the cloud.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Rent machines.
    #[serde(rename = "rent")]
    ScaleOut(ScaleOut),
    /// Return machines.
    #[serde(rename = "return")]
    ScaleIn(Vec<TerminatedMachine>),
}

/// The stored form of some actions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentRecord {
    /// The record's format.
    pub format: u64,
    /// What was decided.
    pub actions: Vec<Action>,
}

impl IntentRecord {
    /// A record of the format that this version writes.
    pub fn new(actions: Vec<Action>) -> IntentRecord {
        IntentRecord { format: INTENT_FORMAT, actions }
    }
}

/// Where a record is kept: below the role and the epoch that decided it.
pub fn intent_key(role: LeasedRole, epoch: Epoch, number: u64) -> String {
    format!("{INTENT_PREFIX}{}/{:020}/{number:06}", role.name(), epoch.revision())
}

/// A record as it was found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredIntent {
    /// Whose it is.
    pub role: LeasedRole,
    /// The epoch that decided it.
    pub epoch: Epoch,
    /// What it holds.
    pub record: IntentRecord,
}

impl StoredIntent {
    /// Reads a stored record.
    pub fn read(key_value: &KeyValue) -> Result<StoredIntent, RecordError> {
        let key = || key_value.key.clone();
        let unreadable = |fault: &str| RecordError::Unreadable { key: key(), fault: fault.into() };
        let place = key_value.key.strip_prefix(INTENT_PREFIX).unwrap_or_default();
        let (name, place) = place.split_once('/').unwrap_or((place, ""));
        let role =
            LeasedRole::from_name(name).ok_or_else(|| RecordError::UnknownRole { key: key() })?;
        check_format(&key_value.key, &key_value.value, INTENT_FORMAT)?;
        let epoch = place.split_once('/').and_then(|(epoch, _)| epoch.parse().ok());
        let epoch = epoch.ok_or_else(|| unreadable("its key names no epoch"))?;
        let epoch = Epoch::try_from(Revision(epoch))
            .map_err(|error: EpochError| RecordError::Epoch { key: key(), error })?;
        let record: IntentRecord = serde_json::from_value(key_value.value.clone())
            .map_err(|e| unreadable(&e.to_string()))?;
        Ok(StoredIntent { role, epoch, record })
    }
}
