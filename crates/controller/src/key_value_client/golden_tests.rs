//! Compares every request to the key-value store with `golden/requests.txt`, and checks how the
//! answers are decoded.

use walnutlug_scheduler::protocol::key_value::{Compare, Operation, WatchEvent};

use super::*;
use crate::golden_file::Golden;

const GOLDEN_FILE: &str = "src/key_value_client/golden/requests.txt";

/// A fake key-value store that returns the given answers in order and records the requests, with a
/// client of it.
struct FakeStore {
    client: KeyValueClient,
    requests: Rc<RefCell<Vec<String>>>,
}

impl FakeStore {
    fn new(answers: &[(u16, &'static str)]) -> FakeStore {
        let requests: Rc<RefCell<Vec<String>>> = Rc::default();
        let answers = RefCell::new(answers.to_vec());
        let recorded = requests.clone();
        let script = move |method: &str, path: &str, body: &[u8]| {
            let body = String::from_utf8(body.to_vec()).expect("text");
            recorded.borrow_mut().push(format!("{method} {path}\n{body}").trim_end().to_owned());
            let (status, body) = answers.borrow_mut().remove(0);
            Ok(Response { status, body: body.as_bytes().to_vec() })
        };
        let client = Rc::new(Client::scripted(Box::new(script)));
        let limits = Limits { rps: 100.0, write_rps: 40.0, value_bytes: 8_192, txn_ops: 32 };
        let addr = SocketAddrV4::new([127, 0, 0, 1].into(), 1);
        FakeStore { client: KeyValueClient::new(client, addr, limits, None), requests }
    }

    fn requests(&self) -> String {
        self.requests.borrow().join("\n")
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
    let found = FakeStore::new(&[(200, r#"{"key":"a/b","value":{"x":1.5},"mark":412,"hold":7}"#)]);
    let key_value =
        found.client.get(RequestClass::Poll, "a/b").await.expect("an answer").expect("a key");
    assert!(
        key_value.key == "a/b" && key_value.revision == Revision(412),
        "get: wrong key or revision"
    );
    assert!(key_value.value == json!({"x": 1.5}), "get: wrong value");
    let absent = FakeStore::new(&[(404, r#"{"growth":431}"#)]);
    let answer = absent.client.get(RequestClass::Poll, "todo/req-000412").await.expect("an answer");
    assert!(answer.is_none(), "get: an absent key must yield none");
    let listed = FakeStore::new(&[
        (200, r#"{"pairs":[{"key":"c/7","value":1,"mark":3}],"hasNext":true,"growth":431}"#),
        (200, r#"{"pairs":[{"key":"c/8","value":2,"mark":4}],"hasNext":false,"growth":439}"#),
    ]);
    let mut pages = listed.client.list(RequestClass::Poll, "c/");
    let mut key_values = Vec::new();
    while let Some(page) = pages.next_page().await.expect("a page") {
        key_values.extend(page);
    }
    let store_revision = pages.store_revision();
    let revisions: Vec<(&str, Revision)> =
        key_values.iter().map(|pair| (pair.key.as_str(), pair.revision)).collect();
    assert!(
        revisions == [("c/7", Revision(3)), ("c/8", Revision(4))]
            && store_revision == Revision(431),
        "list: wrong keys or revisions"
    );
    vec![("get", found.requests()), ("get, absent", absent.requests()), ("list", listed.requests())]
}

async fn transaction_requests() -> Vec<(&'static str, String)> {
    let committed = FakeStore::new(&[(200, r#"{"growth":432}"#)]);
    let outcome = committed.client.commit(RequestClass::Dispatch, &transaction()).await;
    assert!(
        outcome == TransactionOutcome::Committed { revision: Revision(432) },
        "transaction: not committed"
    );
    let compared = FakeStore::new(&[(409, r#"{"failed":["a/b"],"growth":431}"#)]);
    let compare_only = Transaction {
        compares: vec![Compare { key: "a/b".into(), revision: Revision::NONE }],
        operations: Vec::new(),
    };
    let outcome = compared.client.commit(RequestClass::Poll, &compare_only).await;
    assert!(
        outcome == TransactionOutcome::Conflict { failed: vec!["a/b".into()] },
        "comparison: no conflict on the compared key"
    );
    vec![("transaction", committed.requests()), ("comparison", compared.requests())]
}

/// Outcomes for the remaining statuses and bodies of answers to transactions.
#[tokio::test(start_paused = true)]
async fn transaction_answers_map_to_outcomes() {
    for (status, body, expected) in [
        (200, "{}", TransactionOutcome::Indeterminate),
        (409, r#"{"failed":[],"growth":1}"#, TransactionOutcome::Indeterminate),
        (400, r#"{"error":"no such lease"}"#, TransactionOutcome::Rejected),
        (400, r#"{"error":"too large"}"#, TransactionOutcome::TooLarge),
        (404, "{}", TransactionOutcome::Indeterminate),
        (500, "{}", TransactionOutcome::Indeterminate),
        (503, "{}", TransactionOutcome::Rejected),
    ] {
        let store = FakeStore::new(&[(status, body)]);
        let outcome = store.client.commit(RequestClass::Dispatch, &transaction()).await;
        assert!(outcome == expected, "{status} {body}: unexpected outcome");
    }
}

async fn lease_requests() -> Vec<(&'static str, String)> {
    let granted = FakeStore::new(&[(200, r#"{"hold":7}"#)]);
    let lease = granted.client.grant_lease(Duration::from_millis(5_000)).await;
    assert!(matches!(lease, Ok(7)), "lease: not granted");
    let renewed = FakeStore::new(&[(200, "{}")]);
    assert!(matches!(renewed.client.renew_lease(7).await, Ok(())), "renewal: failed");
    let ended = FakeStore::new(&[(404, "{}")]);
    let renewal = ended.client.renew_lease(8).await;
    assert!(
        matches!(renewal, Err(KeyValueError::Expired { .. })),
        "renewal: an expired lease must be reported as expired"
    );
    let released = FakeStore::new(&[(200, "{}")]);
    assert!(matches!(released.client.revoke_lease(7).await, Ok(())), "release: failed");
    vec![
        ("lease", granted.requests()),
        ("lease, renewed", renewed.requests()),
        ("lease, renewed too late", ended.requests()),
        ("lease, released", released.requests()),
    ]
}

async fn watch_requests() -> Vec<(&'static str, String)> {
    let changed = FakeStore::new(&[(
        200,
        r#"{"growth":433,"events":[{"put":"c/9","value":{"x":1},"mark":433},{"drop":"c/d","mark":432}]}"#,
    )]);
    let hold = Duration::from_millis(10_000);
    let watched = changed
        .client
        .watch(RequestClass::Watch, "c/", Revision(431), hold)
        .await
        .expect("an answer");
    assert!(
        watched.store_revision == Revision(433) && watched.events.len() == 2,
        "watch: wrong revision or number of events"
    );
    let WatchEvent::Put { put, value, revision } = &watched.events[0] else {
        panic!("watch: the first event is not a put")
    };
    assert!(
        put == "c/9" && *revision == Revision(433) && *value == json!({"x": 1}),
        "watch: wrong fields of the put"
    );
    let WatchEvent::Delete { drop, revision } = &watched.events[1] else {
        panic!("watch: the second event is not a deletion")
    };
    assert!(drop == "c/d" && *revision == Revision(432), "watch: wrong fields of the deletion");
    let old = FakeStore::new(&[(410, "{}")]);
    let answer = old.client.watch(RequestClass::Watch, "todo", Revision(1), hold).await;
    assert!(
        matches!(answer, Err(KeyValueError::Expired { .. })),
        "watch: a compacted revision must be reported as expired"
    );
    vec![("watch", changed.requests()), ("watch, too old", old.requests())]
}

#[tokio::test(start_paused = true)]
async fn requests_match_golden_file_and_answers_are_decoded() {
    let mut found = keys_requests().await;
    found.extend(transaction_requests().await);
    found.extend(lease_requests().await);
    found.extend(watch_requests().await);
    let leader = leader_record("kernel-1", "00ff00ff00ff00ff", 7).to_string();
    found.push(("leader key's value", leader));
    let golden = Golden::check(GOLDEN_FILE, &found);
    let whole = golden.text("transaction");
    let (request, body) = whole.split_once('\n').expect("a request and a body");
    assert!(request == "POST /multi", "transaction: wrong method or path");
    let read: Transaction = serde_json::from_str(body).expect("a transaction");
    assert!(read == transaction(), "transaction: the decoded transaction differs");
    assert!(
        serde_json::to_string(&read).expect("text") == body,
        "transaction: encoding it again yields another body"
    );
}
