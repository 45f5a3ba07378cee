//! Tracks the job failures that are attributed to one machine.

use std::collections::BTreeSet;

use crate::model::ids::JobIndex;
use crate::time::Timestamp;

/// Jobs that failed on a machine since a task last completed there.
#[derive(Debug, Clone, Default)]
pub(crate) struct MachineFailures {
    /// A set, so that each job counts once.
    jobs: BTreeSet<JobIndex>,
    /// When a task last completed on the machine.
    completed_at: Timestamp,
}

impl MachineFailures {
    /// Clears the attributed failures: a completed task shows that the machine works.
    pub(crate) fn task_completed(&mut self, now: Timestamp) {
        self.jobs.clear();
        self.completed_at = now;
    }

    /// Returns whether a task completed on the machine at or after this time.
    pub(crate) fn completed_since(&self, at: Timestamp) -> bool {
        self.completed_at >= at
    }

    /// Attributes a job's failure to the machine. Returns the number of jobs attributed so far.
    pub(crate) fn attribute(&mut self, job: JobIndex) -> usize {
        self.jobs.insert(job);
        self.jobs.len()
    }

    /// Removes the job's failure, because the job itself was found to be at fault.
    pub(crate) fn remove_job(&mut self, job: JobIndex) {
        self.jobs.remove(&job);
    }
}
