//! Stored values, written out once.
//!
//! A value of the key-value store is measured, copied into a transaction, kept until that is settled and
//! sent, perhaps several times. Kept as text it is encoded once and shared after that. (Kept as a tree, a
//! round that wrote a dozen records made thousands of small allocations, three times over.)

use std::rc::Rc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::value::{to_raw_value, RawValue};
use serde_json::Value;

/// A JSON value in its written form.
#[derive(Debug, Clone)]
pub struct Document(Rc<RawValue>);

impl Document {
    /// The written form of `value`; of what has none (a map whose keys are no strings), `null`.
    pub fn new(value: &impl Serialize) -> Document {
        Document(to_raw_value(value).unwrap_or_default().into())
    }

    /// How many bytes it takes in a transaction.
    pub fn size(&self) -> usize {
        self.0.get().len()
    }

    /// Read back as a tree.
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
