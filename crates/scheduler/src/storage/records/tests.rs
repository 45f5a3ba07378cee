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
fn decodes_task_records_of_all_versions() {
    let pending =
        |attempt| Some(TaskState { attempt: Attempt(attempt), progress: StoredProgress::Pending });
    let done =
        |attempt| Some(TaskState { attempt: Attempt(attempt), progress: StoredProgress::Done });
    assert_eq!(read(&json!(0)), pending(1));
    assert_eq!(read(&json!(1.5)), pending(1), "any number means never placed");
    assert_eq!(read(&json!(-1)), pending(1), "any number means never placed");
    assert_eq!(read(&json!([0, 3])), pending(3));
    assert_eq!(read(&json!([5, 2])), done(2));
    assert_eq!(read(&json!([5, 2, "m", 9, 7])), done(2), "additional fields are ignored");
    for phase in 1..=4 {
        assert_eq!(read(&json!([phase, 2, "m", 9, 70])), placed(2, "m", Some(7_000)));
    }
    assert_eq!(
        read(&json!([1, 2, "m", 9])),
        placed(2, "m", None),
        "placement time missing or unreadable"
    );
    assert_eq!(
        read(&json!([1, 2, "m", 9, "x"])),
        placed(2, "m", None),
        "placement time missing or unreadable"
    );
    assert_eq!(read(&json!([1, 2, "m", 9, 70, {"later": true}])), placed(2, "m", Some(7_000)));
}

#[test]
fn malformed_task_does_not_affect_the_rest_of_its_chunk() {
    let malformed = json!([
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
    for record in malformed.as_array().expect("records") {
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
fn chunk_identifies_the_transaction_that_wrote_it() {
    assert!(was_written_by(&json!({"t": [0], "w": "7-1"}), "7-1"));
    for other in [json!({"t": [0], "w": "7-2"}), json!({"t": [0]}), json!({"w": 7}), json!(null)] {
        assert!(!was_written_by(&other, "7-1"), "{other}");
    }
}
