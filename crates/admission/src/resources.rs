//! Resource amounts of machines and tasks.

use std::ops::{Add, AddAssign};

/// Amounts of CPU, GPU and memory.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// Number of CPUs, possibly fractional.
    pub cpus: f64,
    /// Number of GPUs, possibly fractional.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
}

impl Resources {
    /// Zero of every resource.
    pub const NONE: Resources = Resources { cpus: 0.0, gpus: 0.0, memory_gb: 0.0 };

    /// Multiplies every amount by `count`.
    pub fn times(self, count: f64) -> Resources {
        Resources {
            cpus: self.cpus * count,
            gpus: self.gpus * count,
            memory_gb: self.memory_gb * count,
        }
    }

    /// Subtracts `other`. The result is clamped at zero, since sums of decimal amounts accumulate
    /// rounding errors.
    pub fn less(self, other: Resources) -> Resources {
        Resources {
            cpus: (self.cpus - other.cpus).max(0.0),
            gpus: (self.gpus - other.gpus).max(0.0),
            memory_gb: (self.memory_gb - other.memory_gb).max(0.0),
        }
    }

    /// Returns the dominant share: the largest fraction of `fleet` that this amount takes of any
    /// resource. A resource that the fleet does not have is ignored, because no task that needs it
    /// can run there.
    pub fn dominant_share(self, fleet: Resources) -> f64 {
        let fraction = |used: f64, of: f64| if of > 0.0 { (used / of).max(0.0) } else { 0.0 };
        fraction(self.cpus, fleet.cpus)
            .max(fraction(self.gpus, fleet.gpus))
            .max(fraction(self.memory_gb, fleet.memory_gb))
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
