//! Tests of required, acknowledged and start tokens of a machine's fence.

use super::Fence;
use crate::leadership::fencing_token::{FencingToken, Term};
use crate::time::{TimeDelta, Timestamp};

const TERM: Term = Term(7);
const NOW: Timestamp = Timestamp(1_000_000);

#[test]
fn required_token_is_owed_until_it_or_a_higher_one_is_acknowledged() {
    let mut fence = Fence::default();
    fence.raise_required(NOW, TERM);
    fence.raise_required(NOW + TimeDelta::from_secs(1), TERM);
    assert!(
        !fence.acknowledge(FencingToken::new(TERM, 1)),
        "the lower of two required tokens is not enough"
    );
    assert!(fence.owes_required());
    assert_eq!(fence.unacknowledged_since(), Some(NOW), "counted from the first required token");
    assert!(fence.acknowledge(FencingToken::new(TERM, 2)), "the acknowledgement ends the wait");
    assert!(fence.is_acknowledged(TERM));
    assert_eq!(fence.unacknowledged_since(), None);
    assert!(!fence.acknowledge(FencingToken::new(TERM, 2)), "no acknowledgement was outstanding");
}

#[test]
fn raised_token_needs_no_acknowledgement() {
    let mut fence = Fence::default();
    fence.acknowledge(FencingToken::new(TERM, 0));
    fence.raise();
    assert_eq!(fence.token(TERM), FencingToken::new(TERM, 1));
    assert!(fence.is_acknowledged(TERM));
    assert!(!fence.is_acknowledged(Term(8)), "a later term needs its own acknowledgement");
}

#[test]
fn reap_requires_a_token_above_all_starts() {
    let mut fence = Fence::default();
    fence.start_sent(fence.token(TERM));
    assert!(!fence.is_above_starts(TERM));
    fence.raise();
    assert!(fence.is_above_starts(TERM));
    fence.start_sent(FencingToken::new(TERM, 0));
    assert!(fence.is_above_starts(TERM), "a start with a lower token changes nothing");
}
