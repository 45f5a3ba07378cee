//! The job queue: the order in which jobs are served, sharing of an overloaded fleet, and
//! dependencies between jobs.

pub mod dependencies;
pub mod fair_share;
pub mod order;
