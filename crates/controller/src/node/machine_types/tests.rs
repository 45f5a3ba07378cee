use super::*;
use crate::user_api::fake_cluster::FakeStore;

/// Refused for its size again and again, it would lower what is taken for the limits each time.
#[tokio::test(start_paused = true)]
async fn machine_types_that_are_too_long_are_not_sent() {
    let store = FakeStore::default();
    let node = store.node();
    let types = node.machine_types.borrow().clone();
    assert!(matches!(
        share_unfenced(&node.key_value, &types).await,
        TransactionOutcome::Committed { .. }
    ));
    let asked = store.request_count.get();
    let many: Vec<_> = (0..200).flat_map(|_| types.clone()).collect();
    assert_eq!(share_unfenced(&node.key_value, &many).await, TransactionOutcome::TooLarge);
    assert_eq!(store.request_count.get(), asked);
}
