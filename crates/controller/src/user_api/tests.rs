use std::rc::Rc;

use serde_json::{json, Value};
use tokio::task::LocalSet;
use tokio::time::Instant;
use walnutlug_scheduler::storage::keys;

use super::fake_cluster::{FakeStore, Fault};
use super::submission::SubmissionError;
use super::*;
use crate::http::client::NotSent;
use crate::http::server::Answer;
use crate::key_value_client::{
    InvalidResponse, KeyValueError, Rejection, StoreRequest, UnknownOutcome,
};
use crate::node::Node;
use crate::settings::tests::sample;

const JOB: &str = "req-000412";

fn submission() -> Value {
    json!({"ref": JOB, "shell": "c", "crew": "one", "husk": "batch", "rank": "high", "nuts": 3,
        "vcpus": 2.0, "gpus": 0.0, "memoryGb": 4.0, "seed": "i", "imageGb": 1.0,
        "breeds": null, "grove": null, "together": false, "spread": false, "windfall": true,
        "ripenS": 20.0, "stashS": 0.0, "buryS": 0.0, "harvestS": null})
}

async fn send(node: &Rc<Node>, body: &Value) -> (u16, Value) {
    decode(submit(node.clone(), body.to_string().into_bytes()).await)
}

fn decode(answer: Answer) -> (u16, Value) {
    (answer.status, serde_json::from_slice(&answer.body).expect("json"))
}

/// Regression: a node that had accepted the job answered a late repeat from its cache after another
/// node had already reported the job as done.
#[tokio::test(start_paused = true)]
async fn repeated_submission_reports_an_end_that_another_node_has_read() {
    let store = FakeStore::default();
    let (a, b) = (store.node(), store.node());
    let scenario = async {
        assert_eq!(send(&a, &submission()).await.0, 201);
        store.put(&keys::end(JOB), json!("done"));
        assert_eq!(decode(poll(b.clone(), JOB).await).1["stage"], "done");
        let (status, answer) = send(&a, &submission()).await;
        assert_eq!((status, &answer["stage"]), (200, &json!("done")));
    };
    LocalSet::new().run_until(scenario).await;
}

#[tokio::test(start_paused = true)]
async fn submission_with_a_lost_store_response_is_accepted_once() {
    let store = FakeStore::default();
    let node = store.node();
    let scenario = async {
        store.fault(Fault::AppliedButLost);
        assert_eq!(
            send(&node, &submission()).await.0,
            200,
            "already accepted by its own first copy"
        );
        store.fault(Fault::NotApplied);
        let mut other = submission();
        other["ref"] = json!("req-000413");
        assert_eq!(send(&node, &other).await.0, 201);
        assert!(store.holds(&keys::todo("req-000413")));
    };
    LocalSet::new().run_until(scenario).await;
}

#[tokio::test(start_paused = true)]
async fn requests_get_503_with_retry_after_at_once_while_the_store_is_down() {
    let store = FakeStore::default();
    let node = store.node();
    let scenario = async {
        store.put(&keys::job("req-1"), json!(1));
        store.put(&keys::end("req-1"), json!("aborted"));
        assert_eq!(decode(poll(node.clone(), "req-1").await).1["stage"], "aborted");
        store.fault(Fault::Down);
        let before = Instant::now();
        let body = submission().to_string().into_bytes();
        for answer in [
            submit(node.clone(), body).await,
            poll(node.clone(), JOB).await,
            cancel(node.clone(), JOB).await,
        ] {
            assert_eq!((answer.status, answer.retry_after), (503, Some(1)));
        }
        assert!(before.elapsed() < Duration::from_millis(500), "503 was delayed");
        // A recorded end is final, so it is reported even during an outage.
        assert_eq!(decode(poll(node.clone(), "req-1").await).1["stage"], "aborted");
    };
    LocalSet::new().run_until(scenario).await;
}

/// Regression: at 20 writes a second, each submission of a burst waited 2.5 s before it was refused.
#[tokio::test(start_paused = true)]
async fn submissions_beyond_the_write_rate_get_503_with_retry_after_at_once() {
    let store = FakeStore::default();
    let node = store.node();
    let scenario = async {
        let requests: Vec<_> = (0..60)
            .map(|i| {
                let mut body = submission();
                body["ref"] = json!(format!("req-{i}"));
                let answer = submit(node.clone(), body.to_string().into_bytes());
                tokio::task::spawn_local(async move {
                    let answer = answer.await;
                    (answer.status, answer.retry_after, Instant::now())
                })
            })
            .collect();
        let began = Instant::now();
        let (mut refused, mut accepted) = (0, 0);
        for response in requests {
            let (status, after, at) = response.await.expect("an answer");
            if status == 503 {
                refused += 1;
                assert_eq!(at, began, "503 was delayed");
                assert!(after.is_some_and(|s| s >= 2), "{after:?}");
            } else {
                accepted += 1;
            }
        }
        assert!(refused > 30 && accepted > 5, "{refused} refused, {accepted} accepted");
    };
    LocalSet::new().run_until(scenario).await;
}

/// A burst fills only the lane of its own priority: a later submission with another priority is written
/// in the next batch and is not refused because of the burst's queue.
#[tokio::test(start_paused = true)]
async fn burst_in_one_priority_lane_does_not_delay_another_lane() {
    let store = FakeStore::default();
    let node = store.node();
    let scenario = async {
        let send = |i: usize, priority: &str| {
            let mut body = submission();
            body["ref"] = json!(format!("req-{i}"));
            body["rank"] = json!(priority);
            let answer = submit(node.clone(), body.to_string().into_bytes());
            tokio::task::spawn_local(async move { (answer.await.status, Instant::now()) })
        };
        let began = Instant::now();
        let burst: Vec<_> = (0..60).map(|i| send(i, "normal")).collect();
        tokio::task::yield_now().await;
        let (status, at) = send(60, "high").await.expect("an answer");
        assert_eq!(status, 201);
        assert!(at - began < Duration::from_millis(1_500), "{:?}", at - began);
        let mut refused = 0;
        for response in burst {
            refused += usize::from(response.await.expect("an answer").0 == 503);
        }
        assert!(refused > 30, "only {refused} submissions of the burst were refused");
    };
    LocalSet::new().run_until(scenario).await;
}

/// Submits the two chained jobs of the README's example exactly as they are printed there.
#[tokio::test(start_paused = true)]
async fn readme_job_chain_is_accepted_and_cancelling_its_first_job_cancels_the_second() {
    let store = FakeStore::default();
    let node = store.node();
    let scenario = async {
        let text = include_str!("../../../../README.md");
        let bodies: Vec<&str> =
            text.split("job '").skip(1).filter_map(|s| s.split('\'').next()).collect();
        assert_eq!(bodies.len(), 2);
        for body in bodies {
            let answer = submit(node.clone(), body.as_bytes().to_vec()).await;
            assert_eq!(answer.status, 201, "{}", String::from_utf8_lossy(&answer.body));
        }
        assert_eq!(decode(poll(node.clone(), "req-000002").await).1["stage"], "queued");
        assert_eq!(cancel(node.clone(), "req-000001").await.status, 200);
        assert_eq!(decode(poll(node.clone(), "req-000002").await).1["stage"], "aborted");
    };
    LocalSet::new().run_until(scenario).await;
}

fn with_dependencies(name: &str, dependencies: &[&str]) -> Value {
    let mut body = submission();
    body["ref"] = json!(name);
    body["waits"] = json!(dependencies);
    body
}

/// Regression: a cancelled dependency listed before an unknown one hid the unknown one.
#[tokio::test(start_paused = true)]
async fn submission_with_an_unknown_dependency_is_refused_with_422() {
    let store = FakeStore::default();
    let (a, b) = (store.node(), store.node());
    let scenario = async {
        assert_eq!(send(&a, &submission()).await.0, 201);
        store.put(&keys::job("req-7"), json!(1));
        store.put(&keys::end("req-7"), json!("aborted"));
        for dependencies in [vec!["req-9"], vec![JOB, "req-9"], vec!["req-7", "req-9"]] {
            let (status, answer) = send(&b, &with_dependencies("req-1", &dependencies)).await;
            assert_eq!(status, 422, "{dependencies:?}");
            assert!(answer.to_string().contains("req-9"), "{answer}");
        }
        let (status, answer) = send(&b, &with_dependencies("req-1", &["req-1"])).await;
        assert_eq!(status, 422);
        assert!(answer.to_string().contains("req-1 can't wait for itself"), "{answer}");
        assert!(!store.holds(&keys::job("req-1")));
        // The dependency was accepted by another node and is listed twice.
        assert_eq!(send(&b, &with_dependencies("req-1", &[JOB, JOB])).await.0, 201);
        let stored = store.value(&keys::description("req-1", true)).expect("a stored description");
        assert_eq!(stored["spec"]["needs"], json!([JOB]));
        // A repeated submission is answered without looking at its dependencies.
        assert_eq!(send(&a, &with_dependencies("req-1", &["req-9"])).await.0, 200);
        assert_eq!(decode(poll(a.clone(), "req-1").await).1["stage"], "queued");
        store.fault(Fault::Down);
        let answer = send(&store.node(), &with_dependencies("req-2", &[JOB])).await;
        assert_eq!(answer.0, 503);
    };
    LocalSet::new().run_until(scenario).await;
}

#[tokio::test(start_paused = true)]
async fn finished_dependencies_are_dropped_and_a_cancelled_one_cancels_the_submission() {
    let store = FakeStore::default();
    let node = store.node();
    let scenario = async {
        for (name, end) in [("req-7", "aborted"), ("req-8", "done")] {
            store.put(&keys::job(name), json!(1));
            store.put(&keys::end(name), json!(end));
        }
        // All dependencies are done, so it is stored like a job without any, which versions that predate
        // dependencies can read too.
        assert_eq!(send(&node, &with_dependencies("req-1", &["req-8"])).await.0, 201);
        assert!(store.holds(&keys::todo("req-1")));
        let (status, answer) = send(&node, &with_dependencies("req-2", &["req-8", "req-7"])).await;
        assert_eq!((status, &answer["stage"]), (201, &json!("aborted")));
        let keys_now = store.keys();
        assert!(!keys_now.contains(&keys::description("req-2", true)), "{keys_now:?}");
        // Another node reports the same, for a poll and for a repeated submission.
        let other = store.node();
        assert_eq!(decode(poll(other.clone(), "req-2").await).1["stage"], "aborted");
        assert_eq!(send(&other, &with_dependencies("req-2", &["req-7"])).await.0, 200);
    };
    LocalSet::new().run_until(scenario).await;
}

/// Once a job is cancelled, no poll may report a direct or transitive dependent as queued, even if the
/// leader has not cancelled it yet or there is no leader.
#[tokio::test(start_paused = true)]
async fn polling_cancels_a_job_whose_transitive_dependency_was_cancelled() {
    let store = FakeStore::default();
    let (a, b) = (store.node(), store.node());
    let scenario = async {
        assert_eq!(send(&a, &submission()).await.0, 201);
        let mut before = JOB.to_owned();
        for i in 1..40 {
            let name = format!("req-{i}");
            assert_eq!(send(&a, &with_dependencies(&name, &[&before])).await.0, 201);
            before = name;
        }
        assert_eq!(decode(poll(b.clone(), "req-39").await).1["stage"], "queued");
        assert_eq!(decode(cancel(a.clone(), JOB).await).1["stage"], "aborted");
        for node in [&b, &a, &store.node()] {
            assert_eq!(decode(poll(node.clone(), "req-39").await).1["stage"], "aborted");
        }
        // A job submitted now with a dependency in that chain is cancelled as well.
        let (status, answer) = send(&store.node(), &with_dependencies("req-99", &["req-20"])).await;
        assert_eq!((status, &answer["stage"]), (201, &json!("aborted")));
    };
    LocalSet::new().run_until(scenario).await;
}

#[tokio::test(start_paused = true)]
async fn first_written_end_wins_and_every_node_reports_it() {
    let store = FakeStore::default();
    let (a, b) = (store.node(), store.node());
    let scenario = async {
        send(&a, &submission()).await;
        assert_eq!(decode(cancel(a.clone(), JOB).await).1["stage"], "aborted");
        assert_eq!(decode(cancel(b.clone(), JOB).await).1["stage"], "aborted");
        assert_eq!(decode(poll(b.clone(), JOB).await).1["stage"], "aborted");
        let mut other = submission();
        other["ref"] = json!("req-000413");
        send(&a, &other).await;
        store.put(&keys::end("req-000413"), json!("done"));
        let (status, answer) = decode(cancel(b.clone(), "req-000413").await);
        assert_eq!(
            (status, &answer["stage"]),
            (200, &json!("done")),
            "the job finished before the cancellation"
        );
        // The cancellation itself was stored, but its response lost.
        other["ref"] = json!("req-000414");
        send(&a, &other).await;
        assert_eq!(decode(poll(a.clone(), "req-000414").await).1["stage"], "queued");
        store.put(&keys::end("req-000414"), json!("aborted"));
        assert_eq!(decode(cancel(a.clone(), "req-000414").await).1["stage"], "aborted");
    };
    LocalSet::new().run_until(scenario).await;
}

#[tokio::test(start_paused = true)]
async fn unknown_jobs_return_404_and_invalid_names_are_not_looked_up() {
    let store = FakeStore::default();
    let node = store.node();
    let scenario = async {
        assert_eq!(poll(node.clone(), "req-999999").await.status, 404);
        assert_eq!(cancel(node.clone(), "req-999999").await.status, 404);
        let before = store.request_count.get();
        for name in ["job-1", "req-", "req-1x", "leader", "..", "req-1%2f"] {
            assert_eq!(poll(node.clone(), name).await.status, 404, "{name}");
        }
        assert_eq!(store.request_count.get(), before);
    };
    LocalSet::new().run_until(scenario).await;
}

#[tokio::test(start_paused = true)]
async fn unrunnable_submission_is_refused_unless_it_was_accepted_before() {
    let store = FakeStore::default();
    let node = store.node();
    let scenario = async {
        for (field, value) in
            [("crew", json!("nobody")), ("vcpus", json!(9.0)), ("grove", json!("mars"))]
        {
            let mut body = submission();
            body[field] = value;
            assert_eq!(send(&node, &body).await.0, 422, "{field}");
        }
        let mut too_large = submission();
        too_large["crew"] = json!("one");
        too_large["vcpus"] = json!(65.0);
        assert_eq!(send(&node, &too_large).await.0, 422);
        assert_eq!(send(&node, &submission()).await.0, 201);
        // No machine type fits any more, but the job stays accepted.
        node.machine_types.borrow_mut()[0].cpus = 1.0;
        let restarted = store.node();
        restarted.machine_types.borrow_mut()[0].cpus = 1.0;
        assert_eq!(send(&restarted, &submission()).await.0, 200);
        restarted.machine_types.borrow_mut().clear();
        let mut other = submission();
        other["ref"] = json!("req-000413");
        assert_eq!(
            send(&restarted, &other).await.0,
            503,
            "a node without machine types must answer 503"
        );
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against `forgotten`: a node whose known limits had fallen refused the repeated submission of
/// a job that another node had accepted under higher ones.
#[tokio::test(start_paused = true)]
async fn submission_too_large_to_store_is_refused_unless_it_was_accepted_before() {
    let store = FakeStore::default();
    let mut settings = sample();
    let node = store.node_with(&settings);
    settings["facts"]["state"]["value_kb"] = json!(1.0);
    let with_lower_limits = store.node_with(&settings);
    let scenario = async {
        let mut body = submission();
        let other_types = (0..60).map(|n| format!("a-machine-type-{n:06}"));
        body["breeds"] = std::iter::once("t8".to_owned()).chain(other_types).collect();
        assert_eq!(send(&with_lower_limits, &body).await.0, 400);
        assert_eq!(send(&node, &body).await.0, 201);
        assert_eq!(send(&with_lower_limits, &body).await.0, 200, "the job is accepted");
        store.put(&keys::end(JOB), json!("done"));
        let restarted = store.node_with(&settings);
        let (status, answer) = send(&restarted, &body).await;
        assert_eq!((status, &answer["stage"]), (200, &json!("done")));
        store.fault(Fault::Down);
        let restarted = store.node_with(&settings);
        assert_eq!(send(&restarted, &body).await.0, 503, "whether it is accepted is not known");
    };
    LocalSet::new().run_until(scenario).await;
}

/// Users' scripts may match these texts, so they stay fixed and the store's own errors are not exposed.
#[test]
fn store_errors_map_to_fixed_user_facing_texts() {
    let request = StoreRequest::Get { key: keys::job(JOB) };
    let rejected = KeyValueError::Rejected {
        request: request.clone(),
        source: Rejection::NotSent(NotSent::ConnectTimeout),
    };
    assert_eq!(rejected.to_string(), "get job/req-000412: not executed: connecting took too long");
    let lost = UnknownOutcome::Status(500);
    let indeterminate = KeyValueError::Indeterminate { request: request.clone(), source: lost };
    let expired = KeyValueError::Expired { request: request.clone() };
    let invalid = KeyValueError::InvalidResponse { request, source: InvalidResponse::Status(302) };
    for (error, text) in [
        (rejected, "the state service refuses"),
        (indeterminate, "the state service does not answer"),
        (expired, "the state service no longer has what was requested"),
        (invalid, "the state service returned an invalid response"),
    ] {
        let answer = Answer::from(SubmissionError::from(error));
        assert_eq!((answer.status, answer.retry_after), (503, Some(1)));
        assert_eq!(decode(answer).1["error"], text);
    }
}
