//! The key-value store's contents: keys with revisions, attached to leases, changed by conditional
//! transactions. No sockets and no clock: whoever serves it says when a lease ends.

use std::collections::BTreeMap;

use serde_json::{json, Value};
use walnutlug_scheduler::protocol::key_value::{Operation, Transaction};

/// A key's value, the revision of its last change, and the lease that it ends with.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// What is stored.
    pub value: Value,
    /// Revision of the last change of the key.
    pub revision: u64,
    /// The lease that the key is attached to.
    pub lease: Option<u64>,
}

/// One change, as watches tell it; without a value it was a removal.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Revision of the store after the change.
    pub revision: u64,
    /// The key that changed.
    pub key: String,
    /// Its value; `None` if it was deleted.
    pub value: Option<Value>,
}

/// The guards that didn't hold, by their keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// Keys whose compare failed.
    pub failed: Vec<String>,
}

/// Keys with revisions, and the history of their changes.
#[derive(Debug, Default)]
pub struct FakeKeyValueStore {
    /// Revision of the last change of any key.
    pub revision: u64,
    /// What is stored now.
    pub keys: BTreeMap<String, Entry>,
    /// All changes, the oldest first.
    pub history: Vec<Event>,
}

impl FakeKeyValueStore {
    /// Writes a key under a revision of its own, attached to the lease if there is one.
    pub fn put(&mut self, key: &str, value: Value, lease: Option<u64>) {
        self.revision += 1;
        self.set(key, value, lease);
    }

    fn set(&mut self, key: &str, value: Value, lease: Option<u64>) {
        let revision = self.revision;
        self.history.push(Event { revision, key: key.to_owned(), value: Some(value.clone()) });
        self.keys.insert(key.to_owned(), Entry { value, revision, lease });
    }

    /// Removes a key under the present revision.
    pub fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.history.push(Event { revision: self.revision, key: key.to_owned(), value: None });
        }
    }

    /// The lease has ended, and its keys with it.
    pub fn end_lease(&mut self, lease: u64) {
        let attached = self.keys.iter().filter(|(_, entry)| entry.lease == Some(lease));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        self.revision += u64::from(!keys.is_empty());
        keys.iter().for_each(|key| self.remove(key));
    }

    /// Carries a transaction out, all of it or nothing. Returns the revision after it.
    pub fn commit(&mut self, transaction: &Transaction) -> Result<u64, Conflict> {
        let revision = |key: &str| self.keys.get(key).map_or(0, |entry| entry.revision);
        let wrong = transaction
            .compares
            .iter()
            .filter(|guard| revision(&guard.key) != guard.revision.get());
        let failed: Vec<String> = wrong.map(|guard| guard.key.clone()).collect();
        if !failed.is_empty() {
            return Err(Conflict { failed });
        }
        self.revision += u64::from(!transaction.operations.is_empty());
        for change in &transaction.operations {
            match change {
                Operation::Put { put, value, lease } => self.set(put, value.to_value(), *lease),
                Operation::Delete { drop } => self.remove(drop),
            }
        }
        Ok(self.revision)
    }

    /// The answer to a read of one key, if it is there.
    pub fn read(&self, key: &str) -> Option<Value> {
        let entry = self.keys.get(key)?;
        Some(json!({"key": key, "value": entry.value, "mark": entry.revision}))
    }

    /// The answer to a list of the keys that begin so, after `from`, `most` at most.
    pub fn list(&self, starts: &str, from: &str, most: usize) -> Value {
        let after = |key: &str| from.is_empty() || key > from;
        let found = self.keys.keys().filter(|key| key.starts_with(starts) && after(key));
        let mut key_values: Vec<Value> =
            found.take(most.saturating_add(1)).filter_map(|key| self.read(key)).collect();
        let more = key_values.len() > most;
        key_values.truncate(most);
        json!({"pairs": key_values, "hasNext": more, "growth": self.revision})
    }
}
