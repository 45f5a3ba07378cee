use super::limits::MIN_VALUE_BYTES;
use super::*;

/// As the production version writes it, made by its own code.
#[test]
fn the_leader_key_is_that_of_the_production_version() {
    let then = include_str!("../../fixtures/production-leader.json").trim();
    assert_eq!(leader_record("kernel-1", "00ff00ff00ff00ff", 7).to_string(), then);
}

fn limits() -> (Limits, Limits) {
    let now = Limits { rps: 100.0, write_rps: 40.0, value_bytes: 8_192, txn_ops: 32 };
    (now, Limits { rps: 100.0, write_rps: 28.0, value_bytes: 2_048, txn_ops: 10 })
}

fn refusing(statuses: &'static [u16], next: Option<Limits>) -> KeyValueClient {
    let asked = Cell::new(0);
    let script = move |_: &str, _: &str, _: &[u8]| {
        let status = statuses[asked.get().min(statuses.len() - 1)];
        asked.set(asked.get() + 1);
        Ok(Response { status, body: br#"{"growth":1}"#.to_vec() })
    };
    let client = Rc::new(Client::scripted(Box::new(script)));
    KeyValueClient::new(client, "127.0.0.1:1".parse().expect("an address"), limits().0, next)
}

/// A refusal for size is certain, is not asked again as it was, and holds from then on.
#[tokio::test(start_paused = true)]
async fn limits_fall_with_the_first_refusal_for_size_and_stay() {
    let (now, next) = limits();
    let state = refusing(&[200, 400, 200], Some(next));
    // Transactions are small from the start; large values are used while they are taken.
    assert_eq!(state.limits(), Limits { txn_ops: 10, ..now });
    assert!(matches!(
        state.commit(RequestClass::Dispatch, &Transaction::default()).await,
        TransactionOutcome::Committed { .. }
    ));
    assert_eq!(
        state.commit(RequestClass::Dispatch, &Transaction::default()).await,
        TransactionOutcome::TooLarge
    );
    assert_eq!(state.limits(), next);
    state.set_leading(true);
    assert_eq!(state.rate_limiter.borrow().rates().writes_per_s, 28.0 * 0.8);
    let _ = state.commit(RequestClass::Dispatch, &Transaction::default()).await;
    assert_eq!(state.limits(), next);
    // Without a word of what comes, each refusal halves what is sent, down to a least.
    let state = refusing(&[400], None);
    for _ in 0..9 {
        assert_eq!(
            state.commit(RequestClass::Dispatch, &Transaction::default()).await,
            TransactionOutcome::TooLarge
        );
    }
    assert_eq!((state.limits().value_bytes, state.limits().txn_ops), (MIN_VALUE_BYTES, 1));
    assert!(!state.limits_lowered(), "others may be served better");
    // What another node met with is taken from it.
    let state = refusing(&[200], Some(next));
    assert!(!state.limits_lowered());
    state.learn_limits_lowered();
    assert!(state.limits_lowered() && state.limits() == next);
}

#[tokio::test(start_paused = true)]
async fn limits_fall_with_refusals_for_the_rate_but_not_with_a_few() {
    let (now, next) = limits();
    let state = refusing(&[429, 200, 429, 200, 429, 200], Some(next));
    for _ in 0..3 {
        let _ = state.commit(RequestClass::Dispatch, &Transaction::default()).await;
    }
    assert_eq!(state.limits().write_rps, now.write_rps);
    let state = refusing(&[429, 429, 429, 429, 429, 200], Some(next));
    let _ = state.commit(RequestClass::Dispatch, &Transaction::default()).await;
    assert_eq!(state.limits(), next);
}

/// A lease that has ended says nothing of limits.
#[tokio::test(start_paused = true)]
async fn a_put_on_an_ended_lease_lowers_no_limits() {
    let script = |_: &str, _: &str, _: &[u8]| {
        Ok(Response { status: 400, body: br#"{"error":"no such lease"}"#.to_vec() })
    };
    let client = Rc::new(Client::scripted(Box::new(script)));
    let addr = "127.0.0.1:1".parse().expect("an address");
    let state = KeyValueClient::new(client, addr, limits().0, Some(limits().1));
    assert_eq!(
        state.commit(RequestClass::Leadership, &Transaction::default()).await,
        TransactionOutcome::Rejected
    );
    assert_eq!(state.limits().value_bytes, limits().0.value_bytes);
}

#[tokio::test(start_paused = true)]
async fn lower_classes_leave_room_for_the_leadership() {
    let now = Instant::now();
    let rates = Rates { requests_per_s: 10.0, writes_per_s: 10.0, submission_debt: 4.0 };
    let mut limiter = RateLimiter::new(rates, Tokens { requests: 10.0, writes: 10.0 }, now);
    let mut polls = 0;
    while limiter.take(now, RequestClass::Poll, 0).is_ok() {
        polls += 1;
    }
    assert_eq!(polls, 8);
    assert!(limiter.take(now, RequestClass::Dispatch, 1).is_ok());
    assert!(limiter.take(now, RequestClass::Dispatch, 1).is_err(), "leaves one for an acceptance");
    assert!(limiter.take(now, RequestClass::Submission, 40).is_ok(), "leaves a debt of writes");
    assert!(
        limiter.take(now, RequestClass::Submission, 1).is_err(),
        "which has to be earned first"
    );
    for _ in 0..5 {
        assert!(limiter.take(now, RequestClass::Leadership, 0).is_ok(), "never waits");
    }
    let wait = limiter.take(now, RequestClass::Poll, 0).expect_err("must wait");
    assert!(limiter.take(now + wait + Duration::from_secs(2), RequestClass::Poll, 0).is_ok());
}
