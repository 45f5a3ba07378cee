use serde_json::json;

use super::*;
use crate::model::ids::JobIndex;
use crate::model::job_spec::JobEnd;

const LIMITS: TransactionLimits = TransactionLimits { value_bytes: 2_048, operations: 4 };
const JOB: &str = "req-000001";

fn send_in_new_term(batch: Batch) -> (Transactions, u64) {
    let mut transactions = Transactions::new(Term(7), LIMITS);
    match transactions.send(batch) {
        Some(Command::Commit { id, .. }) => (transactions, id),
        other => panic!("{other:?}"),
    }
}

fn batch_with_job_end() -> Batch {
    let mut batch = Batch::default();
    batch.put_end(JobIndex(0), JOB, JobEnd::Done);
    batch
}

fn conflict(key: String) -> TransactionOutcome {
    TransactionOutcome::Conflict { failed: vec![key] }
}

#[test]
fn empty_batch_is_not_sent() {
    let mut transactions = Transactions::new(Term(7), LIMITS);
    assert_eq!(transactions.send(Batch::background()), None);
    assert_eq!(transactions.in_flight_count(), 0);
}

#[test]
fn transaction_with_a_lost_answer_is_resent_until_its_outcome_is_certain() {
    let now = Timestamp(1 << 40);
    let (mut transactions, id) = send_in_new_term(batch_with_job_end());
    assert!(matches!(
        transactions.answered(now, id, TransactionOutcome::Indeterminate),
        Resolution::Uncertain
    ));
    assert!(transactions.resend_due(now).is_empty(), "resent before the retry delay has passed");
    let later = now + RETRY_AFTER_LOST_ANSWER;
    assert!(matches!(transactions.resend_due(later)[..], [Command::Commit { id: 1, .. }]));
    assert!(transactions.resend_due(later).is_empty(), "resent twice");
    // A refusal of the second copy says nothing about the first.
    assert!(matches!(
        transactions.answered(later, id, TransactionOutcome::Rejected),
        Resolution::Uncertain
    ));
    let later = later + RETRY_AFTER_REFUSAL;
    assert_eq!(transactions.resend_due(later).len(), 1);
    let committed = TransactionOutcome::Committed { revision: Revision(12) };
    assert!(matches!(
        transactions.answered(later, id, committed.clone()),
        Resolution::Committed { revision: Revision(12), .. }
    ));
    assert!(matches!(transactions.answered(later, id, committed), Resolution::Unknown));
}

#[test]
fn refused_transaction_pauses_all_writes() {
    let now = Timestamp(1 << 40);
    let tunables = Tunables::default();
    let (mut transactions, id) = send_in_new_term(batch_with_job_end());
    assert!(transactions.may_write(now, &tunables));
    assert!(matches!(
        transactions.answered(now, id, TransactionOutcome::Rejected),
        Resolution::NotExecuted { .. }
    ));
    assert!(!transactions.may_write(now, &tunables));
    assert!(transactions.may_write(now + PAUSE_AFTER_REFUSAL, &tunables));
}

#[test]
fn conflict_on_the_leader_key_ends_the_term_and_on_an_end_reports_the_job() {
    let now = Timestamp(1 << 40);
    let (mut transactions, id) = send_in_new_term(batch_with_job_end());
    let resolution = transactions.answered(now, id, conflict(keys::LEADER.to_owned()));
    assert!(matches!(
        resolution,
        Resolution::StepDown { reason: StepDownReason::LeaderKeyTaken, .. }
    ));

    let (mut transactions, id) = send_in_new_term(batch_with_job_end());
    match transactions.answered(now, id, conflict(keys::end(JOB))) {
        Resolution::NotExecuted { ended, .. } => assert_eq!(ended, [JOB]),
        other => panic!("{other:?}"),
    }
}

/// A job's end is final, so a late copy of its write changes nothing.
#[test]
fn job_end_that_became_too_large_after_a_lost_answer_is_written_anew() {
    let now = Timestamp(1 << 40);
    for is_lost in [false, true] {
        let (mut transactions, id) = send_in_new_term(batch_with_job_end());
        if is_lost {
            let _ = transactions.answered(now, id, TransactionOutcome::Indeterminate);
        }
        let resolution = transactions.answered(now, id, TransactionOutcome::TooLarge);
        assert!(matches!(resolution, Resolution::NotExecuted { .. }), "{resolution:?}");
    }
}

#[test]
fn conflict_on_a_chunk_is_resolved_by_reading_the_chunk() {
    let now = Timestamp(1 << 40);
    let own = json!({"t": [0], "w": "7-1"});
    let others = json!({"t": [0], "w": "6-1"});
    let found = |value: &Value| ReadOutcome::Found { value: value.clone(), revision: Revision(12) };
    let conflict_on_chunk = || {
        let (mut transactions, id) = send_in_new_term(batch_with_job_end());
        let key = keys::run(JOB, 3);
        match transactions.answered(now, id, conflict(key.clone())) {
            Resolution::ReadBack { read, .. } => assert_eq!(read, Command::Read { id, key }),
            other => panic!("{other:?}"),
        }
        (transactions, id)
    };

    let (mut transactions, id) = conflict_on_chunk();
    let resolution = transactions.read_answered(now, id, found(&own));
    assert!(matches!(resolution, Resolution::Committed { revision: Revision(12), .. }));

    for outcome in [found(&others), ReadOutcome::Missing] {
        let (mut transactions, id) = conflict_on_chunk();
        let resolution = transactions.read_answered(now, id, outcome);
        let reason = StepDownReason::UnexpectedChunk;
        assert!(matches!(resolution, Resolution::StepDown { reason: r, .. } if r == reason));
    }

    let (mut transactions, id) = conflict_on_chunk();
    let resolution = transactions.read_answered(now, id, ReadOutcome::Unavailable);
    assert!(matches!(resolution, Resolution::Uncertain));
    assert_eq!(transactions.resend_due(now + RETRY_AFTER_REFUSAL).len(), 1);
}
