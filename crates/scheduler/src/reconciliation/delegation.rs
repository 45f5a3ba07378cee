//! What a follower may answer to workers on the leader's behalf.
//!
//! A follower holds a share of the workers' connections. A heartbeat that may say something new goes to the
//! leader, whose answer it passes on. A repetition of a heartbeat that left nothing to do
//! ([`crate::reconciliation::repeated_heartbeats`]) it answers itself, and tells the leader later that the machine was heard.
//!
//! Such an answer renews the leases of the machine's tasks, so the bound of [`crate::leadership::watermark`] holds for
//! it: whoever renews knows of every cancellation that was told before the watermark. The follower knows
//! nothing itself; it has the leader's knowledge, as of the last [`DelegationGrant`]. It asks, and the leader's
//! grant says how old its own watermark was. Whatever the leader knew then has withdrawn its marks before
//! the grant, on the same numbered stream. So, counted from when it *asked*, the follower's watermark is
//! never younger than the leader's was. A lost, late or overtaken frame shows as a gap in the numbers, and
//! all marks go.
//!
//! Nothing here depends on whether the leader still leads: marks serve through an election, until the
//! window ends or a newer term grants.

use std::collections::{HashMap, VecDeque};

use crate::leadership::fencing_token::{FencingToken, Term};
use crate::leadership::watermark;
use crate::model::ids::MachineIndex;
use crate::reconciliation::repeated_heartbeats::CachedHeartbeat;
use crate::time::{TimeDelta, Timestamp};
use crate::tunables::Site;

/// For how long after a grant reports are passed on to the leader that gave it.
const FRESH: TimeDelta = TimeDelta::from_secs(3);
/// Questions whose answers are still of use.
const MAX_ASKED: usize = 32;
/// Marks remembered, some fifty bytes each: several for each machine that a node may serve.
const MAX_CACHE_ENTRIES: usize = 20_000;

/// A leader's word to a follower that asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DelegationGrant {
    /// The leader's term.
    pub term: Term,
    /// The question's number.
    pub asked: u64,
    /// For how long, as the leader answered, cancellations might have escaped it.
    pub unknown_for: TimeDelta,
    /// The number of the last mark withdrawn from the follower under the term; 0: none.
    pub invalidated: u64,
}

/// A mark that came with the leader's answer to a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheGrant {
    /// The heartbeat that left nothing to do.
    pub cached: CachedHeartbeat,
    /// The token to answer repetitions with.
    pub token: FencingToken,
    /// For how long they mean nothing.
    pub valid_for: TimeDelta,
    /// The number of the last mark withdrawn before the leader answered.
    pub invalidated: u64,
}

#[derive(Debug, Clone, Copy)]
struct CacheEntry {
    number: u64,
    token: FencingToken,
    until: Timestamp,
}

#[derive(Debug)]
struct GrantedDelegation {
    term: Term,
    at: Timestamp,
    /// Every cancellation told before this has withdrawn its marks.
    cancellations_known_until: Timestamp,
    /// The number of the last withdrawal that arrived, with all before it.
    invalidated: u64,
    cache_entries: HashMap<MachineIndex, CacheEntry>,
}

/// A follower's side of the agreement with the leader.
#[derive(Debug)]
pub struct FollowerDelegation {
    window: TimeDelta,
    last_asked: u64,
    asked: VecDeque<(u64, Timestamp)>,
    granted: Option<GrantedDelegation>,
}

impl FollowerDelegation {
    /// Under no leader yet.
    pub fn new(site: &Site) -> FollowerDelegation {
        let window = watermark::window(site);
        FollowerDelegation { window, last_asked: 0, asked: VecDeque::new(), granted: None }
    }

    /// The leader is asked now. The number of the question.
    pub fn ask(&mut self, now: Timestamp) -> u64 {
        if self.asked.len() >= MAX_ASKED {
            self.asked.pop_front();
        }
        self.last_asked += 1;
        self.asked.push_back((self.last_asked, now));
        self.last_asked
    }

    /// A leader answered a question. Whether it was of use.
    pub fn granted(&mut self, now: Timestamp, grant: &DelegationGrant) -> bool {
        let Some(&(_, asked)) = self.asked.iter().find(|(number, _)| *number == grant.asked) else {
            return false;
        };
        let cancellations_known_until = asked - grant.unknown_for;
        match &mut self.granted {
            Some(granted) if granted.term > grant.term => false,
            Some(granted) if granted.term == grant.term => {
                if grant.invalidated < granted.invalidated {
                    return false; // Overtaken by newer ones.
                }
                granted.catch_up(grant.invalidated);
                granted.cancellations_known_until =
                    granted.cancellations_known_until.max(cancellations_known_until);
                granted.at = now;
                true
            }
            _ => {
                self.granted = Some(GrantedDelegation {
                    term: grant.term,
                    at: now,
                    cancellations_known_until,
                    invalidated: grant.invalidated,
                    cache_entries: HashMap::new(),
                });
                true
            }
        }
    }

    /// Marks that the leader withdraws, with the number of the first.
    pub fn invalidate(&mut self, term: Term, first: u64, cache_entries: &[(MachineIndex, u64)]) {
        let Some(granted) = self.granted.as_mut().filter(|g| g.term == term) else { return };
        granted.catch_up(first.saturating_sub(1));
        granted.invalidated =
            granted.invalidated.max((first + cache_entries.len() as u64).saturating_sub(1));
        for (machine, number) in cache_entries {
            if granted
                .cache_entries
                .get(machine)
                .is_some_and(|cache_entry| cache_entry.number <= *number)
            {
                granted.cache_entries.remove(machine);
            }
        }
    }

    /// A mark that came with the leader's answer. Without everything withdrawn before it, or with what
    /// came after it, it may be void already.
    pub fn add(&mut self, now: Timestamp, new: &CacheGrant) -> bool {
        let Some(granted) = self.granted.as_mut() else { return false };
        if granted.term != new.cached.term
            || granted.invalidated != new.invalidated
            || granted.cache_entries.len() >= MAX_CACHE_ENTRIES
        {
            return false;
        }
        let until = Timestamp(now.0.saturating_add(new.valid_for.0));
        let cache_entry = CacheEntry { number: new.cached.number, token: new.token, until };
        granted.cache_entries.insert(new.cached.machine, cache_entry);
        true
    }

    /// The token with which a repetition of the settled report may be answered now.
    pub fn cached_response_token(
        &self,
        now: Timestamp,
        cached: CachedHeartbeat,
    ) -> Option<FencingToken> {
        let granted = self.granted.as_ref().filter(|g| g.term == cached.term)?;
        let cache_entry = granted.cache_entries.get(&cached.machine)?;
        let in_window = now.since(granted.cancellations_known_until) <= self.window;
        (cache_entry.number == cached.number && now < cache_entry.until && in_window)
            .then_some(cache_entry.token)
    }

    /// The term of the leader to which reports may be passed on now.
    pub fn forwarding_term(&self, now: Timestamp) -> Option<Term> {
        self.granted.as_ref().filter(|g| now.since(g.at) <= FRESH).map(|g| g.term)
    }

    /// The term of the last grant.
    pub fn term(&self) -> Option<Term> {
        self.granted.as_ref().map(|g| g.term)
    }
}

impl GrantedDelegation {
    /// If withdrawals up to that number have not all arrived, no mark is certain any more.
    fn catch_up(&mut self, number: u64) {
        if self.invalidated < number {
            self.cache_entries.clear();
            self.invalidated = number;
        }
    }
}
