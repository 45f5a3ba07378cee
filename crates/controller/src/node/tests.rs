use tokio::time::{Duration, Instant};

use super::cluster_view::STATUS_VALID;
use super::readiness::is_ready;
use super::routes::handle;
use super::*;
use crate::http::server::Request;
use crate::key_value_client::RequestClass;
use crate::peers::{Cancellations, NodeStatus};
use crate::user_api;
use crate::user_api::fake_cluster::{Cluster, FakeStore, Fault};
use crate::worker_api::{self, WorkerConnection};
use walnutlug_scheduler::leadership::fencing_token::{FencingToken, Term};
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;

#[tokio::test(start_paused = true)]
async fn readiness_fails_only_if_the_store_refuses_this_node_but_serves_a_peer() {
    let store = FakeStore::default();
    let node = store.node();
    let status = |store_reachable| {
        Frame::Status(NodeStatus {
            name: "kernel-1".into(),
            term: Term(3),
            leading: false,
            store_reachable,
            redirected: 0,
            incarnation: 1,
            count: 1 + u64::from(store_reachable),
        })
    };
    assert!(!is_ready(&node), "no service has responded yet");
    node.readiness.set_dependency_reached();
    assert!(is_ready(&node));
    store.fault(Fault::Down);
    let _ = node.key_value.get(RequestClass::Poll, "x").await;
    tokio::time::advance(Duration::from_secs(2)).await;
    let _ = node.key_value.get(RequestClass::Poll, "x").await;
    node.handle_frame(status(false));
    assert!(is_ready(&node), "stays ready in an outage for all nodes");
    node.handle_frame(status(true));
    assert!(!is_ready(&node), "the store refuses only this node");
}

#[tokio::test(start_paused = true)]
async fn unknown_paths_return_404_and_wrong_methods_return_405() {
    let node = FakeStore::default().node();
    for (method, path, status) in [
        ("GET", "/nowhere", 404),
        ("GET", "/submissions", 405),
        ("DELETE", "/submissions/req-000001", 405),
        ("GET", "/submissions/req-000001/withdraw", 405),
        ("POST", "/submissions/req-000001/other", 404),
        ("GET", "/hello", 405),
        ("POST", "/ready", 405),
    ] {
        let request = Request { method: method.into(), path: path.into(), body: vec![] };
        assert_eq!(
            handle(node.clone(), Rc::default(), request).await.status,
            status,
            "{method} {path}"
        );
    }
}

/// The node is cut off from the key-value store and from its peers, while workers still reach it.
#[tokio::test(start_paused = true)]
async fn isolated_node_returns_503_to_users_without_querying_the_store() {
    let store = FakeStore::default();
    let node = store.node();
    node.readiness.set_dependency_reached();
    store.fault(Fault::Down);
    tokio::time::advance(STATUS_VALID + Duration::from_secs(1)).await;
    let _ = node.key_value.get(RequestClass::Poll, "x").await;
    assert!(node.key_value.is_down());
    assert!(!is_ready(&node), "isolated without a reachable store");
    let requests_before = store.request_count.get();
    let poll_start = Instant::now();
    let answer = user_api::poll(node.clone(), "req-000412").await;
    assert_eq!((answer.status, answer.retry_after), (503, Some(1)));
    assert_eq!(
        store.request_count.get(),
        requests_before,
        "a store that is down must not be queried"
    );
    assert_eq!(poll_start.elapsed(), Duration::ZERO);
    // The election loop's reads are sent even while the store counts as down, and find that it is
    // back.
    store.fault(Fault::None);
    let _ = node.key_value.get(RequestClass::Leadership, "x").await;
    assert!(!node.key_value.is_down() && is_ready(&node));
}

#[tokio::test(start_paused = true)]
async fn peer_status_of_an_earlier_incarnation_is_ignored_while_the_latest_is_fresh() {
    let node = FakeStore::default().node();
    let status = |incarnation, count, store_reachable| {
        Frame::Status(NodeStatus {
            name: "kernel-1".into(),
            term: Term(0),
            leading: false,
            store_reachable,
            redirected: 0,
            incarnation,
            count,
        })
    };
    node.handle_frame(status(7, 2, false));
    node.handle_frame(status(6, 90, true));
    node.handle_frame(status(7, 1, true));
    assert!(!node.cluster_view.any_peer_reaches_store());
    node.handle_frame(status(7, 3, true));
    assert!(node.cluster_view.any_peer_reaches_store());
    // The peer restarted quickly with its clock set back: its statuses count again once the last
    // one is no longer current.
    node.handle_frame(status(5, 1, false));
    assert!(node.cluster_view.any_peer_reaches_store());
    tokio::time::advance(STATUS_VALID).await;
    node.handle_frame(status(5, 2, true));
    assert!(node.cluster_view.any_peer_reaches_store());
}

#[tokio::test(start_paused = true)]
async fn worker_connections_above_the_limit_are_closed_after_the_response() {
    let node = FakeStore::default().node();
    let request = || Request { method: "POST".into(), path: "/hello".into(), body: vec![] };
    let open_connections = node.load.open_connections();
    open_connections.set(SocketBudget::for_limit(node.settings.fd_limit).worker_keep_alive_limit);
    assert!(!handle(node.clone(), Rc::default(), request()).await.close);
    open_connections.set(open_connections.get() + 1);
    assert!(handle(node.clone(), Rc::default(), request()).await.close);
}

#[tokio::test(start_paused = true)]
async fn leader_steps_down_for_a_newer_term_but_not_for_an_older_one() {
    let node = FakeStore::default().node();
    node.leadership.borrow_mut().step(node.now(), ElectionEvent::Vacant);
    node.leadership.borrow_mut().step(node.now(), ElectionEvent::Won { term: Term(5) });
    let status = |term| {
        Frame::Status(NodeStatus {
            name: "kernel-1".into(),
            term,
            leading: true,
            store_reachable: true,
            redirected: 0,
            incarnation: 1,
            count: term.get(),
        })
    };
    node.handle_frame(status(Term(4)));
    assert_eq!(node.leadership.borrow().term(), Some(Term(5)));
    node.handle_frame(status(Term(6)));
    assert_eq!(node.leadership.borrow().term(), None);
    assert_eq!(node.other_leader().as_deref(), Some("kernel-1"));
}

pub(crate) const JOB: &str = "req-000412";

/// Creates three nodes: a leader with one running task and two followers, all of which know each
/// other's cancellation logs.
pub(crate) async fn cluster_with_running_task(store: &FakeStore) -> Cluster {
    elect_leader_with_running_task(store, store.cluster(3)).await
}

/// Makes node 0 of the given cluster the leader with one running task, and shares the cancellation
/// logs among its nodes.
pub(crate) async fn elect_leader_with_running_task(
    store: &FakeStore,
    mut cluster: Cluster,
) -> Cluster {
    store.put(&keys::job(JOB), serde_json::json!(1));
    let node = cluster.nodes[0].clone();
    let mut scheduler = Scheduler::new(
        node.site.clone(),
        node.tunables.clone(),
        Term(5),
        node.machine_types.borrow().clone(),
        node.now(),
    );
    let description = serde_json::json!({"spec": {
        "class": "c", "team": "one", "rank": "High", "tasks": 1, "cpus": 1.0, "gpus": 0.0,
        "memory_gb": 1.0, "image": "i", "image_gb": 1.0, "types": null, "zone": null,
        "one_zone": false, "spread": false, "spot": true, "estimate_s": 9.0,
        "checkpoint_s": 0.0, "save_s": 0.0, "deadline_s": null}, "at": 1, "chunk": 50});
    store.put(&keys::todo(JOB), description.clone());
    assert!(scheduler.add_job(node.now(), JOB, &description, node.wall_clock_us()).is_ok());
    let value = serde_json::json!({"w": "x", "t": [[2, 1, "n-1", 1, 0]]});
    scheduler.load_chunks(
        node.now(),
        &[walnutlug_scheduler::protocol::key_value::KeyValue {
            key: keys::run(JOB, 0),
            value,
            revision: Revision(1),
        }],
    );
    for event in [
        ElectionEvent::Vacant,
        ElectionEvent::Won { term: Term(5) },
        ElectionEvent::Loaded { term: Term(5) },
    ] {
        node.leadership.borrow_mut().step(node.now(), event);
    }
    *node.scheduler.borrow_mut() = Some(scheduler);
    for _ in 0..2 {
        for node in &cluster.nodes {
            node.broadcast_status();
        }
        cluster.deliver(|_, _| true).await;
        node.cancellations.job_ends_read(node.now());
    }
    tokio::time::advance(Duration::from_millis(10)).await;
    cluster
}

/// Sends the running task's heartbeat on a new connection. Returns the status and the commands of
/// the response.
fn heartbeat_once(node: &Node, sequence: u64) -> (u16, Vec<String>) {
    let (status, _, calls) =
        heartbeat_on_connection(node, &WorkerConnection::default(), sequence, FencingToken(0));
    (status, calls)
}

/// Heartbeat of a worker without tasks.
pub(crate) fn idle_heartbeat(machine: &str, sequence: u64) -> String {
    let heartbeat = serde_json::json!({"tree": machine, "address": "10.0.0.1:1", "breed": "t8",
        "grove": "east", "windfall": true, "season": 1, "ring": sequence, "staff": 0, "shakeS": null,
        "nuts": []});
    heartbeat.to_string()
}

/// Heartbeat of the worker that runs the task and has seen the token.
pub(crate) fn running_task_heartbeat(sequence: u64, token: FencingToken) -> String {
    let heartbeat = serde_json::json!({"tree": "n-1", "address": "10.0.0.1:1", "breed": "t8",
        "grove": "east", "windfall": true, "season": 1, "ring": sequence, "staff": token, "shakeS": null,
        "nuts": [{"nut": format!("{JOB}/0"), "try": 1, "stage": "running"}]});
    heartbeat.to_string()
}

/// Sends the running task's heartbeat on an existing connection. Returns the status, token and
/// commands of the response.
fn heartbeat_on_connection(
    node: &Node,
    connection: &WorkerConnection,
    sequence: u64,
    token: FencingToken,
) -> (u16, FencingToken, Vec<String>) {
    let answer = worker_api::answer_heartbeat(
        node,
        connection,
        running_task_heartbeat(sequence, token).as_bytes(),
    );
    let response: serde_json::Value =
        serde_json::from_slice(&answer.body).expect("response body is JSON");
    let calls = response["calls"].as_array().into_iter().flatten();
    let calls = calls.map(|c| c["call"].to_string()).collect();
    (answer.status, FencingToken(response["staff"].as_u64().unwrap_or(0)), calls)
}

/// Returns whether the connection recognizes the heartbeat as a repetition of its last one.
fn is_repetition(connection: &WorkerConnection, sequence: u64, token: FencingToken) -> bool {
    connection
        .repetition(running_task_heartbeat(sequence, token).as_bytes())
        .is_some_and(|repetition| repetition.sequence == sequence)
}

#[tokio::test(start_paused = true)]
async fn repeated_heartbeats_are_answered_without_commands_until_the_job_is_cancelled() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let store = FakeStore::default();
            let cluster = cluster_with_running_task(&store).await;
            let (leader, connection) = (cluster.nodes[0].clone(), WorkerConnection::default());
            let (status, token, calls) =
                heartbeat_on_connection(&leader, &connection, 1, FencingToken(0));
            assert_eq!((status, calls), (200, vec![]));
            assert!(!is_repetition(&connection, 2, token), "the worker had not seen the token yet");
            for sequence in 2..40 {
                tokio::time::advance(Duration::from_secs(1)).await;
                leader.cancellations.job_ends_read(leader.now());
                assert_eq!(
                    heartbeat_on_connection(&leader, &connection, sequence, token),
                    (200, token, vec![]),
                    "{sequence}"
                );
            }
            assert!(
                is_repetition(&connection, 40, token),
                "the last heartbeat should count as a repetition"
            );
            assert!(
                !is_repetition(&connection, 40, FencingToken(token.get() + 1))
                    && !is_repetition(&WorkerConnection::default(), 40, token)
            );
            let scheduler = leader.scheduler.borrow();
            let machine = scheduler
                .as_ref()
                .and_then(|s| s.cluster.machines.first())
                .expect("one machine in the scheduler");
            assert_eq!((machine.sequence, machine.last_heartbeat), (39, leader.now()));
            drop(scheduler);
            leader.record_job_end(JOB, JobEnd::Cancelled);
            let (status, _, calls) = heartbeat_on_connection(&leader, &connection, 40, token);
            assert_eq!((status, calls), (200, vec!["\"kill\"".to_owned()]));
            // A node that no longer leads renews no lease, whatever its connections remember.
            leader.step_down(StepDownCause::Test);
            assert_eq!(heartbeat_on_connection(&leader, &connection, 41, token).0, 421);
        })
        .await;
}

/// The key-value store refuses only the leader while another node confirms a cancellation, and then
/// fails for all nodes. Checks how the leader answers its worker, depending on which frames from
/// the other node arrive.
#[tokio::test(start_paused = true)]
async fn leader_kills_a_task_cancelled_elsewhere_or_stops_renewing_its_lease_within_the_window() {
    tokio::task::LocalSet::new()
        .run_until(async {
            for (case, lost_for_ms) in
                [("frames arrive", 0), ("lost for a while", 3_000), ("lost for good", 60_000)]
            {
                let store = FakeStore::default();
                let mut cluster = cluster_with_running_task(&store).await;
                let leader = cluster.nodes[0].clone();
                assert_eq!(heartbeat_once(&leader, 1), (200, vec![]), "{case}");
                let answer = user_api::cancel(cluster.nodes[1].clone(), JOB).await;
                assert_eq!(answer.status, 200, "{case}: the cancellation was not confirmed");
                let confirmed = Instant::now();
                store.fault(Fault::Down);
                let requests_before = store.request_count.get();
                let window = Duration::from_micros(
                    walnutlug_scheduler::leadership::watermark::lease_renewal_window(&leader.site)
                        .0,
                );
                let mut sequence = 2;
                let mut kill_sent = false;
                while confirmed.elapsed() < Duration::from_secs(40) {
                    let frames_arrive = confirmed.elapsed() >= Duration::from_millis(lost_for_ms);
                    for node in &cluster.nodes {
                        node.broadcast_status();
                    }
                    cluster.deliver(|from, to| frames_arrive || (from, to) != (1, 0)).await;
                    let (status, calls) = heartbeat_once(&leader, sequence);
                    sequence += 1;
                    let has_command = !calls.is_empty();
                    assert!(
                        has_command || status == 421 || confirmed.elapsed() <= window,
                        "{case}: lease renewed without a kill command after {:?}",
                        confirmed.elapsed()
                    );
                    kill_sent |= has_command && status == 200;
                    assert_eq!(
                        has_command,
                        frames_arrive && status == 200,
                        "{case} at {:?}",
                        confirmed.elapsed()
                    );
                    tokio::time::advance(Duration::from_secs(1)).await;
                }
                assert_eq!(kill_sent, lost_for_ms < 40_000, "{case}");
                assert_eq!(
                    store.request_count.get(),
                    requests_before,
                    "{case}: no request may reach the store while it is down"
                );
            }
        })
        .await;
}

/// The node that confirmed the cancellation ends before a frame leaves it, and restarts at once
/// under the same name.
#[tokio::test(start_paused = true)]
async fn restarted_peer_does_not_vouch_for_cancellations_of_its_earlier_incarnation() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let store = FakeStore::default();
            let mut cluster = cluster_with_running_task(&store).await;
            let leader = cluster.nodes[0].clone();
            assert_eq!(user_api::cancel(cluster.nodes[1].clone(), JOB).await.status, 200);
            // These frames are lost with the process.
            assert!(!cluster.take(1, 0).await.is_empty());
            cluster.take(1, 2).await;
            store.fault(Fault::Down);
            let confirmed = Instant::now();
            let mut restarted_cluster = store.cluster(3);
            let restarted = restarted_cluster.nodes[1].clone();
            assert_ne!(restarted.identity.incarnation, cluster.nodes[1].identity.incarnation);
            for sequence in 2..42 {
                leader.broadcast_status();
                for frame in cluster.take(0, 1).await {
                    restarted.handle_frame(frame);
                }
                restarted.broadcast_status();
                for frame in restarted_cluster.take(1, 0).await {
                    leader.handle_frame(frame);
                }
                cluster.deliver(|from, to| (from, to) == (2, 0) || (from, to) == (0, 2)).await;
                let (status, calls) = heartbeat_once(&leader, sequence);
                assert!(calls.is_empty());
                let past_window = confirmed.elapsed() > Duration::from_secs(20);
                assert!(
                    !past_window || status == 421,
                    "lease still renewed after {:?}",
                    confirmed.elapsed()
                );
                tokio::time::advance(Duration::from_secs(1)).await;
            }
            // The store is back and its watch delivers the end: the task is killed and leases are
            // renewed again.
            store.fault(Fault::None);
            leader.record_job_end(JOB, JobEnd::Cancelled);
            leader.cancellations.job_ends_read(leader.now());
            let (status, calls) = heartbeat_once(&leader, 50);
            assert_eq!((status, calls.len()), (200, 1));
        })
        .await;
}

/// While the records are loading, a response would renew the lease of a task that may have been
/// cancelled long ago.
#[tokio::test(start_paused = true)]
async fn leader_renews_no_worker_lease_while_loading_the_records() {
    let node = FakeStore::default().node();
    for event in [ElectionEvent::Vacant, ElectionEvent::Won { term: Term(5) }] {
        node.leadership.borrow_mut().step(node.now(), event);
    }
    assert_eq!(heartbeat_once(&node, 1).0, 421);
}

/// The cancellation arrives after the ends were read and before the first round of the scheduler.
#[tokio::test(start_paused = true)]
async fn cancellation_received_while_loading_is_applied_when_the_scheduler_is_installed() {
    let store = FakeStore::default();
    let cluster = cluster_with_running_task(&store).await;
    let node = cluster.nodes[0].clone();
    let scheduler = node.scheduler.borrow_mut().take().expect("the leader's scheduler");
    node.leadership.borrow_mut().step(node.now(), ElectionEvent::Lost);
    for event in [ElectionEvent::Vacant, ElectionEvent::Won { term: Term(6) }] {
        node.leadership.borrow_mut().step(node.now(), event);
    }
    node.handle_frame(Frame::Cancellations(Cancellations {
        node: "kernel-1".into(),
        incarnation: cluster.nodes[1].identity.incarnation,
        first: 1,
        jobs: vec![JOB.into()],
    }));
    leader::install_scheduler(&node, scheduler);
    let open_jobs = node.scheduler.borrow().as_ref().map(|s| s.cluster.open_jobs());
    assert_eq!(open_jobs, Some(vec![]));
}
