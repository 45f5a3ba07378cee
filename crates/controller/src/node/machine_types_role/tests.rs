use super::*;
use crate::user_api::fake_cluster::{FakeStore, Fault};

fn held_epoch(node: &Node) -> Option<Epoch> {
    node.machine_types_role.lease.borrow().epoch()
}

/// Returns the machine types in the store, if there are any.
fn shared_types(store: &FakeStore) -> Option<serde_json::Value> {
    store.value(keys::TYPES).map(|value| value["breeds"].clone())
}

#[tokio::test(start_paused = true)]
async fn only_one_node_acquires_the_role_and_a_replaced_holder_cannot_write() {
    let test = async {
        let store = FakeStore::default();
        let cluster = store.cluster(2);
        let (first, second) = (cluster.nodes[0].clone(), cluster.nodes[1].clone());
        // A node tries to acquire the role only after a recent response from the key-value store.
        for node in [&first, &second] {
            node.key_value
                .get(RequestClass::Watch, keys::LEADER)
                .await
                .expect("a response from the store");
        }
        observe(&first).await;
        observe(&second).await;
        assert!(first.machine_types_role.is_held(first.now()));
        assert_eq!(held_epoch(&second), None);
        assert!(first.machine_types_role.must_share());
        let types = first.machine_types.borrow().clone();
        share(&first, &types).await;
        assert!(shared_types(&store).is_some() && !first.machine_types_role.must_share());
        // The lease expires while its holder makes no progress, and the other node takes over.
        tokio::time::advance(Duration::from_micros(TTL.0)).await;
        assert!(!first.machine_types_role.is_held(first.now()), "the role ends with its lease");
        store.remove(&ROLE.key());
        second
            .key_value
            .get(RequestClass::Watch, keys::LEADER)
            .await
            .expect("a response from the store");
        observe(&second).await;
        assert!(held_epoch(&second) > held_epoch(&first));
        let before = shared_types(&store);
        share(&first, &[]).await;
        assert_eq!(shared_types(&store), before, "the replaced holder's write must be rejected");
        assert_eq!(
            held_epoch(&first),
            None,
            "the rejected write ends the role at the replaced holder"
        );
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn role_claim_with_a_lost_response_is_resolved_by_reading_the_key() {
    let test = async {
        let store = FakeStore::default();
        let node = store.node();
        node.key_value
            .get(RequestClass::Watch, keys::LEADER)
            .await
            .expect("a response from the store");
        store.fault(Fault::AppliedButLost);
        observe(&node).await;
        assert!(node.machine_types_role.is_held(node.now()));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn unreadable_holder_record_is_logged_and_left_in_place() {
    let unreadable_records = [
        serde_json::json!("no record"),
        serde_json::json!({"format": 9, "node": "kernel-1"}),
        serde_json::json!({"format": 1, "node": "stranger", "inc": "x", "lease": 1}),
    ];
    for value in unreadable_records {
        let store = FakeStore::default();
        let node = store.node();
        store.put(&ROLE.key(), value.clone());
        observe(&node).await;
        assert_eq!(held_epoch(&node), None);
        assert!(
            node.machine_types_role.last_logged_error.borrow().is_some(),
            "{value} must be logged"
        );
        assert_eq!(
            store.value(&ROLE.key()),
            Some(value.clone()),
            "the unreadable record must stay"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn restarted_node_releases_its_earlier_lease_then_acquires_renews_and_releases_the_role() {
    let test = async {
        let store = FakeStore::default();
        let node = store.node();
        let earlier_holder = HolderRecord {
            format: HOLDER_FORMAT,
            node: node.settings.node_name.clone(),
            incarnation: "former".into(),
            lease: 77,
        };
        store.put(&ROLE.key(), serde_json::to_value(&earlier_holder).expect("record as JSON"));
        observe(&node).await;
        assert!(!store.holds(&ROLE.key()), "the earlier lease must be revoked");
        node.key_value
            .get(RequestClass::Watch, keys::LEADER)
            .await
            .expect("a response from the store");
        observe(&node).await;
        let epoch_before = held_epoch(&node);
        renew(&node).await;
        assert!(epoch_before.is_some() && held_epoch(&node) == epoch_before);
        let id = node.machine_types_role.lease_id.get().expect("the held lease");
        release(&node, id).await;
        assert!(held_epoch(&node).is_none() && !store.holds(&ROLE.key()));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
