//! Every request to the key-value store, as it is sent, and what is read of its answers. Kept in
//! `golden/requests.txt`.

use walnutlug_scheduler::protocol::key_value::{Compare, Operation, WatchEvent};

use super::*;
use crate::golden_file::Golden;

const FILE: &str = "src/key_value_client/golden/requests.txt";

/// A key-value store that gives these answers, one after the other, and what it was asked.
struct Scripted {
    state: KeyValueClient,
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
        Scripted { state: KeyValueClient::new(client, addr, limits, None), asked }
    }

    fn asked(&self) -> String {
        self.asked.borrow().join("\n")
    }
}

fn transaction() -> Transaction {
    let leader = leader_record("kernel-1", "00ff00ff00ff00ff", 7);
    Transaction {
        compares: vec![
            Compare { key: "leader".into(), revision: Revision(412) },
            Compare { key: "end/req-000412".into(), revision: Revision::NONE },
        ],
        operations: vec![
            Operation::Put {
                put: "leader".into(),
                value: walnutlug_scheduler::storage::document::Document::new(&leader),
                lease: Some(7),
            },
            Operation::put("job/req-000412", json!(1)),
            Operation::delete("run/req-000412/00003"),
        ],
    }
}

async fn keys_requests() -> Vec<(&'static str, String)> {
    let found = Scripted::new(&[(200, r#"{"key":"a/b","value":{"x":1.5},"mark":412,"hold":7}"#)]);
    let key_value =
        found.state.get(RequestClass::Poll, "a/b").await.expect("an answer").expect("a key");
    assert!(key_value.key == "a/b" && key_value.revision == Revision(412), "get: key and mark");
    assert!(key_value.value == json!({"x": 1.5}), "get: value");
    let absent = Scripted::new(&[(404, r#"{"growth":431}"#)]);
    let answer = absent.state.get(RequestClass::Poll, "todo/req-000412").await.expect("an answer");
    assert!(answer.is_none(), "get: no such key");
    let listed = Scripted::new(&[
        (200, r#"{"pairs":[{"key":"c/7","value":1,"mark":3}],"hasNext":true,"growth":431}"#),
        (200, r#"{"pairs":[{"key":"c/8","value":2,"mark":4}],"hasNext":false,"growth":439}"#),
    ]);
    let Listing { key_values, store_revision } =
        listed.state.list(RequestClass::Poll, "c/").await.expect("a list");
    let marks: Vec<(&str, Revision)> =
        key_values.iter().map(|p| (p.key.as_str(), p.revision)).collect();
    assert!(
        marks == [("c/7", Revision(3)), ("c/8", Revision(4))] && store_revision == Revision(431),
        "list"
    );
    vec![("get", found.asked()), ("get, absent", absent.asked()), ("list", listed.asked())]
}

async fn transaction_requests() -> Vec<(&'static str, String)> {
    let committed = Scripted::new(&[(200, r#"{"growth":432}"#)]);
    let outcome = committed.state.commit(RequestClass::Dispatch, &transaction()).await;
    assert!(
        outcome == TransactionOutcome::Committed { revision: Revision(432) },
        "transaction: committed"
    );
    let compared = Scripted::new(&[(409, r#"{"failed":["a/b"],"growth":431}"#)]);
    let only = Transaction {
        compares: vec![Compare { key: "a/b".into(), revision: Revision::NONE }],
        operations: Vec::new(),
    };
    let outcome = compared.state.commit(RequestClass::Poll, &only).await;
    assert!(
        outcome == TransactionOutcome::Conflict { failed: vec!["a/b".into()] },
        "comparison: failed"
    );
    vec![("transaction", committed.asked()), ("comparison", compared.asked())]
}

/// What every other answer to a transaction means.
#[tokio::test(start_paused = true)]
async fn answers_to_transactions_are_read_as_before() {
    for (status, body, expected) in [
        (200, "{}", TransactionOutcome::Indeterminate),
        (409, r#"{"failed":[],"growth":1}"#, TransactionOutcome::Indeterminate),
        (400, r#"{"error":"no such lease"}"#, TransactionOutcome::Rejected),
        (400, r#"{"error":"too large"}"#, TransactionOutcome::TooLarge),
        (404, "{}", TransactionOutcome::Indeterminate),
        (500, "{}", TransactionOutcome::Indeterminate),
        (503, "{}", TransactionOutcome::Rejected),
    ] {
        let scripted = Scripted::new(&[(status, body)]);
        let outcome = scripted.state.commit(RequestClass::Dispatch, &transaction()).await;
        assert!(outcome == expected, "{status} {body}: read otherwise");
    }
}

async fn lease_requests() -> Vec<(&'static str, String)> {
    let granted = Scripted::new(&[(200, r#"{"hold":7}"#)]);
    let lease = granted.state.grant_lease(Duration::from_millis(5_000)).await;
    assert!(matches!(lease, Ok(7)), "lease");
    let touched = Scripted::new(&[(200, "{}")]);
    assert!(matches!(touched.state.renew_lease(7).await, Ok(())), "renewal");
    let ended = Scripted::new(&[(404, "{}")]);
    let renewal = ended.state.renew_lease(8).await;
    assert!(matches!(renewal, Err(KeyValueError::Expired { .. })), "renewal of what ended");
    let released = Scripted::new(&[(200, "{}")]);
    assert!(matches!(released.state.revoke_lease(7).await, Ok(())), "release");
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
    let watched = changed
        .state
        .watch(RequestClass::Watch, "c/", Revision(431), hold)
        .await
        .expect("an answer");
    assert!(watched.store_revision == Revision(433) && watched.events.len() == 2, "watch");
    let WatchEvent::Put { put, value, revision } = &watched.events[0] else {
        panic!("watch: a put")
    };
    assert!(
        put == "c/9" && *revision == Revision(433) && *value == json!({"x": 1}),
        "watch: the put"
    );
    let WatchEvent::Delete { drop, revision } = &watched.events[1] else { panic!("watch: a drop") };
    assert!(drop == "c/d" && *revision == Revision(432), "watch: the drop");
    let old = Scripted::new(&[(410, "{}")]);
    let answer = old.state.watch(RequestClass::Watch, "todo", Revision(1), hold).await;
    assert!(matches!(answer, Err(KeyValueError::Expired { .. })), "watch: too old");
    vec![("watch", changed.asked()), ("watch, too old", old.asked())]
}

#[tokio::test(start_paused = true)]
async fn requests_are_sent_and_answers_read_as_before() {
    let mut found = keys_requests().await;
    found.extend(transaction_requests().await);
    found.extend(lease_requests().await);
    found.extend(watch_requests().await);
    let leader = leader_record("kernel-1", "00ff00ff00ff00ff", 7).to_string();
    found.push(("leader key's value", leader));
    let golden = Golden::check(FILE, &found);
    let whole = golden.text("transaction");
    let (request, body) = whole.split_once('\n').expect("a request and a body");
    assert!(request == "POST /multi", "transaction: the request");
    let read: Transaction = serde_json::from_str(body).expect("a transaction");
    assert!(read == transaction(), "transaction: a field was read otherwise");
    assert!(serde_json::to_string(&read).expect("text") == body, "transaction: written again");
}
