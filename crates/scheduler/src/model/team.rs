//! A team: its guaranteed quota and its limit.

use crate::model::EPSILON;

/// A team's guarantee and limit. A limit of 0 means none.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Processors of its guaranteed quota.
    pub cpus: f64,
    /// Processors that it may use at most; 0: no limit.
    pub cpus_max: f64,
    /// Accelerators of its guaranteed quota.
    pub gpus: f64,
    /// Accelerators that it may use at most; 0: no limit.
    pub gpus_max: f64,
}

impl Team {
    /// Whether the team may use this much at once.
    pub fn allows(&self, cpus: f64, gpus: f64) -> bool {
        (self.cpus_max <= 0.0 || cpus <= self.cpus_max + EPSILON)
            && (self.gpus_max <= 0.0 || gpus <= self.gpus_max + EPSILON)
    }
}
