use std::rc::Rc;

use tokio::time::{Duration, Instant};
use walnutlug_scheduler::leadership::fencing_token::FencingToken;
use walnutlug_scheduler::leadership::watermark::lease_renewal_window;
use walnutlug_scheduler::model::job_spec::JobEnd;

use super::follower::{request_delegation, send_repeated_heartbeats};
use super::leader::{balance_workers, send_invalidations};
use crate::heartbeat_delegation::{FOLLOWER_TIMEOUT, RESPONSE_TIMEOUT};
use crate::node::tests::{
    cluster_with_running_task, elect_leader_with_running_task, idle_heartbeat,
    running_task_heartbeat, JOB,
};
use crate::node::Node;
use crate::peers::{Frame, MAX_FORWARDED_BYTES};
use crate::settings::SocketBudget;
use crate::user_api;
use crate::user_api::fake_cluster::{Cluster, FakeStore, Fault};
use crate::worker_api::{self, WorkerConnection};

/// Sends a worker's heartbeat to a node and delivers frames until it is answered. Returns the
/// status, token and commands of the response.
async fn heartbeat(
    cluster: &mut Cluster,
    at: usize,
    connection: &Rc<WorkerConnection>,
    sequence: u64,
    token: FencingToken,
) -> (u16, FencingToken, Vec<String>) {
    let (node, connection) = (cluster.nodes[at].clone(), connection.clone());
    let body = running_task_heartbeat(sequence, token);
    let answer = tokio::task::spawn_local(async move {
        worker_api::heartbeat(&node, &connection, body.as_bytes()).await
    });
    for _ in 0..8 {
        tokio::task::yield_now().await;
        cluster.deliver(|_, _| true).await;
    }
    let answer = answer.await.expect("heartbeat task finished");
    let response: serde_json::Value =
        serde_json::from_slice(&answer.body).expect("response body is JSON");
    let calls = response["calls"].as_array().into_iter().flatten();
    let calls = calls.map(|c| c["call"].as_str().unwrap_or_default().to_owned()).collect();
    (answer.status, FencingToken(response["staff"].as_u64().unwrap_or(0)), calls)
}

/// Creates a cluster in which node 0 leads with one running task and node 1 may answer workers.
async fn cluster_with_delegation(store: &FakeStore) -> Cluster {
    let cluster = cluster_with_running_task(store).await;
    delegate_to_node_1(cluster).await
}

async fn delegate_to_node_1(mut cluster: Cluster) -> Cluster {
    request_delegation(&cluster.nodes[1]);
    for _ in 0..4 {
        cluster.deliver(|_, _| true).await;
    }
    assert!(cluster.nodes[1]
        .delegation
        .follower()
        .forwarding_term(cluster.nodes[1].now())
        .is_some());
    cluster
}

/// Creates the same cluster, in which node 1 also answers repetitions of a cached heartbeat.
/// Returns the worker's connection, the next sequence number and the token as well.
async fn cluster_with_cached_heartbeat(
    store: &FakeStore,
) -> (Cluster, Rc<WorkerConnection>, u64, FencingToken) {
    let mut cluster = cluster_with_delegation(store).await;
    let connection = Rc::new(WorkerConnection::default());
    let (status, token, calls) = heartbeat(&mut cluster, 1, &connection, 1, FencingToken(0)).await;
    assert_eq!((status, calls), (200, vec![]), "the first heartbeat is answered by the leader");
    assert_eq!(heartbeat(&mut cluster, 1, &connection, 2, token).await, (200, token, vec![]));
    assert!(follower_can_answer(&cluster, &connection, 3, token), "the heartbeat should be cached");
    (cluster, connection, 3, token)
}

/// Returns whether the follower would answer the heartbeat without asking the leader.
fn follower_can_answer(
    cluster: &Cluster,
    connection: &WorkerConnection,
    sequence: u64,
    token: FencingToken,
) -> bool {
    cluster.nodes[1]
        .repeated_heartbeat_token(connection, running_task_heartbeat(sequence, token).as_bytes())
        .is_some()
}

#[tokio::test(start_paused = true)]
async fn follower_answers_a_cached_heartbeat_and_reports_it_to_the_leader() {
    let test = async {
        let store = FakeStore::default();
        let (mut cluster, connection, sequence, token) =
            cluster_with_cached_heartbeat(&store).await;
        tokio::time::advance(Duration::from_secs(1)).await;
        let answer = heartbeat(&mut cluster, 1, &connection, sequence + 4, token).await;
        assert_eq!(answer, (200, token, vec![]));
        send_repeated_heartbeats(&cluster.nodes[1]);
        cluster.deliver(|_, _| true).await;
        let scheduler = cluster.nodes[0].scheduler.borrow();
        let machine = scheduler
            .as_ref()
            .and_then(|s| s.cluster.machines.first())
            .expect("one machine in the scheduler");
        assert_eq!(
            (machine.sequence, machine.last_heartbeat),
            (sequence + 4, cluster.nodes[0].now())
        );
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn cancelling_a_job_at_the_leader_invalidates_the_followers_cached_heartbeats() {
    let test = async {
        let store = FakeStore::default();
        let (mut cluster, connection, sequence, token) =
            cluster_with_cached_heartbeat(&store).await;
        cluster.nodes[0].record_job_end(JOB, JobEnd::Cancelled);
        send_invalidations(&cluster.nodes[0]);
        cluster.deliver(|_, _| true).await;
        assert!(!follower_can_answer(&cluster, &connection, sequence, token));
        let (status, _, calls) = heartbeat(&mut cluster, 1, &connection, sequence, token).await;
        assert_eq!((status, calls), (200, vec!["kill".to_owned()]));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The key-value store fails for all nodes and the follower receives no messages, after another
/// node has confirmed that the job is cancelled.
#[tokio::test(start_paused = true)]
async fn isolated_follower_stops_renewing_leases_within_the_watermark_window() {
    let test = async {
        let store = FakeStore::default();
        let (cluster, connection, mut sequence, token) =
            cluster_with_cached_heartbeat(&store).await;
        let cancelled_at = cluster.nodes[1].now();
        assert_eq!(user_api::cancel(cluster.nodes[2].clone(), JOB).await.status, 200);
        store.fault(Fault::Down);
        let window = Duration::from_micros(lease_renewal_window(&cluster.nodes[1].site).0);
        let began = Instant::now();
        let (mut answered, mut last_answered_after) = (0, Duration::ZERO);
        while began.elapsed() < window * 2 {
            if follower_can_answer(&cluster, &connection, sequence, token) {
                answered += 1;
                last_answered_after = began.elapsed();
            }
            sequence += 1;
            tokio::time::advance(Duration::from_millis(100)).await;
        }
        assert!(answered > 20, "the follower answered only {answered} times");
        assert!(
            last_answered_after <= window,
            "cancelled at {cancelled_at:?}, but still answered after {last_answered_after:?}"
        );
        // Once the window has passed, the follower redirects the worker.
        let body = running_task_heartbeat(sequence, token);
        let answer = worker_api::heartbeat(&cluster.nodes[1], &connection, body.as_bytes()).await;
        assert_eq!(answer.status, 421);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn follower_detects_a_lost_invalidation_at_the_next_grant() {
    let test = async {
        let store = FakeStore::default();
        let (mut cluster, connection, sequence, token) =
            cluster_with_cached_heartbeat(&store).await;
        cluster.nodes[0].record_job_end(JOB, JobEnd::Cancelled);
        send_invalidations(&cluster.nodes[0]);
        cluster.deliver(|_, _| false).await;
        assert!(
            follower_can_answer(&cluster, &connection, sequence, token),
            "the follower has not received the invalidation"
        );
        request_delegation(&cluster.nodes[1]);
        for _ in 0..3 {
            cluster.deliver(|_, _| true).await;
        }
        assert!(!follower_can_answer(&cluster, &connection, sequence, token));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// A grant states up to when the leader knows all cancellations, so the invalidations from before
/// it must arrive first.
#[tokio::test(start_paused = true)]
async fn leader_sends_pending_invalidations_before_a_grant() {
    let test = async {
        let store = FakeStore::default();
        let (mut cluster, connection, sequence, token) =
            cluster_with_cached_heartbeat(&store).await;
        cluster.nodes[0].record_job_end(JOB, JobEnd::Cancelled);
        request_delegation(&cluster.nodes[1]);
        for _ in 0..3 {
            cluster.deliver(|_, _| true).await;
        }
        assert!(!follower_can_answer(&cluster, &connection, sequence, token));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn worker_is_redirected_when_the_leader_does_not_answer_its_forwarded_heartbeat() {
    let test = async {
        let store = FakeStore::default();
        let mut cluster = cluster_with_delegation(&store).await;
        let (node, connection) = (cluster.nodes[1].clone(), WorkerConnection::default());
        let body = running_task_heartbeat(1, FencingToken(0));
        let began = Instant::now();
        let answer = worker_api::heartbeat(&node, &connection, body.as_bytes()).await;
        assert_eq!(answer.status, 421);
        assert!(String::from_utf8_lossy(&answer.body).contains("keeper"));
        assert!(
            began.elapsed() <= RESPONSE_TIMEOUT,
            "must be answered before the worker's timeout of four seconds"
        );
        assert_eq!(node.delegation.follower().pending(), 0);
        // The leader's response arrives after the timeout and is discarded.
        for _ in 0..3 {
            cluster.deliver(|_, _| true).await;
        }
        // Without a valid grant the worker is redirected at once.
        tokio::time::advance(Duration::from_secs(4)).await;
        let began = Instant::now();
        assert_eq!(worker_api::heartbeat(&node, &connection, body.as_bytes()).await.status, 421);
        assert_eq!(began.elapsed(), Duration::ZERO);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The number of heartbeats that wait for a leader that does not respond is limited; above it,
/// workers are redirected at once.
#[tokio::test(start_paused = true)]
async fn forwarded_heartbeats_above_the_limit_are_redirected_at_once() {
    let test = async {
        let store = FakeStore::default();
        let cluster = cluster_with_delegation(&store).await;
        let node = cluster.nodes[1].clone();
        let max_pending = SocketBudget::for_limit(node.settings.fd_limit).inbound as usize;
        let send_heartbeat = |node: Rc<Node>| async move {
            let body = running_task_heartbeat(1, FencingToken(0));
            worker_api::heartbeat(&node, &WorkerConnection::default(), body.as_bytes()).await
        };
        let responses: Vec<_> = (0..max_pending)
            .map(|_| tokio::task::spawn_local(send_heartbeat(node.clone())))
            .collect();
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert_eq!(node.delegation.follower().pending(), max_pending);
        let began = Instant::now();
        assert_eq!(send_heartbeat(node.clone()).await.status, 421);
        assert_eq!(began.elapsed(), Duration::ZERO);
        for response in responses {
            assert_eq!(response.await.expect("heartbeat task finished").status, 421);
        }
        assert_eq!(
            node.delegation.follower().pending(),
            0,
            "redirected heartbeats must not stay pending"
        );
        // A heartbeat that does not fit into a frame is not forwarded.
        let oversized = format!(
            "{}{}",
            running_task_heartbeat(1, FencingToken(0)),
            " ".repeat(MAX_FORWARDED_BYTES)
        );
        let answer =
            worker_api::heartbeat(&node, &WorkerConnection::default(), oversized.as_bytes()).await;
        assert_eq!(answer.status, 421);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// All workers of a fleet of 4,200 send a new heartbeat to one follower at once. None is redirected
/// and no frame finds the queue full. An earlier version let at most 1,000 heartbeats wait,
/// whatever the settings said.
#[tokio::test(start_paused = true)]
async fn follower_forwards_4_200_simultaneous_heartbeats_without_dropping_any() {
    const WORKERS: usize = 4_200;
    const MAX_FRAME_BYTES: usize = 600;
    let test = async {
        let store = FakeStore::default();
        let mut settings = crate::settings::tests::sample();
        settings["facts"]["resources"]["fd_limit"] = serde_json::json!(WORKERS * 3 / 2);
        let cluster = store.cluster_of(3, &settings);
        let mut cluster =
            delegate_to_node_1(elect_leader_with_running_task(&store, cluster).await).await;
        let node = cluster.nodes[1].clone();
        let send_heartbeat = |machine: usize| {
            let node = node.clone();
            async move {
                let body = idle_heartbeat(&format!("n-{machine:06}"), 1);
                let connection = WorkerConnection::default();
                worker_api::heartbeat(&node, &connection, body.as_bytes()).await.status
            }
        };
        let responses: Vec<_> =
            (0..WORKERS).map(|i| tokio::task::spawn_local(send_heartbeat(i))).collect();
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert_eq!(node.delegation.follower().pending(), WORKERS);
        let frames = cluster.take(1, 0).await;
        let bytes: usize = frames.iter().map(|frame| frame.encode().len()).sum();
        assert!(bytes <= WORKERS * MAX_FRAME_BYTES, "{bytes} bytes are queued");
        let heartbeats =
            frames.iter().filter(|f| matches!(f, Frame::ForwardedHeartbeat(_))).count();
        assert_eq!(heartbeats, WORKERS, "each heartbeat is forwarded in its own frame");
        for frame in frames {
            cluster.nodes[0].handle_frame(frame);
        }
        cluster.deliver(|_, _| true).await;
        for response in responses {
            assert_eq!(response.await.expect("heartbeat task finished"), 200);
        }
        assert_eq!(node.delegation.follower().pending(), 0);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn restarted_follower_does_not_answer_from_its_earlier_cache() {
    let test = async {
        let store = FakeStore::default();
        let (mut cluster, connection, sequence, token) =
            cluster_with_cached_heartbeat(&store).await;
        cluster.nodes[1].delegation.follower().forget_grants(&cluster.nodes[1].site);
        assert!(!follower_can_answer(&cluster, &connection, sequence, token));
        request_delegation(&cluster.nodes[1]);
        for _ in 0..3 {
            cluster.deliver(|_, _| true).await;
        }
        assert!(
            !follower_can_answer(&cluster, &connection, sequence, token),
            "a new grant must not restore the cached heartbeats"
        );
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn leader_redirects_excess_workers_to_the_least_loaded_follower_after_their_first_heartbeat()
{
    let test = async {
        let store = FakeStore::default();
        let mut cluster = cluster_with_delegation(&store).await;
        for node in [1, 2] {
            cluster.nodes[node].delegation.worker_connections().set(100 * node as u32);
            request_delegation(&cluster.nodes[node]);
        }
        for _ in 0..3 {
            cluster.deliver(|_, _| true).await;
        }
        cluster.nodes[0].delegation.worker_connections().set(300);
        balance_workers(&cluster.nodes[0]);
        let (node, connection) = (cluster.nodes[0].clone(), WorkerConnection::default());
        let body = running_task_heartbeat(1, FencingToken(0));
        assert_eq!(worker_api::heartbeat(&node, &connection, body.as_bytes()).await.status, 200);
        let body = running_task_heartbeat(2, FencingToken(0));
        let answer = worker_api::heartbeat(&node, &connection, body.as_bytes()).await;
        let redirect_body = format!("{{\"keeper\":\"{}\"}}", cluster.nodes[1].settings.node_name);
        assert_eq!(
            (answer.status, String::from_utf8_lossy(&answer.body).as_ref()),
            (421, &*redirect_body)
        );
        // A node with no more than its share of workers redirects none, and neither does the leader
        // once no follower requests delegations any more.
        node.delegation.worker_connections().set(40);
        balance_workers(&node);
        assert_eq!(node.delegation.take_redirect_target(100), None);
        node.delegation.worker_connections().set(300);
        tokio::time::advance(FOLLOWER_TIMEOUT).await;
        balance_workers(&node);
        assert_eq!(node.delegation.take_redirect_target(100), None);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
