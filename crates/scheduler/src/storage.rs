//! What is kept in the key-value store: the records, and the transactions that write them.

pub mod document;
pub mod keys;
pub mod records;
pub mod revision;
pub mod transactions;
