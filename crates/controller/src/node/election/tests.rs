use super::*;
use crate::user_api::fake_cluster::{FakeStore, Fault};
use walnutlug_scheduler::storage::revision::Revision;

fn leader_key_transaction(incarnation: &str) -> Transaction {
    Transaction {
        compares: vec![Compare { key: keys::LEADER.into(), revision: Revision::NONE }],
        operations: vec![Operation::put(keys::LEADER, leader_record("kernel-0", incarnation, 5))],
    }
}

#[tokio::test(start_paused = true)]
async fn election_with_a_lost_response_is_resolved_by_reading_the_leader_key() {
    let store = FakeStore::default();
    let node = store.node();
    store.fault(Fault::AppliedButLost);
    let own_term =
        create_leader_key(&node.key_value, &leader_key_transaction("mine"), "mine").await;
    assert_eq!(own_term, Some(Term(1)), "the claim was applied although its response was lost");
    let other_term =
        create_leader_key(&node.key_value, &leader_key_transaction("theirs"), "theirs").await;
    assert_eq!(other_term, None, "another process holds the leader key");
    store.fault(Fault::NotApplied);
    assert_eq!(
        create_leader_key(&node.key_value, &leader_key_transaction("third"), "third").await,
        None
    );
}

/// A process that restarted before its earlier lease expired used to wait for its own leader key to
/// run out.
#[tokio::test(start_paused = true)]
async fn restarted_node_releases_only_the_leader_lease_of_its_earlier_incarnation() {
    let store = FakeStore::default();
    let node = store.node();
    store.put(keys::LEADER, leader_record("kernel-0", "former", 5));
    store.put("other", leader_record("kernel-1", "x", 6));
    let key_value = node
        .key_value
        .get(RequestClass::Leadership, keys::LEADER)
        .await
        .expect("read")
        .expect("leader key");
    release_former_lease(&node, &key_value).await;
    assert!(!store.holds(keys::LEADER));
    assert!(store.holds("other"));
}
