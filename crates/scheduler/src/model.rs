//! What the scheduler reasons about: jobs and tasks, each with its states.

pub mod job;
pub mod task;
