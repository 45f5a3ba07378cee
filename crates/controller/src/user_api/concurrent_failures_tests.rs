//! Randomized tests of the user API while store responses are lost, transactions are delayed and frames
//! between nodes are lost. They run the nodes' real code on the fake store, with many seeds.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{json, Value};
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};
use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::protocol::key_value::{Compare, Operation, Transaction};
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;

use super::fake_cluster::{FakeStore, Fault};
use super::*;
use crate::key_value_client::RequestClass;
use crate::node::Node;

/// Status of a job as reported in a response.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Reported {
    Unknown,
    Accepted,
    Ended(JobEnd),
}

/// All responses per job, in order of arrival, used to detect contradictions.
#[derive(Default)]
struct AnswerHistory {
    reported: BTreeMap<String, Vec<(Instant, Reported)>>,
    /// Number of comparisons with an earlier response, and of those in which it reported an end.
    compared: (u32, u32),
}

impl AnswerHistory {
    /// Records a response, and asserts that it contradicts none that had arrived before its request was
    /// sent, at `sent_at`.
    fn record(&mut self, label: &str, job: &str, sent_at: Instant, reported: Reported) {
        let earlier_responses = self.reported.entry(job.to_owned()).or_default();
        for &(at, earlier) in earlier_responses.iter().filter(|b| b.0 <= sent_at) {
            self.compared.0 += 1;
            match earlier {
                Reported::Unknown => {}
                Reported::Accepted => {
                    assert_ne!(
                        reported,
                        Reported::Unknown,
                        "{label}: {job} was reported accepted, then unknown"
                    );
                }
                Reported::Ended(_) => {
                    self.compared.1 += 1;
                    let ago = sent_at.duration_since(at);
                    assert_eq!(
                        reported, earlier,
                        "{label}: the end of {job}, reported {ago:?} before the request, changed"
                    );
                }
            }
        }
        earlier_responses.push((Instant::now(), reported));
    }
}

fn submission(job: &str) -> Value {
    json!({"ref": job, "shell": "c", "crew": "one", "husk": "batch", "rank": "high", "nuts": 1,
        "vcpus": 2.0, "gpus": 0.0, "memoryGb": 4.0, "seed": "i", "imageGb": 1.0,
        "breeds": null, "grove": null, "together": false, "spread": false, "windfall": true,
        "ripenS": 20.0, "stashS": 0.0, "buryS": 0.0, "harvestS": null})
}

#[derive(Clone, Copy, PartialEq)]
enum Action {
    Submit,
    Poll,
    Cancel,
}

async fn send_request(
    history: Rc<RefCell<AnswerHistory>>,
    label: String,
    node: Rc<Node>,
    job: String,
    action: Action,
) {
    let sent_at = Instant::now();
    let answer = match action {
        Action::Submit => submit(node, submission(&job).to_string().into_bytes()).await,
        Action::Poll => poll(node, &job).await,
        Action::Cancel => cancel(node, &job).await,
    };
    let body: Value = serde_json::from_slice(&answer.body).expect("json");
    let reported = match (answer.status, body["stage"].as_str()) {
        (200 | 201, Some("done")) => Reported::Ended(JobEnd::Done),
        (200 | 201, Some("aborted")) => Reported::Ended(JobEnd::Cancelled),
        (200 | 201, Some(_)) => Reported::Accepted,
        (404, _) => Reported::Unknown,
        (503, _) => {
            assert!(answer.retry_after.is_some(), "{label}: 503 without Retry-After");
            return;
        }
        other => panic!("{label}: {other:?}"),
    };
    history.borrow_mut().record(&label, &job, sent_at, reported);
}

struct Scenario {
    name: &'static str,
    /// Share of transactions that are applied promptly, but whose response is lost.
    lost_share: f64,
    /// Share of transactions that are applied seconds later, also without a response.
    delayed_share: f64,
    /// Share of frames between nodes that are lost.
    lost_frame_share: f64,
    /// Length of a store outage for all nodes in the middle of the run.
    outage: Duration,
}

const SCENARIOS: [Scenario; 5] = [
    Scenario {
        name: "no faults",
        lost_share: 0.0,
        delayed_share: 0.0,
        lost_frame_share: 0.0,
        outage: Duration::ZERO,
    },
    Scenario {
        name: "store responses and half of the frames lost",
        lost_share: 0.25,
        delayed_share: 0.0,
        lost_frame_share: 0.5,
        outage: Duration::ZERO,
    },
    Scenario {
        name: "transactions applied late, after newer ones",
        lost_share: 0.0,
        delayed_share: 0.25,
        lost_frame_share: 0.5,
        outage: Duration::ZERO,
    },
    Scenario {
        name: "responses lost, transactions late, no frames delivered",
        lost_share: 0.15,
        delayed_share: 0.15,
        lost_frame_share: 1.0,
        outage: Duration::ZERO,
    },
    Scenario {
        name: "responses lost, then a store outage",
        lost_share: 0.2,
        delayed_share: 0.1,
        lost_frame_share: 0.3,
        outage: Duration::from_millis(1_800),
    },
];

/// Sends bursts of submissions, polls and cancellations for the same jobs to random nodes within
/// milliseconds, while jobs also finish, and checks that no response contradicts an earlier one.
async fn run_scenario(scenario: &Scenario, seed: u64) {
    let label = format!("{} (seed {seed})", scenario.name);
    let store = FakeStore::default();
    store.enable_network_faults(seed, scenario.lost_share, scenario.delayed_share);
    let mut cluster = store.cluster(3);
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    let history = Rc::new(RefCell::new(AnswerHistory::default()));
    let request_count = Rc::new(Cell::new(0u32));
    let began = Instant::now();
    let mut tasks = Vec::new();
    for step in 0..600u64 {
        let job = format!("req-{:06}", rng.random_range(0..12));
        let node = |rng: &mut StdRng| cluster.nodes[rng.random_range(0..3)].clone();
        let actions = match rng.random_range(0..10) {
            0..=2 => vec![Action::Submit, Action::Poll, Action::Poll, Action::Submit],
            3 => vec![Action::Cancel, Action::Poll, Action::Submit, Action::Poll],
            _ => vec![Action::Poll, Action::Poll],
        };
        for action in actions {
            let after = Duration::from_millis(rng.random_range(0..12));
            let (history, label, node, job) =
                (history.clone(), label.clone(), node(&mut rng), job.clone());
            let request_count = request_count.clone();
            tasks.push(tokio::task::spawn_local(async move {
                sleep(after).await;
                request_count.set(request_count.get() + 1);
                send_request(history, label, node, job, action).await;
            }));
        }
        // Finish the job as a leader would: store its end unless one is stored already.
        if rng.random_bool(0.06) {
            let node = node(&mut rng);
            let key = keys::end(&job);
            let transaction = Transaction {
                compares: vec![Compare { key: key.clone(), revision: Revision::NONE }],
                operations: vec![Operation::put(key, json!("done"))],
            };
            let accepted = store.holds(&keys::job(&job));
            if accepted {
                tasks.push(tokio::task::spawn_local(async move {
                    if let TransactionOutcome::Committed { .. } =
                        node.key_value.commit(RequestClass::Dispatch, &transaction).await
                    {
                        node.record_job_end(&job, JobEnd::Done);
                    }
                }));
            }
        }
        if !scenario.outage.is_zero() && step == 150 {
            store.fault(Fault::Down);
        }
        if began.elapsed() > Duration::from_millis(150 * 15) + scenario.outage {
            store.recover();
        }
        if step.is_multiple_of(70) {
            for node in cluster.nodes.clone() {
                tokio::task::spawn_local(async move { node.key_value.probe().await });
            }
        }
        let lost = scenario.lost_frame_share;
        let delivered: Vec<bool> = (0..9).map(|_| !rng.random_bool(lost)).collect();
        cluster.deliver(|from, to| delivered[from * 3 + to]).await;
        sleep(Duration::from_millis(rng.random_range(5..25))).await;
    }
    store.recover();
    for task in tasks {
        task.await.expect("a response contradicted an earlier one");
    }
    // All faults have ended and delayed transactions are applied by now: every node must report exactly
    // the stored jobs as accepted.
    sleep(Duration::from_secs(15)).await;
    let (lost, late) = store.disable_network_faults();
    assert_eq!(
        (lost > 0, late > 0),
        (scenario.lost_share > 0.0, scenario.delayed_share > 0.0),
        "{label}: configured faults did not occur"
    );
    let jobs: Vec<String> = history.borrow().reported.keys().cloned().collect();
    for node in &cluster.nodes {
        node.key_value.probe().await; // Nodes do this every second.
    }
    for job in jobs {
        for node in &cluster.nodes {
            send_request(history.clone(), label.clone(), node.clone(), job.clone(), Action::Poll)
                .await;
        }
        let reported = history.borrow().reported[&job].last().expect("an answer").1;
        let stored = store.holds(&keys::job(&job));
        assert_eq!(
            reported != Reported::Unknown,
            stored,
            "{label}: final status of {job} differs from the store"
        );
    }
    let compared = history.borrow().compared;
    assert!(compared.0 > 1_000 && compared.1 > 100, "{label}: too few comparisons: {compared:?}");
}

#[tokio::test(start_paused = true)]
async fn no_node_contradicts_an_earlier_response_while_writes_are_lost_or_delayed() {
    for scenario in &SCENARIOS {
        for seed in 1..=6 {
            LocalSet::new().run_until(run_scenario(scenario, seed)).await;
        }
    }
}

/// A submission without a required field gets 400 from every node. One that can never run gets 422, or
/// 503 from a node that has just started and has no machine types yet.
#[tokio::test(start_paused = true)]
async fn invalid_submissions_are_refused_also_by_a_node_without_machine_types() {
    let store = FakeStore::default();
    let (old, fresh) = (store.node(), store.node());
    fresh.machine_types.borrow_mut().clear();
    let scenario = async {
        let fields: Vec<String> =
            submission("req-1").as_object().expect("object").keys().cloned().collect();
        let optional = ["breeds", "grove", "harvestS", "waits"];
        for field in fields.iter().filter(|f| !optional.contains(&f.as_str())) {
            let mut body = submission("req-1");
            body.as_object_mut().expect("object").remove(field);
            for node in [&old, &fresh] {
                let answer = submit(node.clone(), body.to_string().into_bytes()).await;
                assert_eq!(answer.status, 400, "without {field}");
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                assert!(text.contains(field.as_str()), "{text}");
            }
        }
        for (field, value) in [
            ("crew", json!("nobody")),
            ("vcpus", json!(99.0)),
            ("breeds", json!(["none"])),
            ("grove", json!("mars")),
        ] {
            let mut body = submission("req-1");
            body[field] = value;
            let body = body.to_string().into_bytes();
            assert_eq!(submit(old.clone(), body.clone()).await.status, 422, "{field}");
            let answer = submit(fresh.clone(), body).await;
            assert_eq!((answer.status, answer.retry_after.is_some()), (503, true), "{field}");
        }
        assert!(store.keys().is_empty(), "a refused submission was stored");
    };
    LocalSet::new().run_until(scenario).await;
}
