//! What the scheduler reasons about: jobs, tasks, machines and teams, each with its states.

pub mod cluster;
pub mod ids;
pub mod job;
pub mod job_spec;
pub mod job_state;
pub mod machine;
pub mod run_times;
pub mod task;
pub mod team;

/// Room for sums of decimal amounts: a tenth added ten times must still count as one.
pub const EPSILON: f64 = 1e-6;
