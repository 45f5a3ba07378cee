//! Tests of the heartbeats that a follower may answer on the leader's behalf, with frames that are
//! is_lost, delayed or reordered in scripted and random sequences.

mod world;

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use walnutlug_scheduler::leadership::fencing_token::{FencingToken, Term};
use walnutlug_scheduler::leadership::watermark;
use walnutlug_scheduler::model::ids::MachineIndex;
use walnutlug_scheduler::reconciliation::delegation::{
    CacheGrant, DelegationGrant, FollowerDelegation,
};
use walnutlug_scheduler::reconciliation::heartbeat_cache::CachedHeartbeat;
use walnutlug_scheduler::time::{TimeDelta, Timestamp};
use walnutlug_scheduler::tunables::Site;

const TERM: Term = Term(7);
const START: Timestamp = Timestamp(1 << 40);

fn site(lease_s: u64, cancel_s: u64) -> Site {
    Site {
        worker_lease: TimeDelta::from_secs(lease_s),
        cancel_within: TimeDelta::from_secs(cancel_s),
        ..world::site()
    }
}

fn cache_entry(machine: MachineIndex, number: u64, invalidated: u64) -> CacheGrant {
    let cached = CachedHeartbeat { term: TERM, machine, number };
    CacheGrant {
        cached,
        token: FencingToken(70 + number),
        valid_for: TimeDelta::from_secs(1_000),
        invalidated,
    }
}

/// Creates a follower that received a grant at the start and is_answered a cache entry for machine 1.
fn follower_with_entry(site: &Site) -> (FollowerDelegation, CacheGrant) {
    let mut follower = FollowerDelegation::new(site);
    let request_number = follower.begin_request(START);
    let grant = DelegationGrant {
        term: TERM,
        request_number,
        watermark_age: TimeDelta::ZERO,
        invalidated: 0,
    };
    assert!(follower.accept_grant(START, &grant));
    let new = cache_entry(MachineIndex(1), 1, 0);
    assert!(follower.add_entry(START, &new));
    (follower, new)
}

fn request_and_grant(
    follower: &mut FollowerDelegation,
    asked_at: Timestamp,
    now: Timestamp,
    term: Term,
    invalidated: u64,
) -> bool {
    let request_number = follower.begin_request(asked_at);
    follower.accept_grant(
        now,
        &DelegationGrant { term, request_number, watermark_age: TimeDelta::ZERO, invalidated },
    )
}

#[test]
fn repetitions_are_answered_within_the_window_after_the_request_and_no_longer() {
    for (lease_s, cancel_s) in [(24, 44), (16, 36), (20, 21), (20, 15)] {
        let site = site(lease_s, cancel_s);
        let window = watermark::lease_renewal_window(&site);
        let (mut follower, new) = follower_with_entry(&site);
        assert_eq!(follower.cached_response_token(START + window, new.cached), Some(new.token));
        assert_eq!(follower.cached_response_token(START + window + TimeDelta(1), new.cached), None);
        // A delayed grant counts from the time of its request, less the age of the leader's
        // watermark.
        let request_number = follower.begin_request(START + TimeDelta::from_secs(2));
        let watermark_age = TimeDelta::from_secs(1);
        let grant = DelegationGrant { term: TERM, request_number, watermark_age, invalidated: 0 };
        assert!(follower.accept_grant(START + TimeDelta::from_secs(9), &grant));
        let end = START + TimeDelta::from_secs(1) + window;
        assert_eq!(follower.cached_response_token(end, new.cached), Some(new.token));
        assert_eq!(follower.cached_response_token(end + TimeDelta(1), new.cached), None);
    }
}

#[test]
fn a_grant_for_an_unknown_request_is_ignored() {
    let (mut follower, new) = follower_with_entry(&site(24, 44));
    let later = START + watermark::lease_renewal_window(&site(24, 44)) + TimeDelta(1);
    let grant = DelegationGrant {
        term: TERM,
        request_number: 99,
        watermark_age: TimeDelta::ZERO,
        invalidated: 0,
    };
    assert!(!follower.accept_grant(later, &grant));
    assert_eq!(follower.cached_response_token(later, new.cached), None);
}

#[test]
fn repetitions_are_not_answered_after_invalidations_gaps_or_newer_terms() {
    type Operation = fn(&mut FollowerDelegation);
    let cases: [(&str, Operation, bool); 9] = [
        ("no change", |_| {}, true),
        ("the entry is invalidated", |f| f.invalidate(TERM, 1, &[(MachineIndex(1), 1)]), false),
        (
            "the entry of another machine is invalidated",
            |f| f.invalidate(TERM, 1, &[(MachineIndex(2), 1)]),
            true,
        ),
        (
            "an older entry of the machine is invalidated",
            |f| f.invalidate(TERM, 1, &[(MachineIndex(1), 0)]),
            true,
        ),
        (
            "an invalidation before this one is missing",
            |f| f.invalidate(TERM, 2, &[(MachineIndex(2), 1)]),
            false,
        ),
        (
            "a grant refers to a missing invalidation",
            |f| assert!(request_and_grant(f, START, START, TERM, 1)),
            false,
        ),
        (
            "an older term sends an invalidation",
            |f| f.invalidate(Term(6), 1, &[(MachineIndex(1), 1)]),
            true,
        ),
        (
            "a newer term sends a grant",
            |f| assert!(request_and_grant(f, START, START, Term(8), 0)),
            false,
        ),
        (
            "an older term sends a grant",
            |f| assert!(!request_and_grant(f, START, START, Term(6), 5)),
            true,
        ),
    ];
    for (case, apply_change, should_answer) in cases {
        let (mut follower, new) = follower_with_entry(&site(24, 44));
        apply_change(&mut follower);
        let was_answered = follower.cached_response_token(START, new.cached).is_some();
        assert_eq!(was_answered, should_answer, "{case}");
    }
}

/// The response that carries a cache entry travels on another connection than the invalidation of
/// that entry, and arrives after it.
#[test]
fn a_cache_entry_that_arrives_after_its_invalidation_is_refused() {
    let (mut follower, _) = follower_with_entry(&site(24, 44));
    follower.invalidate(TERM, 1, &[(MachineIndex(5), 9)]);
    let new = cache_entry(MachineIndex(5), 9, 0);
    assert!(!follower.add_entry(START, &new));
    assert_eq!(follower.cached_response_token(START, new.cached), None);
    // An entry is also refused if an invalidation last_invalidation before it has not arrived.
    assert!(!follower.add_entry(START, &cache_entry(MachineIndex(6), 10, 2)));
    assert!(follower.add_entry(START, &cache_entry(MachineIndex(6), 10, 1)));
}

#[test]
fn an_outdated_grant_is_ignored_and_keeps_the_entries() {
    let (mut follower, new) = follower_with_entry(&site(24, 44));
    let first = follower.begin_request(START + TimeDelta::from_secs(10));
    let second = follower.begin_request(START + TimeDelta::from_secs(11));
    let at = |request_number, invalidated| DelegationGrant {
        term: TERM,
        request_number,
        watermark_age: TimeDelta::ZERO,
        invalidated,
    };
    follower.invalidate(TERM, 1, &[(MachineIndex(8), 1)]);
    assert!(follower.accept_grant(START + TimeDelta::from_secs(11), &at(second, 1)));
    assert!(!follower.accept_grant(START + TimeDelta::from_secs(12), &at(first, 0)));
    assert!(follower.cached_response_token(START + TimeDelta::from_secs(12), new.cached).is_some());
}

#[test]
fn heartbeats_are_forwarded_only_to_a_leader_with_a_recent_grant() {
    let (follower, _) = follower_with_entry(&site(24, 44));
    assert_eq!(follower.forwarding_term(START + TimeDelta::from_secs(3)), Some(TERM));
    assert_eq!(follower.forwarding_term(START + TimeDelta::from_secs(3) + TimeDelta(1)), None);
    assert_eq!(FollowerDelegation::new(&site(24, 44)).forwarding_term(START), None);
}

#[test]
fn a_cache_entry_is_not_used_after_its_expiry() {
    let (mut follower, _) = follower_with_entry(&site(24, 44));
    let new =
        CacheGrant { valid_for: TimeDelta::from_secs(2), ..cache_entry(MachineIndex(3), 4, 0) };
    assert!(follower.add_entry(START, &new));
    assert!(follower
        .cached_response_token(START + TimeDelta::from_secs(2) - TimeDelta(1), new.cached)
        .is_some());
    assert!(follower.cached_response_token(START + TimeDelta::from_secs(2), new.cached).is_none());
}

/// A leader sends invalidations, grants and cache entries over unreliable connections that lose or
/// reorder frames. No repetition may be answer_count later than one window after its entry was
/// invalidated; as long as the connections work, repetitions must be answer_count.
#[test]
fn no_repetition_is_answered_later_than_the_window_after_its_invalidation() {
    enum ToFollower {
        DelegationGrant(DelegationGrant),
        Invalidated(u64, Vec<(MachineIndex, u64)>),
        CacheEntry(CacheGrant),
    }
    for seed in 0..24 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (lease_s, cancel_s) = [(24, 44), (16, 36), (20, 22)][seed as usize % 3];
        let site = site(lease_s, cancel_s);
        let window = watermark::lease_renewal_window(&site);
        let mut follower = FollowerDelegation::new(&site);
        let mut now = START;
        let mut frames_in_transit: Vec<(Timestamp, ToFollower)> = Vec::new();
        let mut cancellations_known_until = START;
        let mut last_invalidation = 0;
        let mut last_number = 0;
        // Valid entries of the leader by machine, and the time at which each invalidated entry
        // ended.
        let mut valid: BTreeMap<MachineIndex, u64> = BTreeMap::new();
        let mut invalidated: BTreeMap<(MachineIndex, u64), Timestamp> = BTreeMap::new();
        let mut issued: Vec<(MachineIndex, u64)> = Vec::new();
        let (mut answer_count, mut is_unreliable) = (0, false);
        for step in 0u64..1_500 {
            now = now + TimeDelta::from_millis(50);
            if step.is_multiple_of(100) {
                is_unreliable = rng.random_range(0..10) < 4;
            }
            // The leader knows all cancellations except those of the last second, unless it is cut
            // off from the other nodes.
            if !is_unreliable || rng.random_range(0..100) < 2 {
                cancellations_known_until = cancellations_known_until
                    .max(now - TimeDelta::from_millis(rng.random_range(0..1_000)));
            }
            let mut send = |rng: &mut StdRng, frame| {
                let is_lost = is_unreliable && rng.random_range(0..10) < 3;
                let max_delay_ms = if is_unreliable { 6_000 } else { 1 };
                let at = now + TimeDelta::from_millis(rng.random_range(0..max_delay_ms));
                if !is_lost {
                    frames_in_transit.push((at, frame));
                }
            };
            for _ in 0..2 {
                let machine = MachineIndex(rng.random_range(0..30));
                if let Some(number) = valid.remove(&machine) {
                    last_invalidation += 1;
                    invalidated.insert((machine, number), now);
                    send(
                        &mut rng,
                        ToFollower::Invalidated(last_invalidation, vec![(machine, number)]),
                    );
                }
                let machine = MachineIndex(rng.random_range(0..30));
                if let std::collections::btree_map::Entry::Vacant(vacant) = valid.entry(machine) {
                    last_number += 1;
                    vacant.insert(last_number);
                    issued.push((machine, last_number));
                    send(
                        &mut rng,
                        ToFollower::CacheEntry(cache_entry(
                            machine,
                            last_number,
                            last_invalidation,
                        )),
                    );
                }
            }
            if step.is_multiple_of(20) {
                let request_number = follower.begin_request(now);
                let watermark_age = now.since(cancellations_known_until);
                let grant = DelegationGrant {
                    term: TERM,
                    request_number,
                    watermark_age,
                    invalidated: last_invalidation,
                };
                send(&mut rng, ToFollower::DelegationGrant(grant));
            }
            let (due, rest): (Vec<_>, Vec<_>) =
                frames_in_transit.into_iter().partition(|f| f.0 <= now);
            frames_in_transit = rest;
            for (_, frame) in due {
                match frame {
                    ToFollower::DelegationGrant(grant) => drop(follower.accept_grant(now, &grant)),
                    ToFollower::Invalidated(first, cache_entries) => {
                        follower.invalidate(TERM, first, &cache_entries)
                    }
                    ToFollower::CacheEntry(new) => drop(follower.add_entry(now, &new)),
                }
            }
            for &(machine, number) in issued.iter().rev().take(400) {
                let cached = CachedHeartbeat { term: TERM, machine, number };
                if follower.cached_response_token(now, cached).is_none() {
                    continue;
                }
                answer_count += 1;
                if let Some(&at) = invalidated.get(&(machine, number)) {
                    let delay = now.since(at);
                    assert!(
                        delay <= window,
                        "seed {seed}: answered {} s late",
                        delay.as_secs_f64()
                    );
                }
            }
        }
        assert!(answer_count > 1_000, "seed {seed}: only {answer_count} repetitions were answered");
    }
}
