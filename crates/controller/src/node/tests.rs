use super::*;
use crate::key_value_client::RequestClass;
use crate::user_api::fake_cluster::{Cluster, Fault, StandIn};
use walnutlug_scheduler::leadership::fencing_token::FencingToken;
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;

#[tokio::test(start_paused = true)]
async fn a_node_alone_refused_is_not_ready_and_one_among_all_is() {
    let store = StandIn::default();
    let node = store.node();
    let status = |store_reachable| Frame::Status {
        name: "kernel-1".into(),
        term: Term(3),
        leading: false,
        store_reachable,
        redirected: 0,
        incarnation: 1,
        count: 1 + u64::from(store_reachable),
    };
    assert!(!node.ready(), "never loaded");
    node.ready_once.set(true);
    assert!(node.ready());
    store.fault(Fault::Down);
    let _ = node.key_value.get(RequestClass::Poll, "x").await;
    tokio::time::advance(Duration::from_secs(2)).await;
    let _ = node.key_value.get(RequestClass::Poll, "x").await;
    node.peer_frame(status(false));
    assert!(node.ready(), "an outage for all");
    node.peer_frame(status(true));
    assert!(!node.ready(), "alone refused");
}

#[tokio::test(start_paused = true)]
async fn unknown_paths_and_wrong_methods_are_told_apart() {
    let node = StandIn::default().node();
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

/// Cut off from the key-value store and from the other nodes, while workers still reach it.
#[tokio::test(start_paused = true)]
async fn a_node_cut_off_from_state_and_peers_refuses_users_at_once() {
    let store = StandIn::default();
    let node = store.node();
    node.ready_once.set(true);
    store.fault(Fault::Down);
    tokio::time::advance(PEER_FRESH + Duration::from_secs(1)).await;
    let _ = node.key_value.get(RequestClass::Poll, "x").await;
    assert!(node.key_value.is_down());
    assert!(!node.ready(), "alone with an unserved state");
    let asked = store.asked.get();
    let before = Instant::now();
    let answer = user_api::poll(node.clone(), "req-000412").await;
    assert_eq!((answer.status, answer.retry_after), (503, Some(1)));
    assert_eq!(store.asked.get(), asked, "nobody is asked who does not answer");
    assert_eq!(before.elapsed(), Duration::ZERO);
    // The leader's own probe finds the service again.
    store.fault(Fault::None);
    let _ = node.key_value.get(RequestClass::Leadership, "x").await;
    assert!(!node.key_value.is_down() && node.ready());
}

#[tokio::test(start_paused = true)]
async fn a_status_of_a_former_life_says_nothing_of_now() {
    let node = StandIn::default().node();
    let status = |incarnation, count, store_reachable| Frame::Status {
        name: "kernel-1".into(),
        term: Term(0),
        leading: false,
        store_reachable,
        redirected: 0,
        incarnation,
        count,
    };
    node.peer_frame(status(7, 2, false));
    node.peer_frame(status(6, 90, true));
    node.peer_frame(status(7, 1, true));
    assert!(!node.some_peer_reaches_store());
    node.peer_frame(status(7, 3, true));
    assert!(node.some_peer_reaches_store());
    // Its clock wandered back over a quick restart: it is heard again after a while.
    node.peer_frame(status(5, 1, false));
    assert!(node.some_peer_reaches_store());
    tokio::time::advance(PEER_FRESH).await;
    node.peer_frame(status(5, 2, true));
    assert!(node.some_peer_reaches_store());
}

#[tokio::test(start_paused = true)]
async fn a_worker_is_let_go_before_users_lack_sockets() {
    let node = StandIn::default().node();
    let request = || Request { method: "POST".into(), path: "/hello".into(), body: vec![] };
    node.open.set(Sockets::share(node.settings.fd_limit).workers_kept);
    assert!(!handle(node.clone(), Rc::default(), request()).await.close);
    node.open.set(node.open.get() + 1);
    assert!(handle(node.clone(), Rc::default(), request()).await.close);
}

#[tokio::test(start_paused = true)]
async fn a_newer_term_ends_the_lead_and_an_older_one_does_not() {
    let node = StandIn::default().node();
    node.leadership.borrow_mut().step(node.now(), ElectionEvent::Vacant);
    node.leadership.borrow_mut().step(node.now(), ElectionEvent::Won { term: Term(5) });
    let status = |term| Frame::Status {
        name: "kernel-1".into(),
        term,
        leading: true,
        store_reachable: true,
        redirected: 0,
        incarnation: 1,
        count: term.get(),
    };
    node.peer_frame(status(Term(4)));
    assert_eq!(node.leadership.borrow().term(), Some(Term(5)));
    node.peer_frame(status(Term(6)));
    assert_eq!(node.leadership.borrow().term(), None);
    assert_eq!(node.other_leader().as_deref(), Some("kernel-1"));
}

pub const JOB: &str = "req-000412";

/// A leader of a task that runs, and two other nodes, each heard by all and vouched for.
pub async fn leader_with_a_task(store: &StandIn) -> Cluster {
    lead_with_a_task(store, store.cluster(3)).await
}

/// The same with the nodes given.
pub async fn lead_with_a_task(store: &StandIn, mut c: Cluster) -> Cluster {
    store.put(&keys::job(JOB), serde_json::json!(1));
    let node = c.nodes[0].clone();
    let mut s = Scheduler::new(
        node.site.clone(),
        node.tunables.clone(),
        Term(5),
        node.types.borrow().clone(),
        node.now(),
    );
    let todo = serde_json::json!({"spec": {
        "class": "c", "team": "one", "rank": "High", "tasks": 1, "cpus": 1.0, "gpus": 0.0,
        "memory_gb": 1.0, "image": "i", "image_gb": 1.0, "types": null, "zone": null,
        "one_zone": false, "spread": false, "spot": true, "estimate_s": 9.0,
        "checkpoint_s": 0.0, "save_s": 0.0, "deadline_s": null}, "at": 1, "chunk": 50});
    store.put(&keys::todo(JOB), todo.clone());
    assert!(s.add_job(node.now(), JOB, &todo, node.wall_us()));
    let value = serde_json::json!({"w": "x", "t": [[2, 1, "n-1", 1, 0]]});
    s.load_runs(
        node.now(),
        &[walnutlug_scheduler::protocol::key_value::KeyValue {
            key: keys::run(JOB, 0),
            value,
            revision: Revision(1),
        }],
    );
    for input in [
        ElectionEvent::Vacant,
        ElectionEvent::Won { term: Term(5) },
        ElectionEvent::Loaded { term: Term(5) },
    ] {
        node.leadership.borrow_mut().step(node.now(), input);
    }
    *node.scheduler.borrow_mut() = Some(s);
    for _ in 0..2 {
        for node in &c.nodes {
            node.broadcast_status();
        }
        c.deliver(|_, _| true).await;
        node.watermark.borrow_mut().read(node.now());
    }
    tokio::time::advance(Duration::from_millis(10)).await;
    c
}

/// The worker reports its task. The answer's status and calls.
fn report_once(node: &Node, sequence: u64) -> (u16, Vec<String>) {
    let (status, _, calls) =
        report_on(node, &WorkerConnection::default(), sequence, FencingToken(0));
    (status, calls)
}

/// The heartbeat of a worker without tasks.
pub fn idle_report(machine: &str, sequence: u64) -> String {
    let heartbeat = serde_json::json!({"tree": machine, "address": "10.0.0.1:1", "breed": "t8",
        "grove": "east", "windfall": true, "season": 1, "ring": sequence, "staff": 0, "shakeS": null,
        "nuts": []});
    heartbeat.to_string()
}

/// The heartbeat of a worker that runs the task and has seen the token.
pub fn report_of(sequence: u64, token: FencingToken) -> String {
    let heartbeat = serde_json::json!({"tree": "n-1", "address": "10.0.0.1:1", "breed": "t8",
        "grove": "east", "windfall": true, "season": 1, "ring": sequence, "staff": token, "shakeS": null,
        "nuts": [{"nut": format!("{JOB}/0"), "try": 1, "stage": "running"}]});
    heartbeat.to_string()
}

/// The same on a connection that remembers, by a worker that has seen the token. The answer's status,
/// token and calls.
fn report_on(
    node: &Node,
    last: &WorkerConnection,
    sequence: u64,
    token: FencingToken,
) -> (u16, FencingToken, Vec<String>) {
    let answer = worker_api::answer_heartbeat(node, last, report_of(sequence, token).as_bytes());
    let told: serde_json::Value = serde_json::from_slice(&answer.body).expect("json");
    let calls = told["calls"].as_array().into_iter().flatten();
    let calls = calls.map(|c| c["call"].to_string()).collect();
    (answer.status, FencingToken(told["staff"].as_u64().unwrap_or(0)), calls)
}

/// Whether the connection takes a heartbeat for its last one again.
fn remembers(last: &WorkerConnection, sequence: u64, token: FencingToken) -> bool {
    last.repetition(report_of(sequence, token).as_bytes())
        .is_some_and(|repetition| repetition.sequence == sequence)
}

#[tokio::test(start_paused = true)]
async fn a_repeated_report_is_answered_until_its_job_is_cancelled() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let store = StandIn::default();
            let c = leader_with_a_task(&store).await;
            let (leader, last) = (c.nodes[0].clone(), WorkerConnection::default());
            let (status, token, calls) = report_on(&leader, &last, 1, FencingToken(0));
            assert_eq!((status, calls), (200, vec![]));
            assert!(!remembers(&last, 2, token), "the worker hadn't seen the token");
            for sequence in 2..40 {
                tokio::time::advance(Duration::from_secs(1)).await;
                leader.watermark.borrow_mut().read(leader.now());
                assert_eq!(
                    report_on(&leader, &last, sequence, token),
                    (200, token, vec![]),
                    "{sequence}"
                );
            }
            assert!(remembers(&last, 40, token), "most of these were repetitions");
            assert!(
                !remembers(&last, 40, FencingToken(token.get() + 1))
                    && !remembers(&WorkerConnection::default(), 40, token)
            );
            let scheduler = leader.scheduler.borrow();
            let machine =
                scheduler.as_ref().and_then(|s| s.cluster.machines.first()).expect("a machine");
            assert_eq!((machine.sequence, machine.last_heartbeat), (39, leader.now()));
            drop(scheduler);
            leader.learn_end(JOB, JobEnd::Cancelled);
            let (status, _, calls) = report_on(&leader, &last, 40, token);
            assert_eq!((status, calls), (200, vec!["\"kill\"".to_owned()]));
            // One that no longer leads renews nothing, whatever it remembers.
            leader.step_down("for the test");
            assert_eq!(report_on(&leader, &last, 41, token).0, 421);
        })
        .await;
}

/// The key-value store refuses the leader alone, another node confirms a cancellation, then the service
/// is down for all. What the leader's worker is told, by what became of the frames.
#[tokio::test(start_paused = true)]
async fn the_gap_is_closed_whether_frames_arrive_or_not() {
    tokio::task::LocalSet::new()
        .run_until(async {
            for (meeting, lost_for) in
                [("frames arrive", 0), ("lost for a while", 3_000), ("lost for good", 60_000)]
            {
                let store = StandIn::default();
                let mut c = leader_with_a_task(&store).await;
                let leader = c.nodes[0].clone();
                assert_eq!(report_once(&leader, 1), (200, vec![]), "{meeting}");
                let answer = user_api::cancel(c.nodes[1].clone(), JOB).await;
                assert_eq!(answer.status, 200, "{meeting}: nothing was confirmed");
                let told = Instant::now();
                store.fault(Fault::Down);
                let asked = store.asked.get();
                let window = Duration::from_micros(
                    walnutlug_scheduler::leadership::watermark::window(&leader.site).0,
                );
                let mut sequence = 2;
                let mut killed = false;
                while told.elapsed() < Duration::from_secs(40) {
                    let open = told.elapsed() >= Duration::from_millis(lost_for);
                    for node in &c.nodes {
                        node.broadcast_status();
                    }
                    c.deliver(|from, to| open || (from, to) != (1, 0)).await;
                    let (status, calls) = report_once(&leader, sequence);
                    sequence += 1;
                    let knows = !calls.is_empty();
                    assert!(
                        knows || status == 421 || told.elapsed() <= window,
                        "{meeting}: renewed without a kill after {:?}",
                        told.elapsed()
                    );
                    killed |= knows && status == 200;
                    assert_eq!(knows, open && status == 200, "{meeting} at {:?}", told.elapsed());
                    tokio::time::advance(Duration::from_secs(1)).await;
                }
                assert_eq!(killed, lost_for < 40_000, "{meeting}");
                assert_eq!(store.asked.get(), asked, "{meeting}: the state service was down");
            }
        })
        .await;
}

/// The node that confirmed it ends before a frame left it, and is back at once under its name.
#[tokio::test(start_paused = true)]
async fn a_node_that_came_back_vouches_for_nothing_of_its_former_self() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let store = StandIn::default();
            let mut c = leader_with_a_task(&store).await;
            let leader = c.nodes[0].clone();
            assert_eq!(user_api::cancel(c.nodes[1].clone(), JOB).await.status, 200);
            // Lost with the process.
            assert!(!c.take(1, 0).await.is_empty());
            c.take(1, 2).await;
            store.fault(Fault::Down);
            let told = Instant::now();
            let mut fresh = store.cluster(3);
            let back = fresh.nodes[1].clone();
            assert_ne!(back.incarnation, c.nodes[1].incarnation);
            for sequence in 2..42 {
                leader.broadcast_status();
                for frame in c.take(0, 1).await {
                    back.peer_frame(frame);
                }
                back.broadcast_status();
                for frame in fresh.take(1, 0).await {
                    leader.peer_frame(frame);
                }
                c.deliver(|from, to| (from, to) == (2, 0) || (from, to) == (0, 2)).await;
                let (status, calls) = report_once(&leader, sequence);
                assert!(calls.is_empty());
                let late = told.elapsed() > Duration::from_secs(20);
                assert!(!late || status == 421, "renewed after {:?}", told.elapsed());
                tokio::time::advance(Duration::from_secs(1)).await;
            }
            // The service is back, and its watch tells the end: killed, and renewed again.
            store.fault(Fault::None);
            leader.learn_end(JOB, JobEnd::Cancelled);
            leader.watermark.borrow_mut().read(leader.now());
            let (status, calls) = report_once(&leader, 50);
            assert_eq!((status, calls.len()), (200, 1));
        })
        .await;
}

/// While the records are read, an answer would renew what may have been cancelled long ago.
#[tokio::test(start_paused = true)]
async fn a_leader_that_reads_its_records_renews_no_lease() {
    let node = StandIn::default().node();
    for input in [ElectionEvent::Vacant, ElectionEvent::Won { term: Term(5) }] {
        node.leadership.borrow_mut().step(node.now(), input);
    }
    assert_eq!(report_once(&node, 1).0, 421);
}

/// A cancellation that is heard of between the reading of the ends and the first round.
#[tokio::test(start_paused = true)]
async fn an_end_told_while_the_records_are_read_is_in_the_book() {
    let store = StandIn::default();
    let c = leader_with_a_task(&store).await;
    let node = c.nodes[0].clone();
    let registry = node.scheduler.borrow_mut().take().expect("a registry");
    node.leadership.borrow_mut().step(node.now(), ElectionEvent::Lost);
    for input in [ElectionEvent::Vacant, ElectionEvent::Won { term: Term(6) }] {
        node.leadership.borrow_mut().step(node.now(), input);
    }
    node.peer_frame(Frame::Cancellations {
        node: "kernel-1".into(),
        incarnation: c.nodes[1].incarnation,
        first: 1,
        jobs: vec![JOB.into()],
    });
    leader::install(&node, registry);
    let open = node.scheduler.borrow().as_ref().map(|s| s.cluster.open_jobs());
    assert_eq!(open, Some(vec![]));
}
