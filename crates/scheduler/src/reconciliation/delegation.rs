//! The follower's side of heartbeat delegation: what a follower may answer to workers on the leader's
//! behalf.
//!
//! A follower holds a part of the workers' connections. It forwards a heartbeat that may say something new
//! to the leader, whose answer it passes on. A repetition of a heartbeat that left nothing to do
//! ([`crate::reconciliation::heartbeat_cache`]) it answers itself, and reports to the leader later.
//!
//! Such an answer renews the leases of the machine's tasks, so the bound of [`crate::leadership::watermark`]
//! holds for it: whoever renews a lease knows every cancellation acknowledged before the watermark. The
//! follower itself knows none; it has the leader's knowledge as of the last [`DelegationGrant`]. The
//! follower sends a request, and the leader's grant says how old the leader's own watermark was. Whatever
//! the leader knew then has invalidated its cache entries before the grant, on the same numbered stream. So,
//! counted from the *sending of the request*, the follower's watermark is never younger than the leader's
//! was. A frame that is lost, late or overtaken shows as a gap in the numbers, and all entries are dropped.
//!
//! Nothing here depends on whether the leader still leads: entries are used through an election, until the
//! window ends or a leader of a newer term grants.

use std::collections::{HashMap, VecDeque};

use crate::leadership::fencing_token::{FencingToken, Term};
use crate::leadership::watermark;
use crate::model::ids::MachineIndex;
use crate::reconciliation::heartbeat_cache::CachedHeartbeat;
use crate::time::{TimeDelta, Timestamp};
use crate::tunables::Site;

/// For how long after a grant heartbeats are forwarded to the leader that gave it.
const FORWARDING_PERIOD: TimeDelta = TimeDelta::from_secs(3);
/// Requests whose grants are still accepted.
const MAX_OPEN_REQUESTS: usize = 32;
/// Cache entries kept, some fifty bytes each: several for each machine that a node may serve.
const MAX_CACHE_ENTRIES: usize = 20_000;

/// A leader's answer to a follower's request for delegation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DelegationGrant {
    /// The leader's term.
    pub term: Term,
    /// The number of the request.
    pub request_number: u64,
    /// How old the leader's watermark was when it answered: cancellations since then may be unknown to it.
    pub watermark_age: TimeDelta,
    /// The number of the last invalidation sent to the follower under the term; 0: none.
    pub invalidated: u64,
}

/// A cache entry that came with the leader's answer to a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheGrant {
    /// The heartbeat that left nothing to do.
    pub cached: CachedHeartbeat,
    /// The token to answer repetitions with.
    pub token: FencingToken,
    /// For how long repetitions mean nothing.
    pub valid_for: TimeDelta,
    /// The number of the last invalidation sent before the leader answered.
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
    /// When the last grant came.
    granted_at: Timestamp,
    /// Every cancellation acknowledged before this has invalidated its entries.
    cancellations_known_until: Timestamp,
    /// The number of the last invalidation that arrived, with all before it.
    invalidated: u64,
    entries: HashMap<MachineIndex, CacheEntry>,
}

/// A request for delegation that was sent.
#[derive(Debug, Clone, Copy)]
struct SentRequest {
    number: u64,
    sent_at: Timestamp,
}

/// What a leader delegated to this follower.
#[derive(Debug)]
pub struct FollowerDelegation {
    window: TimeDelta,
    /// The number of the last request.
    last_request: u64,
    /// The last requests, the oldest first.
    requests: VecDeque<SentRequest>,
    delegation: Option<Delegation>,
}

impl FollowerDelegation {
    /// Without a delegation yet.
    pub fn new(site: &Site) -> FollowerDelegation {
        let window = watermark::lease_renewal_window(site);
        FollowerDelegation { window, last_request: 0, requests: VecDeque::new(), delegation: None }
    }

    /// A request is sent to the leader now. The request's number.
    pub fn begin_request(&mut self, now: Timestamp) -> u64 {
        if self.requests.len() >= MAX_OPEN_REQUESTS {
            self.requests.pop_front();
        }
        self.last_request += 1;
        self.requests.push_back(SentRequest { number: self.last_request, sent_at: now });
        self.last_request
    }

    /// Takes over a leader's grant. Whether it was of use: not if its request is forgotten, its term is
    /// over, or newer invalidations have overtaken it.
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

    /// Drops entries that the leader invalidated, each given by machine and number; `first` is the
    /// number of the first invalidation.
    pub fn invalidate(&mut self, term: Term, first: u64, invalidated: &[(MachineIndex, u64)]) {
        let Some(delegation) = self.delegation.as_mut().filter(|known| known.term == term) else {
            return;
        };
        delegation.catch_up(first.saturating_sub(1));
        let last = (first + invalidated.len() as u64).saturating_sub(1);
        delegation.invalidated = delegation.invalidated.max(last);
        for (machine, number) in invalidated {
            delegation.drop_entry(*machine, *number);
        }
    }

    /// Adds an entry that came with the leader's answer; whether it may be used. Without all
    /// invalidations sent before it, or with later ones, it may have ended already.
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

    /// The token with which a repetition of the cached heartbeat may be answered now.
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

    /// The term of the leader to which heartbeats may be forwarded now.
    pub fn forwarding_term(&self, now: Timestamp) -> Option<Term> {
        let delegation = self.delegation.as_ref()?;
        (now.since(delegation.granted_at) <= FORWARDING_PERIOD).then_some(delegation.term)
    }

    /// The term of the last grant.
    pub fn term(&self) -> Option<Term> {
        self.delegation.as_ref().map(|delegation| delegation.term)
    }
}

impl Delegation {
    /// Another grant of the same term. Whether it was of use: not if newer invalidations overtook it.
    fn extend(
        &mut self,
        now: Timestamp,
        cancellations_known_until: Timestamp,
        invalidated: u64,
    ) -> bool {
        if invalidated < self.invalidated {
            return false;
        }
        self.catch_up(invalidated);
        self.cancellations_known_until =
            self.cancellations_known_until.max(cancellations_known_until);
        self.granted_at = now;
        true
    }

    /// If invalidations up to that number have not all arrived, no entry is certain any more.
    fn catch_up(&mut self, number: u64) {
        if self.invalidated < number {
            self.entries.clear();
            self.invalidated = number;
        }
    }

    /// Drops the machine's entry, unless it is newer than the invalidated one.
    fn drop_entry(&mut self, machine: MachineIndex, number: u64) {
        if self.entries.get(&machine).is_some_and(|entry| entry.number <= number) {
            self.entries.remove(&machine);
        }
    }
}
