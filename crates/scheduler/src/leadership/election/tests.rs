use super::*;

#[test]
fn a_node_that_gave_way_leaves_the_lead_to_others() {
    let mut l = Leadership::default();
    assert!(l.step(Time(0), Input::Vacant));
    assert!(l.step(Time(1), Input::Won { term: 7 }));
    assert!(!l.step(Time(2), Input::Loaded { term: 6 }), "records of an older term");
    assert!(l.step(Time(2), Input::Loaded { term: 7 }));
    assert!(l.step(Time(3), Input::Lost));
    l.stand_aside(Time(3), Span::secs(5));
    assert!(!l.step(Time(4), Input::Vacant));
    assert!(l.step(Time(5_000_003), Input::Vacant));
}

#[test]
fn a_term_outranks_every_fence() {
    assert!(token(8, 0) > token(7, u64::MAX));
    assert_eq!(term_of(token(7, 12)), 7);
}
