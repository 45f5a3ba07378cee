//! A team's guaranteed quota and its limit.

use crate::model::EPSILON;

/// Guaranteed quota and usage limit of a team.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Team name, as given in job submissions.
    pub name: String,
    /// Guaranteed number of CPUs.
    pub cpus: f64,
    /// Maximum number of CPUs in use at once; 0 means no limit.
    pub cpus_max: f64,
    /// Guaranteed number of GPUs.
    pub gpus: f64,
    /// Maximum number of GPUs in use at once; 0 means no limit.
    pub gpus_max: f64,
}

impl Team {
    /// Returns whether the team's limit permits this total usage.
    pub fn allows(&self, cpus: f64, gpus: f64) -> bool {
        (self.cpus_max <= 0.0 || cpus <= self.cpus_max + EPSILON)
            && (self.gpus_max <= 0.0 || gpus <= self.gpus_max + EPSILON)
    }
}
