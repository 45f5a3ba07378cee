//! Every request to the state service, as it is sent, and what is read of its answers. Kept in
//! `golden/requests.txt`.

use walnutlug_scheduler::protocol::{Change, Guard, WatchEvent};

use super::*;
use crate::golden_file::Golden;

const FILE: &str = "src/key_value_client/golden/requests.txt";

/// A state service that gives these answers, one after the other, and what it was asked.
struct Scripted {
    state: State,
    asked: Rc<RefCell<Vec<String>>>,
}

impl Scripted {
    fn new(answers: &[(u16, &'static str)]) -> Scripted {
        let asked: Rc<RefCell<Vec<String>>> = Rc::default();
        let answers = RefCell::new(answers.to_vec());
        let noted = asked.clone();
        let script = move |method: &str, path: &str, body: &[u8]| {
            let body = String::from_utf8(body.to_vec()).expect("text");
            noted.borrow_mut().push(format!("{method} {path}\n{body}").trim_end().to_owned());
            let (status, body) = answers.borrow_mut().remove(0);
            Ok(Response { status, body: body.as_bytes().to_vec() })
        };
        let client = Rc::new(Client::scripted(Box::new(script)));
        let limits = Limits { rps: 100.0, write_rps: 40.0, value_bytes: 8_192, txn_ops: 32 };
        let addr = SocketAddrV4::new([127, 0, 0, 1].into(), 1);
        Scripted { state: State::new(client, addr, limits, None), asked }
    }

    fn asked(&self) -> String {
        self.asked.borrow().join("\n")
    }
}

fn transaction() -> Txn {
    let leader = leader_value("kernel-1", "00ff00ff00ff00ff", 7);
    Txn {
        guards: vec![
            Guard { key: "leader".into(), mark: 412 },
            Guard { key: "end/req-000412".into(), mark: 0 },
        ],
        apply: vec![
            Change::Put {
                put: "leader".into(),
                value: walnutlug_scheduler::storage::document::Document::new(&leader),
                lease: Some(7),
            },
            Change::put("job/req-000412", json!(1)),
            Change::drop("run/req-000412/00003"),
        ],
    }
}

async fn keys_requests() -> Vec<(&'static str, String)> {
    let found = Scripted::new(&[(200, r#"{"key":"a/b","value":{"x":1.5},"mark":412,"hold":7}"#)]);
    let pair = found.state.get(Class::Poll, "a/b").await.expect("an answer").expect("a key");
    assert!(pair.key == "a/b" && pair.mark == 412, "get: key and mark");
    assert!(pair.value == json!({"x": 1.5}), "get: value");
    let absent = Scripted::new(&[(404, r#"{"growth":431}"#)]);
    let answer = absent.state.get(Class::Poll, "todo/req-000412").await.expect("an answer");
    assert!(answer.is_none(), "get: no such key");
    let listed = Scripted::new(&[
        (200, r#"{"pairs":[{"key":"c/7","value":1,"mark":3}],"hasNext":true,"growth":431}"#),
        (200, r#"{"pairs":[{"key":"c/8","value":2,"mark":4}],"hasNext":false,"growth":439}"#),
    ]);
    let (pairs, growth) = listed.state.list(Class::Poll, "c/").await.expect("a list");
    let marks: Vec<(&str, u64)> = pairs.iter().map(|p| (p.key.as_str(), p.mark)).collect();
    assert!(marks == [("c/7", 3), ("c/8", 4)] && growth == 431, "list");
    vec![("get", found.asked()), ("get, absent", absent.asked()), ("list", listed.asked())]
}

async fn transaction_requests() -> Vec<(&'static str, String)> {
    let committed = Scripted::new(&[(200, r#"{"growth":432}"#)]);
    let outcome = committed.state.commit(Class::Dispatch, &transaction()).await;
    assert!(outcome == Outcome::Committed { mark: 432 }, "transaction: committed");
    let compared = Scripted::new(&[(409, r#"{"failed":["a/b"],"growth":431}"#)]);
    let only = Txn { guards: vec![Guard { key: "a/b".into(), mark: 0 }], apply: Vec::new() };
    let outcome = compared.state.commit(Class::Poll, &only).await;
    assert!(outcome == Outcome::Conflict { failed: vec!["a/b".into()] }, "comparison: failed");
    vec![("transaction", committed.asked()), ("comparison", compared.asked())]
}

/// What every other answer to a transaction means.
#[tokio::test(start_paused = true)]
async fn answers_to_transactions_are_read_as_before() {
    for (status, body, expected) in [
        (200, "{}", Outcome::Lost),
        (409, r#"{"failed":[],"growth":1}"#, Outcome::Lost),
        (400, r#"{"error":"no such lease"}"#, Outcome::Refused),
        (400, r#"{"error":"too large"}"#, Outcome::TooLarge),
        (404, "{}", Outcome::Lost),
        (500, "{}", Outcome::Lost),
        (503, "{}", Outcome::Refused),
    ] {
        let scripted = Scripted::new(&[(status, body)]);
        let outcome = scripted.state.commit(Class::Dispatch, &transaction()).await;
        assert!(outcome == expected, "{status} {body}: read otherwise");
    }
}

async fn lease_requests() -> Vec<(&'static str, String)> {
    let granted = Scripted::new(&[(200, r#"{"hold":7}"#)]);
    assert!(granted.state.lease(Duration::from_millis(5_000)).await == Ok(7), "lease");
    let touched = Scripted::new(&[(200, "{}")]);
    assert!(touched.state.touch(7).await == Ok(()), "renewal");
    let ended = Scripted::new(&[(404, "{}")]);
    assert!(ended.state.touch(8).await == Err(StateError::Gone), "renewal of what ended");
    let released = Scripted::new(&[(200, "{}")]);
    assert!(released.state.release(7).await == Ok(()), "release");
    vec![
        ("lease", granted.asked()),
        ("lease, renewed", touched.asked()),
        ("lease, renewed too late", ended.asked()),
        ("lease, released", released.asked()),
    ]
}

async fn watch_requests() -> Vec<(&'static str, String)> {
    let changed = Scripted::new(&[(
        200,
        r#"{"growth":433,"events":[{"put":"c/9","value":{"x":1},"mark":433},{"drop":"c/d","mark":432}]}"#,
    )]);
    let hold = Duration::from_millis(10_000);
    let watched = changed.state.watch(Class::Watch, "c/", 431, hold).await.expect("an answer");
    assert!(watched.growth == 433 && watched.events.len() == 2, "watch");
    let WatchEvent::Put { put, value, mark } = &watched.events[0] else { panic!("watch: a put") };
    assert!(put == "c/9" && *mark == 433 && *value == json!({"x": 1}), "watch: the put");
    let WatchEvent::Drop { drop, mark } = &watched.events[1] else { panic!("watch: a drop") };
    assert!(drop == "c/d" && *mark == 432, "watch: the drop");
    let old = Scripted::new(&[(410, "{}")]);
    let answer = old.state.watch(Class::Watch, "todo", 1, hold).await;
    assert!(matches!(answer, Err(StateError::Gone)), "watch: too old");
    vec![("watch", changed.asked()), ("watch, too old", old.asked())]
}

#[tokio::test(start_paused = true)]
async fn requests_are_sent_and_answers_read_as_before() {
    let mut found = keys_requests().await;
    found.extend(transaction_requests().await);
    found.extend(lease_requests().await);
    found.extend(watch_requests().await);
    let leader = leader_value("kernel-1", "00ff00ff00ff00ff", 7).to_string();
    found.push(("leader key's value", leader));
    let golden = Golden::check(FILE, &found);
    let whole = golden.text("transaction");
    let (request, body) = whole.split_once('\n').expect("a request and a body");
    assert!(request == "POST /multi", "transaction: the request");
    let read: Txn = serde_json::from_str(body).expect("a transaction");
    assert!(read == transaction(), "transaction: a field was read otherwise");
    assert!(serde_json::to_string(&read).expect("text") == body, "transaction: written again");
}
