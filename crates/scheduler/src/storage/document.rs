//! Values of the key-value store, kept as encoded JSON text.
//!
//! A value is measured, copied into a transaction, kept until the transaction's outcome is certain,
//! and possibly sent several times. As text it is encoded once and then shared. Kept as a tree
//! instead, the values of a round that wrote a dozen records caused thousands of small allocations,
//! three times over.

use std::rc::Rc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::value::{to_raw_value, RawValue};
use serde_json::Value;

/// An encoded JSON value. Clones share the same text.
#[derive(Debug, Clone)]
pub struct Document(Rc<RawValue>);

impl Document {
    /// Encodes `value`. The result is `null` if the value has no JSON form, such as a map with keys
    /// that are not strings.
    pub fn new(value: &impl Serialize) -> Document {
        Document(to_raw_value(value).unwrap_or_default().into())
    }

    /// Returns the number of bytes that the value takes in a transaction.
    pub fn size(&self) -> usize {
        self.0.get().len()
    }

    /// Decodes the text into a JSON tree.
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
