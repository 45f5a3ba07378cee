//! Intent records: cloud actions that are stored before they are sent.
//!
//! A record holds a few actions of one kind. The holder that decided on them creates it once, under
//! a fence, and deletes it when all of them are settled. The next holder of the role finds the
//! records that remain.

use serde::{Deserialize, Serialize};
use walnutlug_scheduler::protocol::cloud::ScaleOutRequest;
use walnutlug_scheduler::protocol::key_value::KeyValue;
use walnutlug_scheduler::storage::revision::Revision;

use crate::leased_role::{check_format, Epoch, EpochError, LeasedRole, RecordError};

/// Prefix of the keys of all intent records.
pub const INTENT_PREFIX: &str = "intent/";

/// Format of the intent records that this version writes, and the newest that it reads.
pub const INTENT_FORMAT: u64 = 1;

/// Request to rent machines. Its name makes it idempotent and is never used for another request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ScaleOut {
    /// Unique name of the request.
    pub request: String,
    /// Name of the machine type.
    pub kind: String,
    /// Zone in which to rent the machines.
    pub zone: String,
    /// Whether to rent spot machines.
    pub spot: bool,
    /// Number of machines to rent.
    pub count: u32,
}

impl ScaleOut {
    /// Returns the request in the form of the cloud's API.
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

/// Machine that a scale-in returns to the cloud.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TerminatedMachine {
    /// Name of the machine at the cloud.
    #[serde(rename = "name")]
    pub machine: String,
    /// Whether tasks were recorded on the machine when the scale-in was decided; its return then
    /// proves that they have ended. If `false`, it had none, and none are placed on it once the
    /// intent is stored.
    #[serde(rename = "tasks")]
    pub holds_tasks: bool,
}

/// Action that a role holder requests from the cloud.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Rents the machines of one request.
    #[serde(rename = "rent")]
    ScaleOut(ScaleOut),
    /// Returns the machines to the cloud.
    #[serde(rename = "return")]
    ScaleIn(Vec<TerminatedMachine>),
}

/// Stored form of the actions that were decided together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntentRecord {
    /// Format number, [`INTENT_FORMAT`] in a new record.
    pub format: u64,
    /// Actions to carry out, in the order of the requests.
    pub actions: Vec<Action>,
}

impl IntentRecord {
    /// Creates a record in the format that this version writes.
    pub fn new(actions: Vec<Action>) -> IntentRecord {
        IntentRecord { format: INTENT_FORMAT, actions }
    }
}

/// Returns the key of an intent record, which names the role and the epoch under which it was
/// decided.
pub fn intent_key(role: LeasedRole, epoch: Epoch, number: u64) -> String {
    format!("{INTENT_PREFIX}{}/{:020}/{number:06}", role.name(), epoch.revision())
}

/// Intent record as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredIntent {
    /// Role whose holder created the record.
    pub role: LeasedRole,
    /// Epoch under which the actions were decided.
    pub epoch: Epoch,
    /// Actions with their format number.
    pub record: IntentRecord,
}

impl StoredIntent {
    /// Parses the key and the value of a stored record.
    pub fn read(key_value: &KeyValue) -> Result<StoredIntent, RecordError> {
        let key = || key_value.key.clone();
        let unreadable = |fault: &str| RecordError::Unreadable { key: key(), fault: fault.into() };
        let path = key_value.key.strip_prefix(INTENT_PREFIX).unwrap_or_default();
        let (name, path) = path.split_once('/').unwrap_or((path, ""));
        let role =
            LeasedRole::from_name(name).ok_or_else(|| RecordError::UnknownRole { key: key() })?;
        check_format(&key_value.key, &key_value.value, INTENT_FORMAT)?;
        let epoch = path.split_once('/').and_then(|(epoch, _)| epoch.parse().ok());
        let epoch = epoch.ok_or_else(|| unreadable("the key contains no epoch"))?;
        let epoch = Epoch::try_from(Revision(epoch))
            .map_err(|error: EpochError| RecordError::Epoch { key: key(), error })?;
        let record: IntentRecord = serde_json::from_value(key_value.value.clone())
            .map_err(|e| unreadable(&e.to_string()))?;
        Ok(StoredIntent { role, epoch, record })
    }
}
