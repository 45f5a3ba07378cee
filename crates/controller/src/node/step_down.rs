//! Why a node ends its term as the leader.

use std::fmt;

use walnutlug_fencing::intent_log::Stopped;
use walnutlug_scheduler::command::StepDownReason;

use crate::key_value_client::KeyValueError;

/// Why a node ends its term as the leader.
#[derive(Debug)]
pub(super) enum StepDownCause {
    /// Another node leads under a newer term.
    NewerTerm,
    /// The leader key is gone, or belongs to another term.
    LeaderKeyChanged,
    /// The lease of the leader key expired.
    LeaseExpired,
    /// The key-value store has dropped the history from which a watch would go on.
    WatchExpired,
    /// The records of the former term can't be read.
    RecordsUnreadable(KeyValueError),
    /// No worker reaches this node, while they reach others.
    CutOffFromWorkers,
    /// The intent log of the fleet role has stopped.
    FleetRoleStopped(Stopped),
    /// The scheduler has found that it may not decide any more.
    Scheduler(StepDownReason),
    /// The leader's tasks have ended.
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
