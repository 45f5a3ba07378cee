//! Answers to users and workers as the bytes on their connections, commands to workers, and what this
//! node sends to the key-value store for each. Kept in `golden/`.

use serde_json::{json, Value};
use tokio::task::LocalSet;
use walnutlug_scheduler::command::MessageOutcome;
use walnutlug_scheduler::leadership::fencing_token::FencingToken;
use walnutlug_scheduler::model::ids::{AgentEpoch, Attempt};
use walnutlug_scheduler::protocol::cloud::MachineType;
use walnutlug_scheduler::protocol::workers::WorkerCommand;
use walnutlug_scheduler::storage::keys;

use super::routes::handle;
use super::tests::{idle_report, leader_with_a_task, report_of, JOB};
use super::*;
use crate::golden_file::Golden;
use crate::http::client::{HttpError, Response};
use crate::http::server::exchange::{exchange, exchange_unfinished};
use crate::user_api;
use crate::user_api::fake_cluster::{FakeStore, Fault};
use crate::worker_api::{self, WorkerConnection};
use tokio::time::Duration;

const USERS: &str = "src/node/golden/users.txt";
const WORKERS: &str = "src/node/golden/workers.txt";
const COMMANDS: &str = "src/node/golden/commands.txt";
const STATE: &str = "src/node/golden/state.txt";

const DUTIES: &str = "src/node/golden/duties.txt";
/// Long enough for an election, the reading of the records and renewals of the lease.
const ELECTION: Duration = Duration::from_secs(4);
/// Long enough to take the duty of the machine types and to share them.
const ROLE: Duration = Duration::from_secs(150);

type JobEndLookup = Vec<(&'static str, String)>;

fn submission() -> Value {
    json!({"ref": "req-000501", "shell": "c", "crew": "one", "husk": "batch", "rank": "high",
        "nuts": 3, "vcpus": 2.0, "gpus": 0.0, "memoryGb": 4.0, "seed": "i", "imageGb": 1.0,
        "breeds": null, "grove": null, "together": false, "spread": false, "windfall": true,
        "ripenS": 20.0, "stashS": 0.0, "buryS": 0.0, "harvestS": null})
}

/// The submission with one field changed; a null leaves it out.
fn changed(field: &str, value: Value) -> String {
    let mut body = submission();
    match value {
        Value::Null => {
            body.as_object_mut().expect("an object").remove(field);
        }
        value => body[field] = value,
    }
    body.to_string()
}

/// What the node answers to a request, to the byte.
async fn ask(node: &Rc<Node>, method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    let request = format!("{method} {path} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}");
    raw(node, request.as_bytes()).await
}

async fn raw(node: &Rc<Node>, bytes: &[u8]) -> String {
    let connection = Rc::new(WorkerConnection::default());
    exchange(bytes, |request| handle(node.clone(), connection.clone(), request)).await
}

async fn unfinished(node: &Rc<Node>, bytes: &[u8]) -> String {
    let connection = Rc::new(WorkerConnection::default());
    exchange_unfinished(bytes, |request| handle(node.clone(), connection.clone(), request)).await
}

async fn submit(node: &Rc<Node>, body: &str) -> String {
    ask(node, "POST", "/submissions", body).await
}

async fn accepted_answers(store: &FakeStore) -> JobEndLookup {
    let node = store.node();
    let ready = |node: Rc<Node>| async move { ask(&node, "GET", "/ready", "").await };
    let mut found = vec![("not ready", ready(node.clone()).await)];
    node.readiness.set_loaded();
    found.push(("ready", ready(node.clone()).await));
    found.push(("accepted", submit(&node, &submission().to_string()).await));
    found.push(("known", submit(&node, &submission().to_string()).await));
    let mut chained = submission();
    chained["ref"] = json!("req-000502");
    chained["waits"] = json!(["req-000501"]);
    found.push(("accepted, chained", submit(&node, &chained.to_string()).await));
    found.push(("poll, queued", ask(&node, "GET", "/submissions/req-000501", "").await));
    let counts = user_api::TaskCounts { done: 1, running: 2 };
    node.user_api.known_jobs.record_progress("req-000501", counts);
    found.push(("poll, running", ask(&node, "GET", "/submissions/req-000501", "").await));
    found.push(("known, running", submit(&node, &submission().to_string()).await));
    found
}

async fn ended_answers(store: &FakeStore) -> JobEndLookup {
    let node = store.node();
    let withdraw = "/submissions/req-000501/withdraw";
    let mut found = vec![("withdrawn", ask(&node, "POST", withdraw, "").await)];
    found.push(("withdrawn again", ask(&node, "POST", withdraw, "").await));
    found.push(("poll, aborted", ask(&node, "GET", "/submissions/req-000501", "").await));
    found.push(("known, aborted", submit(&node, &submission().to_string()).await));
    store.put(&keys::job("req-000503"), json!(1));
    store.put(&keys::end("req-000503"), json!("done"));
    found.push(("poll, done", ask(&node, "GET", "/submissions/req-000503", "").await));
    let done = "/submissions/req-000503/withdraw";
    found.push(("withdrawn when done", ask(&node, "POST", done, "").await));
    let mut behind = submission();
    behind["ref"] = json!("req-000504");
    behind["waits"] = json!(["req-000501"]);
    found.push(("accepted, behind a withdrawn one", submit(&node, &behind.to_string()).await));
    found
}

async fn refusals(store: &FakeStore) -> JobEndLookup {
    let node = store.node();
    let of = |field: &'static str, value: Value| {
        let node = node.clone();
        async move {
            let mut body: Value = serde_json::from_str(&changed(field, value)).expect("json");
            if field != "ref" {
                body["ref"] = json!("req-000505");
            }
            submit(&node, &body.to_string()).await
        }
    };
    vec![
        ("400, not JSON", submit(&node, "{").await),
        ("400, no object", submit(&node, "[]").await),
        ("400, id", of("ref", json!("job-1")).await),
        ("400, kind", of("husk", json!("service")).await),
        ("400, priority", of("rank", json!("urgent")).await),
        ("400, tasks", of("nuts", json!(100_001)).await),
        ("400, no tasks", of("nuts", Value::Null).await),
        ("400, amount", of("vcpus", json!(-1)).await),
        ("400, no amount", of("memoryGb", Value::Null).await),
        ("400, types", of("breeds", json!([])).await),
        ("400, zone", of("grove", json!(3)).await),
        ("400, flag", of("spread", json!("no")).await),
        ("400, no team", of("crew", Value::Null).await),
        ("400, dependency", of("waits", json!(["job-1"])).await),
        ("422, team", of("crew", json!("nobody")).await),
        ("422, limit", of("vcpus", json!(65.0)).await),
        ("422, type", of("memoryGb", json!(33.0)).await),
        ("422, waits for itself", of("waits", json!(["req-000505"])).await),
        ("422, waits for nobody's", of("waits", json!(["req-999999"])).await),
        ("404, nobody's", ask(&node, "GET", "/submissions/req-999999", "").await),
        ("404, no id", ask(&node, "GET", "/submissions/job-1", "").await),
        ("404, withdrawn", ask(&node, "POST", "/submissions/req-999999/withdraw", "").await),
        ("404, path", ask(&node, "GET", "/elsewhere", "").await),
        ("404, longer path", ask(&node, "GET", "/submissions/req-000501/more", "").await),
        ("405, submission", ask(&node, "GET", "/submissions", "").await),
        ("405, poll", ask(&node, "POST", "/submissions/req-000501", "").await),
        ("405, withdrawal", ask(&node, "GET", "/submissions/req-000501/withdraw", "").await),
        ("405, ready", ask(&node, "POST", "/ready", "").await),
        ("405, report", ask(&node, "GET", "/hello", "").await),
    ]
}

async fn server_refusals(store: &FakeStore) -> JobEndLookup {
    let node = store.node();
    let long = format!("GET /{} HTTP/1.1\r\n", "x".repeat(9_000));
    let close = b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n";
    vec![
        ("a request cut short", raw(&node, b"GET /rea").await),
        ("408", unfinished(&node, b"GET /rea").await),
        ("413", raw(&node, b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n").await),
        ("431", raw(&node, long.as_bytes()).await),
        ("501", raw(&node, b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n").await),
        ("400, length", raw(&node, b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n").await),
        ("400, no HTTP", raw(&node, b"nonsense\x00\r\n\r\n").await),
        ("closed when asked", raw(&node, close).await),
    ]
}

async fn outage_answers(store: &FakeStore) -> JobEndLookup {
    let node = store.node();
    let untyped = store.node();
    untyped.machine_types.borrow_mut().clear();
    let mut found = vec![("503, no types", submit(&untyped, &submission().to_string()).await)];
    store.fault(Fault::Down);
    let mut other = submission();
    other["ref"] = json!("req-000506");
    let unknown = "/submissions/req-000506";
    found.push(("503, submission", submit(&node, &other.to_string()).await));
    found.push(("503, poll", ask(&node, "GET", unknown, "").await));
    let withdraw = format!("{unknown}/withdraw");
    found.push(("503, withdrawal", ask(&node, "POST", &withdraw, "").await));
    found
}

#[tokio::test(start_paused = true)]
async fn users_are_answered_as_before() {
    let store = FakeStore::default();
    let play = async {
        let mut found = accepted_answers(&store).await;
        found.extend(ended_answers(&store).await);
        found.extend(refusals(&store).await);
        found.extend(server_refusals(&store).await);
        found.extend(outage_answers(&store).await);
        Golden::check(USERS, &found);
    };
    LocalSet::new().run_until(play).await;
}

async fn heartbeat(node: &Rc<Node>, body: &str) -> String {
    ask(node, "POST", "/hello", body).await
}

/// The heartbeat of a worker on which the task has ended.
fn finished_report(sequence: u64, token: FencingToken) -> String {
    let mut heartbeat: Value = serde_json::from_str(&report_of(sequence, token)).expect("json");
    heartbeat["nuts"][0]["stage"] = json!("exited");
    heartbeat["nuts"][0]["cause"] = json!("done");
    heartbeat.to_string()
}

#[tokio::test(start_paused = true)]
async fn workers_are_answered_as_before() {
    let play = async {
        let store = FakeStore::default();
        let follower = store.node();
        let mut found = vec![("421", heartbeat(&follower, &report_of(1, FencingToken(0))).await)];
        follower.learn_leader("kernel-1", Term(9));
        found.push((
            "421 with a leader",
            heartbeat(&follower, &report_of(1, FencingToken(0))).await,
        ));
        let cluster = leader_with_a_task(&store).await;
        let leader = cluster.nodes[0].clone();
        found.push(("200", heartbeat(&leader, &report_of(1, FencingToken(0))).await));
        found.push(("200, idle", heartbeat(&leader, &idle_report("n-2", 1)).await));
        found.push(("400", heartbeat(&leader, "{").await));
        found.push(("400, machine", heartbeat(&leader, &idle_report("", 1)).await));
        let no_address = idle_report("n-3", 1).replace("10.0.0.1:1", "here");
        found.push(("400, address", heartbeat(&leader, &no_address).await));
        leader.record_job_end(JOB, JobEnd::Cancelled);
        found.push(("200 with kill", heartbeat(&leader, &report_of(2, FencingToken(0))).await));
        found.push((
            "200, finished",
            heartbeat(&leader, &finished_report(3, FencingToken(0))).await,
        ));
        found.push((
            "200, finished and known",
            heartbeat(&leader, &finished_report(4, FencingToken(5 << 20))).await,
        ));
        Golden::check(WORKERS, &found);
    };
    LocalSet::new().run_until(play).await;
}

fn calls() -> Vec<WorkerCommand> {
    let kill =
        |grace_s| WorkerCommand::Kill { task: "req-000377/1".into(), attempt: Attempt(1), grace_s };
    vec![
        WorkerCommand::Run { task: "req-000412/4".into(), attempt: Attempt(2) },
        kill(10.0),
        kill(0.0),
        WorkerCommand::Reap { task: "req-000398/0".into(), attempt: Attempt(3) },
    ]
}

/// What is sent to a worker, and what becomes of each answer.
#[tokio::test(start_paused = true)]
async fn commands_are_sent_as_before() {
    let mut found = Vec::new();
    for (kind, calls, status) in [
        ("commands", calls(), 200),
        ("no commands, refused", Vec::new(), 409),
        ("malformed", Vec::new(), 400),
    ] {
        let asked: Rc<RefCell<String>> = Rc::default();
        let noted = asked.clone();
        let script = move |method: &str, path: &str, body: &[u8]| {
            let body = String::from_utf8(body.to_vec()).expect("text");
            *noted.borrow_mut() = format!("{method} {path}\n{body}");
            Ok(Response { status, body: report_of(88, FencingToken(41)).into_bytes() })
        };
        let client = Client::scripted(Box::new(script));
        let outcome = worker_api::send_commands(
            &client,
            "10.1.0.232:9000",
            FencingToken(41),
            AgentEpoch(7),
            &calls,
        )
        .await;
        match outcome {
            MessageOutcome::Answered(heartbeat) => {
                assert!(status == 200 || status == 409, "{kind}: the status was read otherwise");
                assert!(
                    heartbeat.machine == "n-1" && heartbeat.sequence == 88,
                    "{kind}: the report"
                );
                assert!(
                    heartbeat.token == FencingToken(41) && heartbeat.tasks.len() == 1,
                    "{kind}: the report"
                );
            }
            MessageOutcome::Indeterminate => assert!(status == 400, "{kind}: taken for lost"),
            MessageOutcome::NotSent => panic!("{kind}: not sent"),
        }
        let text = asked.borrow().clone();
        found.push((kind, text));
    }
    Golden::check(COMMANDS, &found);
}

/// Notes every request of a node to a service that answers as if nothing were stored.
fn noting(asked: &Rc<RefCell<Vec<String>>>) -> Rc<Node> {
    noting_with(asked, NOTHING)
}

/// What a list of no keys looks like, and one of a job's description. Its acceptance lies far ahead,
/// so that the job has no age whatever the time of day is.
const NOTHING: &str = r#"{"pairs":[],"hasNext":false,"growth":431}"#;
const ONE_JOB: &str = r#"{"pairs":[{"key":"todo/req-000501","mark":9,"value":{"at":9000000000000000,"chunk":168,"spec":{"checkpoint_s":0.0,"class":"c","cpus":2.0,"deadline_s":null,"estimate_s":20.0,"gpus":0.0,"image":"i","image_gb":1.0,"memory_gb":4.0,"one_zone":false,"rank":"High","save_s":0.0,"spot":true,"spread":false,"tasks":3,"team":"one","types":null,"zone":null}}}],"hasNext":false,"growth":431}"#;

/// The same, with these descriptions of jobs stored.
fn noting_with(asked: &Rc<RefCell<Vec<String>>>, descriptions: &'static str) -> Rc<Node> {
    let asked = asked.clone();
    let script = move |method: &str, path: &str, body: &[u8]| -> crate::http::client::Answering {
        let body = String::from_utf8(body.to_vec()).expect("text");
        asked.borrow_mut().push(format!("{method} {path}\n{body}").trim_end().to_owned());
        if path.starts_with("/watch?") {
            return Box::pin(std::future::pending());
        }
        if path.starts_with("/keys?starts=todo&") {
            let body = descriptions.as_bytes().to_vec();
            return Box::pin(std::future::ready(Ok(Response { status: 200, body })));
        }
        Box::pin(std::future::ready(empty_service(method, path)))
    };
    let settings = Settings::parse(&crate::settings::tests::sample().to_string());
    let client = Rc::new(Client::scripted_slow(Box::new(script)));
    let node =
        Node::new(settings.expect("settings"), Tunables::default(), client, PeerSenders::new([]));
    let node = Rc::new(node.expect("a node"));
    node.machine_types.borrow_mut().push(one_type());
    node
}

fn one_type() -> MachineType {
    MachineType {
        name: "t8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.5,
        boot_s: 20.0,
        zones: vec!["east".into()],
    }
}

fn empty_service(method: &str, path: &str) -> Result<Response, HttpError> {
    let answer = |status, body: &str| Ok(Response { status, body: body.as_bytes().to_vec() });
    match (method, path) {
        ("POST", "/multi") => answer(200, r#"{"growth":432}"#),
        ("POST", "/leases") => answer(200, r#"{"hold":7}"#),
        ("GET", "/machine_types") => answer(200, &json!({"breeds": [one_type()]}).to_string()),
        ("GET", _) if path.starts_with("/keys?") => answer(200, NOTHING),
        ("GET", _) if path.starts_with("/keys/") => answer(404, r#"{"growth":431}"#),
        ("POST", "/machines") => answer(200, r#"{"trees":["n-000231"]}"#),
        ("GET", _) if path.starts_with("/machines?") => {
            answer(200, r#"{"trees":[],"hasNext":false}"#)
        }
        _ => answer(200, "{}"),
    }
}

/// Each request once, in the order of its text: what runs side by side comes in no fixed order.
fn distinct(asked: &RefCell<Vec<String>>) -> RefCell<Vec<String>> {
    let all: std::collections::BTreeSet<String> = asked.borrow().iter().cloned().collect();
    RefCell::new(all.into_iter().collect())
}

/// Which requests an election and the first seconds of a term consist of, and those of the duty to
/// share the machine types.
#[tokio::test(start_paused = true)]
async fn elections_and_duties_reach_the_state_service_as_before() {
    let play = async {
        let mut found = Vec::new();
        for (kind, descriptions) in
            [("election and term", NOTHING), ("term with a job to rent for", ONE_JOB)]
        {
            let asked = Rc::default();
            let node = noting_with(&asked, descriptions);
            let election = tokio::task::spawn_local(election::run(node.clone()));
            tokio::time::sleep(ELECTION).await;
            election.abort();
            assert!(node.leadership.borrow().term() == Some(Term(432)), "elected");
            found.push((kind, steady(&node, &distinct(&asked))));
        }
        let asked = Rc::default();
        let node = noting(&asked);
        let duty = tokio::task::spawn_local(machine_types_role::run(node.clone()));
        let types = tokio::task::spawn_local(machine_types::keep_fresh(node.clone()));
        tokio::time::sleep(ROLE).await;
        duty.abort();
        types.abort();
        found.push(("machine types", steady(&node, &distinct(&asked))));
        Golden::check(DUTIES, &found);
    };
    LocalSet::new().run_until(play).await;
}

/// With digits of times and this life's random name replaced.
fn steady(node: &Node, asked: &RefCell<Vec<String>>) -> String {
    let text = asked.borrow().join("\n").replace(&node.identity.election_nonce, "INCARNATION");
    let mut pieces = text.split("\"at\":");
    let mut steady = pieces.next().unwrap_or_default().to_owned();
    for piece in pieces {
        steady.push_str("\"at\":TIME");
        steady.push_str(piece.trim_start_matches(|digit: char| digit.is_ascii_digit()));
    }
    steady
}

/// What a node writes for its users, and what it reads before it answers.
#[tokio::test(start_paused = true)]
async fn users_requests_reach_the_state_service_as_before() {
    let play = async {
        let mut found = Vec::new();
        for (kind, method, path, body) in [
            ("submission", "POST", "/submissions", submission().to_string()),
            ("poll", "GET", "/submissions/req-000501", String::new()),
            ("withdrawal", "POST", "/submissions/req-000501/withdraw", String::new()),
            ("refused submission", "POST", "/submissions", changed("crew", json!("nobody"))),
        ] {
            let asked = Rc::default();
            let node = noting(&asked);
            ask(&node, method, path, &body).await;
            found.push((kind, steady(&node, &asked)));
        }
        for (kind, method, path) in [
            ("poll of a known job", "GET", "/submissions/req-000501"),
            ("withdrawal of a known job", "POST", "/submissions/req-000501/withdraw"),
        ] {
            let asked: Rc<RefCell<Vec<String>>> = Rc::default();
            let node = noting(&asked);
            submit(&node, &submission().to_string()).await;
            asked.borrow_mut().clear();
            ask(&node, method, path, "").await;
            found.push((kind, steady(&node, &asked)));
        }
        let asked = Rc::default();
        let node = noting(&asked);
        let _ = machine_types::share_unfenced(&node.key_value, &[one_type()]).await;
        found.push(("machine types, unfenced", steady(&node, &asked)));
        Golden::check(STATE, &found);
    };
    LocalSet::new().run_until(play).await;
}
