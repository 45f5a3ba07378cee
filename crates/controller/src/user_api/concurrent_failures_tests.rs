//! Answers to users while transactions are lost or late and frames between nodes are: many seeds, the
//! nodes' own code, and the store that the other tests use.

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

/// What a user was told of one job, and when the answer came.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Told {
    Unknown,
    Accepted,
    Ended(JobEnd),
}

/// What all users were told, in the order of the answers' arrival.
#[derive(Default)]
struct IntentLog {
    told: BTreeMap<String, Vec<(Instant, Told)>>,
    /// Answers that were held against an older one; of them, those after an end.
    compared: (u32, u32),
}

impl IntentLog {
    /// An answer to a question that was asked at `asked` is no older than any that had come by then.
    fn note(&mut self, what: &str, job: &str, asked: Instant, told: Told) {
        let before = self.told.entry(job.to_owned()).or_default();
        for &(at, earlier) in before.iter().filter(|b| b.0 <= asked) {
            self.compared.0 += 1;
            match earlier {
                Told::Unknown => {}
                Told::Accepted => {
                    assert_ne!(told, Told::Unknown, "{what}: {job} accepted, then not known");
                }
                Told::Ended(_) => {
                    self.compared.1 += 1;
                    let ago = asked.duration_since(at);
                    assert_eq!(told, earlier, "{what}: {job} told {ago:?} before the question");
                }
            }
        }
        before.push((Instant::now(), told));
    }
}

fn submission(job: &str) -> Value {
    json!({"ref": job, "shell": "c", "crew": "one", "husk": "batch", "rank": "high", "nuts": 1,
        "vcpus": 2.0, "gpus": 0.0, "memoryGb": 4.0, "seed": "i", "imageGb": 1.0,
        "breeds": null, "grove": null, "together": false, "spread": false, "windfall": true,
        "ripenS": 20.0, "stashS": 0.0, "buryS": 0.0, "harvestS": null})
}

#[derive(Clone, Copy, PartialEq)]
enum Ask {
    Submit,
    Poll,
    Cancel,
}

async fn ask(
    intent_log: Rc<RefCell<IntentLog>>,
    what: String,
    node: Rc<Node>,
    job: String,
    ask: Ask,
) {
    let asked = Instant::now();
    let answer = match ask {
        Ask::Submit => submit(node, submission(&job).to_string().into_bytes()).await,
        Ask::Poll => poll(node, &job).await,
        Ask::Cancel => cancel(node, &job).await,
    };
    let body: Value = serde_json::from_slice(&answer.body).expect("json");
    let told = match (answer.status, body["stage"].as_str()) {
        (200 | 201, Some("done")) => Told::Ended(JobEnd::Done),
        (200 | 201, Some("aborted")) => Told::Ended(JobEnd::Cancelled),
        (200 | 201, Some(_)) => Told::Accepted,
        (404, _) => Told::Unknown,
        (503, _) => {
            assert!(answer.retry_after.is_some(), "{what}: no time to come again");
            return;
        }
        other => panic!("{what}: {other:?}"),
    };
    intent_log.borrow_mut().note(&what, &job, asked, told);
}

struct Meeting {
    name: &'static str,
    /// Shares of transactions that are carried out unheard at once, and much later.
    lost: f64,
    late: f64,
    /// Share of the frames between nodes that is lost.
    frames_lost: f64,
    /// For how long the key-value store is down for all, in the middle.
    outage: Duration,
}

const MEETINGS: [Meeting; 5] = [
    Meeting { name: "close looks", lost: 0.0, late: 0.0, frames_lost: 0.0, outage: Duration::ZERO },
    Meeting {
        name: "answers lost, others read what was written",
        lost: 0.25,
        late: 0.0,
        frames_lost: 0.5,
        outage: Duration::ZERO,
    },
    Meeting {
        name: "carried out late, after newer ones",
        lost: 0.0,
        late: 0.25,
        frames_lost: 0.5,
        outage: Duration::ZERO,
    },
    Meeting {
        name: "both, with no frames at all",
        lost: 0.15,
        late: 0.15,
        frames_lost: 1.0,
        outage: Duration::ZERO,
    },
    Meeting {
        name: "answers lost, then an outage",
        lost: 0.2,
        late: 0.1,
        frames_lost: 0.3,
        outage: Duration::from_millis(1_800),
    },
];

/// Users ask at all nodes, again and again within milliseconds, repeat the submission and cancel, right
/// after each event; and jobs end by themselves at the same moment.
async fn play(m: &Meeting, seed: u64) {
    let what = format!("{} (seed {seed})", m.name);
    let store = FakeStore::default();
    store.disorder(seed, m.lost, m.late);
    let mut cluster = store.cluster(3);
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    let intent_log = Rc::new(RefCell::new(IntentLog::default()));
    let asked = Rc::new(Cell::new(0u32));
    let began = Instant::now();
    let mut tasks = Vec::new();
    for step in 0..600u64 {
        let job = format!("req-{:06}", rng.random_range(0..12));
        let node = |rng: &mut StdRng| cluster.nodes[rng.random_range(0..3)].clone();
        let kinds = match rng.random_range(0..10) {
            0..=2 => vec![Ask::Submit, Ask::Poll, Ask::Poll, Ask::Submit],
            3 => vec![Ask::Cancel, Ask::Poll, Ask::Submit, Ask::Poll],
            _ => vec![Ask::Poll, Ask::Poll],
        };
        for kind in kinds {
            let after = Duration::from_millis(rng.random_range(0..12));
            let (intent_log, what, node, job) =
                (intent_log.clone(), what.clone(), node(&mut rng), job.clone());
            let asked = asked.clone();
            tasks.push(tokio::task::spawn_local(async move {
                sleep(after).await;
                asked.set(asked.get() + 1);
                ask(intent_log, what, node, job, kind).await;
            }));
        }
        // A leader finds it done: its end goes in as a leader's does, if nobody's came first.
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
        if !m.outage.is_zero() && step == 150 {
            store.fault(Fault::Down);
        }
        if began.elapsed() > Duration::from_millis(150 * 15) + m.outage {
            store.mend();
        }
        if step.is_multiple_of(70) {
            for node in cluster.nodes.clone() {
                tokio::task::spawn_local(async move { node.key_value.probe().await });
            }
        }
        let lost = m.frames_lost;
        let chances: Vec<bool> = (0..9).map(|_| !rng.random_bool(lost)).collect();
        cluster.deliver(|from, to| chances[from * 3 + to]).await;
        sleep(Duration::from_millis(rng.random_range(5..25))).await;
    }
    store.mend();
    for task in tasks {
        task.await.expect("no answer may break a rule");
    }
    // The troubles over, and everything late carried out: every accepted job is answered for.
    sleep(Duration::from_secs(15)).await;
    let (lost, late) = store.order();
    assert_eq!((lost > 0, late > 0), (m.lost > 0.0, m.late > 0.0), "{what}: no such trouble came");
    let jobs: Vec<String> = intent_log.borrow().told.keys().cloned().collect();
    for node in &cluster.nodes {
        node.key_value.probe().await; // As a node does each second.
    }
    for job in jobs {
        for node in &cluster.nodes {
            ask(intent_log.clone(), what.clone(), node.clone(), job.clone(), Ask::Poll).await;
        }
        let told = intent_log.borrow().told[&job].last().expect("an answer").1;
        let stored = store.holds(&keys::job(&job));
        assert_eq!(told != Told::Unknown, stored, "{what}: {job} at the end");
    }
    let compared = intent_log.borrow().compared;
    assert!(compared.0 > 1_000 && compared.1 > 100, "{what}: hardly anything met: {compared:?}");
}

#[tokio::test(start_paused = true)]
async fn no_node_answers_older_than_what_any_has_told() {
    for m in &MEETINGS {
        for seed in 1..=6 {
            LocalSet::new().run_until(play(m, seed)).await;
        }
    }
}

/// Every odd submission has its specific answer at every node, also at one that has just started and
/// knows no machine types yet, where what can be judged without them is.
#[tokio::test(start_paused = true)]
async fn odd_submissions_are_refused_at_every_node_and_in_its_first_seconds() {
    let store = FakeStore::default();
    let (old, fresh) = (store.node(), store.node());
    fresh.machine_types.borrow_mut().clear();
    let play = async {
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
        assert!(store.names().is_empty(), "nothing of it was accepted");
    };
    LocalSet::new().run_until(play).await;
}
