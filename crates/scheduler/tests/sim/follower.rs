//! A node that answers workers on the leader's behalf, in the simulation: the other side of a stream of
//! frames that are late by up to a third of a second, and lost while the nodes don't hear each other.

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

/// Its number as a holder of marks.
const HOLDER: u16 = 1;

enum ToFollower {
    DelegationGrant(DelegationGrant),
    Invalidated { term: Term, first: u64, cached: CachedHeartbeat },
}

pub(super) struct Follower {
    served: FollowerDelegation,
    frames: Vec<(Timestamp, ToFollower)>,
    last_frame: Timestamp,
    heard: Vec<(CachedHeartbeat, u64)>,
    /// Marks withdrawn by the leader of a term.
    invalidated: (Term, u64),
    asks_at: Timestamp,
    /// Repetitions that it answered by itself.
    pub(super) repeated: u64,
}

impl Follower {
    pub(super) fn new(site: &Site) -> Follower {
        Follower {
            served: FollowerDelegation::new(site),
            frames: Vec::new(),
            last_frame: Timestamp(0),
            heard: Vec::new(),
            invalidated: (Term(0), 0),
            asks_at: Timestamp(0),
            repeated: 0,
        }
    }

    fn send(&mut self, now: Timestamp, delay_ms: u64, frame: ToFollower) {
        self.last_frame = self.last_frame.max(now + TimeDelta::from_millis(delay_ms));
        self.frames.push((self.last_frame, frame));
    }

    /// What the leader withdrew goes out, or is lost with the connection.
    fn send_invalidations(
        &mut self,
        now: Timestamp,
        leader: &mut Leader,
        linked: bool,
        delay_ms: u64,
    ) {
        let term = leader.s.term;
        for CacheInvalidation { cached, .. } in leader.s.cluster.take_invalidations() {
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

    /// One step: it hears, is heard, and asks.
    pub(super) fn step(
        &mut self,
        now: Timestamp,
        leader: Option<&mut Leader>,
        linked: bool,
        delay_ms: u64,
    ) {
        if let Some(leader) = leader {
            self.send_invalidations(now, leader, linked, delay_ms);
            if now >= self.asks_at {
                self.asks_at = now + TimeDelta::from_secs(1);
                let request_number = self.served.begin_request(now);
                let term = leader.s.term;
                let invalidated = if self.invalidated.0 == term { self.invalidated.1 } else { 0 };
                let watermark_age = now.since(leader.known);
                if linked {
                    let grant =
                        DelegationGrant { term, request_number, watermark_age, invalidated };
                    self.send(now, delay_ms, ToFollower::DelegationGrant(grant));
                    for (cached, sequence) in std::mem::take(&mut self.heard) {
                        leader.s.record_repeated_heartbeat(now, cached, sequence);
                    }
                }
            }
        }
        let frames = std::mem::take(&mut self.frames);
        for (at, frame) in frames {
            match frame {
                frame if at > now => self.frames.push((at, frame)),
                ToFollower::DelegationGrant(grant) => drop(self.served.accept_grant(now, &grant)),
                ToFollower::Invalidated { term, first, cached } => {
                    self.served.invalidate(term, first, &[(cached.machine, cached.number)]);
                }
            }
        }
    }

    /// The answer to a worker's heartbeat; `None`: the worker goes to the leader.
    pub(super) fn answer(
        &mut self,
        now: Timestamp,
        leader: Option<&mut Leader>,
        linked: bool,
        cached: &mut Option<(Heartbeat, CachedHeartbeat)>,
        heartbeat: &Heartbeat,
    ) -> Option<HeartbeatAnswer> {
        if let Some(cache_entry) = super::repeats(cached, heartbeat) {
            if let Some(token) = self.served.cached_response_token(now, cache_entry) {
                self.heard.push((cache_entry, heartbeat.sequence));
                self.repeated += 1;
                let answer = Some(HeartbeatAnswer { token, commands: Vec::new() });
                transcript::answer("repeated (at a follower)", &heartbeat.machine, answer.as_ref());
                return answer;
            }
        }
        let leader =
            leader.filter(|l| linked && self.served.forwarding_term(now) == Some(l.s.term))?;
        leader.s.authority.set_cancellations_known_until(leader.known);
        let answer = leader.s.handle_heartbeat(now, heartbeat).ok();
        transcript::answer("forwarded", &heartbeat.machine, answer.as_ref());
        let HeartbeatAnswer { token, commands: calls } = answer?;
        let cache_entry =
            if calls.is_empty() { leader.s.cache_heartbeat(now, heartbeat, HOLDER) } else { None };
        self.send_invalidations(now, leader, linked, 300);
        *cached = cache_entry.and_then(|cached| {
            let valid_for = leader.s.cached_for(now, cached);
            let new = CacheGrant { cached, token, valid_for, invalidated: self.invalidated.1 };
            self.served.add_entry(now, &new).then(|| (heartbeat.clone(), cached))
        });
        Some(HeartbeatAnswer { token, commands: calls })
    }
}
