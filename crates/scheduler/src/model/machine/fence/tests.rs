//! What a worker owes after its token was raised, and what it has shown.

use super::Fence;
use crate::leadership::fencing_token::{FencingToken, Term};
use crate::time::{TimeDelta, Timestamp};

const TERM: Term = Term(7);
const NOW: Timestamp = Timestamp(1_000_000);

#[test]
fn a_required_token_is_owed_until_it_or_a_higher_one_is_acknowledged() {
    let mut fence = Fence::default();
    fence.raise_required(NOW, TERM);
    fence.raise_required(NOW + TimeDelta::from_secs(1), TERM);
    assert!(!fence.acknowledge(FencingToken::new(TERM, 1)), "the first of two is not enough");
    assert!(fence.owes_required());
    assert_eq!(fence.unacknowledged_since(), Some(NOW), "counted from the first");
    assert!(fence.acknowledge(FencingToken::new(TERM, 2)), "it owed one until now");
    assert!(fence.is_acknowledged(TERM));
    assert_eq!(fence.unacknowledged_since(), None);
    assert!(!fence.acknowledge(FencingToken::new(TERM, 2)), "it owes nothing any more");
}

#[test]
fn a_raised_token_alone_is_not_required() {
    let mut fence = Fence::default();
    fence.acknowledge(FencingToken::new(TERM, 0));
    fence.raise();
    assert_eq!(fence.token(TERM), FencingToken::new(TERM, 1));
    assert!(fence.is_acknowledged(TERM));
    assert!(!fence.is_acknowledged(Term(8)), "a later term is to be acknowledged anew");
}

#[test]
fn only_a_token_above_all_starts_allows_a_reap() {
    let mut fence = Fence::default();
    fence.start_sent(fence.token(TERM));
    assert!(!fence.is_above_starts(TERM));
    fence.raise();
    assert!(fence.is_above_starts(TERM));
    fence.start_sent(FencingToken::new(TERM, 0));
    assert!(fence.is_above_starts(TERM), "an older start changes nothing");
}
