use walnutlug_scheduler::protocol::key_value::{Compare, Operation};

use super::limits::MIN_VALUE_BYTES;
use super::*;

/// The fixture is a leader key as the code of the production version writes it.
#[test]
fn leader_record_matches_the_production_version() {
    let expected = include_str!("../../fixtures/production-leader.json").trim();
    assert_eq!(leader_record("kernel-1", "00ff00ff00ff00ff", 7).to_string(), expected);
}

fn limits() -> (Limits, Limits) {
    let configured = Limits { rps: 100.0, write_rps: 40.0, value_bytes: 8_192, txn_ops: 32 };
    (configured, Limits { rps: 100.0, write_rps: 28.0, value_bytes: 2_048, txn_ops: 10 })
}

fn client_with_statuses(statuses: &'static [u16], announced: Option<Limits>) -> KeyValueClient {
    let requests = Cell::new(0);
    let script = move |_: &str, _: &str, _: &[u8]| {
        let status = statuses[requests.get().min(statuses.len() - 1)];
        requests.set(requests.get() + 1);
        Ok(Response { status, body: br#"{"growth":1}"#.to_vec() })
    };
    let client = Rc::new(Client::scripted(Box::new(script)));
    KeyValueClient::new(client, "127.0.0.1:1".parse().expect("an address"), limits().0, announced)
}

/// A refusal for size is certain: the same transaction is not sent again, and the lower limits stay
/// in force.
#[tokio::test(start_paused = true)]
async fn first_size_refusal_lowers_the_limits_permanently() {
    let (configured, announced) = limits();
    let store = client_with_statuses(&[200, 400, 200], Some(announced));
    // Transactions keep to the announced limit from the start; large values are used as long as the
    // store accepts them.
    assert_eq!(store.limits(), Limits { txn_ops: 10, ..configured });
    assert!(matches!(
        store.commit(RequestClass::Dispatch, &Transaction::default()).await,
        TransactionOutcome::Committed { .. }
    ));
    assert_eq!(
        store.commit(RequestClass::Dispatch, &Transaction::default()).await,
        TransactionOutcome::TooLarge
    );
    assert_eq!(store.limits(), announced);
    store.set_leading(true);
    assert_eq!(store.rate_limiter.borrow().rates().writes_per_s, 28.0 * 0.8);
    let _ = store.commit(RequestClass::Dispatch, &Transaction::default()).await;
    assert_eq!(store.limits(), announced);
    // If no lower limits were announced, each refusal halves the sizes down to a minimum.
    let store = client_with_statuses(&[400], None);
    for _ in 0..9 {
        assert_eq!(
            store.commit(RequestClass::Dispatch, &Transaction::default()).await,
            TransactionOutcome::TooLarge
        );
    }
    assert_eq!((store.limits().value_bytes, store.limits().txn_ops), (MIN_VALUE_BYTES, 1));
    assert!(
        !store.limits_lowered(),
        "must not be reported to other nodes, from which the store may accept more"
    );
    // The limits also fall when another node reports that the announced ones are in force.
    let store = client_with_statuses(&[200], Some(announced));
    assert!(!store.limits_lowered());
    store.learn_limits_lowered();
    assert!(store.limits_lowered() && store.limits() == announced);
}

/// Guards against limits far below those that the store enforces: transactions in flight that were
/// built before the fall are refused as well, and each such refusal halved the known limits. Parts
/// of task records became shorter, and new jobs were refused as too large.
#[tokio::test(start_paused = true)]
async fn refusals_of_transactions_built_for_earlier_limits_do_not_lower_them_again() {
    let (_, announced) = limits();
    let put = |bytes: usize, operations: usize| Transaction {
        compares: Vec::new(),
        operations: (0..operations)
            .map(|key| Operation::put(format!("run/{key}"), "x".repeat(bytes)))
            .collect(),
    };
    let store = client_with_statuses(&[400], Some(announced));
    // The first refusal shows the fall. The other transactions exceed the limits known since then.
    for transaction in [put(4_000, 1), put(4_000, 1), put(10, 11)] {
        let outcome = store.commit(RequestClass::Dispatch, &transaction).await;
        assert_eq!(outcome, TransactionOutcome::TooLarge);
        assert_eq!(store.limits(), announced);
    }
    let compares = (0..41).map(|n| Compare { key: format!("end/{n}"), revision: Revision::NONE });
    let comparing = Transaction { compares: compares.collect(), operations: Vec::new() };
    let _ = store.commit(RequestClass::Poll, &comparing).await;
    assert_eq!(store.limits(), announced);
    // A transaction within the known limits shows that the store's are lower still.
    let _ = store.commit(RequestClass::Dispatch, &put(1_000, 10)).await;
    assert_eq!((store.limits().value_bytes, store.limits().txn_ops), (1_024, 5));
}

/// Guards against `ran_twice` during an upgrade: the nodes of both versions together exceeded the rate,
/// a new leader took the announced size limits for enforced too and wrote a large record in parts, which
/// the production version doesn't read.
#[tokio::test(start_paused = true)]
async fn only_a_burst_of_rate_refusals_lowers_the_rates_and_no_size_limit() {
    let (configured, announced) = limits();
    let store = client_with_statuses(&[429, 200, 429, 200, 429, 200], Some(announced));
    for _ in 0..3 {
        let _ = store.commit(RequestClass::Dispatch, &Transaction::default()).await;
    }
    assert_eq!(store.limits().write_rps, configured.write_rps);
    let store = client_with_statuses(&[429, 429, 429, 429, 429, 200], Some(announced));
    let _ = store.commit(RequestClass::Dispatch, &Transaction::default()).await;
    let Limits { value_bytes, .. } = configured;
    assert_eq!(store.limits(), Limits { value_bytes, ..announced });
    assert!(store.rates_lowered() && !store.limits_lowered(), "only the rates are reported");
    // Another node that learns of the rates keeps to them.
    let peer = client_with_statuses(&[200], Some(announced));
    peer.learn_rates_lowered();
    assert_eq!((peer.limits(), peer.limits_lowered()), (store.limits(), false));
    // A refusal for size, or another node that has had one, lowers the sizes as well.
    store.learn_limits_lowered();
    assert!(store.limits_lowered() && store.limits() == announced);
    let store = client_with_statuses(&[429, 429, 429, 429, 429, 400], Some(announced));
    let _ = store.commit(RequestClass::Dispatch, &Transaction::default()).await;
    assert!(store.limits_lowered() && store.limits() == announced);
}

/// The store answers 400 to a put under an expired lease, which is not a refusal for size.
#[tokio::test(start_paused = true)]
async fn put_under_an_expired_lease_does_not_lower_the_limits() {
    let script = |_: &str, _: &str, _: &[u8]| {
        Ok(Response { status: 400, body: br#"{"error":"no such lease"}"#.to_vec() })
    };
    let client = Rc::new(Client::scripted(Box::new(script)));
    let addr = "127.0.0.1:1".parse().expect("an address");
    let store = KeyValueClient::new(client, addr, limits().0, Some(limits().1));
    assert_eq!(
        store.commit(RequestClass::Leadership, &Transaction::default()).await,
        TransactionOutcome::Rejected
    );
    assert_eq!(store.limits().value_bytes, limits().0.value_bytes);
}

#[tokio::test(start_paused = true)]
async fn lower_request_classes_reserve_tokens_for_higher_ones() {
    let now = Instant::now();
    let rates = Rates { requests_per_s: 10.0, writes_per_s: 10.0, max_submission_debt: 4.0 };
    let mut limiter = RateLimiter::new(rates, Tokens { requests: 10.0, writes: 10.0 }, now);
    let mut polls = 0;
    while limiter.take(now, RequestClass::Poll, 0).is_ok() {
        polls += 1;
    }
    assert_eq!(polls, 8);
    assert!(limiter.take(now, RequestClass::Dispatch, 1).is_ok());
    assert!(
        limiter.take(now, RequestClass::Dispatch, 1).is_err(),
        "dispatch must leave a token for a submission"
    );
    assert!(
        limiter.take(now, RequestClass::Submission, 40).is_ok(),
        "a submission may leave a write debt"
    );
    assert!(
        limiter.take(now, RequestClass::Submission, 1).is_err(),
        "no submission is admitted beyond the maximum debt"
    );
    for _ in 0..5 {
        assert!(
            limiter.take(now, RequestClass::Leadership, 0).is_ok(),
            "leadership requests never wait"
        );
    }
    let wait = limiter.take(now, RequestClass::Poll, 0).expect_err("the bucket is empty");
    assert!(limiter.take(now + wait + Duration::from_secs(2), RequestClass::Poll, 0).is_ok());
}
