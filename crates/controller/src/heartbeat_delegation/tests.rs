use super::*;
use crate::node::tests::{idle_report, lead_with_a_task, leader_with_a_task, report_of, JOB};
use crate::settings::Sockets;
use crate::user_api;
use crate::user_api::fake_cluster::{Cluster, Fault, StandIn};
use walnutlug_scheduler::leadership::fencing_token::FencingToken;
use walnutlug_scheduler::leadership::watermark::window;
use walnutlug_scheduler::model::job_spec::JobEnd;

/// A worker's heartbeat to a node, with frames delivered meanwhile. The status, the token and the calls.
async fn heartbeat(
    c: &mut Cluster,
    at: usize,
    connection: &Rc<WorkerConnection>,
    sequence: u64,
    token: FencingToken,
) -> (u16, FencingToken, Vec<String>) {
    let (node, connection) = (c.nodes[at].clone(), connection.clone());
    let body = report_of(sequence, token);
    let answer = tokio::task::spawn_local(async move {
        worker_api::heartbeat(&node, &connection, body.as_bytes()).await
    });
    for _ in 0..8 {
        tokio::task::yield_now().await;
        c.deliver(|_, _| true).await;
    }
    let answer = answer.await.expect("an answer");
    let told: serde_json::Value = serde_json::from_slice(&answer.body).expect("json");
    let calls = told["calls"].as_array().into_iter().flatten();
    let calls = calls.map(|c| c["call"].as_str().unwrap_or_default().to_owned()).collect();
    (answer.status, FencingToken(told["staff"].as_u64().unwrap_or(0)), calls)
}

/// Node 0 leads and has a running task; node 1 was granted its share of the workers.
async fn store_reachable(store: &StandIn) -> Cluster {
    let cluster = leader_with_a_task(store).await;
    grant_a_share(cluster).await
}

async fn grant_a_share(mut c: Cluster) -> Cluster {
    ask(&c.nodes[1]);
    for _ in 0..4 {
        c.deliver(|_, _| true).await;
    }
    assert!(c.nodes[1].serving.leader.borrow().forwarding_term(c.nodes[1].now()).is_some());
    c
}

/// The same, and node 1 answers repetitions by itself: the next sequence number and the token.
async fn repeating(store: &StandIn) -> (Cluster, Rc<WorkerConnection>, u64, FencingToken) {
    let mut c = store_reachable(store).await;
    let connection = Rc::new(WorkerConnection::default());
    let (status, token, calls) = heartbeat(&mut c, 1, &connection, 1, FencingToken(0)).await;
    assert_eq!((status, calls), (200, vec![]), "the leader's answer");
    assert_eq!(heartbeat(&mut c, 1, &connection, 2, token).await, (200, token, vec![]));
    assert!(repeats(&c, &connection, 3, token), "a settled report");
    (c, connection, 3, token)
}

/// Whether the follower would answer the heartbeat by itself.
fn repeats(c: &Cluster, connection: &WorkerConnection, sequence: u64, token: FencingToken) -> bool {
    repeated(&c.nodes[1], connection, report_of(sequence, token).as_bytes()).is_some()
}

#[tokio::test(start_paused = true)]
async fn a_follower_answers_what_is_settled_and_the_leader_hears_of_it() {
    let test = async {
        let store = StandIn::default();
        let (mut c, connection, sequence, token) = repeating(&store).await;
        tokio::time::advance(Duration::from_secs(1)).await;
        let answer = heartbeat(&mut c, 1, &connection, sequence + 4, token).await;
        assert_eq!(answer, (200, token, vec![]));
        send_repeated_heartbeats(&c.nodes[1]);
        c.deliver(|_, _| true).await;
        let scheduler = c.nodes[0].scheduler.borrow();
        let machine =
            scheduler.as_ref().and_then(|s| s.cluster.machines.first()).expect("a machine");
        assert_eq!((machine.sequence, machine.last_heartbeat), (sequence + 4, c.nodes[0].now()));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn a_cancellation_that_the_leader_hears_of_ends_what_its_follower_may_answer() {
    let test = async {
        let store = StandIn::default();
        let (mut c, connection, sequence, token) = repeating(&store).await;
        c.nodes[0].learn_end(JOB, JobEnd::Cancelled);
        send_invalidations(&c.nodes[0]);
        c.deliver(|_, _| true).await;
        assert!(!repeats(&c, &connection, sequence, token));
        let (status, _, calls) = heartbeat(&mut c, 1, &connection, sequence, token).await;
        assert_eq!((status, calls), (200, vec!["kill".to_owned()]));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The key-value store refuses everybody and the follower hears of nobody, while another node confirms that
/// the job is cancelled.
#[tokio::test(start_paused = true)]
async fn a_follower_that_is_cut_off_renews_no_longer_than_the_window() {
    let test = async {
        let store = StandIn::default();
        let (c, connection, mut sequence, token) = repeating(&store).await;
        let told_before = c.nodes[1].now();
        assert_eq!(user_api::cancel(c.nodes[2].clone(), JOB).await.status, 200);
        store.fault(Fault::Down);
        let window = Duration::from_micros(window(&c.nodes[1].site).0);
        let began = Instant::now();
        let (mut answered, mut last) = (0, Duration::ZERO);
        while began.elapsed() < window * 2 {
            if repeats(&c, &connection, sequence, token) {
                answered += 1;
                last = began.elapsed();
            }
            sequence += 1;
            tokio::time::advance(Duration::from_millis(100)).await;
        }
        assert!(answered > 20, "it answered {answered} times");
        assert!(last <= window, "told at {told_before:?}, renewed {last:?} later");
        // Then it sends the worker on.
        let body = report_of(sequence, token);
        let answer = worker_api::heartbeat(&c.nodes[1], &connection, body.as_bytes()).await;
        assert_eq!(answer.status, 421);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn a_lost_withdrawal_shows_with_the_next_grant() {
    let test = async {
        let store = StandIn::default();
        let (mut c, connection, sequence, token) = repeating(&store).await;
        c.nodes[0].learn_end(JOB, JobEnd::Cancelled);
        send_invalidations(&c.nodes[0]);
        c.deliver(|_, _| false).await;
        assert!(repeats(&c, &connection, sequence, token), "it hasn't heard");
        ask(&c.nodes[1]);
        for _ in 0..3 {
            c.deliver(|_, _| true).await;
        }
        assert!(!repeats(&c, &connection, sequence, token));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// A grant says how far the leader's knowledge goes, so what it has withdrawn has to come first.
#[tokio::test(start_paused = true)]
async fn a_grant_comes_after_what_the_leader_withdrew_before_it() {
    let test = async {
        let store = StandIn::default();
        let (mut c, connection, sequence, token) = repeating(&store).await;
        c.nodes[0].learn_end(JOB, JobEnd::Cancelled);
        ask(&c.nodes[1]);
        for _ in 0..3 {
            c.deliver(|_, _| true).await;
        }
        assert!(!repeats(&c, &connection, sequence, token));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn a_worker_goes_to_the_leader_when_its_answer_does_not_come() {
    let test = async {
        let store = StandIn::default();
        let mut c = store_reachable(&store).await;
        let (node, connection) = (c.nodes[1].clone(), WorkerConnection::default());
        let body = report_of(1, FencingToken(0));
        let began = Instant::now();
        let answer = worker_api::heartbeat(&node, &connection, body.as_bytes()).await;
        assert_eq!(answer.status, 421);
        assert!(String::from_utf8_lossy(&answer.body).contains("keeper"));
        assert!(began.elapsed() <= ANSWER_WITHIN, "the worker waits for four seconds");
        assert!(node.serving.waiting.borrow().is_empty());
        // The answer that comes after all is for nobody.
        for _ in 0..3 {
            c.deliver(|_, _| true).await;
        }
        // And without a grant it is told so at once.
        tokio::time::advance(Duration::from_secs(4)).await;
        let began = Instant::now();
        assert_eq!(worker_api::heartbeat(&node, &connection, body.as_bytes()).await.status, 421);
        assert_eq!(began.elapsed(), Duration::ZERO);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Reports that wait for a leader that doesn't answer are bounded; beyond that workers are sent on at once.
#[tokio::test(start_paused = true)]
async fn only_so_many_reports_wait_for_the_leader() {
    let test = async {
        let store = StandIn::default();
        let c = store_reachable(&store).await;
        let node = c.nodes[1].clone();
        let most = Sockets::share(node.settings.fd_limit).inbound as usize;
        let ask = |node: Rc<Node>| async move {
            let body = report_of(1, FencingToken(0));
            worker_api::heartbeat(&node, &WorkerConnection::default(), body.as_bytes()).await
        };
        let waiting: Vec<_> =
            (0..most).map(|_| tokio::task::spawn_local(ask(node.clone()))).collect();
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert_eq!(node.serving.waiting.borrow().len(), most);
        let began = Instant::now();
        assert_eq!(ask(node.clone()).await.status, 421);
        assert_eq!(began.elapsed(), Duration::ZERO);
        for one in waiting {
            assert_eq!(one.await.expect("an answer").status, 421);
        }
        assert!(node.serving.waiting.borrow().is_empty(), "what was refused can come again");
        // A heartbeat longer than a frame goes to the leader itself.
        let long = format!("{}{}", report_of(1, FencingToken(0)), " ".repeat(MAX_CARRIED));
        let answer =
            worker_api::heartbeat(&node, &WorkerConnection::default(), long.as_bytes()).await;
        assert_eq!(answer.status, 421);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// All workers of a fleet of 4,200 report something new to one follower at once: none is sent away, and no
/// frame finds the queue full. (At most 1,000 reports waited once, whatever the settings said.)
#[tokio::test(start_paused = true)]
async fn a_burst_of_reports_from_4_200_workers_waits_for_the_leader() {
    const WORKERS: usize = 4_200;
    const MAX_FRAME_BYTES: usize = 600;
    let test = async {
        let store = StandIn::default();
        let mut settings = crate::settings::tests::sample();
        settings["facts"]["resources"]["fd_limit"] = serde_json::json!(WORKERS * 3 / 2);
        let cluster = store.cluster_of(3, &settings);
        let mut c = grant_a_share(lead_with_a_task(&store, cluster).await).await;
        let node = c.nodes[1].clone();
        let ask = |machine: usize| {
            let node = node.clone();
            async move {
                let body = idle_report(&format!("n-{machine:06}"), 1);
                let connection = WorkerConnection::default();
                worker_api::heartbeat(&node, &connection, body.as_bytes()).await.status
            }
        };
        let waiting: Vec<_> = (0..WORKERS).map(|i| tokio::task::spawn_local(ask(i))).collect();
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert_eq!(node.serving.waiting.borrow().len(), WORKERS);
        let frames = c.take(1, 0).await;
        let bytes: usize = frames.iter().map(|frame| frame.encode().len()).sum();
        assert!(bytes <= WORKERS * MAX_FRAME_BYTES, "{bytes} bytes wait");
        let heartbeats =
            frames.iter().filter(|f| matches!(f, Frame::ForwardedHeartbeat(_))).count();
        assert_eq!(heartbeats, WORKERS, "each in a frame of its own");
        for frame in frames {
            c.nodes[0].peer_frame(frame);
        }
        c.deliver(|_, _| true).await;
        for one in waiting {
            assert_eq!(one.await.expect("an answer"), 200);
        }
        assert!(node.serving.waiting.borrow().is_empty());
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Workers are spread anew within a minute, whatever their number.
#[test]
fn more_workers_are_moved_where_there_are_more() {
    assert_eq!(most_moved(500), LEAST_MOVED);
    assert_eq!(most_moved(4_200), 70);
}

#[tokio::test(start_paused = true)]
async fn a_new_life_of_a_follower_answers_nothing_of_its_former_ones_marks() {
    let test = async {
        let store = StandIn::default();
        let (mut c, connection, sequence, token) = repeating(&store).await;
        *c.nodes[1].serving.leader.borrow_mut() = FollowerDelegation::new(&c.nodes[1].site);
        assert!(!repeats(&c, &connection, sequence, token));
        ask(&c.nodes[1]);
        for _ in 0..3 {
            c.deliver(|_, _| true).await;
        }
        assert!(!repeats(&c, &connection, sequence, token), "granted anew, with no marks");
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn the_leader_sends_workers_to_the_follower_with_fewest_and_not_with_their_first_report() {
    let test = async {
        let store = StandIn::default();
        let mut c = store_reachable(&store).await;
        for node in [1, 2] {
            c.nodes[node].serving.workers.set(100 * node as u32);
            ask(&c.nodes[node]);
        }
        for _ in 0..3 {
            c.deliver(|_, _| true).await;
        }
        c.nodes[0].serving.workers.set(300);
        balance(&c.nodes[0]);
        let (node, connection) = (c.nodes[0].clone(), WorkerConnection::default());
        let body = report_of(1, FencingToken(0));
        assert_eq!(worker_api::heartbeat(&node, &connection, body.as_bytes()).await.status, 200);
        let body = report_of(2, FencingToken(0));
        let answer = worker_api::heartbeat(&node, &connection, body.as_bytes()).await;
        let to = format!("{{\"keeper\":\"{}\"}}", c.nodes[1].settings.node_name);
        assert_eq!((answer.status, String::from_utf8_lossy(&answer.body).as_ref()), (421, &*to));
        // Within its part it keeps them, and so does everybody when no follower asks any more.
        node.serving.workers.set(40);
        balance(&node);
        assert_eq!(node.serving.another_node_for(100), None);
        node.serving.workers.set(300);
        tokio::time::advance(FOLLOWER_FRESH).await;
        balance(&node);
        assert_eq!(node.serving.another_node_for(100), None);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
