//! Tests how elections and jobs are counted from a store history with leaders of two versions.

use serde_json::{json, Value};
use walnutlug_fault_injection::elections::{DirectionCounts, Elections, Version};
use walnutlug_fault_injection::fake_key_value_store::Event;

fn event(key: &str, value: Option<Value>) -> Event {
    Event { revision: 0, key: key.to_owned(), value }
}

fn put(key: &str, value: Value) -> Event {
    event(key, Some(value))
}

fn leader(node: &str) -> Event {
    put("leader", json!({"node": node}))
}

fn summarize(history: &[Event]) -> Elections {
    Elections::from_history(history, |node| match node {
        "old" => Some(Version::Previous),
        "new-1" | "new-2" => Some(Version::New),
        _ => None,
    })
}

#[test]
fn elections_are_counted_by_direction_of_version_change() {
    let no_leader = event("leader", None);
    let summary = summarize(&[
        leader("new-1"),
        no_leader.clone(),
        leader("new-2"),
        leader("old"),
        no_leader,
        leader("new-1"),
        leader("old"),
    ]);
    assert_eq!(summary.elections, DirectionCounts { previous_to_new: 1, new_to_previous: 2 });
    assert_eq!(summary.same_version, 1);
    assert_eq!(summary.elections.min(), 1);
}

#[test]
fn jobs_are_counted_by_versions_leading_at_acceptance_start_and_end() {
    let summary = summarize(&[
        leader("old"),
        put("job/req-1", json!(1)),
        put("job/req-2", json!(1)),
        put("job/req-3", json!(1)),
        put("run/req-1/00000", json!({})),
        put("run/req-3/00000", json!({})),
        put("end/req-3", json!("done")),
        leader("new-1"),
        put("end/req-1", json!("done")),
        put("end/req-2", json!("aborted")),
    ]);
    let one = DirectionCounts { previous_to_new: 1, new_to_previous: 0 };
    assert_eq!(summary.accepted_then_done, one);
    assert_eq!(summary.started_then_done, one);
    assert_eq!(summary.accepted_then_aborted, one);
    assert_eq!(summary.done_under["req-1"], Version::New);
    assert_eq!(summary.done_under["req-3"], Version::Previous);
    assert!(!summary.done_under.contains_key("req-2"));
}

#[test]
fn job_accepted_without_a_leader_is_not_counted() {
    let summary = summarize(&[
        leader("old"),
        event("leader", None),
        put("job/req-1", json!(1)),
        leader("new-1"),
        put("end/req-1", json!("done")),
    ]);
    assert_eq!(summary.accepted_then_done, DirectionCounts::default());
}
