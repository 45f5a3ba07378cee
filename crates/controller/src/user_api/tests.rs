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
    InvalidResponse, KeyValueError, LostAnswer, Rejection, StoreRequest,
};
use crate::node::Node;

const JOB: &str = "req-000412";

fn submission() -> Value {
    json!({"ref": JOB, "shell": "c", "crew": "one", "husk": "batch", "rank": "high", "nuts": 3,
        "vcpus": 2.0, "gpus": 0.0, "memoryGb": 4.0, "seed": "i", "imageGb": 1.0,
        "breeds": null, "grove": null, "together": false, "spread": false, "windfall": true,
        "ripenS": 20.0, "stashS": 0.0, "buryS": 0.0, "harvestS": null})
}

async fn send(node: &Rc<Node>, body: &Value) -> (u16, Value) {
    told(submit(node.clone(), body.to_string().into_bytes()).await)
}

fn told(answer: Answer) -> (u16, Value) {
    (answer.status, serde_json::from_slice(&answer.body).expect("json"))
}

/// Seen on the first steady days: a node that had accepted the job answered a late repeat from
/// memory after another node had told that the job was done.
#[tokio::test(start_paused = true)]
async fn a_repeat_after_the_end_is_told_the_end() {
    let store = FakeStore::default();
    let (a, b) = (store.node(), store.node());
    let play = async {
        assert_eq!(send(&a, &submission()).await.0, 201);
        store.put(&keys::end(JOB), json!("done"));
        assert_eq!(told(poll(b.clone(), JOB).await).1["stage"], "done");
        let (status, answer) = send(&a, &submission()).await;
        assert_eq!((status, &answer["stage"]), (200, &json!("done")));
    };
    LocalSet::new().run_until(play).await;
}

#[tokio::test(start_paused = true)]
async fn a_submission_whose_answer_is_lost_is_accepted_once() {
    let store = FakeStore::default();
    let node = store.node();
    let play = async {
        store.fault(Fault::AppliedButLost);
        assert_eq!(send(&node, &submission()).await.0, 200, "known: its own first copy");
        store.fault(Fault::NotApplied);
        let mut other = submission();
        other["ref"] = json!("req-000413");
        assert_eq!(send(&node, &other).await.0, 201);
        assert!(store.holds(&keys::todo("req-000413")));
    };
    LocalSet::new().run_until(play).await;
}

#[tokio::test(start_paused = true)]
async fn what_cannot_be_decided_is_refused_at_once_with_a_time_to_come_again() {
    let store = FakeStore::default();
    let node = store.node();
    let play = async {
        store.put(&keys::job("req-1"), json!(1));
        store.put(&keys::end("req-1"), json!("aborted"));
        assert_eq!(told(poll(node.clone(), "req-1").await).1["stage"], "aborted");
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
        assert!(before.elapsed() < Duration::from_millis(500), "held back");
        // What has ended is certain whatever is down.
        assert_eq!(told(poll(node.clone(), "req-1").await).1["stage"], "aborted");
    };
    LocalSet::new().run_until(play).await;
}

/// At 20 changes a second, a rush of submissions once waited 2.5 s each to be refused.
#[tokio::test(start_paused = true)]
async fn a_rush_beyond_the_write_rate_is_told_at_once_when_to_come_again() {
    let store = FakeStore::default();
    let node = store.node();
    let play = async {
        let tries: Vec<_> = (0..60)
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
        for one in tries {
            let (status, after, at) = one.await.expect("an answer");
            if status == 503 {
                refused += 1;
                assert_eq!(at, began, "held back");
                assert!(after.is_some_and(|s| s >= 2), "{after:?}");
            } else {
                accepted += 1;
            }
        }
        assert!(refused > 30 && accepted > 5, "{refused} refused, {accepted} accepted");
    };
    LocalSet::new().run_until(play).await;
}

/// The rush fills its own lane and no other: who comes after it with another priority is written down in
/// the next batch, and isn't refused for what is ahead of the rush's own.
#[tokio::test(start_paused = true)]
async fn a_rush_holds_up_no_other_lane() {
    let store = FakeStore::default();
    let node = store.node();
    let play = async {
        let send = |i: usize, priority: &str| {
            let mut body = submission();
            body["ref"] = json!(format!("req-{i}"));
            body["rank"] = json!(priority);
            let answer = submit(node.clone(), body.to_string().into_bytes());
            tokio::task::spawn_local(async move { (answer.await.status, Instant::now()) })
        };
        let began = Instant::now();
        let rush: Vec<_> = (0..60).map(|i| send(i, "normal")).collect();
        tokio::task::yield_now().await;
        let (status, at) = send(60, "high").await.expect("an answer");
        assert_eq!(status, 201);
        assert!(at - began < Duration::from_millis(1_500), "{:?}", at - began);
        let mut refused = 0;
        for one in rush {
            refused += usize::from(one.await.expect("an answer").0 == 503);
        }
        assert!(refused > 30, "{refused} of the rush were refused");
    };
    LocalSet::new().run_until(play).await;
}

/// The chain that the README shows, sent as it stands there.
#[tokio::test(start_paused = true)]
async fn the_chain_in_the_readme_is_accepted_and_cancelled() {
    let store = FakeStore::default();
    let node = store.node();
    let play = async {
        let text = include_str!("../../../../README.md");
        let bodies: Vec<&str> =
            text.split("job '").skip(1).filter_map(|s| s.split('\'').next()).collect();
        assert_eq!(bodies.len(), 2);
        for body in bodies {
            let answer = submit(node.clone(), body.as_bytes().to_vec()).await;
            assert_eq!(answer.status, 201, "{}", String::from_utf8_lossy(&answer.body));
        }
        assert_eq!(told(poll(node.clone(), "req-000002").await).1["stage"], "queued");
        assert_eq!(cancel(node.clone(), "req-000001").await.status, 200);
        assert_eq!(told(poll(node.clone(), "req-000002").await).1["stage"], "aborted");
    };
    LocalSet::new().run_until(play).await;
}

fn chained(name: &str, dependencies: &[&str]) -> Value {
    let mut body = submission();
    body["ref"] = json!(name);
    body["waits"] = json!(dependencies);
    body
}

/// A cancelled job named before an unknown one once hid the unknown one.
#[tokio::test(start_paused = true)]
async fn only_jobs_that_were_accepted_may_be_waited_for() {
    let store = FakeStore::default();
    let (a, b) = (store.node(), store.node());
    let play = async {
        assert_eq!(send(&a, &submission()).await.0, 201);
        store.put(&keys::job("req-7"), json!(1));
        store.put(&keys::end("req-7"), json!("aborted"));
        for dependencies in [vec!["req-9"], vec![JOB, "req-9"], vec!["req-7", "req-9"]] {
            let (status, answer) = send(&b, &chained("req-1", &dependencies)).await;
            assert_eq!(status, 422, "{dependencies:?}");
            assert!(answer.to_string().contains("req-9"), "{answer}");
        }
        let (status, answer) = send(&b, &chained("req-1", &["req-1"])).await;
        assert_eq!(status, 422);
        assert!(answer.to_string().contains("req-1 can't wait for itself"), "{answer}");
        assert!(!store.holds(&keys::job("req-1")));
        // Accepted by another node, and named twice.
        assert_eq!(send(&b, &chained("req-1", &[JOB, JOB])).await.0, 201);
        let kept = store.value(&keys::description("req-1", true)).expect("kept");
        assert_eq!(kept["spec"]["needs"], json!([JOB]));
        // A repeat is answered before anything that it names is looked at.
        assert_eq!(send(&a, &chained("req-1", &["req-9"])).await.0, 200);
        assert_eq!(told(poll(a.clone(), "req-1").await).1["stage"], "queued");
        store.fault(Fault::Down);
        let answer = send(&store.node(), &chained("req-2", &[JOB])).await;
        assert_eq!(answer.0, 503);
    };
    LocalSet::new().run_until(play).await;
}

#[tokio::test(start_paused = true)]
async fn what_is_done_is_not_waited_for_and_what_is_cancelled_cancels() {
    let store = FakeStore::default();
    let node = store.node();
    let play = async {
        for (name, end) in [("req-7", "aborted"), ("req-8", "done")] {
            store.put(&keys::job(name), json!(1));
            store.put(&keys::end(name), json!(end));
        }
        // Its needs are done: an ordinary job, also for a version that knows no chains.
        assert_eq!(send(&node, &chained("req-1", &["req-8"])).await.0, 201);
        assert!(store.holds(&keys::todo("req-1")));
        let (status, answer) = send(&node, &chained("req-2", &["req-8", "req-7"])).await;
        assert_eq!((status, &answer["stage"]), (201, &json!("aborted")));
        let keys_now = store.names();
        assert!(!keys_now.contains(&keys::description("req-2", true)), "{keys_now:?}");
        // Another node tells the same, and of a repeat too.
        let other = store.node();
        assert_eq!(told(poll(other.clone(), "req-2").await).1["stage"], "aborted");
        assert_eq!(send(&other, &chained("req-2", &["req-7"])).await.0, 200);
    };
    LocalSet::new().run_until(play).await;
}

/// The leader has not come to it yet, or there is none: nobody may be told any more that a job is
/// queued that stands behind a cancelled one, at whatever depth.
#[tokio::test(start_paused = true)]
async fn a_poll_settles_what_stands_behind_a_cancelled_job() {
    let store = FakeStore::default();
    let (a, b) = (store.node(), store.node());
    let play = async {
        assert_eq!(send(&a, &submission()).await.0, 201);
        let mut before = JOB.to_owned();
        for i in 1..40 {
            let name = format!("req-{i}");
            assert_eq!(send(&a, &chained(&name, &[&before])).await.0, 201);
            before = name;
        }
        assert_eq!(told(poll(b.clone(), "req-39").await).1["stage"], "queued");
        assert_eq!(told(cancel(a.clone(), JOB).await).1["stage"], "aborted");
        for node in [&b, &a, &store.node()] {
            assert_eq!(told(poll(node.clone(), "req-39").await).1["stage"], "aborted");
        }
        // And so is what is submitted behind it meanwhile.
        let (status, answer) = send(&store.node(), &chained("req-99", &["req-20"])).await;
        assert_eq!((status, &answer["stage"]), (201, &json!("aborted")));
    };
    LocalSet::new().run_until(play).await;
}

#[tokio::test(start_paused = true)]
async fn an_end_has_one_writer_and_every_node_tells_it() {
    let store = FakeStore::default();
    let (a, b) = (store.node(), store.node());
    let play = async {
        send(&a, &submission()).await;
        assert_eq!(told(cancel(a.clone(), JOB).await).1["stage"], "aborted");
        assert_eq!(told(cancel(b.clone(), JOB).await).1["stage"], "aborted");
        assert_eq!(told(poll(b.clone(), JOB).await).1["stage"], "aborted");
        let mut other = submission();
        other["ref"] = json!("req-000413");
        send(&a, &other).await;
        store.put(&keys::end("req-000413"), json!("done"));
        let (status, answer) = told(cancel(b.clone(), "req-000413").await);
        assert_eq!((status, &answer["stage"]), (200, &json!("done")), "the finish came first");
        // A lost answer on the withdrawal itself.
        other["ref"] = json!("req-000414");
        send(&a, &other).await;
        assert_eq!(told(poll(a.clone(), "req-000414").await).1["stage"], "queued");
        store.put(&keys::end("req-000414"), json!("aborted"));
        assert_eq!(told(cancel(a.clone(), "req-000414").await).1["stage"], "aborted");
    };
    LocalSet::new().run_until(play).await;
}

#[tokio::test(start_paused = true)]
async fn nobodys_jobs_are_not_found_and_odd_names_not_even_looked_for() {
    let store = FakeStore::default();
    let node = store.node();
    let play = async {
        assert_eq!(poll(node.clone(), "req-999999").await.status, 404);
        assert_eq!(cancel(node.clone(), "req-999999").await.status, 404);
        let before = store.request_count.get();
        for odd in ["job-1", "req-", "req-1x", "leader", "..", "req-1%2f"] {
            assert_eq!(poll(node.clone(), odd).await.status, 404, "{odd}");
        }
        assert_eq!(store.request_count.get(), before);
    };
    LocalSet::new().run_until(play).await;
}

#[tokio::test(start_paused = true)]
async fn what_can_never_run_is_refused_unless_it_was_accepted() {
    let store = FakeStore::default();
    let node = store.node();
    let play = async {
        for (field, value) in
            [("crew", json!("nobody")), ("vcpus", json!(9.0)), ("grove", json!("mars"))]
        {
            let mut body = submission();
            body[field] = value;
            assert_eq!(send(&node, &body).await.0, 422, "{field}");
        }
        let mut over = submission();
        over["crew"] = json!("one");
        over["vcpus"] = json!(65.0);
        assert_eq!(send(&node, &over).await.0, 422);
        assert_eq!(send(&node, &submission()).await.0, 201);
        // The cloud offers no fitting type any more: the job stays accepted.
        node.machine_types.borrow_mut()[0].cpus = 1.0;
        let again = store.node();
        again.machine_types.borrow_mut()[0].cpus = 1.0;
        assert_eq!(send(&again, &submission()).await.0, 200);
        again.machine_types.borrow_mut().clear();
        let mut other = submission();
        other["ref"] = json!("req-000413");
        assert_eq!(send(&again, &other).await.0, 503, "no types known");
    };
    LocalSet::new().run_until(play).await;
}

/// Users may compare these texts, so the store's own errors never reach them.
#[test]
fn the_stores_faults_are_told_to_users_as_before() {
    let request = StoreRequest::Get { key: keys::job(JOB) };
    let rejected = KeyValueError::Rejected {
        request: request.clone(),
        source: Rejection::NotSent(NotSent::ConnectTimeout),
    };
    assert_eq!(rejected.to_string(), "get job/req-000412: not executed: connecting took too long");
    let lost = LostAnswer::Status(500);
    let indeterminate = KeyValueError::Indeterminate { request: request.clone(), source: lost };
    let expired = KeyValueError::Expired { request: request.clone() };
    let invalid = KeyValueError::InvalidResponse { request, source: InvalidResponse::Status(302) };
    for (error, text) in [
        (rejected, "the state service refuses"),
        (indeterminate, "the state service does not answer"),
        (expired, "gone"),
        (invalid, "a bad answer"),
    ] {
        let answer = Answer::from(SubmissionError::from(error));
        assert_eq!((answer.status, answer.retry_after), (503, Some(1)));
        assert_eq!(told(answer).1["error"], text);
    }
}
