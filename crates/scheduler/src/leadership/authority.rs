//! What a leader may do by what it knows of its lease and of cancellations.

use crate::leadership::watermark;
use crate::time::{TimeDelta, Timestamp};
use crate::tunables::Site;

/// The part of the window for which a start that was placed may still be sent.
const START_WINDOW: f64 = 0.5;

/// What the leader knows of its lease and of cancellations; set anew before each decision.
#[derive(Debug)]
pub struct LeaderAuthority {
    holds_lease: bool,
    cancellations_known_until: Timestamp,
    window: TimeDelta,
}

impl LeaderAuthority {
    /// Of a leader that has just read the records.
    pub(crate) fn new(site: &Site, now: Timestamp) -> LeaderAuthority {
        let window = watermark::lease_renewal_window(site);
        LeaderAuthority { holds_lease: true, cancellations_known_until: now, window }
    }

    /// Sets whether the lease is certainly held. Without it another node may lead: this one goes on
    /// answering its workers, so that their tasks live, and starts, rents and returns nothing.
    /// (A leader cut off from the key-value store once gave back machines that had merely gone over
    /// to its successor.)
    pub fn set_holds_lease(&mut self, holds_lease: bool) {
        self.holds_lease = holds_lease;
    }

    /// Whether the lease is certainly held.
    pub fn holds_lease(&self) -> bool {
        self.holds_lease
    }

    /// Sets the time before which every cancellation that was acknowledged to a user is in the table;
    /// see [`crate::leadership::watermark`].
    pub fn set_cancellations_known_until(&mut self, time: Timestamp) {
        self.cancellations_known_until = time;
    }

    /// Whether a lease renewed now ends in time for whatever cancellation isn't known here. (A leader
    /// that the key-value store alone refused went on renewing through the outage that followed: tasks
    /// of jobs that others had cancelled meanwhile ran for as long as it lasted.)
    pub fn may_renew_leases(&self, now: Timestamp) -> bool {
        now.since(self.cancellations_known_until) <= self.window
    }

    /// Whether a start that was placed then may still be sent. Its write was guarded by the absence of
    /// the job's end, but since then the end may have been written: after an outage a start that had
    /// waited through it, or whose write was only then found to be committed, would come long after the
    /// cancellation was acknowledged to a user.
    pub(crate) fn may_send_start(&self, now: Timestamp, placed: Timestamp) -> bool {
        let known_until = placed.max(self.cancellations_known_until);
        now.since(known_until) <= self.window.mul_f64(START_WINDOW)
    }
}
