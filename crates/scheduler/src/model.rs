//! Data model of the scheduler: jobs, tasks, machines and teams, with their state machines.

pub mod chunk_table;
pub mod cluster;
pub(crate) mod conflicting_replicas;
pub mod footprint;
pub mod ids;
pub mod job;
pub mod job_spec;
pub mod job_state;
pub mod machine;
pub mod run_times;
pub mod start;
pub mod task;
pub mod task_table;
pub mod team;

/// Tolerance for comparing sums of decimal amounts: 0.1 added ten times must still count as 1.
pub const EPSILON: f64 = 1e-6;
