//! The scheduling logic of walnutlug, without I/O, clocks or randomness. Callers pass in the time
//! and events and carry out the returned commands, so a test can replay any sequence of events.

#![warn(missing_docs)]

pub mod autoscaling;
pub mod command;
pub(crate) mod dispatch;
pub mod event;
pub mod leadership;
pub mod model;
pub mod placement;
pub mod protocol;
pub mod queue;
pub mod reconciliation;
pub mod scheduler;
pub mod storage;
pub mod tunables;

pub use walnutlug_time as time;
