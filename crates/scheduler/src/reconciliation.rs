//! What heartbeats prove, reconciled with the scheduler's own tables, and which machines are healthy.

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
