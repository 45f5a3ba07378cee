//! An in-memory replacement for the key-value store.

use std::collections::BTreeMap;

use serde_json::Value;
use walnutlug_scheduler::command::{ReadOutcome, TransactionOutcome};
use walnutlug_scheduler::protocol::key_value::{KeyValue, Operation, Transaction};
use walnutlug_scheduler::queue::dependencies::JobEndLookup;
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;

use super::transcript;

/// An in-memory key-value store with transactions.
#[derive(Debug, Default)]
pub struct Store {
    pub keys: BTreeMap<String, (Value, Revision)>,
    pub store_revision: Revision,
    /// The largest value in bytes and the most operations per transaction, if limited.
    pub limits: Option<(usize, usize)>,
}

impl Store {
    /// Reads a key.
    pub fn read(&self, key: &str) -> ReadOutcome {
        match self.keys.get(key).cloned() {
            Some((value, revision)) => ReadOutcome::Found { value, revision },
            None => ReadOutcome::Missing,
        }
    }

    /// Executes a transaction and records its outcome in the transcript.
    pub fn apply(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let outcome = self.commit_or_reject(transaction);
        transcript::applied(transaction, &outcome);
        outcome
    }

    fn commit_or_reject(&mut self, transaction: &Transaction) -> TransactionOutcome {
        if let Some((max_value_bytes, max_operations)) = self.limits {
            let size = |c: &Operation| match c {
                Operation::Put { value, .. } => value.size(),
                Operation::Delete { .. } => 0,
            };
            let large = transaction.operations.iter().any(|c| size(c) > max_value_bytes);
            if large
                || transaction.operations.len() > max_operations
                || transaction.compares.len() > 4 * max_operations
            {
                return TransactionOutcome::TooLarge;
            }
        }
        let revision = |k: &str| self.keys.get(k).map_or(Revision::NONE, |v| v.1);
        let failed: Vec<String> = transaction
            .compares
            .iter()
            .filter(|g| revision(&g.key) != g.revision)
            .map(|g| g.key.clone())
            .collect();
        if !failed.is_empty() {
            return TransactionOutcome::Conflict { failed };
        }
        self.store_revision.0 += 1;
        for change in &transaction.operations {
            match change {
                Operation::Put { put, value, .. } => {
                    if put.starts_with(keys::END) {
                        assert!(
                            !self.keys.contains_key(put),
                            "{put} is overwritten, but a job end may be written only once"
                        );
                    }
                    self.keys.insert(put.clone(), (value.to_value(), self.store_revision));
                }
                Operation::Delete { drop } => {
                    self.keys.remove(drop);
                }
            }
        }
        TransactionOutcome::Committed { revision: self.store_revision }
    }

    /// Returns all keys with the prefix, in order.
    pub fn key_values(&self, prefix: &str) -> Vec<KeyValue> {
        let found = self.keys.iter().filter(|(k, _)| k.starts_with(prefix));
        found
            .map(|(k, (v, revision))| KeyValue {
                key: k.clone(),
                value: v.clone(),
                revision: *revision,
            })
            .collect()
    }

    /// Looks up whether each job has ended, is open or is unknown.
    pub fn ends(&self, names: &[String]) -> Vec<(String, JobEndLookup)> {
        let find = |name: &String| match self.keys.get(&keys::end(name)) {
            Some((end, _)) => {
                JobEndLookup::Ended(serde_json::from_value(end.clone()).expect("an end"))
            }
            None if self.keys.contains_key(&keys::job(name)) => JobEndLookup::Open,
            None => JobEndLookup::Missing,
        };
        names.iter().map(|n| (n.clone(), find(n))).collect()
    }

    /// Writes a key as another node would, and returns the new revision.
    pub fn put(&mut self, key: &str, value: Value) -> Revision {
        transcript::put(key, &value);
        self.store_revision.0 += 1;
        self.keys.insert(key.to_owned(), (value, self.store_revision));
        self.store_revision
    }
}
