use super::*;
use crate::user_api::fake_cluster::{Fault, StandIn};

fn key_for(incarnation: &str) -> Transaction {
    Transaction {
        compares: vec![Compare { key: keys::LEADER.into(), revision: Revision::NONE }],
        operations: vec![Operation::put(keys::LEADER, leader_record("kernel-0", incarnation, 5))],
    }
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_on_election_is_read_back() {
    let store = StandIn::default();
    let node = store.node();
    store.fault(Fault::AppliedButLost);
    let own = create_leader_key(&node.key_value, &key_for("mine"), "mine").await;
    assert_eq!(own, Some(Term(1)), "elected after all");
    let other = create_leader_key(&node.key_value, &key_for("theirs"), "theirs").await;
    assert_eq!(other, None, "the key is taken");
    store.fault(Fault::NotApplied);
    assert_eq!(create_leader_key(&node.key_value, &key_for("third"), "third").await, None);
}

#[tokio::test(start_paused = true)]
async fn types_that_came_while_the_records_were_read_reach_the_book() {
    let node = StandIn::default().node();
    let (site, tunables) = (node.site.clone(), node.tunables.clone());
    install(&node, Scheduler::new(site, tunables, Term(7), Vec::new(), node.now()));
    let registry = node.scheduler.borrow();
    assert_eq!(registry.as_ref().map(|s| s.cluster.machine_types.len()), Some(1));
}

/// A process back within its former lease met its own key and waited for it to run out.
#[tokio::test(start_paused = true)]
async fn a_node_back_at_once_ends_its_former_lead_and_no_other() {
    let store = StandIn::default();
    let node = store.node();
    store.put(keys::LEADER, leader_record("kernel-0", "former", 5));
    store.put("other", leader_record("kernel-1", "x", 6));
    let key_value =
        node.key_value.get(RequestClass::Leadership, keys::LEADER).await.expect("ok").expect("key");
    release_former_lease(&node, &key_value).await;
    assert!(!store.holds(keys::LEADER));
    assert!(store.holds("other"));
}

/// The watch's answer with the job in it was lost, and with it every mention of the job.
#[tokio::test(start_paused = true)]
async fn a_job_that_no_message_told_of_is_found_and_a_lost_end_too() {
    let store = StandIn::default();
    let node = store.node();
    let spec = serde_json::json!({"spec": {
        "class": "c", "team": "one", "rank": "High", "tasks": 3, "cpus": 1.0, "gpus": 0.0,
        "memory_gb": 1.0, "image": "i", "image_gb": 1.0, "types": null, "zone": null,
        "one_zone": false, "spread": false, "spot": true, "estimate_s": 9.0,
        "checkpoint_s": 0.0, "save_s": 0.0, "deadline_s": null}, "at": 1, "chunk": 50});
    store.put(&keys::todo("req-1"), spec);
    *node.scheduler.borrow_mut() = Some(Scheduler::new(
        node.site.clone(),
        node.tunables.clone(),
        Term(7),
        node.types.borrow().clone(),
        node.now(),
    ));
    reconcile_once(&node, Term(7)).await.expect("read");
    let open =
        || node.scheduler.borrow().as_ref().map(|s| s.cluster.open_jobs()).unwrap_or_default();
    assert_eq!(open(), ["req-1"]);
    store.put(&keys::end("req-1"), serde_json::json!("aborted"));
    reconcile_once(&node, Term(7)).await.expect("read");
    assert!(open().is_empty());
}

#[test]
fn a_watch_that_returned_late_is_opened_at_once() {
    assert_eq!(rest_of_pace(Duration::ZERO), WATCH_PACE);
    assert_eq!(rest_of_pace(WATCH_PACE / 3), WATCH_PACE - WATCH_PACE / 3);
    for late in [WATCH_PACE, WATCH_PACE + Duration::from_nanos(1), Duration::from_secs(9)] {
        assert_eq!(rest_of_pace(late), Duration::ZERO);
    }
}
