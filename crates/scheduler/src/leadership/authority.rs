//! Determines which actions a leader may take, given its lease and the cancellations that it knows.

use crate::leadership::watermark;
use crate::time::{TimeDelta, Timestamp};
use crate::tunables::Site;

/// Fraction of the lease renewal window during which a planned start may still be sent.
const START_WINDOW_FRACTION: f64 = 0.5;

/// State of the leader's lease and of its knowledge of cancellations, updated before each decision.
#[derive(Debug)]
pub struct LeaderAuthority {
    holds_lease: bool,
    cancellations_known_until: Timestamp,
    window: TimeDelta,
}

impl LeaderAuthority {
    /// Creates the authority of a leader that has just loaded all records.
    pub(crate) fn new(site: &Site, now: Timestamp) -> LeaderAuthority {
        let window = watermark::lease_renewal_window(site);
        LeaderAuthority { holds_lease: true, cancellations_known_until: now, window }
    }

    /// Sets whether the lease is certainly held. Without the lease another node may lead, so this
    /// node keeps answering heartbeats to let running tasks continue, but starts no tasks and
    /// neither requests nor returns machines. Without this rule, a leader cut off from the
    /// key-value store returned machines that its successor was already managing.
    pub fn set_holds_lease(&mut self, holds_lease: bool) {
        self.holds_lease = holds_lease;
    }

    /// Returns whether the lease is certainly held.
    pub fn holds_lease(&self) -> bool {
        self.holds_lease
    }

    /// Sets the time before which every cancellation confirmed to a user is known to this leader;
    /// see [`crate::leadership::watermark`].
    pub fn set_cancellations_known_until(&mut self, time: Timestamp) {
        self.cancellations_known_until = time;
    }

    /// Returns whether a worker's lease renewed now would end in time for any cancellation that
    /// this leader doesn't know yet. Without this check, a leader that only the key-value store
    /// refused kept renewing leases through the outage that followed, and tasks of jobs cancelled
    /// through other nodes ran until it ended.
    pub fn may_renew_leases(&self, now: Timestamp) -> bool {
        now.since(self.cancellations_known_until) <= self.window
    }

    /// Returns whether a start planned at `placed` may still be sent. The write of the start
    /// required that the job had no end, but the end may have been written since. After an outage,
    /// a start that waited through it, or whose commit was only then discovered, could be sent long
    /// after the job's cancellation was confirmed to a user.
    pub(crate) fn may_send_start(&self, now: Timestamp, placed: Timestamp) -> bool {
        let known_until = placed.max(self.cancellations_known_until);
        now.since(known_until) <= self.window.mul_f64(START_WINDOW_FRACTION)
    }
}
