use super::*;

const ENDED: JobState = JobState::Ended { dependency_cancelled: false };

#[test]
fn ended_job_ignores_further_end_events() {
    let events = [
        JobEvent::DependencyCancelled,
        JobEvent::EndWriteStarted,
        JobEvent::EndWriteFailed,
        JobEvent::Ended,
    ];
    for event in events {
        assert_eq!(ENDED.next(event), None, "{event:?}");
    }
    let deleting = ENDED.next(JobEvent::DeletionStarted).expect("deletion may start");
    assert!(deleting.is_ended());
    assert_eq!(deleting.next(JobEvent::DeletionIncomplete), Some(ENDED));
}

#[test]
fn failed_end_write_restores_the_previous_state() {
    for start in [JobState::Open, JobState::DependencyCancelled] {
        let writing = start.next(JobEvent::EndWriteStarted).expect("end may be written");
        assert!(writing.is_writing_end() && !writing.is_ended());
        assert_eq!(writing.next(JobEvent::EndWriteStarted), None, "one write of the end at a time");
        assert_eq!(writing.next(JobEvent::EndWriteFailed), Some(start));
    }
}

#[test]
fn dependency_cancellation_is_kept_until_records_are_deleted() {
    let state =
        JobState::Open.next(JobEvent::DependencyCancelled).expect("open job can be cancelled");
    let state = state.next(JobEvent::EndWriteStarted).expect("end may be written");
    let state = state.next(JobEvent::Ended).expect("job may end");
    let state = state.next(JobEvent::DeletionStarted).expect("deletion may start");
    assert!(state.is_dependency_cancelled());
    assert!(!ENDED.is_dependency_cancelled());
}
