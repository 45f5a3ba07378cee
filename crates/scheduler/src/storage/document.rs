//! Stored values, encoded once.
//!
//! A value of the key-value store is measured, copied into a transaction, kept until the transaction's
//! outcome is certain, and sent, perhaps several times. Kept as text it is encoded once and shared after
//! that. (Kept as a tree, a round that wrote a dozen records made thousands of small allocations, three
//! times over.)

use std::rc::Rc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::value::{to_raw_value, RawValue};
use serde_json::Value;

/// An encoded JSON value. Clones share the text.
#[derive(Debug, Clone)]
pub struct Document(Rc<RawValue>);

impl Document {
    /// Encodes `value`; `null` if it has no JSON form (a map whose keys are not strings).
    pub fn new(value: &impl Serialize) -> Document {
        Document(to_raw_value(value).unwrap_or_default().into())
    }

    /// The bytes that it takes in a transaction.
    pub fn size(&self) -> usize {
        self.0.get().len()
    }

    /// Decodes it as a tree.
    pub fn to_value(&self) -> Value {
        serde_json::from_str(self.0.get()).unwrap_or_default()
    }
}

impl PartialEq for Document {
    fn eq(&self, other: &Document) -> bool {
        self.0.get() == other.0.get()
    }
}

impl Serialize for Document {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Document {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Document, D::Error> {
        Ok(Document::new(&Value::deserialize(deserializer)?))
    }
}
