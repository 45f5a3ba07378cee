//! What a follower may answer on the leader's behalf, in scripted and random interleavings of frames that
//! are lost, late or overtaken.

mod world;

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use walnutlug_scheduler::leadership::watermark;
use walnutlug_scheduler::reconciliation::delegation::{Grant, NewMark, ServedLeader};
use walnutlug_scheduler::reconciliation::repeated_heartbeats::SettledReport;
use walnutlug_scheduler::time::{Span, Time};
use walnutlug_scheduler::tunables::Site;

const TERM: u64 = 7;
const START: Time = Time(1 << 40);

fn site(lease_s: u64, cancel_s: u64) -> Site {
    Site { lease: Span::secs(lease_s), cancel: Span::secs(cancel_s), ..world::site() }
}

fn mark(machine: u32, number: u64, withdrawn: u64) -> NewMark {
    let settled = SettledReport { term: TERM, machine, number };
    NewMark { settled, token: 70 + number, valid_for: Span::secs(1_000), withdrawn }
}

/// A follower that was granted its share at the start, with a mark for machine 1.
fn granted(site: &Site) -> (ServedLeader, NewMark) {
    let mut follower = ServedLeader::new(site);
    let asked = follower.ask(START);
    let grant = Grant { term: TERM, asked, unknown_for: Span::ZERO, withdrawn: 0 };
    assert!(follower.granted(START, &grant));
    let new = mark(1, 1, 0);
    assert!(follower.add(START, &new));
    (follower, new)
}

fn grant(
    follower: &mut ServedLeader,
    asked_at: Time,
    now: Time,
    term: u64,
    withdrawn: u64,
) -> bool {
    let asked = follower.ask(asked_at);
    follower.granted(now, &Grant { term, asked, unknown_for: Span::ZERO, withdrawn })
}

#[test]
fn repetitions_are_answered_for_the_window_after_the_question_and_no_longer() {
    for (lease_s, cancel_s) in [(24, 44), (16, 36), (20, 21), (20, 15)] {
        let site = site(lease_s, cancel_s);
        let window = watermark::window(&site);
        let (mut follower, new) = granted(&site);
        assert_eq!(follower.may_repeat(START + window, new.settled), Some(new.token));
        assert_eq!(follower.may_repeat(START + window + Span(1), new.settled), None);
        // Late on its way, a grant counts from the question; and by as much less as the leader itself
        // might not know.
        let asked = follower.ask(START + Span::secs(2));
        let unknown_for = Span::secs(1);
        let grant = Grant { term: TERM, asked, unknown_for, withdrawn: 0 };
        assert!(follower.granted(START + Span::secs(9), &grant));
        let end = START + Span::secs(1) + window;
        assert_eq!(follower.may_repeat(end, new.settled), Some(new.token));
        assert_eq!(follower.may_repeat(end + Span(1), new.settled), None);
    }
}

#[test]
fn a_grant_to_a_question_that_was_not_asked_is_worth_nothing() {
    let (mut follower, new) = granted(&site(24, 44));
    let later = START + watermark::window(&site(24, 44)) + Span(1);
    let grant = Grant { term: TERM, asked: 99, unknown_for: Span::ZERO, withdrawn: 0 };
    assert!(!follower.granted(later, &grant));
    assert_eq!(follower.may_repeat(later, new.settled), None);
}

#[test]
fn withdrawn_lost_and_overtaken_marks_are_not_answered() {
    type Operation = fn(&mut ServedLeader);
    let cases: [(&str, Operation, bool); 9] = [
        ("nothing happens", |_| {}, true),
        ("it is withdrawn", |f| f.withdraw(TERM, 1, &[(1, 1)]), false),
        ("another machine's is withdrawn", |f| f.withdraw(TERM, 1, &[(2, 1)]), true),
        ("an older one of the machine is withdrawn", |f| f.withdraw(TERM, 1, &[(1, 0)]), true),
        ("a withdrawal is missing before this one", |f| f.withdraw(TERM, 2, &[(2, 1)]), false),
        (
            "a grant tells of a withdrawal that is missing",
            |f| assert!(grant(f, START, START, TERM, 1)),
            false,
        ),
        ("an older term withdraws", |f| f.withdraw(TERM - 1, 1, &[(1, 1)]), true),
        ("a newer term grants", |f| assert!(grant(f, START, START, TERM + 1, 0)), false),
        ("an older term grants", |f| assert!(!grant(f, START, START, TERM - 1, 5)), true),
    ];
    for (case, change, holds) in cases {
        let (mut follower, new) = granted(&site(24, 44));
        change(&mut follower);
        let answered = follower.may_repeat(START, new.settled).is_some();
        assert_eq!(answered, holds, "{case}");
    }
}

/// The answer that brings a mark came on another connection than the withdrawal of that mark, and after
/// it.
#[test]
fn a_mark_that_its_withdrawal_has_overtaken_is_not_taken() {
    let (mut follower, _) = granted(&site(24, 44));
    follower.withdraw(TERM, 1, &[(5, 9)]);
    let new = mark(5, 9, 0);
    assert!(!follower.add(START, &new));
    assert_eq!(follower.may_repeat(START, new.settled), None);
    // Nor one with a withdrawal before it that hasn't come.
    assert!(!follower.add(START, &mark(6, 10, 2)));
    assert!(follower.add(START, &mark(6, 10, 1)));
}

#[test]
fn an_overtaken_grant_moves_nothing() {
    let (mut follower, new) = granted(&site(24, 44));
    let first = follower.ask(START + Span::secs(10));
    let second = follower.ask(START + Span::secs(11));
    let at = |asked, withdrawn| Grant { term: TERM, asked, unknown_for: Span::ZERO, withdrawn };
    follower.withdraw(TERM, 1, &[(8, 1)]);
    assert!(follower.granted(START + Span::secs(11), &at(second, 1)));
    assert!(!follower.granted(START + Span::secs(12), &at(first, 0)));
    assert!(follower.may_repeat(START + Span::secs(12), new.settled).is_some());
}

#[test]
fn reports_are_passed_on_only_to_a_leader_that_granted_lately() {
    let (follower, _) = granted(&site(24, 44));
    assert_eq!(follower.may_forward(START + Span::secs(3)), Some(TERM));
    assert_eq!(follower.may_forward(START + Span::secs(3) + Span(1)), None);
    assert_eq!(ServedLeader::new(&site(24, 44)).may_forward(START), None);
}

#[test]
fn a_mark_ends_when_time_alone_gives_the_report_a_meaning() {
    let (mut follower, _) = granted(&site(24, 44));
    let new = NewMark { valid_for: Span::secs(2), ..mark(3, 4, 0) };
    assert!(follower.add(START, &new));
    assert!(follower.may_repeat(START + Span::secs(2) - Span(1), new.settled).is_some());
    assert!(follower.may_repeat(START + Span::secs(2), new.settled).is_none());
}

/// A leader's stream of withdrawals, grants and marks over connections that break, so that frames are lost
/// or come out of order. Whatever happens, no repetition is answered later than the window after its mark
/// was withdrawn; and while all is well, they are.
#[test]
fn no_mark_is_answered_beyond_the_window_after_its_withdrawal() {
    enum ToFollower {
        Grant(Grant),
        Withdrawn(u64, Vec<(u32, u64)>),
        Mark(NewMark),
    }
    for seed in 0..24 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (lease_s, cancel_s) = [(24, 44), (16, 36), (20, 22)][seed as usize % 3];
        let site = site(lease_s, cancel_s);
        let window = watermark::window(&site);
        let mut follower = ServedLeader::new(&site);
        let mut now = START;
        let mut wire: Vec<(Time, ToFollower)> = Vec::new();
        let mut known_until = START;
        let mut sent = 0;
        let mut last_number = 0;
        // The leader's marks by machine, and when each that it withdrew was.
        let mut valid: BTreeMap<u32, u64> = BTreeMap::new();
        let mut withdrawn: BTreeMap<(u32, u64), Time> = BTreeMap::new();
        let mut given: Vec<(u32, u64)> = Vec::new();
        let (mut answered, mut troubled) = (0, false);
        for step in 0u64..1_500 {
            now = now + Span::millis(50);
            if step.is_multiple_of(100) {
                troubled = rng.random_range(0..10) < 4;
            }
            // The leader knows all but the last second, unless it is cut off from the others.
            if !troubled || rng.random_range(0..100) < 2 {
                known_until = known_until.max(now - Span::millis(rng.random_range(0..1_000)));
            }
            let mut send = |rng: &mut StdRng, frame| {
                let lost = troubled && rng.random_range(0..10) < 3;
                let most = if troubled { 6_000 } else { 1 };
                let at = now + Span::millis(rng.random_range(0..most));
                if !lost {
                    wire.push((at, frame));
                }
            };
            for _ in 0..2 {
                let machine = rng.random_range(0..30);
                if let Some(number) = valid.remove(&machine) {
                    sent += 1;
                    withdrawn.insert((machine, number), now);
                    send(&mut rng, ToFollower::Withdrawn(sent, vec![(machine, number)]));
                }
                let machine = rng.random_range(0..30);
                if let std::collections::btree_map::Entry::Vacant(free) = valid.entry(machine) {
                    last_number += 1;
                    free.insert(last_number);
                    given.push((machine, last_number));
                    send(&mut rng, ToFollower::Mark(mark(machine, last_number, sent)));
                }
            }
            if step.is_multiple_of(20) {
                let asked = follower.ask(now);
                let unknown_for = now.since(known_until);
                let grant = Grant { term: TERM, asked, unknown_for, withdrawn: sent };
                send(&mut rng, ToFollower::Grant(grant));
            }
            let (due, rest): (Vec<_>, Vec<_>) = wire.into_iter().partition(|f| f.0 <= now);
            wire = rest;
            for (_, frame) in due {
                match frame {
                    ToFollower::Grant(grant) => drop(follower.granted(now, &grant)),
                    ToFollower::Withdrawn(first, marks) => follower.withdraw(TERM, first, &marks),
                    ToFollower::Mark(new) => drop(follower.add(now, &new)),
                }
            }
            for &(machine, number) in given.iter().rev().take(400) {
                let settled = SettledReport { term: TERM, machine, number };
                if follower.may_repeat(now, settled).is_none() {
                    continue;
                }
                answered += 1;
                if let Some(&at) = withdrawn.get(&(machine, number)) {
                    let late = now.since(at);
                    assert!(late <= window, "seed {seed}: {} s late", late.as_secs());
                }
            }
        }
        assert!(answered > 1_000, "seed {seed}: only {answered} were answered");
    }
}
