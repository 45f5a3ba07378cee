//! What heartbeats prove, squared with the scheduler's own records.

pub mod delegation;
pub mod health;
pub mod heartbeats;
pub mod repeated_heartbeats;
