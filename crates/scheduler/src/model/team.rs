//! A team: its guaranteed quota and its limit.

use crate::model::EPSILON;

/// A team's guarantee and limit. A limit of 0 means none.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}

impl Team {
    /// Whether the team may use this much at once.
    pub fn allows(&self, cpus: f64, gpus: f64) -> bool {
        (self.cpus_max <= 0.0 || cpus <= self.cpus_max + EPSILON)
            && (self.gpus_max <= 0.0 || gpus <= self.gpus_max + EPSILON)
    }
}
