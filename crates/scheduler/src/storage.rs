//! Persistence in the key-value store: key layout, record codec, and the transactions that write
//! the records.
//!
//! A round of writes (`write_round`) collects pending changes into batches (`batch`): changed
//! chunks of tasks (`chunk_writes`), job ends, and deletions (`deletion`). `chunk_records` knows
//! which records hold a chunk's tasks, and so which writes keep them all. [`transactions`] sends
//! each batch as one transaction and tracks it until its outcome is certain; the batch then applies
//! the outcome to the cluster. [`loader`] reads the records back when a node becomes leader.

pub(crate) mod batch;
pub mod chunk_records;
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
