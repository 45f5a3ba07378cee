//! The client of the consensus-backed key-value store.
//!
//! It keeps this node within its share of the store's request and write rates, learns the store's
//! limits from its refusals, and knows whether the store serves this node.

mod error;
mod health;
mod limits;
mod rate_limiter;
mod request;

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::{json, Value};
use tokio::time::{sleep, Instant};
use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::model::job_spec::JobEnd;
use walnutlug_scheduler::protocol::key_value::{
    Committed, Conflict, KeyValue, LeaseGrant, Page, Transaction, Watched,
};
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;

pub(crate) use error::{InvalidResponse, KeyValueError, Rejection, UnknownOutcome};
pub(crate) use limits::Limits;
pub(crate) use rate_limiter::{RequestClass, WriteAllowance};
pub(crate) use request::StoreRequest;

use crate::http::client::{Client, HttpError, Request, Response};
use health::StoreHealth;
use limits::{KnownLimits, LoweredBy};
use rate_limiter::{RateLimiter, Rates, Tokens};

/// How long a request is tried again that finds the rate used up.
const RATE_PATIENCE: Duration = Duration::from_secs(3);
/// Pause after a refusal for the rate, in milliseconds, so that the nodes don't come back together.
const RATE_REFUSAL_PAUSE_MS: std::ops::Range<u64> = 40..160;
/// Conditions that one transaction may compare for each operation that it might apply, and at most.
const COMPARES_PER_OPERATION: usize = 4;
const MAX_COMPARES: usize = 200;
/// How the store's answer names a put under a lease that has expired.
const NO_SUCH_LEASE: &str = "no such lease";

/// All pairs below a prefix.
#[derive(Debug)]
pub(crate) struct Listing {
    /// In the order of their keys.
    pub(crate) key_values: Vec<KeyValue>,
    /// The revision from which to watch them: that of the first page, so that nothing that changes
    /// meanwhile is missed.
    pub(crate) store_revision: Revision,
}

/// The client of the key-value store.
pub(crate) struct KeyValueClient {
    client: Rc<Client>,
    addr: SocketAddrV4,
    rate_limiter: RefCell<RateLimiter>,
    limits: RefCell<KnownLimits>,
    leading: Cell<bool>,
    health: StoreHealth,
}

impl KeyValueClient {
    /// A client of the store at that address. `announced` are the limits that the store may come down
    /// to at any time.
    pub(crate) fn new(
        client: Rc<Client>,
        addr: SocketAddrV4,
        limits: Limits,
        announced: Option<Limits>,
    ) -> KeyValueClient {
        let now = Instant::now();
        let rate_limiter = RateLimiter::new(Rates::initial(limits), Tokens::INITIAL, now);
        KeyValueClient {
            client,
            addr,
            rate_limiter: RefCell::new(rate_limiter),
            limits: RefCell::new(KnownLimits::new(limits, announced, now)),
            leading: Cell::new(false),
            health: StoreHealth::new(now),
        }
    }

    /// Takes the leader's share of the common rates, or a follower's.
    pub(crate) fn set_leading(&self, leading: bool) {
        self.leading.set(leading);
        let rates = Rates::of_node(self.limits(), leading);
        self.rate_limiter.borrow_mut().set_rates(rates);
    }

    /// What the store accepts now, as far as is known.
    pub(crate) fn limits(&self) -> Limits {
        self.limits.borrow().current()
    }

    /// Conditions in one transaction that only compares.
    pub(crate) fn max_compares(&self) -> usize {
        (self.limits().txn_ops * COMPARES_PER_OPERATION).min(MAX_COMPARES)
    }

    /// Whether this process takes the announced limits for those in force.
    pub(crate) fn limits_lowered(&self) -> bool {
        self.limits.borrow().announced_are_in_force()
    }

    /// Another node met with the announced limits. Were it wrong, this one would only send less.
    pub(crate) fn learn_limits_lowered(&self) {
        if !self.limits.borrow().are_lowered() {
            self.lower_limits(LoweredBy::Peer);
        }
    }

    fn lower_limits(&self, by: LoweredBy) {
        self.limits.borrow_mut().lower(by);
        self.set_leading(self.leading.get());
    }

    /// A value or a transaction was refused for its size. Such a refusal is certain, and would come
    /// again: what is sent from now on is smaller.
    fn shrink_limits(&self) {
        if self.limits.borrow().are_lowered() {
            self.limits.borrow_mut().halve();
        } else {
            self.lower_limits(LoweredBy::SizeRefusal);
        }
    }

    fn count_rate_refusal(&self) {
        self.rate_limiter.borrow_mut().common_allowance_spent();
        if self.limits.borrow_mut().rate_refusals_prove_lowering(Instant::now()) {
            self.lower_limits(LoweredBy::RateRefusals);
        }
    }

    /// How long the writes of submissions take at this node's share of the write rate.
    pub(crate) fn submission_delay(&self, writes: usize) -> Duration {
        self.rate_limiter.borrow_mut().submission_delay(Instant::now(), writes)
    }

    /// How many writes of the leader's round the rate limiter would let through at once.
    pub(crate) fn write_allowance(&self) -> WriteAllowance {
        self.rate_limiter.borrow_mut().write_allowance(Instant::now())
    }

    /// Whether the store answers this node, by an answer of the last seconds: a node that sent no
    /// request doesn't know, and must not tell others that it is served.
    pub(crate) fn store_reachable(&self) -> bool {
        self.health.is_reachable()
    }

    /// Whether the store has not answered this node for so long that a user who waits for one more
    /// try would only wait.
    pub(crate) fn is_down(&self) -> bool {
        self.health.is_down()
    }

    /// How long the store has not answered this node.
    pub(crate) fn unreachable_for(&self) -> Duration {
        self.health.unreachable_for()
    }

    /// Sends a cheap request if nothing was answered lately, so that
    /// [`KeyValueClient::store_reachable`] is known even where no users come.
    pub(crate) async fn probe(&self) {
        if self.health.needs_probe() {
            let _ = self.get(RequestClass::Leadership, keys::LEADER).await;
        }
    }

    /// Sends a request once this node's share of the rates allows it, and again while the store
    /// refuses it for the common rate.
    async fn send(
        &self,
        class: RequestClass,
        request: &StoreRequest,
        body: &[u8],
    ) -> Result<Response, KeyValueError> {
        let give_up_at = Instant::now() + RATE_PATIENCE;
        let path = request.path();
        let (method, timeout) = (request.method(), request.timeout());
        let http_request = Request { method, path: &path, body, timeout };
        loop {
            self.wait_for_tokens(class, request, give_up_at).await?;
            let answer = self.client.send(self.addr, &http_request).await;
            if !matches!(&answer, Ok(response) if response.status == 429) {
                return self.checked(request, answer);
            }
            // Not executed. The limits are shared, so some other node spent them.
            self.count_rate_refusal();
            let pause = rand::random_range(RATE_REFUSAL_PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
            if Instant::now() > give_up_at {
                return Err(rejected(request, Rejection::CommonRateUsedUp));
            }
        }
    }

    async fn wait_for_tokens(
        &self,
        class: RequestClass,
        request: &StoreRequest,
        give_up_at: Instant,
    ) -> Result<(), KeyValueError> {
        loop {
            let taken =
                self.rate_limiter.borrow_mut().take(Instant::now(), class, request.writes());
            match taken {
                Ok(()) => return Ok(()),
                Err(_) if Instant::now() > give_up_at => {
                    return Err(rejected(request, Rejection::RateLimited));
                }
                Err(wait) => sleep(wait).await,
            }
        }
    }

    /// Tells answers from failures, and notes which of them the store's health shows.
    fn checked(
        &self,
        request: &StoreRequest,
        answer: Result<Response, HttpError>,
    ) -> Result<Response, KeyValueError> {
        let error = match answer {
            Ok(response) if response.status < 500 => {
                self.health.answered();
                return Ok(response);
            }
            Ok(response) if response.status == 503 => rejected(request, Rejection::Unavailable),
            Ok(response) => indeterminate(request, UnknownOutcome::Status(response.status)),
            Err(HttpError::NotSent(source)) => rejected(request, source.into()),
            Err(HttpError::Indeterminate(source)) => indeterminate(request, source.into()),
        };
        self.health.failed();
        Err(error)
    }

    /// A key's value and revision, or `None` if there is no such key.
    pub(crate) async fn get(
        &self,
        class: RequestClass,
        key: &str,
    ) -> Result<Option<KeyValue>, KeyValueError> {
        let request = StoreRequest::Get { key: key.to_owned() };
        let response = self.send(class, &request, b"").await?;
        match response.status {
            200 => Ok(Some(read(request, &response)?)),
            404 => Ok(None),
            _ => Err(unexpected_status(request, &response)),
        }
    }

    /// All pairs below a prefix, read page by page.
    pub(crate) async fn list(
        &self,
        class: RequestClass,
        prefix: &str,
    ) -> Result<Listing, KeyValueError> {
        let mut key_values: Vec<KeyValue> = Vec::new();
        let mut first_revision = None;
        loop {
            let from = key_values.last().map(|last| last.key.clone());
            let request = StoreRequest::List { prefix: prefix.to_owned(), from };
            let response = self.send(class, &request, b"").await?;
            if response.status != 200 {
                return Err(unexpected_status(request, &response));
            }
            let page: Page = read(request, &response)?;
            let store_revision = *first_revision.get_or_insert(page.store_revision);
            let is_last = !page.more || page.key_values.is_empty();
            key_values.extend(page.key_values);
            if is_last {
                return Ok(Listing { key_values, store_revision });
            }
        }
    }

    /// Sends a compare-and-swap transaction. One without operations only compares.
    pub(crate) async fn commit(
        &self,
        class: RequestClass,
        transaction: &Transaction,
    ) -> TransactionOutcome {
        let Ok(body) = serde_json::to_vec(transaction) else { return TransactionOutcome::Rejected };
        let request = StoreRequest::Commit { operations: transaction.operations.len() };
        match self.send(class, &request, &body).await {
            Ok(response) => self.transaction_outcome(&response),
            Err(KeyValueError::Rejected { .. } | KeyValueError::Expired { .. }) => {
                TransactionOutcome::Rejected
            }
            Err(KeyValueError::Indeterminate { .. } | KeyValueError::InvalidResponse { .. }) => {
                TransactionOutcome::Indeterminate
            }
        }
    }

    /// What the answer to a transaction means. Where it makes no sense the transaction may have been
    /// executed.
    fn transaction_outcome(&self, response: &Response) -> TransactionOutcome {
        match response.status {
            200 => match serde_json::from_slice::<Committed>(&response.body) {
                Ok(committed) => {
                    TransactionOutcome::Committed { revision: committed.store_revision }
                }
                Err(_) => TransactionOutcome::Indeterminate,
            },
            409 => match serde_json::from_slice::<Conflict>(&response.body) {
                Ok(conflict) if !conflict.failed.is_empty() => {
                    TransactionOutcome::Conflict { failed: conflict.failed }
                }
                _ => TransactionOutcome::Indeterminate,
            },
            400 => {
                let answer = String::from_utf8_lossy(&response.body);
                if answer.contains(NO_SUCH_LEASE) {
                    return TransactionOutcome::Rejected;
                }
                tracing::warn!(%answer, "the key-value store refuses a transaction as it is");
                self.shrink_limits();
                TransactionOutcome::TooLarge
            }
            _ => TransactionOutcome::Indeterminate,
        }
    }

    /// A new lease, by its identifier.
    pub(crate) async fn grant_lease(&self, ttl: Duration) -> Result<u64, KeyValueError> {
        let body = json!({"ttlMs": ttl.as_millis() as u64}).to_string();
        let request = StoreRequest::GrantLease;
        let response = self.send(RequestClass::Leadership, &request, body.as_bytes()).await?;
        match response.status {
            200 => Ok(read::<LeaseGrant>(request, &response)?.hold),
            _ => Err(unexpected_status(request, &response)),
        }
    }

    /// Gives the lease its full time again.
    ///
    /// # Errors
    ///
    /// [`KeyValueError::Expired`] if there is no such lease any more.
    pub(crate) async fn renew_lease(&self, lease: u64) -> Result<(), KeyValueError> {
        let request = StoreRequest::RenewLease { lease };
        let response = self.send(RequestClass::Leadership, &request, b"").await?;
        match response.status {
            200 => Ok(()),
            404 => Err(KeyValueError::Expired { request }),
            _ => Err(unexpected_status(request, &response)),
        }
    }

    /// Ends the lease, and deletes the keys that were put under it.
    pub(crate) async fn revoke_lease(&self, lease: u64) -> Result<(), KeyValueError> {
        let request = StoreRequest::RevokeLease { lease };
        self.send(RequestClass::Leadership, &request, b"").await.map(|_| ())
    }

    /// The changes below a prefix after a revision. The store waits as long as `hold` for the first.
    ///
    /// # Errors
    ///
    /// [`KeyValueError::Expired`] if the store has no history from that revision on.
    pub(crate) async fn watch(
        &self,
        class: RequestClass,
        prefix: &str,
        from: Revision,
        hold: Duration,
    ) -> Result<Watched, KeyValueError> {
        let request = StoreRequest::Watch { prefix: prefix.to_owned(), from, hold };
        let response = self.send(class, &request, b"").await?;
        match response.status {
            200 => read(request, &response),
            410 => Err(KeyValueError::Expired { request }),
            _ => Err(unexpected_status(request, &response)),
        }
    }

    /// How the job ended, if it has.
    pub(crate) async fn job_end(&self, job: &str) -> Result<Option<JobEnd>, KeyValueError> {
        let key = keys::end(job);
        let Some(key_value) = self.get(RequestClass::Submission, &key).await? else {
            return Ok(None);
        };
        match serde_json::from_value(key_value.value) {
            Ok(end) => Ok(Some(end)),
            Err(error) => Err(KeyValueError::InvalidResponse {
                request: StoreRequest::Get { key },
                source: error.into(),
            }),
        }
    }
}

fn rejected(request: &StoreRequest, source: Rejection) -> KeyValueError {
    KeyValueError::Rejected { request: request.clone(), source }
}

fn indeterminate(request: &StoreRequest, source: UnknownOutcome) -> KeyValueError {
    KeyValueError::Indeterminate { request: request.clone(), source }
}

fn unexpected_status(request: StoreRequest, response: &Response) -> KeyValueError {
    let source = InvalidResponse::Status(response.status);
    KeyValueError::InvalidResponse { request, source }
}

fn read<T: DeserializeOwned>(
    request: StoreRequest,
    response: &Response,
) -> Result<T, KeyValueError> {
    serde_json::from_slice(&response.body)
        .map_err(|error| KeyValueError::InvalidResponse { request, source: error.into() })
}

/// The value under the leader key. It names the lease, so that the node itself, back before the lease
/// expires, can revoke it.
pub(crate) fn leader_record(node: &str, incarnation: &str, lease: u64) -> Value {
    json!({"node": node, "inc": incarnation, "lease": lease})
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
