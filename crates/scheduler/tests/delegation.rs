//! What a follower may answer on the leader's behalf, in scripted and random interleavings of frames that
//! are lost, late or overtaken.

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

/// A follower that was granted its share at the start, with a mark for machine 1.
fn granted(site: &Site) -> (FollowerDelegation, CacheGrant) {
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

fn grant(
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
fn repetitions_are_answered_for_the_window_after_the_question_and_no_longer() {
    for (lease_s, cancel_s) in [(24, 44), (16, 36), (20, 21), (20, 15)] {
        let site = site(lease_s, cancel_s);
        let window = watermark::lease_renewal_window(&site);
        let (mut follower, new) = granted(&site);
        assert_eq!(follower.cached_response_token(START + window, new.cached), Some(new.token));
        assert_eq!(follower.cached_response_token(START + window + TimeDelta(1), new.cached), None);
        // Late on its way, a grant counts from the question; and by as much less as the leader itself
        // might not know.
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
fn a_grant_to_a_question_that_was_not_asked_is_worth_nothing() {
    let (mut follower, new) = granted(&site(24, 44));
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
fn withdrawn_lost_and_overtaken_marks_are_not_answered() {
    type Operation = fn(&mut FollowerDelegation);
    let cases: [(&str, Operation, bool); 9] = [
        ("nothing happens", |_| {}, true),
        ("it is withdrawn", |f| f.invalidate(TERM, 1, &[(MachineIndex(1), 1)]), false),
        (
            "another machine's is withdrawn",
            |f| f.invalidate(TERM, 1, &[(MachineIndex(2), 1)]),
            true,
        ),
        (
            "an older one of the machine is withdrawn",
            |f| f.invalidate(TERM, 1, &[(MachineIndex(1), 0)]),
            true,
        ),
        (
            "a withdrawal is missing before this one",
            |f| f.invalidate(TERM, 2, &[(MachineIndex(2), 1)]),
            false,
        ),
        (
            "a grant tells of a withdrawal that is missing",
            |f| assert!(grant(f, START, START, TERM, 1)),
            false,
        ),
        ("an older term withdraws", |f| f.invalidate(Term(6), 1, &[(MachineIndex(1), 1)]), true),
        ("a newer term grants", |f| assert!(grant(f, START, START, Term(8), 0)), false),
        ("an older term grants", |f| assert!(!grant(f, START, START, Term(6), 5)), true),
    ];
    for (case, change, holds) in cases {
        let (mut follower, new) = granted(&site(24, 44));
        change(&mut follower);
        let answered = follower.cached_response_token(START, new.cached).is_some();
        assert_eq!(answered, holds, "{case}");
    }
}

/// The answer that brings a mark came on another connection than the withdrawal of that mark, and after
/// it.
#[test]
fn a_mark_that_its_withdrawal_has_overtaken_is_not_taken() {
    let (mut follower, _) = granted(&site(24, 44));
    follower.invalidate(TERM, 1, &[(MachineIndex(5), 9)]);
    let new = cache_entry(MachineIndex(5), 9, 0);
    assert!(!follower.add_entry(START, &new));
    assert_eq!(follower.cached_response_token(START, new.cached), None);
    // Nor one with a withdrawal before it that hasn't come.
    assert!(!follower.add_entry(START, &cache_entry(MachineIndex(6), 10, 2)));
    assert!(follower.add_entry(START, &cache_entry(MachineIndex(6), 10, 1)));
}

#[test]
fn an_overtaken_grant_moves_nothing() {
    let (mut follower, new) = granted(&site(24, 44));
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
fn reports_are_passed_on_only_to_a_leader_that_granted_lately() {
    let (follower, _) = granted(&site(24, 44));
    assert_eq!(follower.forwarding_term(START + TimeDelta::from_secs(3)), Some(TERM));
    assert_eq!(follower.forwarding_term(START + TimeDelta::from_secs(3) + TimeDelta(1)), None);
    assert_eq!(FollowerDelegation::new(&site(24, 44)).forwarding_term(START), None);
}

#[test]
fn a_mark_ends_when_time_alone_gives_the_report_a_meaning() {
    let (mut follower, _) = granted(&site(24, 44));
    let new =
        CacheGrant { valid_for: TimeDelta::from_secs(2), ..cache_entry(MachineIndex(3), 4, 0) };
    assert!(follower.add_entry(START, &new));
    assert!(follower
        .cached_response_token(START + TimeDelta::from_secs(2) - TimeDelta(1), new.cached)
        .is_some());
    assert!(follower.cached_response_token(START + TimeDelta::from_secs(2), new.cached).is_none());
}

/// A leader's stream of withdrawals, grants and marks over connections that break, so that frames are lost
/// or come out of order. Whatever happens, no repetition is answered later than the window after its mark
/// was withdrawn; and while all is well, they are.
#[test]
fn no_mark_is_answered_beyond_the_window_after_its_withdrawal() {
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
        let mut wire: Vec<(Timestamp, ToFollower)> = Vec::new();
        let mut cancellations_known_until = START;
        let mut sent = 0;
        let mut last_number = 0;
        // The leader's marks by machine, and when each that it withdrew was.
        let mut valid: BTreeMap<MachineIndex, u64> = BTreeMap::new();
        let mut invalidated: BTreeMap<(MachineIndex, u64), Timestamp> = BTreeMap::new();
        let mut given: Vec<(MachineIndex, u64)> = Vec::new();
        let (mut answered, mut troubled) = (0, false);
        for step in 0u64..1_500 {
            now = now + TimeDelta::from_millis(50);
            if step.is_multiple_of(100) {
                troubled = rng.random_range(0..10) < 4;
            }
            // The leader knows all but the last second, unless it is cut off from the others.
            if !troubled || rng.random_range(0..100) < 2 {
                cancellations_known_until = cancellations_known_until
                    .max(now - TimeDelta::from_millis(rng.random_range(0..1_000)));
            }
            let mut send = |rng: &mut StdRng, frame| {
                let lost = troubled && rng.random_range(0..10) < 3;
                let most = if troubled { 6_000 } else { 1 };
                let at = now + TimeDelta::from_millis(rng.random_range(0..most));
                if !lost {
                    wire.push((at, frame));
                }
            };
            for _ in 0..2 {
                let machine = MachineIndex(rng.random_range(0..30));
                if let Some(number) = valid.remove(&machine) {
                    sent += 1;
                    invalidated.insert((machine, number), now);
                    send(&mut rng, ToFollower::Invalidated(sent, vec![(machine, number)]));
                }
                let machine = MachineIndex(rng.random_range(0..30));
                if let std::collections::btree_map::Entry::Vacant(free) = valid.entry(machine) {
                    last_number += 1;
                    free.insert(last_number);
                    given.push((machine, last_number));
                    send(&mut rng, ToFollower::CacheEntry(cache_entry(machine, last_number, sent)));
                }
            }
            if step.is_multiple_of(20) {
                let request_number = follower.begin_request(now);
                let watermark_age = now.since(cancellations_known_until);
                let grant = DelegationGrant {
                    term: TERM,
                    request_number,
                    watermark_age,
                    invalidated: sent,
                };
                send(&mut rng, ToFollower::DelegationGrant(grant));
            }
            let (due, rest): (Vec<_>, Vec<_>) = wire.into_iter().partition(|f| f.0 <= now);
            wire = rest;
            for (_, frame) in due {
                match frame {
                    ToFollower::DelegationGrant(grant) => drop(follower.accept_grant(now, &grant)),
                    ToFollower::Invalidated(first, cache_entries) => {
                        follower.invalidate(TERM, first, &cache_entries)
                    }
                    ToFollower::CacheEntry(new) => drop(follower.add_entry(now, &new)),
                }
            }
            for &(machine, number) in given.iter().rev().take(400) {
                let cached = CachedHeartbeat { term: TERM, machine, number };
                if follower.cached_response_token(now, cached).is_none() {
                    continue;
                }
                answered += 1;
                if let Some(&at) = invalidated.get(&(machine, number)) {
                    let late = now.since(at);
                    assert!(late <= window, "seed {seed}: {} s late", late.as_secs_f64());
                }
            }
        }
        assert!(answered > 1_000, "seed {seed}: only {answered} were answered");
    }
}
