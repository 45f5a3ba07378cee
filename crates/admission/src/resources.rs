//! Amounts of what a machine has and a task takes.

use std::ops::{Add, AddAssign};

/// Processors, accelerators and gigabytes of memory.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// Processors.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
    /// Gigabytes of memory.
    pub memory_gb: f64,
}

impl Resources {
    /// Nothing of any of them.
    pub const NONE: Resources = Resources { cpus: 0.0, gpus: 0.0, memory_gb: 0.0 };

    /// The same amount several times.
    pub fn times(self, count: f64) -> Resources {
        Resources {
            cpus: self.cpus * count,
            gpus: self.gpus * count,
            memory_gb: self.memory_gb * count,
        }
    }

    /// What is left after taking `other` away, never less than nothing: sums of decimals drift.
    pub fn less(self, other: Resources) -> Resources {
        Resources {
            cpus: (self.cpus - other.cpus).max(0.0),
            gpus: (self.gpus - other.gpus).max(0.0),
            memory_gb: (self.memory_gb - other.memory_gb).max(0.0),
        }
    }

    /// The largest of this amount's parts of `fleet`. A resource that the fleet doesn't have counts
    /// for nothing, since nothing that takes it can run there.
    pub fn dominant_share(self, fleet: Resources) -> f64 {
        let part = |used: f64, of: f64| if of > 0.0 { (used / of).max(0.0) } else { 0.0 };
        part(self.cpus, fleet.cpus)
            .max(part(self.gpus, fleet.gpus))
            .max(part(self.memory_gb, fleet.memory_gb))
    }
}

impl Add for Resources {
    type Output = Resources;
    fn add(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory_gb: self.memory_gb + other.memory_gb,
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        *self = *self + other;
    }
}
