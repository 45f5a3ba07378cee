//! What is kept in the key-value store: the keys, the codec of the records, and the transactions that
//! write them.
//!
//! A round (`write_round`) puts what was decided into batches (`batch`): changed chunks of tasks
//! (`chunk_writes`), ends of jobs, and deletions (`deletion`). [`transactions`] sends each batch as one
//! transaction and follows it to a certain outcome; the batch then says what that outcome changes in
//! the cluster. [`loader`] reads the records back when a node begins to lead.

pub(crate) mod batch;
pub(crate) mod chunk_writes;
pub(crate) mod deletion;
pub mod document;
pub(crate) mod in_flight;
pub mod keys;
pub mod loader;
pub mod records;
pub mod revision;
pub mod transactions;
pub(crate) mod write_round;
