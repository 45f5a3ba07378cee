use super::*;

#[test]
fn sent_start_returns_to_pending_only_on_proof_of_absence() {
    let mut t = Task::new(Timestamp(0));
    assert!(t.step(
        Timestamp(1),
        TaskEvent::Dispatch { machine: MachineIndex(3), agent_epoch: AgentEpoch(1) }
    ));
    assert!(t.step(Timestamp(2), TaskEvent::Sent { token: FencingToken(9) }));
    assert!(
        !t.step(Timestamp(3), TaskEvent::Sent { token: FencingToken(9) }),
        "a start is sent only once"
    );
    assert!(!t.step(Timestamp(3), TaskEvent::Retract));
    assert!(t.step(Timestamp(4), TaskEvent::ConfirmationExpired));
    assert!(!t.step(
        Timestamp(5),
        TaskEvent::Dispatch { machine: MachineIndex(4), agent_epoch: AgentEpoch(1) }
    ));
    assert!(t.step(Timestamp(6), TaskEvent::ProvenAbsent));
    assert_eq!((t.phase, t.attempt), (TaskPhase::Pending, Attempt(2)));
}

#[test]
fn completed_task_ignores_all_events() {
    let mut t = Task::new(Timestamp(0));
    t.step(
        Timestamp(1),
        TaskEvent::Dispatch { machine: MachineIndex(3), agent_epoch: AgentEpoch(1) },
    );
    t.step(Timestamp(2), TaskEvent::Sent { token: FencingToken(9) });
    t.step(Timestamp(3), TaskEvent::Completed);
    for event in [
        TaskEvent::ProvenAbsent,
        TaskEvent::ConfirmationExpired,
        TaskEvent::Stop,
        TaskEvent::Observed,
        TaskEvent::Retract,
    ] {
        assert!(!t.step(Timestamp(4), event));
    }
    assert_eq!(t.phase, TaskPhase::Done);
}

#[test]
fn phase_codes_round_trip() {
    for code in 0..6 {
        assert_eq!(TaskPhase::from_code(code).map(|p| u64::from(p.code())), Some(code));
    }
    assert_eq!(TaskPhase::from_code(6), None);
}
