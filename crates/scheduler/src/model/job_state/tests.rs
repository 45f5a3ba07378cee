use super::*;

const ENDED: JobState = JobState::Ended { dependency_cancelled: false };

#[test]
fn an_end_is_final() {
    let events = [
        JobEvent::DependencyCancelled,
        JobEvent::EndWriteStarted,
        JobEvent::EndWriteFailed,
        JobEvent::Ended,
    ];
    for event in events {
        assert_eq!(ENDED.next(event), None, "{event:?}");
    }
    let deleting = ENDED.next(JobEvent::DeletionStarted).expect("a deletion");
    assert!(deleting.is_ended());
    assert_eq!(deleting.next(JobEvent::DeletionIncomplete), Some(ENDED));
}

#[test]
fn a_failed_write_of_the_end_leads_back() {
    for start in [JobState::Open, JobState::DependencyCancelled] {
        let writing = start.next(JobEvent::EndWriteStarted).expect("a write");
        assert!(writing.is_writing_end() && !writing.is_ended());
        assert_eq!(writing.next(JobEvent::EndWriteStarted), None, "one write at a time");
        assert_eq!(writing.next(JobEvent::EndWriteFailed), Some(start));
    }
}

#[test]
fn what_depends_on_a_cancelled_job_is_known_until_its_records_are_gone() {
    let state = JobState::Open.next(JobEvent::DependencyCancelled).expect("cancelled");
    let state = state.next(JobEvent::EndWriteStarted).expect("a write");
    let state = state.next(JobEvent::Ended).expect("an end");
    let state = state.next(JobEvent::DeletionStarted).expect("a deletion");
    assert!(state.is_dependency_cancelled());
    assert!(!ENDED.is_dependency_cancelled());
}
