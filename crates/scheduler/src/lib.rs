//! The decisions of walnutlug. Time and events come in, commands go out; there is no input or
//! output, no clock and no randomness here, so that every history can be played in a test.

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
