//! The key-value store: transactions on conditions, pages of keys, leases and watches.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::storage::document::Document;
use crate::storage::revision::Revision;

/// A condition of a transaction: the key has this version (0: it does not exist).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    pub key: String,
    #[serde(rename = "mark")]
    pub revision: Revision,
}

/// A change made by a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Operation {
    Put {
        put: String,
        value: Document,
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    Delete {
        drop: String,
    },
}

impl Operation {
    pub fn put(key: impl Into<String>, value: impl Serialize) -> Operation {
        Operation::put_document(key, Document::new(&value))
    }
    pub fn put_document(key: impl Into<String>, value: Document) -> Operation {
        Operation::Put { put: key.into(), value, lease: None }
    }
    pub fn delete(key: impl Into<String>) -> Operation {
        Operation::Delete { drop: key.into() }
    }
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    #[serde(rename = "guards")]
    pub compares: Vec<Compare>,
    #[serde(rename = "apply")]
    pub operations: Vec<Operation>,
}

#[derive(Debug, Deserialize)]
pub struct Committed {
    #[serde(rename = "growth")]
    pub store_revision: Revision,
}

#[derive(Debug, Deserialize)]
pub struct Conflict {
    pub failed: Vec<String>,
}

/// A stored key.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct KeyValue {
    pub key: String,
    pub value: Value,
    #[serde(rename = "mark")]
    pub revision: Revision,
}

#[derive(Debug, Deserialize, Serialize)]
pub struct Page {
    #[serde(rename = "pairs")]
    pub key_values: Vec<KeyValue>,
    #[serde(rename = "hasNext", default)]
    pub more: bool,
    #[serde(rename = "growth")]
    pub store_revision: Revision,
}

#[derive(Debug, Deserialize)]
pub struct LeaseGrant {
    pub hold: u64,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    Put {
        put: String,
        value: Value,
        #[serde(rename = "mark")]
        revision: Revision,
    },
    Delete {
        drop: String,
        #[serde(rename = "mark")]
        revision: Revision,
    },
}

#[derive(Debug, Deserialize)]
pub struct Watched {
    #[serde(rename = "growth")]
    pub store_revision: Revision,
    pub events: Vec<WatchEvent>,
}
