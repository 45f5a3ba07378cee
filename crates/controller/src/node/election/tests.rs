use super::*;
use crate::user_api::fake_cluster::{FakeStore, Fault};
use walnutlug_scheduler::storage::revision::Revision;

fn key_for(incarnation: &str) -> Transaction {
    Transaction {
        compares: vec![Compare { key: keys::LEADER.into(), revision: Revision::NONE }],
        operations: vec![Operation::put(keys::LEADER, leader_record("kernel-0", incarnation, 5))],
    }
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_on_election_is_read_back() {
    let store = FakeStore::default();
    let node = store.node();
    store.fault(Fault::AppliedButLost);
    let own = create_leader_key(&node.key_value, &key_for("mine"), "mine").await;
    assert_eq!(own, Some(Term(1)), "elected after all");
    let other = create_leader_key(&node.key_value, &key_for("theirs"), "theirs").await;
    assert_eq!(other, None, "the key is taken");
    store.fault(Fault::NotApplied);
    assert_eq!(create_leader_key(&node.key_value, &key_for("third"), "third").await, None);
}

/// A process back within its former lease met its own key and waited for it to run out.
#[tokio::test(start_paused = true)]
async fn a_node_back_at_once_releases_its_former_lease_and_no_other() {
    let store = FakeStore::default();
    let node = store.node();
    store.put(keys::LEADER, leader_record("kernel-0", "former", 5));
    store.put("other", leader_record("kernel-1", "x", 6));
    let key_value =
        node.key_value.get(RequestClass::Leadership, keys::LEADER).await.expect("ok").expect("key");
    release_former_lease(&node, &key_value).await;
    assert!(!store.holds(keys::LEADER));
    assert!(store.holds("other"));
}
