//! The key-value store: transactions on conditions, pages of keys, leases and watches.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::storage::document::Document;
use crate::storage::revision::Revision;

/// A condition of a transaction: the key has this version (0: it does not exist).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// The key.
    pub key: String,
    /// The revision that it must have.
    #[serde(rename = "mark")]
    pub revision: Revision,
}

/// A change made by a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Operation {
    /// Stores a value.
    Put {
        /// The key.
        put: String,
        /// The value.
        value: Document,
        /// The lease that the key is attached to.
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        drop: String,
    },
}

impl Operation {
    /// Stores a value that is encoded here.
    pub fn put(key: impl Into<String>, value: impl Serialize) -> Operation {
        Operation::put_document(key, Document::new(&value))
    }
    /// Stores a value that is encoded already.
    pub fn put_document(key: impl Into<String>, value: Document) -> Operation {
        Operation::Put { put: key.into(), value, lease: None }
    }
    /// Deletes the key.
    pub fn delete(key: impl Into<String>) -> Operation {
        Operation::Delete { drop: key.into() }
    }
}

/// A compare-and-swap: the operations are executed if all compares hold.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The compares.
    #[serde(rename = "guards")]
    pub compares: Vec<Compare>,
    /// The operations.
    #[serde(rename = "apply")]
    pub operations: Vec<Operation>,
}

/// The answer to a transaction that was executed.
#[derive(Debug, Deserialize)]
pub struct Committed {
    /// The store's revision after it, which all keys that it put have now.
    #[serde(rename = "growth")]
    pub store_revision: Revision,
}

/// The answer to a transaction that was not executed.
#[derive(Debug, Deserialize)]
pub struct Conflict {
    /// The keys whose compares failed.
    pub failed: Vec<String>,
}

/// A stored key.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Value,
    /// The revision of its last change.
    #[serde(rename = "mark")]
    pub revision: Revision,
}

/// One page of a listing.
#[derive(Debug, Deserialize, Serialize)]
pub struct Page {
    /// The keys, in order.
    #[serde(rename = "pairs")]
    pub key_values: Vec<KeyValue>,
    /// Whether more pages follow.
    #[serde(rename = "hasNext", default)]
    pub more: bool,
    /// The store's revision when the page was read.
    #[serde(rename = "growth")]
    pub store_revision: Revision,
}

/// The answer to a request for a lease.
#[derive(Debug, Deserialize)]
pub struct LeaseGrant {
    /// The lease's number.
    pub hold: u64,
}

/// A change that a watch saw.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// A key was put.
    Put {
        /// The key.
        put: String,
        /// Its value.
        value: Value,
        /// Its revision.
        #[serde(rename = "mark")]
        revision: Revision,
    },
    /// A key was deleted.
    Delete {
        /// The key.
        drop: String,
        /// The revision of the deletion.
        #[serde(rename = "mark")]
        revision: Revision,
    },
}

/// The answer to a watch.
#[derive(Debug, Deserialize)]
pub struct Watched {
    /// The revision from which to watch on.
    #[serde(rename = "growth")]
    pub store_revision: Revision,
    /// What changed, the oldest first.
    pub events: Vec<WatchEvent>,
}
