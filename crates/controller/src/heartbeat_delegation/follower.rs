//! Delegation state of a follower: the leader's grant, the forwarded heartbeats that await a
//! response, and the repeated heartbeats that have to be reported to the leader.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use walnutlug_scheduler::leadership::fencing_token::{FencingToken, Term};

use tokio::sync::oneshot;
use tokio::time::{timeout, Duration};
use walnutlug_scheduler::model::ids::MachineIndex;
use walnutlug_scheduler::reconciliation::delegation::{
    CacheGrant, DelegationGrant, FollowerDelegation,
};
use walnutlug_scheduler::reconciliation::heartbeat_cache::CachedHeartbeat;
use walnutlug_scheduler::time::Timestamp;
use walnutlug_scheduler::tunables::Site;

use crate::peers::{ForwardedResponse, RepeatedHeartbeat};

/// Time limit for the leader's response to a forwarded heartbeat; the worker waits for four
/// seconds.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// State of a node that answers heartbeats on the leader's behalf.
pub(crate) struct FollowerSide {
    delegation: RefCell<FollowerDelegation>,
    /// Channels for the responses to forwarded heartbeats, by heartbeat number.
    pending: RefCell<HashMap<u64, oneshot::Sender<ForwardedResponse>>>,
    max_pending: usize,
    last_forwarded: Cell<u64>,
    /// Repeated heartbeats answered since the last report to the leader.
    repeated: RefCell<Vec<RepeatedHeartbeat>>,
}

impl FollowerSide {
    /// Creates the state without a grant. At most `max_pending` forwarded heartbeats await a
    /// response at any time.
    pub(crate) fn new(site: &Site, max_pending: usize) -> FollowerSide {
        FollowerSide {
            delegation: RefCell::new(FollowerDelegation::new(site)),
            pending: RefCell::default(),
            max_pending,
            last_forwarded: Cell::default(),
            repeated: RefCell::default(),
        }
    }

    /// Returns the fencing token for the response to a repetition of a cached heartbeat, or `None`
    /// if this node may not answer it now. The repetition is recorded for the next report to the
    /// leader.
    pub(crate) fn answer_repeated(
        &self,
        now: Timestamp,
        cached: CachedHeartbeat,
        sequence: u64,
    ) -> Option<FencingToken> {
        let token = self.delegation.borrow().cached_response_token(now, cached)?;
        let CachedHeartbeat { machine, number, .. } = cached;
        self.repeated.borrow_mut().push(RepeatedHeartbeat { machine, number, sequence });
        Some(token)
    }

    /// Removes and returns the repeated heartbeats that have not been reported to the leader.
    pub(crate) fn take_repeated(&self) -> Vec<RepeatedHeartbeat> {
        self.repeated.take()
    }

    /// Returns the term of the leader to which heartbeats may be forwarded now.
    pub(crate) fn forwarding_term(&self, now: Timestamp) -> Option<Term> {
        self.delegation.borrow().forwarding_term(now)
    }

    /// Registers a heartbeat that is about to be forwarded. Returns `None` if too many heartbeats
    /// await a response.
    pub(crate) fn begin_forward(&self) -> Option<PendingForward<'_>> {
        let mut pending = self.pending.borrow_mut();
        if pending.len() >= self.max_pending {
            return None;
        }
        let number = self.last_forwarded.get() + 1;
        self.last_forwarded.set(number);
        let (sender, response) = oneshot::channel();
        pending.insert(number, sender);
        Some(PendingForward { follower: self, number, response })
    }

    /// Passes the leader's response to the task that forwarded the heartbeat. Does nothing if that
    /// task no longer waits.
    pub(crate) fn respond(&self, response: ForwardedResponse) {
        if let Some(pending) = self.pending.borrow_mut().remove(&response.number) {
            let _ = pending.send(response);
        }
    }

    /// Caches a heartbeat whose repetitions this node may answer. Returns `None` if the cache entry
    /// can no longer be used, for example after a later invalidation.
    pub(crate) fn cache(&self, now: Timestamp, entry: &CacheGrant) -> Option<CachedHeartbeat> {
        self.delegation.borrow_mut().add_entry(now, entry).then_some(entry.cached)
    }

    /// Registers a new delegation request and returns its number.
    pub(crate) fn next_request(&self, now: Timestamp) -> u64 {
        self.delegation.borrow_mut().begin_request(now)
    }

    /// Returns the term of the latest accepted grant.
    pub(crate) fn granted_term(&self) -> Option<Term> {
        self.delegation.borrow().term()
    }

    /// Applies a grant from the leader. Returns whether it was accepted.
    pub(crate) fn take_grant(&self, now: Timestamp, grant: &DelegationGrant) -> bool {
        self.delegation.borrow_mut().accept_grant(now, grant)
    }

    /// Removes cache entries, given by machine and heartbeat number, that the leader has
    /// invalidated. `first` is the number of the first invalidation.
    pub(crate) fn invalidate(&self, term: Term, first: u64, entries: &[(MachineIndex, u64)]) {
        self.delegation.borrow_mut().invalidate(term, first, entries);
    }

    /// Returns the number of forwarded heartbeats that await a response.
    #[cfg(test)]
    pub(crate) fn pending(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Discards all grants, as a restart of the node does.
    #[cfg(test)]
    pub(crate) fn forget_grants(&self, site: &Site) {
        self.delegation.replace(FollowerDelegation::new(site));
    }
}

/// A forwarded heartbeat that awaits the leader's response. Dropping it removes the registration.
pub(crate) struct PendingForward<'a> {
    follower: &'a FollowerSide,
    number: u64,
    response: oneshot::Receiver<ForwardedResponse>,
}

impl PendingForward<'_> {
    /// Returns the number that the response to this heartbeat will carry.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Waits for the leader's response. Returns `None` if it doesn't arrive within
    /// [`RESPONSE_TIMEOUT`].
    pub(crate) async fn response(mut self) -> Option<ForwardedResponse> {
        timeout(RESPONSE_TIMEOUT, &mut self.response).await.ok()?.ok()
    }
}

impl Drop for PendingForward<'_> {
    fn drop(&mut self) {
        self.follower.pending.borrow_mut().remove(&self.number);
    }
}
