//! What a history tells of elections and of jobs that lived under both versions.

use serde_json::{json, Value};
use walnutlug_fault_injection::elections::{BothWays, Elections, Version};
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

fn read(history: &[Event]) -> Elections {
    Elections::read(history, |node| match node {
        "old" => Some(Version::Previous),
        "new-1" | "new-2" => Some(Version::New),
        _ => None,
    })
}

#[test]
fn elections_are_counted_by_the_version_before() {
    let vacant = event("leader", None);
    let told = read(&[
        leader("new-1"),
        vacant.clone(),
        leader("new-2"),
        leader("old"),
        vacant,
        leader("new-1"),
        leader("old"),
    ]);
    assert_eq!(told.elections, BothWays { previous_to_new: 1, new_to_previous: 2 });
    assert_eq!(told.same_version, 1);
    assert_eq!(told.elections.least(), 1);
}

#[test]
fn a_job_counts_for_the_way_it_went() {
    let told = read(&[
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
    let one = BothWays { previous_to_new: 1, new_to_previous: 0 };
    assert_eq!(told.accepted_then_done, one);
    assert_eq!(told.started_then_done, one);
    assert_eq!(told.accepted_then_aborted, one);
    assert_eq!(told.done_under["req-1"], Version::New);
    assert_eq!(told.done_under["req-3"], Version::Previous);
    assert!(!told.done_under.contains_key("req-2"));
}

#[test]
fn what_is_written_without_a_leader_counts_for_no_way() {
    let told = read(&[
        leader("old"),
        event("leader", None),
        put("job/req-1", json!(1)),
        leader("new-1"),
        put("end/req-1", json!("done")),
    ]);
    assert_eq!(told.accepted_then_done, BothWays::default());
}
