//! The follower's side: what the leader lets it answer, the heartbeats that wait for the leader's answer, and the
//! repetitions that the leader has to be told of.

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

/// How long the leader may take to answer a heartbeat; the worker waits for four seconds.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// A node's state as a follower.
pub(crate) struct FollowerSide {
    delegation: RefCell<FollowerDelegation>,
    /// Forwarded heartbeats by their numbers.
    pending: RefCell<HashMap<u64, oneshot::Sender<ForwardedResponse>>>,
    max_pending: usize,
    last_forwarded: Cell<u64>,
    /// Repetitions answered since the leader was told last.
    repeated: RefCell<Vec<RepeatedHeartbeat>>,
}

impl FollowerSide {
    /// With nothing granted, and room for that many heartbeats that wait for the leader.
    pub(crate) fn new(site: &Site, max_pending: usize) -> FollowerSide {
        FollowerSide {
            delegation: RefCell::new(FollowerDelegation::new(site)),
            pending: RefCell::default(),
            max_pending,
            last_forwarded: Cell::default(),
            repeated: RefCell::default(),
        }
    }

    /// The token with which the repetition of a cached heartbeat may be answered now. It is kept to tell the leader.
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

    /// Takes the repetitions answered since the last call.
    pub(crate) fn take_repeated(&self) -> Vec<RepeatedHeartbeat> {
        self.repeated.take()
    }

    /// The term under whose leader heartbeats may be forwarded now.
    pub(crate) fn forwarding_term(&self, now: Timestamp) -> Option<Term> {
        self.delegation.borrow().forwarding_term(now)
    }

    /// Reserves a place for a heartbeat that waits for the leader. `None` if too many do.
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

    /// Hands the leader's answer to the heartbeat that waits for it, if one still does.
    pub(crate) fn respond(&self, response: ForwardedResponse) {
        if let Some(pending) = self.pending.borrow_mut().remove(&response.number) {
            let _ = pending.send(response);
        }
    }

    /// Caches a heartbeat whose repetitions the leader lets this node answer. `None` if the grant came too late.
    pub(crate) fn cache(&self, now: Timestamp, entry: &CacheGrant) -> Option<CachedHeartbeat> {
        self.delegation.borrow_mut().add_entry(now, entry).then_some(entry.cached)
    }

    /// The number of the next request to the leader.
    pub(crate) fn next_request(&self, now: Timestamp) -> u64 {
        self.delegation.borrow_mut().begin_request(now)
    }

    /// The term of the last grant.
    pub(crate) fn granted_term(&self) -> Option<Term> {
        self.delegation.borrow().term()
    }

    /// Takes a grant. Whether it counts.
    pub(crate) fn take_grant(&self, now: Timestamp, grant: &DelegationGrant) -> bool {
        self.delegation.borrow_mut().accept_grant(now, grant)
    }

    /// Drops cache entries that are valid no more, with the number of the first.
    pub(crate) fn invalidate(&self, term: Term, first: u64, entries: &[(MachineIndex, u64)]) {
        self.delegation.borrow_mut().invalidate(term, first, entries);
    }

    /// Heartbeats that wait for the leader.
    #[cfg(test)]
    pub(crate) fn pending(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Forgets all grants, as a restarted node has.
    #[cfg(test)]
    pub(crate) fn forget_grants(&self, site: &Site) {
        self.delegation.replace(FollowerDelegation::new(site));
    }
}

/// A heartbeat that waits for the leader's answer; its place is free again when it is dropped.
pub(crate) struct PendingForward<'a> {
    follower: &'a FollowerSide,
    number: u64,
    response: oneshot::Receiver<ForwardedResponse>,
}

impl PendingForward<'_> {
    /// The number under which it is forwarded.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// The leader's answer, if it comes in time.
    pub(crate) async fn response(mut self) -> Option<ForwardedResponse> {
        timeout(RESPONSE_TIMEOUT, &mut self.response).await.ok()?.ok()
    }
}

impl Drop for PendingForward<'_> {
    fn drop(&mut self) {
        self.follower.pending.borrow_mut().remove(&self.number);
    }
}
