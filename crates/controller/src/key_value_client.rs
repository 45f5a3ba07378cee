//! Client of the consensus-backed key-value store.
//!
//! It keeps this node within its share of the store's request and write rates, learns lowered
//! limits from the store's refusals, and tracks whether the store is reachable from this node.

mod error;
mod health;
mod limits;
mod page_reader;
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
    Committed, Conflict, KeyValue, LeaseGrant, Transaction, Watched,
};
use walnutlug_scheduler::storage::keys;
use walnutlug_scheduler::storage::revision::Revision;

pub(crate) use error::{InvalidResponse, KeyValueError, Rejection, UnknownOutcome};
pub(crate) use limits::Limits;
pub(crate) use page_reader::PageReader;
pub(crate) use rate_limiter::{RequestClass, WriteAllowance};
pub(crate) use request::StoreRequest;

use crate::http::client::{Client, HttpError, Request, Response};
use health::StoreHealth;
use limits::{KnownLimits, LoweredBy, TransactionSize};
use rate_limiter::{RateLimiter, Rates, Tokens};

/// Time limit for retrying a request that exceeds the request or write rate.
const RATE_LIMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a refusal for the rate, in milliseconds. It is random so that the nodes don't retry
/// at the same time.
const RATE_REFUSAL_PAUSE_MS: std::ops::Range<u64> = 40..160;
/// Maximum number of compares in a transaction without operations, even if the store accepts more.
const MAX_COMPARES: usize = 200;
/// Text in the store's answer to a put under a lease that has expired.
const NO_SUCH_LEASE: &str = "no such lease";

/// Client of the key-value store, shared by all tasks of a node.
pub(crate) struct KeyValueClient {
    client: Rc<Client>,
    addr: SocketAddrV4,
    rate_limiter: RefCell<RateLimiter>,
    limits: RefCell<KnownLimits>,
    leading: Cell<bool>,
    health: StoreHealth,
}

impl KeyValueClient {
    /// Creates a client of the store at `addr`. `limits` are the configured limits, and `announced`
    /// those to which the store may lower them at any time.
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

    /// Switches to the leader's or a follower's share of the request and write rates.
    pub(crate) fn set_leading(&self, leading: bool) {
        self.leading.set(leading);
        let rates = Rates::of_node(self.limits(), leading);
        self.rate_limiter.borrow_mut().set_rates(rates);
    }

    /// Returns the limits that the store enforces now, as far as this node knows.
    pub(crate) fn limits(&self) -> Limits {
        self.limits.borrow().current()
    }

    /// Returns the maximum number of compares in a transaction without operations.
    pub(crate) fn max_compares(&self) -> usize {
        self.limits().compares().min(MAX_COMPARES)
    }

    /// Returns whether limits were announced and this process considers all of them to be in force.
    pub(crate) fn limits_lowered(&self) -> bool {
        self.limits.borrow().announced_are_in_force()
    }

    /// Returns whether limits were announced and this process considers their rates to be in force.
    pub(crate) fn rates_lowered(&self) -> bool {
        self.limits.borrow().announced_rates_are_in_force()
    }

    /// Applies the announced rates because another node reports that they are in force.
    pub(crate) fn learn_rates_lowered(&self) {
        if !self.limits.borrow().rates_are_lowered() {
            self.lower_limits(LoweredBy::PeerRates);
        }
    }

    /// Applies the announced limits because another node reports that they are in force. If the
    /// report is wrong, this node only sends less than it could.
    pub(crate) fn learn_limits_lowered(&self) {
        if !self.limits.borrow().are_lowered() {
            self.lower_limits(LoweredBy::Peer);
        }
    }

    fn lower_limits(&self, by: LoweredBy) {
        self.limits.borrow_mut().lower(by);
        self.set_leading(self.leading.get());
    }

    /// Reduces the limits for values and transactions after a refusal for size. Such a refusal is
    /// certain and would recur, so everything sent from now on has to be smaller. A transaction that
    /// exceeds the known limits was built before they were lowered, and its refusal shows nothing
    /// new.
    fn shrink_limits(&self, refused: TransactionSize, answer: &str) {
        if refused.exceeds(self.limits()) {
            tracing::info!(
                %answer,
                "key-value store refused a transaction that was built for its earlier limits"
            );
            return;
        }
        tracing::warn!(
            %answer,
            "key-value store refused a transaction with status 400: lowering the size limits"
        );
        if self.limits.borrow().are_lowered() {
            self.limits.borrow_mut().halve();
        } else {
            self.lower_limits(LoweredBy::SizeRefusal);
        }
    }

    fn record_rate_refusal(&self) {
        self.rate_limiter.borrow_mut().drain_after_refusal();
        if self.limits.borrow_mut().record_rate_refusal(Instant::now()) {
            self.lower_limits(LoweredBy::RateRefusals);
        }
    }

    /// Returns how long the writes of submissions take at this node's share of the write rate.
    pub(crate) fn submission_delay(&self, writes: usize) -> Duration {
        self.rate_limiter.borrow_mut().submission_delay(Instant::now(), writes)
    }

    /// Returns how many writes of a dispatch round by the leader the rate limiter admits at once.
    pub(crate) fn write_allowance(&self) -> WriteAllowance {
        self.rate_limiter.borrow_mut().write_allowance(Instant::now())
    }

    /// Returns whether the store has answered this node within the last seconds. A node that has
    /// sent no request doesn't know, and must not report to others that the store is reachable.
    pub(crate) fn store_reachable(&self) -> bool {
        self.health.is_reachable()
    }

    /// Returns whether the store has not answered this node for so long that another attempt would
    /// only make a user wait.
    pub(crate) fn is_down(&self) -> bool {
        self.health.is_down()
    }

    /// Returns how long ago the store last answered; zero while the store is reachable.
    pub(crate) fn unreachable_for(&self) -> Duration {
        self.health.unreachable_for()
    }

    /// Reads a small key if the store has not answered lately, so that
    /// [`KeyValueClient::store_reachable`] is up to date even on a node without requests from
    /// users.
    pub(crate) async fn probe(&self) {
        if self.health.needs_probe() {
            let _ = self.get(RequestClass::Leadership, keys::LEADER).await;
        }
    }

    /// Sends a request once this node's share of the rates admits it, and retries while the store
    /// refuses it because all nodes together exceed the rate.
    async fn send(
        &self,
        class: RequestClass,
        request: &StoreRequest,
        body: &[u8],
    ) -> Result<Response, KeyValueError> {
        let deadline = Instant::now() + RATE_LIMIT_TIMEOUT;
        let path = request.path();
        let (method, timeout) = (request.method(), request.timeout());
        let http_request = Request { method, path: &path, body, timeout };
        loop {
            self.wait_for_tokens(class, request, deadline).await?;
            let answer = self.client.send(self.addr, &http_request).await;
            if !matches!(&answer, Ok(response) if response.status == 429) {
                return self.classify_response(request, answer);
            }
            // Not executed. All nodes share the rate, so another node has used it up.
            self.record_rate_refusal();
            let pause = rand::random_range(RATE_REFUSAL_PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
            if Instant::now() > deadline {
                return Err(rejected(request, Rejection::SharedRateExceeded));
            }
        }
    }

    async fn wait_for_tokens(
        &self,
        class: RequestClass,
        request: &StoreRequest,
        deadline: Instant,
    ) -> Result<(), KeyValueError> {
        loop {
            let taken =
                self.rate_limiter.borrow_mut().take(Instant::now(), class, request.writes());
            match taken {
                Ok(()) => return Ok(()),
                Err(_) if Instant::now() > deadline => {
                    return Err(rejected(request, Rejection::RateLimited));
                }
                Err(wait) => sleep(wait).await,
            }
        }
    }

    /// Returns the response if the store executed or refused the request, and otherwise an error
    /// that tells whether the request may have been executed. Records the result in the store's
    /// health.
    fn classify_response(
        &self,
        request: &StoreRequest,
        answer: Result<Response, HttpError>,
    ) -> Result<Response, KeyValueError> {
        let error = match answer {
            Ok(response) if response.status < 500 => {
                self.health.record_answer();
                return Ok(response);
            }
            Ok(response) if response.status == 503 => rejected(request, Rejection::Unavailable),
            Ok(response) => indeterminate(request, UnknownOutcome::Status(response.status)),
            Err(HttpError::NotSent(source)) => rejected(request, source.into()),
            Err(HttpError::Indeterminate(source)) => indeterminate(request, source.into()),
        };
        self.health.record_failure();
        Err(error)
    }

    /// Reads a key's value and revision. Returns `None` if the key doesn't exist.
    pub(crate) async fn get(
        &self,
        class: RequestClass,
        key: &str,
    ) -> Result<Option<KeyValue>, KeyValueError> {
        let request = StoreRequest::Get { key: key.to_owned() };
        let response = self.send(class, &request, b"").await?;
        match response.status {
            200 => Ok(Some(decode_body(request, &response)?)),
            404 => Ok(None),
            _ => Err(unexpected_status(request, &response)),
        }
    }

    /// Lists all key-value pairs below a prefix, page by page.
    pub(crate) fn list(&self, class: RequestClass, prefix: &str) -> PageReader<'_> {
        PageReader::new(self, class, prefix)
    }

    /// Commits a compare-and-swap transaction. A transaction without operations only evaluates its
    /// compares.
    pub(crate) async fn commit(
        &self,
        class: RequestClass,
        transaction: &Transaction,
    ) -> TransactionOutcome {
        let Ok(body) = serde_json::to_vec(transaction) else { return TransactionOutcome::Rejected };
        let request = StoreRequest::Commit { operations: transaction.operations.len() };
        match self.send(class, &request, &body).await {
            Ok(response) => self.transaction_outcome(transaction, &response),
            Err(KeyValueError::Rejected { .. } | KeyValueError::Expired { .. }) => {
                TransactionOutcome::Rejected
            }
            Err(KeyValueError::Indeterminate { .. } | KeyValueError::InvalidResponse { .. }) => {
                TransactionOutcome::Indeterminate
            }
        }
    }

    /// Maps the answer to a transaction to its outcome. After an answer that can't be interpreted
    /// the transaction may have been executed.
    fn transaction_outcome(
        &self,
        transaction: &Transaction,
        response: &Response,
    ) -> TransactionOutcome {
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
                self.shrink_limits(TransactionSize::of(transaction), &answer);
                TransactionOutcome::TooLarge
            }
            _ => TransactionOutcome::Indeterminate,
        }
    }

    /// Grants a new lease with the time to live `ttl` and returns its identifier.
    pub(crate) async fn grant_lease(&self, ttl: Duration) -> Result<u64, KeyValueError> {
        let body = json!({"ttlMs": ttl.as_millis() as u64}).to_string();
        let request = StoreRequest::GrantLease;
        let response = self.send(RequestClass::Leadership, &request, body.as_bytes()).await?;
        match response.status {
            200 => Ok(decode_body::<LeaseGrant>(request, &response)?.hold),
            _ => Err(unexpected_status(request, &response)),
        }
    }

    /// Renews the lease for its full time to live.
    ///
    /// # Errors
    ///
    /// [`KeyValueError::Expired`] if the lease no longer exists.
    pub(crate) async fn renew_lease(&self, lease: u64) -> Result<(), KeyValueError> {
        let request = StoreRequest::RenewLease { lease };
        let response = self.send(RequestClass::Leadership, &request, b"").await?;
        match response.status {
            200 => Ok(()),
            404 => Err(KeyValueError::Expired { request }),
            _ => Err(unexpected_status(request, &response)),
        }
    }

    /// Revokes the lease, which deletes all keys that were put under it.
    pub(crate) async fn revoke_lease(&self, lease: u64) -> Result<(), KeyValueError> {
        let request = StoreRequest::RevokeLease { lease };
        self.send(RequestClass::Leadership, &request, b"").await.map(|_| ())
    }

    /// Returns the changes below a prefix after a revision. If there are none yet, the store waits
    /// up to `hold` for the first one.
    ///
    /// # Errors
    ///
    /// [`KeyValueError::Expired`] if the store no longer keeps the history since that revision.
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
            200 => decode_body(request, &response),
            410 => Err(KeyValueError::Expired { request }),
            _ => Err(unexpected_status(request, &response)),
        }
    }

    /// Reads how the job ended. Returns `None` if it hasn't ended.
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

fn decode_body<T: DeserializeOwned>(
    request: StoreRequest,
    response: &Response,
) -> Result<T, KeyValueError> {
    serde_json::from_slice(&response.body)
        .map_err(|error| KeyValueError::InvalidResponse { request, source: error.into() })
}

/// Returns the value of the leader key. It contains the lease, so that a node that restarts before
/// the lease expires can revoke it.
pub(crate) fn leader_record(node: &str, incarnation: &str, lease: u64) -> Value {
    json!({"node": node, "inc": incarnation, "lease": lease})
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
