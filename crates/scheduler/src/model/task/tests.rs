use super::*;

const MACHINE: MachineIndex = MachineIndex(3);
const EPOCH: AgentEpoch = AgentEpoch(1);
const TOKEN: FencingToken = FencingToken(9);

fn planned_task() -> Task {
    let mut task = Task::new(Timestamp(0));
    let event = TaskEvent::Dispatch { machine: MACHINE, agent_epoch: EPOCH };
    assert!(task.step(Timestamp(1), event));
    task
}

fn recorded_task() -> Task {
    let mut task = planned_task();
    assert!(task.step(Timestamp(2), TaskEvent::Recorded(task.placement())));
    task
}

fn sent(task: &Task) -> TaskEvent {
    TaskEvent::Sent { placement: task.placement(), token: TOKEN }
}

/// Returns the task's placement with each of its fields changed in turn.
fn other_placements(task: &Task) -> [Placement; 3] {
    let placement = task.placement();
    [
        Placement { attempt: placement.attempt.next(), ..placement },
        Placement { machine: MachineIndex(4), ..placement },
        Placement { agent_epoch: AgentEpoch(2), ..placement },
    ]
}

#[test]
fn sent_start_returns_to_pending_only_on_proof_of_absence() {
    let mut t = recorded_task();
    let event = sent(&t);
    assert!(t.step(Timestamp(2), event));
    assert!(!t.step(Timestamp(3), event), "a start is sent only once");
    assert!(!t.step(Timestamp(3), TaskEvent::NotRecorded(t.placement())));
    assert!(t.step(Timestamp(4), TaskEvent::ConfirmationExpired));
    assert!(
        !t.step(Timestamp(5), TaskEvent::Dispatch { machine: MachineIndex(4), agent_epoch: EPOCH })
    );
    assert!(t.step(Timestamp(6), TaskEvent::ProvenAbsent));
    assert_eq!((t.phase, t.attempt), (TaskPhase::Pending, Attempt(2)));
}

#[test]
fn start_is_sent_only_after_its_placement_is_recorded() {
    let mut t = planned_task();
    let event = sent(&t);
    assert!(!t.step(Timestamp(2), event));
    assert!(t.step(Timestamp(3), TaskEvent::Recorded(t.placement())));
    assert!(t.step(Timestamp(4), event));
    assert_eq!((t.phase, t.token), (TaskPhase::Dispatching, TOKEN));
}

#[test]
fn recorded_start_is_not_retracted_by_a_failed_write() {
    let mut t = recorded_task();
    assert!(!t.step(Timestamp(3), TaskEvent::NotRecorded(t.placement())));
    assert_eq!(t.phase, TaskPhase::Recorded);
}

#[test]
fn planned_start_is_not_taken_for_unsent_while_its_transaction_is_open() {
    let mut t = planned_task();
    assert!(!t.step(Timestamp(2), TaskEvent::NotSent(t.placement())));
    assert_eq!(t.phase, TaskPhase::Planned);
}

#[test]
fn unsent_start_that_was_recorded_is_retried_under_the_next_attempt() {
    let mut t = recorded_task();
    assert!(t.step(Timestamp(3), TaskEvent::NotSent(t.placement())));
    assert_eq!((t.phase, t.attempt), (TaskPhase::Pending, Attempt(2)));
}

#[test]
fn running_task_ignores_that_a_request_was_not_sent() {
    let mut t = recorded_task();
    t.step(Timestamp(3), TaskEvent::Observed);
    assert!(!t.step(Timestamp(4), TaskEvent::NotSent(t.placement())));
}

#[test]
fn outcome_for_another_attempt_machine_or_agent_epoch_changes_nothing() {
    let planned = planned_task();
    for placement in other_placements(&planned) {
        for event in [TaskEvent::Recorded(placement), TaskEvent::NotRecorded(placement)] {
            assert!(!{ planned }.step(Timestamp(5), event), "{event:?}");
        }
    }
    let recorded = recorded_task();
    for placement in other_placements(&recorded) {
        let sent = TaskEvent::Sent { placement, token: TOKEN };
        for event in [sent, TaskEvent::NotSent(placement)] {
            assert!(!{ recorded }.step(Timestamp(5), event), "{event:?}");
        }
    }
    let mut dispatching = recorded;
    dispatching.step(Timestamp(3), sent(&recorded));
    for placement in other_placements(&dispatching) {
        assert!(!{ dispatching }.step(Timestamp(5), TaskEvent::NotSent(placement)));
    }
}

#[test]
fn completed_task_ignores_all_events() {
    let mut t = recorded_task();
    t.step(Timestamp(2), sent(&t));
    t.step(Timestamp(3), TaskEvent::Completed);
    for event in [
        TaskEvent::ProvenAbsent,
        TaskEvent::ConfirmationExpired,
        TaskEvent::Stop,
        TaskEvent::Observed,
        TaskEvent::Recorded(t.placement()),
        TaskEvent::NotRecorded(t.placement()),
        sent(&t),
        TaskEvent::NotSent(t.placement()),
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
