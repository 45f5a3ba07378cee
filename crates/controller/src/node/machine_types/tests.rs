use super::*;
use crate::user_api::fake_cluster::FakeStore;

/// The client takes each rejection for size as a sign of lower limits, so repeated oversized writes
/// would keep lowering the limits that it assumes.
#[tokio::test(start_paused = true)]
async fn machine_types_above_the_value_size_limit_are_not_sent_to_the_store() {
    let store = FakeStore::default();
    let node = store.node();
    let types = node.machine_types.borrow().clone();
    assert!(matches!(
        share_unfenced(&node.key_value, &types).await,
        TransactionOutcome::Committed { .. }
    ));
    let requests_before = store.request_count.get();
    let too_many_types: Vec<_> = (0..200).flat_map(|_| types.clone()).collect();
    assert_eq!(
        share_unfenced(&node.key_value, &too_many_types).await,
        TransactionOutcome::TooLarge
    );
    assert_eq!(store.request_count.get(), requests_before);
}
