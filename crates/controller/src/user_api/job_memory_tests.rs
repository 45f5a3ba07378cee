use std::rc::Rc;

use serde_json::{json, Value};
use tokio::task::LocalSet;

use super::fake_cluster::FakeStore;
use super::submit;
use crate::node::Node;
use crate::settings::tests::sample;

/// A leader's jobs take more than this on no controller of the sample settings.
const ALL_MEMORY_BYTES: u64 = 1 << 40;

fn submission(job: &str, tasks: u32, priority: &str) -> Vec<u8> {
    let body = json!({"ref": job, "shell": "c", "crew": "one", "husk": "batch", "rank": priority,
        "nuts": tasks, "vcpus": 2.0, "gpus": 0.0, "memoryGb": 4.0, "seed": "i", "imageGb": 1.0,
        "breeds": null, "grove": null, "together": false, "spread": false, "windfall": true,
        "ripenS": 20.0, "stashS": 0.0, "buryS": 0.0, "harvestS": null});
    body.to_string().into_bytes()
}

fn node_with_memory(store: &FakeStore, megabytes: f64) -> Rc<Node> {
    let mut settings: Value = sample();
    settings["facts"]["resources"]["mem_mb"] = json!(megabytes);
    store.node_with(&settings)
}

/// Guards against accepting arrays that end every leader for memory (review/5 of the second review).
#[tokio::test(start_paused = true)]
async fn arrays_beyond_the_leaders_memory_get_a_503_and_small_urgent_jobs_are_accepted() {
    let store = FakeStore::default();
    let node = node_with_memory(&store, 8.0);
    let scenario = async {
        node.user_api.record_held_jobs(node.now(), 0);
        let mut accepted = Vec::new();
        let refusal = loop {
            assert!(accepted.len() < 100, "no array was refused");
            let job = format!("req-{:06}", accepted.len() + 1);
            let answer = submit(node.clone(), submission(&job, 100_000, "normal")).await;
            match answer.status {
                201 => accepted.push(job),
                _ => break answer,
            }
        };
        assert!(!accepted.is_empty() && refusal.status == 503, "{refusal:?}");
        assert!(refusal.retry_after.is_some_and(|seconds| (1..=30).contains(&seconds)));
        let repeated = submit(node.clone(), submission(&accepted[0], 100_000, "normal")).await;
        assert_eq!(repeated.status, 200, "an accepted job is never refused");
        let urgent = submit(node.clone(), submission("req-900000", 1, "high")).await;
        assert_eq!(urgent.status, 201);
    };
    LocalSet::new().run_until(scenario).await;
}

#[tokio::test(start_paused = true)]
async fn job_that_another_node_accepted_is_answered_200_by_a_node_without_memory_for_it() {
    let store = FakeStore::default();
    let (accepting, full) = (store.node(), node_with_memory(&store, 72.0));
    let scenario = async {
        full.user_api.record_held_jobs(full.now(), ALL_MEMORY_BYTES);
        let job = submission("req-000001", 1, "high");
        assert_eq!(submit(full.clone(), job.clone()).await.status, 503);
        assert_eq!(submit(accepting.clone(), job.clone()).await.status, 201);
        assert_eq!(submit(full.clone(), job).await.status, 200);
        full.user_api.record_held_jobs(full.now(), 0);
        let next = submission("req-000002", 1, "low");
        assert_eq!(submit(full.clone(), next).await.status, 201, "refusals end as jobs end");
    };
    LocalSet::new().run_until(scenario).await;
}
