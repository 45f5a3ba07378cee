//! Golden tests against the files in `golden/`: the bytes of responses to users and workers, the
//! commands sent to workers, and the requests that a node sends to the key-value store in each
//! case.

use serde_json::{json, Value};
use tokio::task::LocalSet;
use walnutlug_scheduler::command::MessageOutcome;
use walnutlug_scheduler::leadership::fencing_token::FencingToken;
use walnutlug_scheduler::model::ids::{AgentEpoch, Attempt};
use walnutlug_scheduler::protocol::cloud::MachineType;
use walnutlug_scheduler::protocol::workers::WorkerCommand;
use walnutlug_scheduler::storage::keys;

use super::routes::handle;
use super::tests::{cluster_with_running_task, idle_heartbeat, running_task_heartbeat, JOB};
use super::*;
use crate::golden_file::Golden;
use crate::http::client::{HttpError, Response};
use crate::http::server::exchange::{exchange, exchange_unfinished};
use crate::user_api;
use crate::user_api::fake_cluster::{FakeStore, Fault};
use crate::worker_api::{self, WorkerConnection};
use tokio::time::Duration;

const USER_RESPONSES: &str = "src/node/golden/users.txt";
const WORKER_RESPONSES: &str = "src/node/golden/workers.txt";
const WORKER_COMMANDS: &str = "src/node/golden/commands.txt";
const STORE_REQUESTS: &str = "src/node/golden/state.txt";

const ROLE_REQUESTS: &str = "src/node/golden/duties.txt";
/// Long enough for an election, loading the records and renewing the lease several times.
const ELECTION_DURATION: Duration = Duration::from_secs(4);
/// Long enough to acquire the machine-types role and share the types.
const ROLE_DURATION: Duration = Duration::from_secs(150);

type GoldenEntries = Vec<(&'static str, String)>;

fn submission() -> Value {
    json!({"ref": "req-000501", "shell": "c", "crew": "one", "husk": "batch", "rank": "high",
        "nuts": 3, "vcpus": 2.0, "gpus": 0.0, "memoryGb": 4.0, "seed": "i", "imageGb": 1.0,
        "breeds": null, "grove": null, "together": false, "spread": false, "windfall": true,
        "ripenS": 20.0, "stashS": 0.0, "buryS": 0.0, "harvestS": null})
}

/// Returns the submission with one field replaced; a null value removes the field.
fn submission_with(field: &str, value: Value) -> String {
    let mut body = submission();
    match value {
        Value::Null => {
            body.as_object_mut().expect("a JSON object").remove(field);
        }
        value => body[field] = value,
    }
    body.to_string()
}

/// Sends a request and returns the bytes of the node's response.
async fn send(node: &Rc<Node>, method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    let request = format!("{method} {path} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}");
    send_raw(node, request.as_bytes()).await
}

async fn send_raw(node: &Rc<Node>, bytes: &[u8]) -> String {
    let connection = Rc::new(WorkerConnection::default());
    exchange(bytes, |request| handle(node.clone(), connection.clone(), request)).await
}

async fn send_unfinished(node: &Rc<Node>, bytes: &[u8]) -> String {
    let connection = Rc::new(WorkerConnection::default());
    exchange_unfinished(bytes, |request| handle(node.clone(), connection.clone(), request)).await
}

async fn submit(node: &Rc<Node>, body: &str) -> String {
    send(node, "POST", "/submissions", body).await
}

async fn accepted_answers(store: &FakeStore) -> GoldenEntries {
    let node = store.node();
    let check_readiness = |node: Rc<Node>| async move { send(&node, "GET", "/ready", "").await };
    let mut entries = vec![("not ready", check_readiness(node.clone()).await)];
    node.readiness.set_dependency_reached();
    entries.push(("ready", check_readiness(node.clone()).await));
    entries.push(("accepted", submit(&node, &submission().to_string()).await));
    entries.push(("known", submit(&node, &submission().to_string()).await));
    let mut chained = submission();
    chained["ref"] = json!("req-000502");
    chained["waits"] = json!(["req-000501"]);
    entries.push(("accepted, chained", submit(&node, &chained.to_string()).await));
    entries.push(("poll, queued", send(&node, "GET", "/submissions/req-000501", "").await));
    let counts = user_api::TaskCounts { done: 1, running: 2 };
    node.user_api.known_jobs.record_progress("req-000501", counts);
    entries.push(("poll, running", send(&node, "GET", "/submissions/req-000501", "").await));
    entries.push(("known, running", submit(&node, &submission().to_string()).await));
    entries
}

async fn ended_answers(store: &FakeStore) -> GoldenEntries {
    let node = store.node();
    let withdraw = "/submissions/req-000501/withdraw";
    let mut entries = vec![("withdrawn", send(&node, "POST", withdraw, "").await)];
    entries.push(("withdrawn again", send(&node, "POST", withdraw, "").await));
    entries.push(("poll, aborted", send(&node, "GET", "/submissions/req-000501", "").await));
    entries.push(("known, aborted", submit(&node, &submission().to_string()).await));
    store.put(&keys::job("req-000503"), json!(1));
    store.put(&keys::end("req-000503"), json!("done"));
    entries.push(("poll, done", send(&node, "GET", "/submissions/req-000503", "").await));
    let done = "/submissions/req-000503/withdraw";
    entries.push(("withdrawn when done", send(&node, "POST", done, "").await));
    let mut behind = submission();
    behind["ref"] = json!("req-000504");
    behind["waits"] = json!(["req-000501"]);
    entries.push(("accepted, behind a withdrawn one", submit(&node, &behind.to_string()).await));
    entries
}

async fn refusals(store: &FakeStore) -> GoldenEntries {
    let node = store.node();
    let submit_with = |field: &'static str, value: Value| {
        let node = node.clone();
        async move {
            let mut body: Value =
                serde_json::from_str(&submission_with(field, value)).expect("body is JSON");
            if field != "ref" {
                body["ref"] = json!("req-000505");
            }
            submit(&node, &body.to_string()).await
        }
    };
    vec![
        ("400, not JSON", submit(&node, "{").await),
        ("400, no object", submit(&node, "[]").await),
        ("400, id", submit_with("ref", json!("job-1")).await),
        ("400, kind", submit_with("husk", json!("service")).await),
        ("400, priority", submit_with("rank", json!("urgent")).await),
        ("400, tasks", submit_with("nuts", json!(100_001)).await),
        ("400, no tasks", submit_with("nuts", Value::Null).await),
        ("400, amount", submit_with("vcpus", json!(-1)).await),
        ("400, no amount", submit_with("memoryGb", Value::Null).await),
        ("400, types", submit_with("breeds", json!([])).await),
        ("400, zone", submit_with("grove", json!(3)).await),
        ("400, flag", submit_with("spread", json!("no")).await),
        ("400, no team", submit_with("crew", Value::Null).await),
        ("400, dependency", submit_with("waits", json!(["job-1"])).await),
        ("422, team", submit_with("crew", json!("nobody")).await),
        ("422, limit", submit_with("vcpus", json!(65.0)).await),
        ("422, type", submit_with("memoryGb", json!(33.0)).await),
        ("422, waits for itself", submit_with("waits", json!(["req-000505"])).await),
        ("422, waits for nobody's", submit_with("waits", json!(["req-999999"])).await),
        ("404, nobody's", send(&node, "GET", "/submissions/req-999999", "").await),
        ("404, no id", send(&node, "GET", "/submissions/job-1", "").await),
        ("404, withdrawn", send(&node, "POST", "/submissions/req-999999/withdraw", "").await),
        ("404, path", send(&node, "GET", "/elsewhere", "").await),
        ("404, longer path", send(&node, "GET", "/submissions/req-000501/more", "").await),
        ("405, submission", send(&node, "GET", "/submissions", "").await),
        ("405, poll", send(&node, "POST", "/submissions/req-000501", "").await),
        ("405, withdrawal", send(&node, "GET", "/submissions/req-000501/withdraw", "").await),
        ("405, ready", send(&node, "POST", "/ready", "").await),
        ("405, report", send(&node, "GET", "/hello", "").await),
    ]
}

async fn server_refusals(store: &FakeStore) -> GoldenEntries {
    let node = store.node();
    let long_path = format!("GET /{} HTTP/1.1\r\n", "x".repeat(9_000));
    let close_request = b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n";
    vec![
        ("a request cut short", send_raw(&node, b"GET /rea").await),
        ("408", send_unfinished(&node, b"GET /rea").await),
        ("413", send_raw(&node, b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n").await),
        ("431", send_raw(&node, long_path.as_bytes()).await),
        ("501", send_raw(&node, b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n").await),
        ("400, length", send_raw(&node, b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n").await),
        ("400, no HTTP", send_raw(&node, b"nonsense\x00\r\n\r\n").await),
        ("closed when asked", send_raw(&node, close_request).await),
    ]
}

async fn outage_answers(store: &FakeStore) -> GoldenEntries {
    let node = store.node();
    let node_without_types = store.node();
    node_without_types.machine_types.borrow_mut().clear();
    let mut entries =
        vec![("503, no types", submit(&node_without_types, &submission().to_string()).await)];
    store.fault(Fault::Down);
    let mut other_submission = submission();
    other_submission["ref"] = json!("req-000506");
    let unknown = "/submissions/req-000506";
    entries.push(("503, submission", submit(&node, &other_submission.to_string()).await));
    entries.push(("503, poll", send(&node, "GET", unknown, "").await));
    let withdraw = format!("{unknown}/withdraw");
    entries.push(("503, withdrawal", send(&node, "POST", &withdraw, "").await));
    entries
}

#[tokio::test(start_paused = true)]
async fn user_api_responses_match_the_golden_file() {
    let store = FakeStore::default();
    let test = async {
        let mut entries = accepted_answers(&store).await;
        entries.extend(ended_answers(&store).await);
        entries.extend(refusals(&store).await);
        entries.extend(server_refusals(&store).await);
        entries.extend(outage_answers(&store).await);
        Golden::check(USER_RESPONSES, &entries);
    };
    LocalSet::new().run_until(test).await;
}

async fn heartbeat(node: &Rc<Node>, body: &str) -> String {
    send(node, "POST", "/hello", body).await
}

/// Heartbeat of a worker whose task has ended.
fn finished_task_heartbeat(sequence: u64, token: FencingToken) -> String {
    let mut heartbeat: Value =
        serde_json::from_str(&running_task_heartbeat(sequence, token)).expect("body is JSON");
    heartbeat["nuts"][0]["stage"] = json!("exited");
    heartbeat["nuts"][0]["cause"] = json!("done");
    heartbeat.to_string()
}

#[tokio::test(start_paused = true)]
async fn heartbeat_responses_match_the_golden_file() {
    let test = async {
        let store = FakeStore::default();
        let follower = store.node();
        let mut entries =
            vec![("421", heartbeat(&follower, &running_task_heartbeat(1, FencingToken(0))).await)];
        follower.record_leader("kernel-1", Term(9));
        entries.push((
            "421 with a leader",
            heartbeat(&follower, &running_task_heartbeat(1, FencingToken(0))).await,
        ));
        let cluster = cluster_with_running_task(&store).await;
        let leader = cluster.nodes[0].clone();
        entries
            .push(("200", heartbeat(&leader, &running_task_heartbeat(1, FencingToken(0))).await));
        entries.push(("200, idle", heartbeat(&leader, &idle_heartbeat("n-2", 1)).await));
        entries.push(("400", heartbeat(&leader, "{").await));
        entries.push(("400, machine", heartbeat(&leader, &idle_heartbeat("", 1)).await));
        let no_address = idle_heartbeat("n-3", 1).replace("10.0.0.1:1", "here");
        entries.push(("400, address", heartbeat(&leader, &no_address).await));
        leader.record_job_end(JOB, JobEnd::Cancelled);
        entries.push((
            "200 with kill",
            heartbeat(&leader, &running_task_heartbeat(2, FencingToken(0))).await,
        ));
        entries.push((
            "200, finished",
            heartbeat(&leader, &finished_task_heartbeat(3, FencingToken(0))).await,
        ));
        entries.push((
            "200, finished and known",
            heartbeat(&leader, &finished_task_heartbeat(4, FencingToken(5 << 20))).await,
        ));
        Golden::check(WORKER_RESPONSES, &entries);
    };
    LocalSet::new().run_until(test).await;
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

/// Checks the request sent to a worker and how each response is interpreted.
#[tokio::test(start_paused = true)]
async fn commands_to_workers_match_the_golden_file() {
    let mut entries = Vec::new();
    for (kind, calls, status) in [
        ("commands", calls(), 200),
        ("no commands, refused", Vec::new(), 409),
        ("malformed", Vec::new(), 400),
    ] {
        let requests: Rc<RefCell<String>> = Rc::default();
        let recorded_request = requests.clone();
        let script = move |method: &str, path: &str, body: &[u8]| {
            let body = String::from_utf8(body.to_vec()).expect("request body is UTF-8");
            *recorded_request.borrow_mut() = format!("{method} {path}\n{body}");
            Ok(Response { status, body: running_task_heartbeat(88, FencingToken(41)).into_bytes() })
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
                assert!(
                    status == 200 || status == 409,
                    "{kind}: unexpected outcome for status {status}"
                );
                assert!(
                    heartbeat.machine == "n-1" && heartbeat.sequence == 88,
                    "{kind}: wrong heartbeat in the response"
                );
                assert!(
                    heartbeat.token == FencingToken(41) && heartbeat.tasks.len() == 1,
                    "{kind}: wrong heartbeat in the response"
                );
            }
            MessageOutcome::Indeterminate => assert!(status == 400, "{kind}: indeterminate"),
            MessageOutcome::NotSent => panic!("{kind}: the request was not sent"),
        }
        let text = requests.borrow().clone();
        entries.push((kind, text));
    }
    Golden::check(WORKER_COMMANDS, &entries);
}

/// Creates a node that records all its requests; the store responds as if it were empty.
fn recording_node(requests: &Rc<RefCell<Vec<String>>>) -> Rc<Node> {
    recording_node_with(requests, EMPTY_LISTING)
}

/// Listings returned by the store: one without keys, and one with a single job description. The
/// job's acceptance time is far in the future, so that its age is zero at any time of day.
const EMPTY_LISTING: &str = r#"{"pairs":[],"hasNext":false,"growth":431}"#;
const LISTING_WITH_ONE_JOB: &str = r#"{"pairs":[{"key":"todo/req-000501","mark":9,"value":{"at":9000000000000000,"chunk":168,"spec":{"checkpoint_s":0.0,"class":"c","cpus":2.0,"deadline_s":null,"estimate_s":20.0,"gpus":0.0,"image":"i","image_gb":1.0,"memory_gb":4.0,"one_zone":false,"rank":"High","save_s":0.0,"spot":true,"spread":false,"tasks":3,"team":"one","types":null,"zone":null}}}],"hasNext":false,"growth":431}"#;

/// Like `recording_node`, but the store returns this listing of job descriptions.
fn recording_node_with(
    requests: &Rc<RefCell<Vec<String>>>,
    descriptions: &'static str,
) -> Rc<Node> {
    let requests = requests.clone();
    let script =
        move |method: &str, path: &str, body: &[u8]| -> crate::http::client::ResponseFuture {
            let body = String::from_utf8(body.to_vec()).expect("request body is UTF-8");
            requests.borrow_mut().push(format!("{method} {path}\n{body}").trim_end().to_owned());
            if path.starts_with("/watch?") {
                return Box::pin(std::future::pending());
            }
            if path.starts_with("/keys?starts=todo&") {
                let body = descriptions.as_bytes().to_vec();
                return Box::pin(std::future::ready(Ok(Response { status: 200, body })));
            }
            Box::pin(std::future::ready(answer_as_empty_store(method, path)))
        };
    let settings = Settings::parse(&crate::settings::tests::sample().to_string());
    let client = Rc::new(Client::scripted_async(Box::new(script)));
    let node = Node::new(
        settings.expect("valid settings"),
        Tunables::default(),
        client,
        PeerSenders::new([]),
    );
    let node = Rc::new(node.expect("node creation"));
    node.machine_types.borrow_mut().push(machine_type());
    node
}

fn machine_type() -> MachineType {
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

fn answer_as_empty_store(method: &str, path: &str) -> Result<Response, HttpError> {
    let answer = |status, body: &str| Ok(Response { status, body: body.as_bytes().to_vec() });
    match (method, path) {
        ("POST", "/multi") => answer(200, r#"{"growth":432}"#),
        ("POST", "/leases") => answer(200, r#"{"hold":7}"#),
        ("GET", "/machine_types") => answer(200, &json!({"breeds": [machine_type()]}).to_string()),
        ("GET", _) if path.starts_with("/keys?") => answer(200, EMPTY_LISTING),
        ("GET", _) if path.starts_with("/keys/") => answer(404, r#"{"growth":431}"#),
        ("POST", "/machines") => answer(200, r#"{"trees":["n-000231"]}"#),
        ("GET", _) if path.starts_with("/machines?") => {
            answer(200, r#"{"trees":[],"hasNext":false}"#)
        }
        _ => answer(200, "{}"),
    }
}

/// Sorts the requests and removes duplicates, because concurrent tasks send them in no fixed order.
fn sorted_unique(requests: &RefCell<Vec<String>>) -> RefCell<Vec<String>> {
    let all: std::collections::BTreeSet<String> = requests.borrow().iter().cloned().collect();
    RefCell::new(all.into_iter().collect())
}

/// Covers the requests of an election, of the first seconds of a term, and of the role that shares
/// the machine types.
#[tokio::test(start_paused = true)]
async fn store_requests_of_elections_and_fenced_roles_match_the_golden_file() {
    let test = async {
        let mut entries = Vec::new();
        for (kind, descriptions) in [
            ("election and term", EMPTY_LISTING),
            ("term with a job to rent for", LISTING_WITH_ONE_JOB),
        ] {
            let requests = Rc::default();
            let node = recording_node_with(&requests, descriptions);
            let election = tokio::task::spawn_local(election::run(node.clone()));
            tokio::time::sleep(ELECTION_DURATION).await;
            election.abort();
            assert!(
                node.leadership.borrow().term() == Some(Term(432)),
                "the node should be elected"
            );
            entries.push((kind, normalized(&node, &sorted_unique(&requests))));
        }
        let requests = Rc::default();
        let node = recording_node(&requests);
        let role_task = tokio::task::spawn_local(machine_types_role::run(node.clone()));
        let types_task = tokio::task::spawn_local(machine_types::keep_fresh(node.clone()));
        tokio::time::sleep(ROLE_DURATION).await;
        role_task.abort();
        types_task.abort();
        entries.push(("machine types", normalized(&node, &sorted_unique(&requests))));
        Golden::check(ROLE_REQUESTS, &entries);
    };
    LocalSet::new().run_until(test).await;
}

/// Joins the requests, with timestamps and the process's random nonce replaced by fixed text.
fn normalized(node: &Node, requests: &RefCell<Vec<String>>) -> String {
    let text = requests.borrow().join("\n").replace(&node.identity.election_nonce, "INCARNATION");
    let mut pieces = text.split("\"at\":");
    let mut result = pieces.next().unwrap_or_default().to_owned();
    for piece in pieces {
        result.push_str("\"at\":TIME");
        result.push_str(piece.trim_start_matches(|digit: char| digit.is_ascii_digit()));
    }
    result
}

/// Covers what a node writes for user requests and what it reads before it responds.
#[tokio::test(start_paused = true)]
async fn store_requests_of_user_requests_match_the_golden_file() {
    let test = async {
        let mut entries = Vec::new();
        for (kind, method, path, body) in [
            ("submission", "POST", "/submissions", submission().to_string()),
            ("poll", "GET", "/submissions/req-000501", String::new()),
            ("withdrawal", "POST", "/submissions/req-000501/withdraw", String::new()),
            (
                "refused submission",
                "POST",
                "/submissions",
                submission_with("crew", json!("nobody")),
            ),
        ] {
            let requests = Rc::default();
            let node = recording_node(&requests);
            send(&node, method, path, &body).await;
            entries.push((kind, normalized(&node, &requests)));
        }
        for (kind, method, path) in [
            ("poll of a known job", "GET", "/submissions/req-000501"),
            ("withdrawal of a known job", "POST", "/submissions/req-000501/withdraw"),
        ] {
            let requests: Rc<RefCell<Vec<String>>> = Rc::default();
            let node = recording_node(&requests);
            submit(&node, &submission().to_string()).await;
            requests.borrow_mut().clear();
            send(&node, method, path, "").await;
            entries.push((kind, normalized(&node, &requests)));
        }
        let requests = Rc::default();
        let node = recording_node(&requests);
        let _ = machine_types::share_unfenced(&node.key_value, &[machine_type()]).await;
        entries.push(("machine types, unfenced", normalized(&node, &requests)));
        Golden::check(STORE_REQUESTS, &entries);
    };
    LocalSet::new().run_until(test).await;
}
