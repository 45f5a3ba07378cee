//! In-memory contents of the fake key-value service: keys with revisions and leases, changed by
//! conditional transactions. Uses neither sockets nor a clock; the caller decides when a lease
//! ends.

use std::collections::BTreeMap;

use serde_json::{json, Value};
use walnutlug_scheduler::protocol::key_value::{Operation, Transaction};

/// Stored value of a key with its revision and lease.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Value that was last written.
    pub value: Value,
    /// Revision of the store at the key's last change.
    pub revision: u64,
    /// Lease with whose end the key is deleted; `None` if the key does not expire.
    pub lease: Option<u64>,
}

/// Change of one key, as reported to watches.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Revision of the store after the change.
    pub revision: u64,
    /// Key that was written or deleted.
    pub key: String,
    /// New value; `None` if the key was deleted.
    pub value: Option<Value>,
}

/// Error of a transaction that was rejected because at least one compare failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// Keys whose revision differs from the one in the compare.
    pub failed: Vec<String>,
}

/// Current keys of the store and the history of all changes.
#[derive(Debug, Default)]
pub struct FakeKeyValueStore {
    /// Current revision of the store, which a key receives when it is written.
    pub revision: u64,
    /// Current entries by key.
    pub keys: BTreeMap<String, Entry>,
    /// All changes since the store was created, oldest first.
    pub history: Vec<Event>,
}

impl FakeKeyValueStore {
    /// Writes a key under a new revision and attaches it to the lease, if one is given.
    pub fn put(&mut self, key: &str, value: Value, lease: Option<u64>) {
        self.revision += 1;
        self.write(key, value, lease);
    }

    fn write(&mut self, key: &str, value: Value, lease: Option<u64>) {
        let revision = self.revision;
        self.history.push(Event { revision, key: key.to_owned(), value: Some(value.clone()) });
        self.keys.insert(key.to_owned(), Entry { value, revision, lease });
    }

    /// Deletes a key, if it exists, without increasing the revision of the store.
    pub fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.history.push(Event { revision: self.revision, key: key.to_owned(), value: None });
        }
    }

    /// Deletes all keys attached to the lease. They share one new revision; without such keys the
    /// revision stays as it is.
    pub fn end_lease(&mut self, lease: u64) {
        let attached = self.keys.iter().filter(|(_, entry)| entry.lease == Some(lease));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        self.revision += u64::from(!keys.is_empty());
        keys.iter().for_each(|key| self.remove(key));
    }

    /// Applies all operations of the transaction under one new revision, or none of them if a
    /// compare fails. Returns the revision of the store afterwards.
    pub fn commit(&mut self, transaction: &Transaction) -> Result<u64, Conflict> {
        let current_revision = |key: &str| self.keys.get(key).map_or(0, |entry| entry.revision);
        let failing = transaction
            .compares
            .iter()
            .filter(|compare| current_revision(&compare.key) != compare.revision.get());
        let failed: Vec<String> = failing.map(|compare| compare.key.clone()).collect();
        if !failed.is_empty() {
            return Err(Conflict { failed });
        }
        self.revision += u64::from(!transaction.operations.is_empty());
        for operation in &transaction.operations {
            match operation {
                Operation::Put { put, value, lease } => self.write(put, value.to_value(), *lease),
                Operation::Delete { drop } => self.remove(drop),
            }
        }
        Ok(self.revision)
    }

    /// Returns the response body for a read of one key, or `None` if the key does not exist.
    pub fn read(&self, key: &str) -> Option<Value> {
        let entry = self.keys.get(key)?;
        Some(json!({"key": key, "value": entry.value, "mark": entry.revision}))
    }

    /// Returns the response body for a listing of the keys with this prefix: at most `limit` keys,
    /// only those that sort after `after`; an empty `after` starts at the beginning.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Value {
        let is_after = |key: &str| after.is_empty() || key > after;
        let matching = self.keys.keys().filter(|key| key.starts_with(prefix) && is_after(key));
        let mut key_values: Vec<Value> =
            matching.take(limit.saturating_add(1)).filter_map(|key| self.read(key)).collect();
        let more = key_values.len() > limit;
        key_values.truncate(limit);
        json!({"pairs": key_values, "hasNext": more, "growth": self.revision})
    }
}
