use super::*;

#[test]
fn a_sent_start_is_never_taken_back_without_proof() {
    let mut t = Task::new(Time(0));
    assert!(t.step(Time(1), Input::Dispatch { machine: 3, agent_epoch: 1 }));
    assert!(t.step(Time(2), Input::Send { token: 9 }));
    assert!(!t.step(Time(3), Input::Send { token: 9 }), "sent once");
    assert!(!t.step(Time(3), Input::Retract));
    assert!(t.step(Time(4), Input::Settle));
    assert!(!t.step(Time(5), Input::Dispatch { machine: 4, agent_epoch: 1 }));
    assert!(t.step(Time(6), Input::Absent));
    assert_eq!((t.phase, t.attempt), (Phase::Pending, 2));
}

#[test]
fn a_finish_is_final() {
    let mut t = Task::new(Time(0));
    t.step(Time(1), Input::Dispatch { machine: 3, agent_epoch: 1 });
    t.step(Time(2), Input::Send { token: 9 });
    t.step(Time(3), Input::Finish);
    for input in [Input::Absent, Input::Settle, Input::Stop, Input::Seen, Input::Retract] {
        assert!(!t.step(Time(4), input));
    }
    assert_eq!(t.phase, Phase::Done);
}

#[test]
fn codes_round_trip() {
    for code in 0..6 {
        assert_eq!(Phase::from_code(code).map(|p| u64::from(p.code())), Some(code));
    }
    assert_eq!(Phase::from_code(6), None);
}
