//! State machine of one cloud action. `ActionState::next` defines every transition.
//!
//!
//! ```text
//! unrecorded -> due <-> sent -> unlisted -> settled
//!                         \-----------------^
//! ```
//!
//! An action is sent only after its record is stored. An action whose outcome is unknown is sent
//! again under the same request name.

use walnutlug_scheduler::time::{TimeDelta, Timestamp};

/// Delay before a retry of a write that was rejected or whose outcome is unknown, and of an action
/// that was never sent.
pub(crate) const WRITE_RETRY_DELAY: TimeDelta = TimeDelta::from_millis(300);

/// Base delay before a retry of an action that was refused or whose outcome is unknown. It doubles
/// with each unknown outcome.
pub(crate) const ACTION_BACKOFF: TimeDelta = TimeDelta::from_secs(2);

/// Caps the delay between retries of an action at 16 s.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Identifies an action within one intent log: the record's number and the position in the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ActionId {
    pub(crate) record: u64,
    pub(crate) index: usize,
}

/// Outcome of one attempt to send an action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ActionAnswer {
    /// The cloud carried out the action.
    Done,
    /// The cloud refused the request, so this attempt takes no effect, now or later.
    Refused,
    /// The request was not sent.
    NotSent,
    /// No usable response arrived: the request may take effect at any time.
    Unknown,
}

/// State of an action between its request and its settlement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ActionState {
    /// The intent record is not stored yet.
    Unrecorded,
    /// The intent record is stored, and the action is sent at the next tick from `at` on.
    Due {
        /// Earliest time of the next attempt.
        at: Timestamp,
        /// Number of attempts whose outcome is unknown.
        unknown: u32,
    },
    /// An attempt is in progress and its outcome is not known yet.
    Sent {
        /// Number of earlier attempts whose outcome is unknown.
        unknown: u32,
    },
    /// A scale-out was carried out, but the cloud's machine list may not show its machines yet.
    /// Until it does, a successor learns of them only by repeating the request name, so the record
    /// is kept.
    Unlisted {
        /// Time from which the machine list is certain to show the machines.
        until: Timestamp,
    },
    /// Nothing remains to be done; the record can be deleted once all its actions are in this
    /// state.
    Settled,
}

/// Event that can change the state of an action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ActionEvent {
    /// The intent record was stored.
    Recorded { now: Timestamp },
    /// An attempt to send the action begins.
    SendStarted,
    /// The cloud carried out the action. The record is kept until `keep_until`, if set.
    Completed { keep_until: Option<Timestamp> },
    /// The cloud refused the request. The action is sent again at `retry_at`, or is settled without
    /// one.
    Refused { retry_at: Option<Timestamp> },
    /// The request was not sent.
    NotSent { now: Timestamp },
    /// No usable response arrived, so the outcome is unknown.
    Unknown { now: Timestamp },
    /// The scheduler requested the same action again.
    RequestedAgain { now: Timestamp },
    /// The cloud's machine list is certain to show the machines of a scale-out, or one of them was
    /// returned.
    Listed,
}

impl ActionState {
    /// Returns the next state, or `None` if the event doesn't apply in this state.
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
                Some(ActionState::Due { at: now + WRITE_RETRY_DELAY, unknown })
            }
            (ActionState::Sent { unknown }, ActionEvent::Unknown { now }) => {
                let delay = TimeDelta(ACTION_BACKOFF.0 << unknown.min(MAX_BACKOFF_DOUBLINGS));
                Some(ActionState::Due { at: now + delay, unknown: unknown + 1 })
            }
            (ActionState::Unlisted { .. }, ActionEvent::Listed) => Some(ActionState::Settled),
            _ => None,
        }
    }
}
