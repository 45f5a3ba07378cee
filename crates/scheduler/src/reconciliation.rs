//! Reconciles what workers report in heartbeats with the scheduler's cluster state, and decides
//! which machines are unhealthy or lost.

pub(crate) mod absence;
pub mod delegation;
pub(crate) mod expiry;
pub(crate) mod failure_detector;
pub(crate) mod health;
pub mod heartbeat_cache;
pub mod heartbeats;
pub(crate) mod machine_loss;
pub(crate) mod machine_status;
pub(crate) mod repeated_heartbeats;
pub(crate) mod reported_tasks;
pub(crate) mod response;
pub(crate) mod task_ends;
