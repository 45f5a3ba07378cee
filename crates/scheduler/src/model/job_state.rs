//! One job's life as a state machine. [`JobState::next`] is the only place that says which state follows.
//!
//! ```text
//! open ----------------> completing --------+
//!  |                                        |
//!  +--> dependency cancelled -> cancelling -+--> ended <-> deleting
//! ```
//!
//! Any state may be followed by `ended`: the end is a stored fact, whoever wrote it.

/// How far a job is from its end, and from the deletion of its records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// Accepted and not ended.
    Open,
    /// All of its tasks are done, and its end is being written.
    Completing,
    /// A job that it depends on, directly or through others, was cancelled: so will this one be.
    DependencyCancelled,
    /// The same, and its end is being written.
    Cancelling,
    /// Ended for its users: nothing more is started, and all that is left is stopped.
    Ended {
        /// Whether it had been found to depend on a cancelled job.
        dependency_cancelled: bool,
    },
    /// Ended, and a deletion of its records is being written.
    Deleting {
        /// Whether it had been found to depend on a cancelled job.
        dependency_cancelled: bool,
    },
}

/// What can happen to a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEvent {
    /// A job that it depends on was cancelled.
    DependencyCancelled,
    /// A transaction with its end was sent.
    EndWriteStarted,
    /// That transaction certainly had no effect.
    EndWriteFailed,
    /// Its end is stored.
    Ended,
    /// A transaction that deletes records of it was sent.
    DeletionStarted,
    /// That transaction is settled, and records are left.
    DeletionIncomplete,
}

impl JobState {
    /// The state that follows, or `None` where the event changes nothing.
    pub fn next(self, event: JobEvent) -> Option<JobState> {
        match (self, event) {
            (JobState::Open, JobEvent::DependencyCancelled) => Some(JobState::DependencyCancelled),
            (JobState::Completing, JobEvent::DependencyCancelled) => Some(JobState::Cancelling),
            (JobState::Open, JobEvent::EndWriteStarted) => Some(JobState::Completing),
            (JobState::DependencyCancelled, JobEvent::EndWriteStarted) => {
                Some(JobState::Cancelling)
            }
            (JobState::Completing, JobEvent::EndWriteFailed) => Some(JobState::Open),
            (JobState::Cancelling, JobEvent::EndWriteFailed) => Some(JobState::DependencyCancelled),
            (JobState::Open | JobState::Completing, JobEvent::Ended) => {
                Some(JobState::Ended { dependency_cancelled: false })
            }
            (JobState::DependencyCancelled | JobState::Cancelling, JobEvent::Ended) => {
                Some(JobState::Ended { dependency_cancelled: true })
            }
            (JobState::Ended { dependency_cancelled }, JobEvent::DeletionStarted) => {
                Some(JobState::Deleting { dependency_cancelled })
            }
            (JobState::Deleting { dependency_cancelled }, JobEvent::DeletionIncomplete) => {
                Some(JobState::Ended { dependency_cancelled })
            }
            _ => None,
        }
    }

    /// Whether its end is stored.
    pub fn is_ended(self) -> bool {
        matches!(self, JobState::Ended { .. } | JobState::Deleting { .. })
    }

    /// Whether its end is being written.
    pub fn is_writing_end(self) -> bool {
        matches!(self, JobState::Completing | JobState::Cancelling)
    }

    /// Whether it depends on a job that was cancelled.
    pub fn is_dependency_cancelled(self) -> bool {
        match self {
            JobState::DependencyCancelled | JobState::Cancelling => true,
            JobState::Ended { dependency_cancelled }
            | JobState::Deleting { dependency_cancelled } => dependency_cancelled,
            JobState::Open | JobState::Completing => false,
        }
    }
}

#[cfg(test)]
mod tests;
