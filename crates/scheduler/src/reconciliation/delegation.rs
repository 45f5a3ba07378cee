//! The follower's side of heartbeat delegation: which heartbeats a follower may answer on behalf of
//! the leader.
//!
//! Each follower holds a part of the workers' connections. It forwards a heartbeat with new
//! information to the leader and relays the leader's response. If a heartbeat only repeats one that
//! required no action ([`crate::reconciliation::heartbeat_cache`]), the follower answers it itself
//! and reports it to the leader later.
//!
//! Such a response renews the leases of the machine's tasks, so the rule of
//! [`crate::leadership::watermark`] applies to it: a node that renews a lease must know every
//! cancellation acknowledged before the watermark. The follower tracks no cancellations itself and
//! relies on what the leader knew at the last [`DelegationGrant`]. The follower sends a request,
//! and the grant states how old the leader's own watermark was when it answered. All cancellations
//! that the leader knew by then have already invalidated their cache entries on the same numbered
//! stream. The follower counts the watermark's age from the time it *sent the request*, so its
//! watermark is never later than the leader's was. A lost, late or reordered frame shows as a gap
//! in the numbers, and the follower then drops all entries.
//!
//! None of this depends on whether the leader still leads: the entries stay usable during an
//! election, until the window ends or a leader of a newer term sends a grant.

use std::collections::{HashMap, VecDeque};

use crate::leadership::fencing_token::{FencingToken, Term};
use crate::leadership::watermark;
use crate::model::ids::MachineIndex;
use crate::reconciliation::heartbeat_cache::CachedHeartbeat;
use crate::time::{TimeDelta, Timestamp};
use crate::tunables::Site;

/// Time after a grant during which heartbeats are forwarded to the leader that sent it.
const FORWARDING_PERIOD: TimeDelta = TimeDelta::from_secs(3);
/// Number of most recent requests whose grants are accepted.
const MAX_OPEN_REQUESTS: usize = 32;
/// Maximum number of cache entries, at about fifty bytes each. It allows several entries for each
/// machine that a node may serve.
const MAX_CACHE_ENTRIES: usize = 20_000;

/// Leader's answer to a follower's delegation request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DelegationGrant {
    /// Term of the leader that sent the grant.
    pub term: Term,
    /// Number of the follower's request that this grant answers.
    pub request_number: u64,
    /// Age of the leader's watermark when it answered. The leader may not know cancellations that
    /// were acknowledged more recently than that.
    pub watermark_age: TimeDelta,
    /// Number of the last invalidation that the leader sent to the follower in this term, or 0 if
    /// it sent none.
    pub invalidated: u64,
}

/// Cache entry that the leader attaches to its response to a forwarded heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheGrant {
    /// Identifies the heartbeat that required no action.
    pub cached: CachedHeartbeat,
    /// Token to send in response to repetitions of the heartbeat.
    pub token: FencingToken,
    /// Time for which the follower may answer repetitions.
    pub valid_for: TimeDelta,
    /// Number of the last invalidation that the leader sent before it answered.
    pub invalidated: u64,
}

#[derive(Debug, Clone, Copy)]
struct CacheEntry {
    number: u64,
    token: FencingToken,
    expires_at: Timestamp,
}

#[derive(Debug)]
struct Delegation {
    term: Term,
    /// Time at which the last grant arrived.
    granted_at: Timestamp,
    /// Every cancellation acknowledged before this time has invalidated its entries.
    cancellations_known_until: Timestamp,
    /// Number of the last invalidation received; all earlier ones have been received as well.
    invalidated: u64,
    entries: HashMap<MachineIndex, CacheEntry>,
}

/// Delegation request that was sent to the leader.
#[derive(Debug, Clone, Copy)]
struct SentRequest {
    number: u64,
    sent_at: Timestamp,
}

/// State of the delegation on a follower: its open requests, and the cache entries of the leader
/// that last sent a grant.
#[derive(Debug)]
pub struct FollowerDelegation {
    window: TimeDelta,
    /// Number of the most recent request.
    last_request: u64,
    /// Most recent requests, oldest first.
    requests: VecDeque<SentRequest>,
    delegation: Option<Delegation>,
}

impl FollowerDelegation {
    /// Creates the state of a follower that has received no grant yet.
    pub fn new(site: &Site) -> FollowerDelegation {
        let window = watermark::lease_renewal_window(site);
        FollowerDelegation { window, last_request: 0, requests: VecDeque::new(), delegation: None }
    }

    /// Records that a request is sent to the leader now, and returns the request's number.
    pub fn begin_request(&mut self, now: Timestamp) -> u64 {
        if self.requests.len() >= MAX_OPEN_REQUESTS {
            self.requests.pop_front();
        }
        self.last_request += 1;
        self.requests.push_back(SentRequest { number: self.last_request, sent_at: now });
        self.last_request
    }

    /// Applies a grant and returns whether it was used. A grant is ignored if its request is no
    /// longer remembered, its term is over, or it is older than an invalidation that has already
    /// arrived.
    pub fn accept_grant(&mut self, now: Timestamp, grant: &DelegationGrant) -> bool {
        let request = self.requests.iter().find(|request| request.number == grant.request_number);
        let Some(&SentRequest { sent_at, .. }) = request else { return false };
        let cancellations_known_until = sent_at - grant.watermark_age;
        match &mut self.delegation {
            Some(delegation) if delegation.term > grant.term => false,
            Some(delegation) if delegation.term == grant.term => {
                delegation.extend(now, cancellations_known_until, grant.invalidated)
            }
            _ => {
                self.delegation = Some(Delegation {
                    term: grant.term,
                    granted_at: now,
                    cancellations_known_until,
                    invalidated: grant.invalidated,
                    entries: HashMap::new(),
                });
                true
            }
        }
    }

    /// Drops entries that the leader invalidated, each given by machine and entry number. `first`
    /// is the number of the first invalidation in the list.
    pub fn invalidate(&mut self, term: Term, first: u64, invalidated: &[(MachineIndex, u64)]) {
        let Some(delegation) = self.delegation.as_mut().filter(|known| known.term == term) else {
            return;
        };
        delegation.skip_missing_invalidations(first.saturating_sub(1));
        let last = (first + invalidated.len() as u64).saturating_sub(1);
        delegation.invalidated = delegation.invalidated.max(last);
        for (machine, number) in invalidated {
            delegation.drop_entry(*machine, *number);
        }
    }

    /// Adds an entry that came with a response of the leader, and returns whether it was added. The
    /// entry is refused unless exactly the invalidations sent before it have arrived: otherwise it
    /// may have been invalidated already.
    pub fn add_entry(&mut self, now: Timestamp, new: &CacheGrant) -> bool {
        let Some(delegation) = self.delegation.as_mut() else { return false };
        if delegation.term != new.cached.term
            || delegation.invalidated != new.invalidated
            || delegation.entries.len() >= MAX_CACHE_ENTRIES
        {
            return false;
        }
        let expires_at = Timestamp(now.0.saturating_add(new.valid_for.0));
        let entry = CacheEntry { number: new.cached.number, token: new.token, expires_at };
        delegation.entries.insert(new.cached.machine, entry);
        true
    }

    /// Returns the token for the response to a repetition of the cached heartbeat, or `None` if the
    /// repetition has to be forwarded to the leader.
    pub fn cached_response_token(
        &self,
        now: Timestamp,
        cached: CachedHeartbeat,
    ) -> Option<FencingToken> {
        let delegation = self.delegation.as_ref().filter(|known| known.term == cached.term)?;
        let entry = delegation.entries.get(&cached.machine)?;
        let is_in_window = now.since(delegation.cancellations_known_until) <= self.window;
        let is_valid = entry.number == cached.number && now < entry.expires_at;
        (is_valid && is_in_window).then_some(entry.token)
    }

    /// Returns the term of the leader to which heartbeats may be forwarded now, or `None` if no
    /// grant arrived recently.
    pub fn forwarding_term(&self, now: Timestamp) -> Option<Term> {
        let delegation = self.delegation.as_ref()?;
        (now.since(delegation.granted_at) <= FORWARDING_PERIOD).then_some(delegation.term)
    }

    /// Returns the term of the last grant.
    pub fn term(&self) -> Option<Term> {
        self.delegation.as_ref().map(|delegation| delegation.term)
    }
}

impl Delegation {
    /// Applies a further grant of the same term and returns whether it was used. A grant that is
    /// older than an invalidation already received is ignored.
    fn extend(
        &mut self,
        now: Timestamp,
        cancellations_known_until: Timestamp,
        invalidated: u64,
    ) -> bool {
        if invalidated < self.invalidated {
            return false;
        }
        self.skip_missing_invalidations(invalidated);
        self.cancellations_known_until =
            self.cancellations_known_until.max(cancellations_known_until);
        self.granted_at = now;
        true
    }

    /// Drops all entries if any invalidation up to `number` has not arrived, because any entry may
    /// be among those invalidated.
    fn skip_missing_invalidations(&mut self, number: u64) {
        if self.invalidated < number {
            self.entries.clear();
            self.invalidated = number;
        }
    }

    /// Drops the machine's entry, unless the entry is newer than the invalidated one.
    fn drop_entry(&mut self, machine: MachineIndex, number: u64) {
        if self.entries.get(&machine).is_some_and(|entry| entry.number <= number) {
            self.entries.remove(&machine);
        }
    }
}
