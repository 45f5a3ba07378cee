//! The decisions of walnutlug. Time and events come in, commands go out; there is no input or
//! output, no clock and no randomness here, so that every history can be played in a test.

pub mod chain;
pub mod commands;
pub mod dispatch;
pub mod document;
pub mod fleet;
pub mod health;
pub mod job;
pub mod leadership;
pub mod market;
pub mod placement;
pub mod queue;
pub mod records;
pub mod registry;
pub mod reports;
pub mod serving;
pub mod sharing;
pub mod task;
pub mod tunables;
pub mod unchanged;
pub mod watermark;
pub mod wire;

pub use walnutlug_time as time;
