//! Reasons for which a node steps down as the leader.

use std::fmt;

use walnutlug_fencing::intent_log::Stopped;
use walnutlug_scheduler::command::StepDownReason;

use crate::key_value_client::KeyValueError;

/// Reason for which a node ends its term as the leader; written to the log when it steps down.
#[derive(Debug)]
pub(super) enum StepDownCause {
    /// Another node leads in a newer term.
    NewerTerm,
    /// The leader key was deleted or belongs to another term.
    LeaderKeyChanged,
    /// The key-value store reports that the lease of the leader key expired.
    LeaseExpired,
    /// The key-value store has dropped the history from which a watch would continue.
    WatchExpired,
    /// The records of earlier terms cannot be read.
    RecordsUnreadable(KeyValueError),
    /// Workers reach other nodes but not this one.
    CutOffFromWorkers,
    /// The fleet role's intent log has stopped, for example because another node holds the role.
    FleetRoleStopped(Stopped),
    /// The scheduler found that it may no longer make decisions.
    Scheduler(StepDownReason),
    /// The leader's tasks ended without any other cause.
    TermOver,
    /// A test ends the term.
    #[cfg(test)]
    Test,
}

impl fmt::Display for StepDownCause {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StepDownCause::NewerTerm => out.write_str("another node leads under a newer term"),
            StepDownCause::LeaderKeyChanged => {
                out.write_str("the leader key no longer belongs to this term")
            }
            StepDownCause::LeaseExpired => out.write_str("the leader's lease expired"),
            StepDownCause::WatchExpired => {
                out.write_str("a watch expired: the records have to be read again")
            }
            StepDownCause::RecordsUnreadable(error) => {
                write!(out, "the records can't be read: {error}")
            }
            StepDownCause::CutOffFromWorkers => {
                out.write_str("no worker reaches this node, but they reach others")
            }
            StepDownCause::FleetRoleStopped(stopped) => {
                write!(out, "the fleet role stopped: {stopped}")
            }
            StepDownCause::Scheduler(reason) => write!(out, "{reason}"),
            StepDownCause::TermOver => out.write_str("the term is over"),
            #[cfg(test)]
            StepDownCause::Test => out.write_str("test"),
        }
    }
}
