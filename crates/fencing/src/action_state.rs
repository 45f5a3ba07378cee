//! One outside action's life as a state machine. `ActionState::next` is the only place that says which state
//! follows.
//!
//! ```text
//! unrecorded -> due <-> sent -> unlisted -> settled
//!                         \-----------------^
//! ```
//!
//! Nothing is sent before its record is stored, and an action whose outcome isn't known is sent again under the
//! same name.

use walnutlug_scheduler::time::{TimeDelta, Timestamp};

/// Pause before a write that was refused or whose answer was lost is sent again.
pub(crate) const WRITE_RETRY: TimeDelta = TimeDelta::from_millis(300);

/// Pause before an action whose outcome isn't known is sent again; it doubles up to four times.
pub(crate) const ACTION_RETRY: TimeDelta = TimeDelta::from_secs(2);

/// Doublings of [`ACTION_RETRY`].
const MAX_DOUBLINGS: u32 = 3;

/// Names an action for as long as the intent log lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ActionId {
    pub(crate) record: u64,
    pub(crate) index: usize,
}

/// What became of an action that was given out to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ActionAnswer {
    /// Carried out.
    Done,
    /// Refused, so this copy of it is not carried out, now or later.
    Refused,
    /// It never left.
    NotSent,
    /// No usable answer: it may be carried out at any time.
    Unknown,
}

/// How an action stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ActionState {
    /// Its record isn't stored yet.
    Unrecorded,
    /// Recorded, and to be sent from then on.
    Due {
        /// When it may be sent.
        at: Timestamp,
        /// Sends whose outcome isn't known.
        unknown: u32,
    },
    /// Given out to be sent.
    Sent {
        /// Earlier sends whose outcome isn't known.
        unknown: u32,
    },
    /// A scale-out that was carried out. Its record stays until the machines are on the cloud's list for certain:
    /// until then the request's name is how a successor learns of them.
    Unlisted {
        /// When they are listed.
        until: Timestamp,
    },
    /// Nothing is left to do.
    Settled,
}

/// What can happen to an action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ActionEvent {
    /// Its record is stored.
    Recorded { now: Timestamp },
    /// It is handed over to be sent.
    SendStarted,
    /// It was carried out; its record is kept until then, if at all.
    Completed { keep_until: Option<Timestamp> },
    /// It was refused, and is sent again then, if at all.
    Refused { retry_at: Option<Timestamp> },
    /// It never left.
    NotSent { now: Timestamp },
    /// No usable answer came.
    Unknown { now: Timestamp },
    /// The scheduler wants it once more.
    RequestedAgain { now: Timestamp },
    /// Its machines are on the cloud's list for certain.
    Listed,
}

impl ActionState {
    /// The state that follows, or `None` where the event changes nothing.
    pub(crate) fn next(self, event: ActionEvent) -> Option<ActionState> {
        match (self, event) {
            (ActionState::Unrecorded, ActionEvent::Recorded { now }) => {
                Some(ActionState::Due { at: now, unknown: 0 })
            }
            (ActionState::Due { unknown, .. }, ActionEvent::SendStarted) => {
                Some(ActionState::Sent { unknown })
            }
            (ActionState::Due { unknown, .. }, ActionEvent::RequestedAgain { now }) => {
                Some(ActionState::Due { at: now, unknown })
            }
            (ActionState::Sent { .. }, ActionEvent::Completed { keep_until }) => Some(
                keep_until.map_or(ActionState::Settled, |until| ActionState::Unlisted { until }),
            ),
            (ActionState::Sent { unknown }, ActionEvent::Refused { retry_at }) => {
                Some(retry_at.map_or(ActionState::Settled, |at| ActionState::Due { at, unknown }))
            }
            (ActionState::Sent { unknown }, ActionEvent::NotSent { now }) => {
                Some(ActionState::Due { at: now + WRITE_RETRY, unknown })
            }
            (ActionState::Sent { unknown }, ActionEvent::Unknown { now }) => {
                let pause = TimeDelta(ACTION_RETRY.0 << unknown.min(MAX_DOUBLINGS));
                Some(ActionState::Due { at: now + pause, unknown: unknown + 1 })
            }
            (ActionState::Unlisted { .. }, ActionEvent::Listed) => Some(ActionState::Settled),
            _ => None,
        }
    }
}
