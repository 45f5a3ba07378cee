//! Messages of the key-value store: conditional transactions, paged listings, leases and watches.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::storage::document::Document;
use crate::storage::revision::Revision;

/// Condition of a transaction: the key must have this revision; 0 means that it must not exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// Key to compare.
    pub key: String,
    /// Revision that the key must have.
    #[serde(rename = "mark")]
    pub revision: Revision,
}

/// Change made by a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Operation {
    /// Stores a value under a key.
    Put {
        /// Key to write.
        put: String,
        /// Value to store.
        value: Document,
        /// Lease to which the key is attached; the key is deleted when the lease ends.
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// Key to delete.
        drop: String,
    },
}

impl Operation {
    /// Creates an operation that stores `value`, encoded as JSON.
    pub fn put(key: impl Into<String>, value: impl Serialize) -> Operation {
        Operation::put_document(key, Document::new(&value))
    }
    /// Creates an operation that stores a value that is already encoded.
    pub fn put_document(key: impl Into<String>, value: Document) -> Operation {
        Operation::Put { put: key.into(), value, lease: None }
    }
    /// Creates an operation that deletes the key.
    pub fn delete(key: impl Into<String>) -> Operation {
        Operation::Delete { drop: key.into() }
    }
}

/// Conditional transaction: the operations are executed atomically if all compares hold.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    #[serde(rename = "guards")]
    pub compares: Vec<Compare>,
    /// Changes to make, in order.
    #[serde(rename = "apply")]
    pub operations: Vec<Operation>,
}

/// Response to a transaction that was executed.
#[derive(Debug, Deserialize)]
pub struct Committed {
    /// Revision of the store after the transaction. Every key that it put has this revision.
    #[serde(rename = "growth")]
    pub store_revision: Revision,
}

/// Response to a transaction that was rejected because a compare failed.
#[derive(Debug, Deserialize)]
pub struct Conflict {
    /// Keys whose compares failed.
    pub failed: Vec<String>,
}

/// A stored key with its value.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct KeyValue {
    /// Key under which the value is stored.
    pub key: String,
    /// Value as decoded JSON.
    pub value: Value,
    /// Store revision of the key's last change.
    #[serde(rename = "mark")]
    pub revision: Revision,
}

/// One page of a key listing.
#[derive(Debug, Deserialize, Serialize)]
pub struct Page {
    /// Keys of this page in ascending order, with their values.
    #[serde(rename = "pairs")]
    pub key_values: Vec<KeyValue>,
    /// Whether more pages follow.
    #[serde(rename = "hasNext", default)]
    pub more: bool,
    /// Revision of the store when the page was read.
    #[serde(rename = "growth")]
    pub store_revision: Revision,
}

/// Response to a request for a new lease.
#[derive(Debug, Deserialize)]
pub struct LeaseGrant {
    /// Id of the granted lease.
    pub hold: u64,
}

/// Change reported by a watch.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// A value was stored under a key.
    Put {
        /// Key that was written.
        put: String,
        /// Value that was stored.
        value: Value,
        /// Revision of the key after this change.
        #[serde(rename = "mark")]
        revision: Revision,
    },
    /// A key was deleted.
    Delete {
        /// Key that was deleted.
        drop: String,
        /// Revision of the store at which the key was deleted.
        #[serde(rename = "mark")]
        revision: Revision,
    },
}

/// Response to a watch request.
#[derive(Debug, Deserialize)]
pub struct Watched {
    /// Revision from which the next watch request continues.
    #[serde(rename = "growth")]
    pub store_revision: Revision,
    /// Changes since the requested revision, oldest first.
    pub events: Vec<WatchEvent>,
}
