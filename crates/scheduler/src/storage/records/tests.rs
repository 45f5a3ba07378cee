use serde_json::json;

use super::*;

fn read(record: &Value) -> Option<TaskState<'_>> {
    StoredTask::deserialize(record).expect("any value").state()
}

fn placed(attempt: u64, machine: &str, after_ms: Option<u64>) -> Option<TaskState<'_>> {
    let after_acceptance = after_ms.map(TimeDelta::from_millis);
    let placement = StoredPlacement { machine, agent_epoch: AgentEpoch(9), after_acceptance };
    let progress = StoredProgress::Placed(placement);
    Some(TaskState { attempt: Attempt(attempt), progress })
}

#[test]
fn a_task_is_read_whichever_version_wrote_it() {
    let pending =
        |attempt| Some(TaskState { attempt: Attempt(attempt), progress: StoredProgress::Pending });
    let done =
        |attempt| Some(TaskState { attempt: Attempt(attempt), progress: StoredProgress::Done });
    assert_eq!(read(&json!(0)), pending(1));
    assert_eq!(read(&json!(1.5)), pending(1), "any number");
    assert_eq!(read(&json!(-1)), pending(1), "any number");
    assert_eq!(read(&json!([0, 3])), pending(3));
    assert_eq!(read(&json!([5, 2])), done(2));
    assert_eq!(read(&json!([5, 2, "m", 9, 7])), done(2), "more than is needed");
    for phase in 1..=4 {
        assert_eq!(read(&json!([phase, 2, "m", 9, 70])), placed(2, "m", Some(7_000)));
    }
    assert_eq!(read(&json!([1, 2, "m", 9])), placed(2, "m", None), "without a time");
    assert_eq!(read(&json!([1, 2, "m", 9, "x"])), placed(2, "m", None), "without a time");
    assert_eq!(read(&json!([1, 2, "m", 9, 70, {"later": true}])), placed(2, "m", Some(7_000)));
}

#[test]
fn what_is_no_task_is_passed_over_alone() {
    let strange = json!([
        null,
        "0",
        {},
        [],
        [1],
        ["1", 2],
        [6, 1],
        [0, 5_000_000_000_u64],
        [0, -1],
        [1, 2],
        [1, 2, 3, 9],
        [1, 2, "m"],
        [1, 2, "m", "9"],
        [[1], 2]
    ]);
    for record in strange.as_array().expect("records") {
        assert_eq!(read(record), None, "{record}");
    }
    let value = json!({"t": [0, {}, [5, 1]], "w": "7-1", "later": 1});
    let chunk = StoredChunk::deserialize(&value).expect("a chunk");
    let read: Vec<bool> = chunk.tasks.iter().map(|task| task.state().is_some()).collect();
    assert_eq!(read, [true, false, true]);
    for value in [json!(null), json!({}), json!({"t": 1})] {
        assert!(StoredChunk::deserialize(&value).is_err(), "{value}");
    }
}

#[test]
fn a_chunk_names_the_transaction_that_wrote_it() {
    assert!(was_written_by(&json!({"t": [0], "w": "7-1"}), "7-1"));
    for other in [json!({"t": [0], "w": "7-2"}), json!({"t": [0]}), json!({"w": 7}), json!(null)] {
        assert!(!was_written_by(&other, "7-1"), "{other}");
    }
}
