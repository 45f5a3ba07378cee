use super::*;
use crate::leadership::fencing_token::FencingToken;

#[test]
fn a_node_that_gave_way_leaves_the_lead_to_others() {
    let mut l = Leadership::default();
    assert!(l.step(Timestamp(0), ElectionEvent::Vacant));
    assert!(l.step(Timestamp(1), ElectionEvent::Won { term: Term(7) }));
    assert!(
        !l.step(Timestamp(2), ElectionEvent::Loaded { term: Term(6) }),
        "records of an older term"
    );
    assert!(l.step(Timestamp(2), ElectionEvent::Loaded { term: Term(7) }));
    assert!(l.step(Timestamp(3), ElectionEvent::Lost));
    l.back_off(Timestamp(3), TimeDelta::from_secs(5));
    assert!(!l.step(Timestamp(4), ElectionEvent::Vacant));
    assert!(l.step(Timestamp(5_000_003), ElectionEvent::Vacant));
}

#[test]
fn a_term_outranks_every_fence() {
    assert!(FencingToken::new(Term(8), 0) > FencingToken::new(Term(7), u64::MAX));
    assert_eq!(FencingToken::new(Term(7), 12).term(), Term(7));
}
