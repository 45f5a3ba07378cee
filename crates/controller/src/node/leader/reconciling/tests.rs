use super::*;
use crate::user_api::fake_cluster::FakeStore;

/// The watch response that contained the job was lost, and so was every other message about it.
#[tokio::test(start_paused = true)]
async fn reconciliation_adds_a_job_and_applies_an_end_that_the_watches_missed() {
    let store = FakeStore::default();
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
        node.machine_types.borrow().clone(),
        node.now(),
    ));
    reconcile_once(&node, Term(7)).await.expect("read");
    let open_jobs =
        || node.scheduler.borrow().as_ref().map(|s| s.cluster.open_jobs()).unwrap_or_default();
    assert_eq!(open_jobs(), ["req-1"]);
    store.put(&keys::end("req-1"), serde_json::json!("aborted"));
    reconcile_once(&node, Term(7)).await.expect("read");
    assert!(open_jobs().is_empty());
}
