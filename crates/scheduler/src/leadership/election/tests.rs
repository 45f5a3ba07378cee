use super::*;
use crate::leadership::fencing_token::FencingToken;

#[test]
fn node_that_stepped_down_is_no_candidate_until_its_back_off_ends() {
    let mut leadership = Leadership::default();
    assert!(leadership.step(Timestamp(0), ElectionEvent::Vacant));
    assert!(leadership.step(Timestamp(1), ElectionEvent::Won { term: Term(7) }));
    assert!(
        !leadership.step(Timestamp(2), ElectionEvent::Loaded { term: Term(6) }),
        "records of an older term were accepted"
    );
    assert!(leadership.step(Timestamp(2), ElectionEvent::Loaded { term: Term(7) }));
    assert!(leadership.step(Timestamp(3), ElectionEvent::Lost));
    leadership.back_off(Timestamp(3), TimeDelta::from_secs(5));
    assert!(!leadership.step(Timestamp(4), ElectionEvent::Vacant));
    assert!(leadership.step(Timestamp(5_000_003), ElectionEvent::Vacant));
}

#[test]
fn token_of_a_newer_term_exceeds_all_tokens_of_older_terms() {
    assert!(FencingToken::new(Term(8), 0) > FencingToken::new(Term(7), u64::MAX));
    assert_eq!(FencingToken::new(Term(7), 12).term(), Term(7));
}
