use super::*;
use crate::users::stand_in::{Fault, StandIn};

#[tokio::test(start_paused = true)]
async fn a_node_alone_refused_is_not_ready_and_one_among_all_is() {
    let store = StandIn::default();
    let node = store.node();
    let status = |served| Frame::Status {
        name: "kernel-1".into(),
        term: 3,
        leading: false,
        served,
        redirected: 0,
        life: 1,
        count: 1 + u64::from(served),
    };
    assert!(!node.ready(), "never loaded");
    node.ready_once.set(true);
    assert!(node.ready());
    store.fault(Fault::Down);
    let _ = node.state.get(Class::Poll, "x").await;
    tokio::time::advance(Duration::from_secs(2)).await;
    let _ = node.state.get(Class::Poll, "x").await;
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
        assert_eq!(handle(node.clone(), request).await.status, status, "{method} {path}");
    }
}

/// Cut off from the state service and from the other nodes, while workers still reach it.
#[tokio::test(start_paused = true)]
async fn a_node_cut_off_from_state_and_peers_refuses_users_at_once() {
    let store = StandIn::default();
    let node = store.node();
    node.ready_once.set(true);
    store.fault(Fault::Down);
    tokio::time::advance(PEER_FRESH + Duration::from_secs(1)).await;
    let _ = node.state.get(Class::Poll, "x").await;
    assert!(node.state.down());
    assert!(!node.ready(), "alone with an unserved state");
    let asked = store.asked.get();
    let before = Instant::now();
    let answer = users::poll(node.clone(), "req-000412").await;
    assert_eq!((answer.status, answer.retry_after), (503, Some(1)));
    assert_eq!(store.asked.get(), asked, "nobody is asked who does not answer");
    assert_eq!(before.elapsed(), Duration::ZERO);
    // The leader's own probe finds the service again.
    store.fault(Fault::None);
    let _ = node.state.get(Class::Leadership, "x").await;
    assert!(!node.state.down() && node.ready());
}

#[tokio::test(start_paused = true)]
async fn a_status_of_a_former_life_says_nothing_of_now() {
    let node = StandIn::default().node();
    let status = |life, count, served| Frame::Status {
        name: "kernel-1".into(),
        term: 0,
        leading: false,
        served,
        redirected: 0,
        life,
        count,
    };
    node.peer_frame(status(7, 2, false));
    node.peer_frame(status(6, 90, true));
    node.peer_frame(status(7, 1, true));
    assert!(!node.a_peer_is_served());
    node.peer_frame(status(7, 3, true));
    assert!(node.a_peer_is_served());
    // Its clock wandered back over a quick restart: it is heard again after a while.
    node.peer_frame(status(5, 1, false));
    assert!(node.a_peer_is_served());
    tokio::time::advance(PEER_FRESH).await;
    node.peer_frame(status(5, 2, true));
    assert!(node.a_peer_is_served());
}

#[tokio::test(start_paused = true)]
async fn a_worker_is_let_go_before_users_lack_sockets() {
    let node = StandIn::default().node();
    let hello = || Request { method: "POST".into(), path: "/hello".into(), body: vec![] };
    node.open.set(Sockets::share(node.settings.fd_limit).workers_kept);
    assert!(!handle(node.clone(), hello()).await.close);
    node.open.set(node.open.get() + 1);
    assert!(handle(node.clone(), hello()).await.close);
}

#[tokio::test(start_paused = true)]
async fn a_newer_term_ends_the_lead_and_an_older_one_does_not() {
    let node = StandIn::default().node();
    node.leadership.borrow_mut().step(node.now(), Input::Vacant);
    node.leadership.borrow_mut().step(node.now(), Input::Won { term: 5 });
    let status = |term| Frame::Status {
        name: "kernel-1".into(),
        term,
        leading: true,
        served: true,
        redirected: 0,
        life: 1,
        count: term,
    };
    node.peer_frame(status(4));
    assert_eq!(node.leadership.borrow().term(), Some(5));
    node.peer_frame(status(6));
    assert_eq!(node.leadership.borrow().term(), None);
    assert_eq!(node.keeper().as_deref(), Some("kernel-1"));
}
