//! Failed jobs that are attributed to one machine.

use std::collections::BTreeSet;

use crate::model::ids::JobIndex;
use crate::time::Timestamp;

/// Jobs that failed on a machine since anything completed there.
#[derive(Debug, Clone, Default)]
pub(crate) struct MachineFailures {
    /// Each job is counted once.
    jobs: BTreeSet<JobIndex>,
    /// When a task completed there last.
    completed_at: Timestamp,
}

impl MachineFailures {
    /// A task completed there, so the machine is not at fault.
    pub(crate) fn task_completed(&mut self, now: Timestamp) {
        self.jobs.clear();
        self.completed_at = now;
    }

    /// Whether anything completed there since.
    pub(crate) fn completed_since(&self, at: Timestamp) -> bool {
        self.completed_at >= at
    }

    /// Attributes the job's failure to the machine. How many jobs that makes.
    pub(crate) fn attribute(&mut self, job: JobIndex) -> usize {
        self.jobs.insert(job);
        self.jobs.len()
    }

    /// The job itself is at fault.
    pub(crate) fn remove_job(&mut self, job: JobIndex) {
        self.jobs.remove(&job);
    }
}
