use super::*;
use crate::user_api::fake_cluster::{FakeStore, Fault};

fn epoch(node: &Node) -> Option<Epoch> {
    node.machine_types_role.lease.borrow().epoch()
}

/// The types in the store, if any.
fn shared(store: &FakeStore) -> Option<serde_json::Value> {
    store.value(keys::TYPES).map(|value| value["breeds"].clone())
}

#[tokio::test(start_paused = true)]
async fn one_node_takes_the_role_and_a_replaced_one_writes_nothing() {
    let test = async {
        let store = FakeStore::default();
        let c = store.cluster(2);
        let (first, second) = (c.nodes[0].clone(), c.nodes[1].clone());
        // A node that the key-value store has not answered lately doesn't try.
        for node in [&first, &second] {
            node.key_value.get(RequestClass::Watch, keys::LEADER).await.expect("an answer");
        }
        observe(&first).await;
        observe(&second).await;
        assert!(first.machine_types_role.is_held(first.now()));
        assert_eq!(epoch(&second), None);
        assert!(first.machine_types_role.has_yet_to_share());
        let types = first.machine_types.borrow().clone();
        share(&first, &types).await;
        assert!(shared(&store).is_some() && !first.machine_types_role.has_yet_to_share());
        // Its lease ends while it stands still, and the other takes over.
        tokio::time::advance(Duration::from_micros(LEASE.0)).await;
        assert!(!first.machine_types_role.is_held(first.now()), "it stops by itself");
        store.remove(&ROLE.key());
        second.key_value.get(RequestClass::Watch, keys::LEADER).await.expect("an answer");
        observe(&second).await;
        assert!(epoch(&second) > epoch(&first));
        let before = shared(&store);
        share(&first, &[]).await;
        assert_eq!(shared(&store), before, "fenced");
        assert_eq!(epoch(&first), None, "and it knows");
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn a_claim_whose_answer_is_lost_is_read_back() {
    let test = async {
        let store = FakeStore::default();
        let node = store.node();
        node.key_value.get(RequestClass::Watch, keys::LEADER).await.expect("an answer");
        store.fault(Fault::AppliedButLost);
        observe(&node).await;
        assert!(node.machine_types_role.is_held(node.now()));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn records_that_cannot_be_acted_on_stay_and_nothing_is_done() {
    let odd = [
        serde_json::json!("no record"),
        serde_json::json!({"format": 9, "node": "kernel-1"}),
        serde_json::json!({"format": 1, "node": "stranger", "inc": "x", "lease": 1}),
    ];
    for value in odd {
        let store = FakeStore::default();
        let node = store.node();
        store.put(&ROLE.key(), value.clone());
        observe(&node).await;
        assert_eq!(epoch(&node), None);
        assert!(node.machine_types_role.logged_fault.borrow().is_some(), "{value} is logged");
        assert_eq!(store.value(&ROLE.key()), Some(value.clone()), "and stays");
    }
}

#[tokio::test(start_paused = true)]
async fn a_former_incarnation_is_released_and_a_leader_hands_over_to_another() {
    let test = async {
        let store = FakeStore::default();
        let node = store.node();
        let former = HolderRecord {
            format: HOLDER_FORMAT,
            node: node.settings.node_name.clone(),
            incarnation: "former".into(),
            lease: 77,
        };
        store.put(&ROLE.key(), serde_json::to_value(&former).expect("a value"));
        observe(&node).await;
        assert!(!store.holds(&ROLE.key()), "its lease is ended");
        node.key_value.get(RequestClass::Watch, keys::LEADER).await.expect("an answer");
        observe(&node).await;
        let held = epoch(&node);
        renew(&node).await;
        assert!(held.is_some() && epoch(&node) == held);
        let id = node.machine_types_role.lease_id.get().expect("a lease");
        release(&node, id).await;
        assert!(epoch(&node).is_none() && !store.holds(&ROLE.key()));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
