//! A simulated follower node that answers workers on the leader's behalf.
//!
//! It gets messages from the leader in order, up to 300 ms late, and loses them while the nodes
//! can't reach each other.

use walnutlug_scheduler::leadership::fencing_token::Term;
use walnutlug_scheduler::protocol::workers::Heartbeat;
use walnutlug_scheduler::reconciliation::delegation::{
    CacheGrant, DelegationGrant, FollowerDelegation,
};
use walnutlug_scheduler::reconciliation::heartbeat_cache::{CacheInvalidation, CachedHeartbeat};
use walnutlug_scheduler::reconciliation::heartbeats::HeartbeatAnswer;
use walnutlug_scheduler::time::{TimeDelta, Timestamp};
use walnutlug_scheduler::tunables::Site;

use super::Leader;
use crate::world::transcript;

/// The follower's number as a holder of heartbeat cache entries.
const HOLDER: u16 = 1;

/// A message from the leader's node.
enum ToFollower {
    Granted(DelegationGrant),
    /// An entry may not be used any more; `first` is the number of the invalidation in its term.
    Invalidated {
        term: Term,
        first: u64,
        cached: CachedHeartbeat,
    },
}

/// The follower's state.
pub(super) struct Follower {
    /// What the leader delegated to it, with the cache entries that it may use.
    grant: FollowerDelegation,
    /// Messages from the leader and when they arrive.
    messages: Vec<(Timestamp, ToFollower)>,
    /// When the last message arrives; later ones can't overtake it.
    last_arrival: Timestamp,
    /// Repeated heartbeats that the leader hasn't been told of yet, with their sequence numbers.
    unreported: Vec<(CachedHeartbeat, u64)>,
    /// A leader's term and how many invalidations it has sent.
    invalidated: (Term, u64),
    next_request: Timestamp,
    /// How many repeated heartbeats it answered without asking the leader.
    pub(super) repeated_answered: u64,
}

impl Follower {
    pub(super) fn new(site: &Site) -> Follower {
        Follower {
            grant: FollowerDelegation::new(site),
            messages: Vec::new(),
            last_arrival: Timestamp(0),
            unreported: Vec::new(),
            invalidated: (Term(0), 0),
            next_request: Timestamp(0),
            repeated_answered: 0,
        }
    }

    fn send(&mut self, now: Timestamp, delay_ms: u64, message: ToFollower) {
        self.last_arrival = self.last_arrival.max(now + TimeDelta::from_millis(delay_ms));
        self.messages.push((self.last_arrival, message));
    }

    /// Sends the leader's invalidations; without a connection they are lost, but still counted.
    fn send_invalidations(
        &mut self,
        now: Timestamp,
        leader: &mut Leader,
        linked: bool,
        delay_ms: u64,
    ) {
        let term = leader.scheduler.term;
        for CacheInvalidation { cached, .. } in leader.scheduler.cluster.take_invalidations() {
            if self.invalidated.0 != term {
                self.invalidated = (term, 0);
            }
            self.invalidated.1 += 1;
            let first = self.invalidated.1;
            if linked {
                self.send(now, delay_ms, ToFollower::Invalidated { term, first, cached });
            }
        }
    }

    /// Exchanges messages with the leader: sends invalidations, requests a delegation once a
    /// second, reports answered repetitions, and handles the messages that have arrived.
    pub(super) fn step(
        &mut self,
        now: Timestamp,
        leader: Option<&mut Leader>,
        linked: bool,
        delay_ms: u64,
    ) {
        if let Some(leader) = leader {
            self.send_invalidations(now, leader, linked, delay_ms);
            if now >= self.next_request {
                self.next_request = now + TimeDelta::from_secs(1);
                let request_number = self.grant.begin_request(now);
                let term = leader.scheduler.term;
                let invalidated = if self.invalidated.0 == term { self.invalidated.1 } else { 0 };
                let watermark_age = now.since(leader.cancellations_known_until);
                if linked {
                    let grant =
                        DelegationGrant { term, request_number, watermark_age, invalidated };
                    self.send(now, delay_ms, ToFollower::Granted(grant));
                    for (cached, sequence) in std::mem::take(&mut self.unreported) {
                        leader.scheduler.record_repeated_heartbeat(now, cached, sequence);
                    }
                }
            }
        }
        let messages = std::mem::take(&mut self.messages);
        for (at, message) in messages {
            match message {
                message if at > now => self.messages.push((at, message)),
                ToFollower::Granted(grant) => drop(self.grant.accept_grant(now, &grant)),
                ToFollower::Invalidated { term, first, cached } => {
                    self.grant.invalidate(term, first, &[(cached.machine, cached.number)]);
                }
            }
        }
    }

    /// Answers a worker's heartbeat from the cache or through the leader. Returns `None` if the
    /// worker has to contact the leader itself.
    pub(super) fn answer(
        &mut self,
        now: Timestamp,
        leader: Option<&mut Leader>,
        linked: bool,
        cached: &mut Option<(Heartbeat, CachedHeartbeat)>,
        heartbeat: &Heartbeat,
    ) -> Option<HeartbeatAnswer> {
        if let Some(cache_entry) = super::entry_if_repeated(cached, heartbeat) {
            if let Some(token) = self.grant.cached_response_token(now, cache_entry) {
                self.unreported.push((cache_entry, heartbeat.sequence));
                self.repeated_answered += 1;
                let answer = Some(HeartbeatAnswer { token, commands: Vec::new() });
                transcript::answer("repeated (at a follower)", &heartbeat.machine, answer.as_ref());
                return answer;
            }
        }
        let leader = leader
            .filter(|l| linked && self.grant.forwarding_term(now) == Some(l.scheduler.term))?;
        leader.scheduler.authority.set_cancellations_known_until(leader.cancellations_known_until);
        let answer = leader.scheduler.handle_heartbeat(now, heartbeat).ok();
        transcript::answer("forwarded", &heartbeat.machine, answer.as_ref());
        let HeartbeatAnswer { token, commands: calls } = answer?;
        let cache_entry = if calls.is_empty() {
            leader.scheduler.cache_heartbeat(now, heartbeat, HOLDER)
        } else {
            None
        };
        self.send_invalidations(now, leader, linked, 300);
        *cached = cache_entry.and_then(|cached| {
            let valid_for = leader.scheduler.cached_for(now, cached);
            let new = CacheGrant { cached, token, valid_for, invalidated: self.invalidated.1 };
            self.grant.add_entry(now, &new).then(|| (heartbeat.clone(), cached))
        });
        Some(HeartbeatAnswer { token, commands: calls })
    }
}
