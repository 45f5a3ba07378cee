//! State machine of a job. [`JobState::next`] defines all transitions.
//!
//! ```text
//! open ----------------> completing --------+
//!  |                                        |
//!  +--> dependency cancelled -> cancelling -+--> ended <-> deleting
//! ```
//!
//! Every state before `ended` may go to `ended` directly, because the end is a stored record that
//! any node may have written.

/// Position of a job in its life cycle, from acceptance to the deletion of its records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// Accepted, and neither ended nor cancelled.
    Open,
    /// All tasks completed; the end of the job is being written.
    Completing,
    /// A direct or indirect dependency was cancelled, so this job has to be cancelled too.
    DependencyCancelled,
    /// A dependency was cancelled; the end of the job is being written.
    Cancelling,
    /// The end is stored. Nothing more is started, and remaining tasks are stopped.
    Ended {
        /// Whether a dependency of the job was cancelled.
        dependency_cancelled: bool,
    },
    /// Ended; a transaction that deletes records of the job is in flight.
    Deleting {
        /// Whether a dependency of the job was cancelled.
        dependency_cancelled: bool,
    },
}

/// Event that can change a job's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEvent {
    /// A direct or indirect dependency was cancelled.
    DependencyCancelled,
    /// A transaction that writes the job's end was sent.
    EndWriteStarted,
    /// The transaction that writes the end is certain to have had no effect.
    EndWriteFailed,
    /// The job's end is stored.
    Ended,
    /// A transaction that deletes records of the job was sent.
    DeletionStarted,
    /// The deleting transaction is settled, but some records are left.
    DeletionIncomplete,
}

impl JobState {
    /// Returns the state after the event, or `None` if the event does not apply in this state.
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

    /// Returns whether the job's end is stored.
    pub fn is_ended(self) -> bool {
        matches!(self, JobState::Ended { .. } | JobState::Deleting { .. })
    }

    /// Returns whether the job's end is being written.
    pub fn is_writing_end(self) -> bool {
        matches!(self, JobState::Completing | JobState::Cancelling)
    }

    /// Returns whether a dependency of the job was cancelled.
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
