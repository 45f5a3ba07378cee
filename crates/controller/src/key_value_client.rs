//! The key-value store: its protocol, and a pacer that keeps this node within its share of the
//! request and write limits, the leadership's requests first.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::{json, Value};
use tokio::time::{sleep, Instant};
use walnutlug_scheduler::command::TransactionOutcome;
use walnutlug_scheduler::protocol::key_value::{
    Committed, Conflict, KeyValue, LeaseGrant, Page, Transaction, Watched,
};
use walnutlug_scheduler::storage::revision::Revision;

use crate::http::client::{Client, Failure, Response};

#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyValueError {
    /// Certainly not executed.
    #[error("the state service refuses")]
    Rejected,
    /// May have been executed.
    #[error("the state service does not answer")]
    Indeterminate,
    /// What was asked for is gone: a lease, or history.
    #[error("gone")]
    Expired,
    /// An answer that makes no sense, which counts as none.
    #[error("a bad answer")]
    InvalidResponse,
}

/// Who asks. Lower ones leave a part of the allowance to those above.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestClass {
    Leadership,
    Submission,
    Dispatch,
    Poll,
    Watch,
}

impl RequestClass {
    /// The part of a second's allowance that must be left after a request of the class.
    fn floor(self) -> f64 {
        match self {
            RequestClass::Leadership => 0.0,
            // An acceptance is one small write whose user waits; it goes before a round's.
            RequestClass::Submission => 0.0,
            RequestClass::Dispatch => 0.1,
            RequestClass::Poll => 0.15,
            RequestClass::Watch => 0.25,
        }
    }
}

/// What the service takes, as the platform's file tells.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

impl Limits {
    /// The smaller of each.
    pub fn least(self, other: Limits) -> Limits {
        Limits {
            rps: self.rps.min(other.rps),
            write_rps: self.write_rps.min(other.write_rps),
            value_bytes: self.value_bytes.min(other.value_bytes),
            txn_ops: self.txn_ops.min(other.txn_ops),
        }
    }
}

/// The part of a second's changes that acceptances may be ahead.
const AHEAD: f64 = 0.5;
/// Refusals for the rate within [`PROOF_WITHIN`] that prove the rate to have fallen.
const PROOF: u32 = 5;
const PROOF_WITHIN: Duration = Duration::from_secs(10);
/// The least that is ever assumed after a refusal for size that nothing foretold.
const LEAST_VALUE: usize = 512;

/// Two token buckets of one second's worth each.
struct RateLimiter {
    rps: f64,
    wps: f64,
    /// Changes that acceptances may be ahead of what this node has earned. Its part is small, for all
    /// nodes together must keep within the rate; but they come in bunches, and the service allows a
    /// whole second's worth at once. (With a part of 4 changes a second, a chain submitted job by job
    /// waited whole seconds at a node that had nothing else to write.)
    ahead: f64,
    requests: f64,
    writes: f64,
    last: Instant,
}

impl RateLimiter {
    fn refill(&mut self, now: Instant) {
        let dt = now.duration_since(self.last).as_secs_f64();
        self.last = now;
        self.requests = (self.requests + dt * self.rps).min(self.rps);
        self.writes = (self.writes + dt * self.wps).min(self.wps);
    }

    /// The service says that the common allowance is spent.
    fn spent(&mut self) {
        self.requests = self.requests.min(self.rps * 0.2);
        self.writes = self.writes.min(0.0);
    }

    /// Takes the allowance, or says how long to wait for it.
    fn take(&mut self, now: Instant, class: RequestClass, writes: f64) -> Option<Duration> {
        self.refill(now);
        let floor = class.floor();
        // More writes than the bucket ever holds wait for a full one and leave a debt.
        let need_writes = writes.min(self.wps * 0.7);
        let short_requests = 1.0 + floor * self.rps - self.requests;
        let floor_writes =
            if class == RequestClass::Submission { -self.ahead } else { floor * self.wps };
        let short_writes =
            if writes > 0.0 { need_writes + floor_writes - self.writes } else { 0.0 };
        if class != RequestClass::Leadership && (short_requests > 0.0 || short_writes > 0.0) {
            let wait = (short_requests / self.rps).max(short_writes / self.wps);
            return Some(Duration::from_secs_f64(wait.clamp(0.002, 1.0)));
        }
        self.requests -= 1.0;
        self.writes -= writes;
        None
    }
}

pub struct KeyValueClient {
    client: Rc<Client>,
    addr: SocketAddrV4,
    rate_limiter: RefCell<RateLimiter>,
    /// What the service takes as far as is known, and what it may come down to without notice.
    now: Cell<Limits>,
    next: Limits,
    lowered: Cell<bool>,
    /// Whether there are any next limits.
    lowering_announced: bool,
    /// Refusals for the rate, and since when they are counted.
    refusals: Cell<(u32, Instant)>,
    leading: Cell<bool>,
    last_ok: Cell<Instant>,
    last_fault: Cell<Option<Instant>>,
}

/// How old an answer may be to show that the service serves this node.
const FRESH: Duration = Duration::from_millis(2_500);
const DOWN_AFTER: Duration = Duration::from_millis(1_500);
const PROBE_AFTER: Duration = Duration::from_millis(900);
const ANSWER: Duration = Duration::from_millis(900);

impl KeyValueClient {
    pub fn new(
        client: Rc<Client>,
        addr: SocketAddrV4,
        limits: Limits,
        next: Option<Limits>,
    ) -> KeyValueClient {
        let now = Instant::now();
        let (rps, wps) = (limits.rps * 0.3, limits.write_rps * 0.3);
        let ahead = limits.write_rps * AHEAD;
        let rate_limiter = RateLimiter { rps, wps, ahead, requests: 5.0, writes: 2.0, last: now };
        let next = next.map_or(limits, |n| n.least(limits));
        KeyValueClient {
            client,
            addr,
            rate_limiter: RefCell::new(rate_limiter),
            // Smaller transactions cost a few more requests, of which there are plenty.
            now: Cell::new(Limits { txn_ops: next.txn_ops, ..limits }),
            next,
            lowered: Cell::new(next == limits),
            lowering_announced: next != limits,
            refusals: Cell::new((0, now)),
            leading: Cell::new(false),
            last_ok: Cell::new(now),
            last_fault: Cell::new(None),
        }
    }

    /// The leader does most of the work and gets most of the common allowance.
    pub fn lead(&self, leading: bool) {
        self.leading.set(leading);
        let part = if leading { 0.8 } else { 0.5 };
        let mut rate_limiter = self.rate_limiter.borrow_mut();
        rate_limiter.rps = (self.now.get().rps * part).max(2.0);
        rate_limiter.wps = (self.now.get().write_rps * part).max(2.0);
        rate_limiter.ahead = self.now.get().write_rps * AHEAD;
    }

    /// What the service takes now, as far as is known.
    pub fn limits(&self) -> Limits {
        self.now.get()
    }

    /// Conditions in one transaction that only compares.
    pub fn max_compares(&self) -> usize {
        (self.now.get().txn_ops * 4).min(200)
    }

    /// The service has come down to its next limits. They hold from here on, for all of this
    /// process's life.
    fn lower_limits(&self, why: &str) {
        let next = self.next;
        self.lowered.set(true);
        self.now.set(next);
        self.lead(self.leading.get());
        tracing::warn!(
            value_bytes = next.value_bytes,
            txn_ops = next.txn_ops,
            write_rps = next.write_rps,
            "the state service has lowered its limits ({why})"
        );
    }

    /// Whether this process takes the next limits for those in force.
    pub fn limits_lowered(&self) -> bool {
        self.lowered.get() && self.lowering_announced
    }

    /// Another node met with the next limits. Were it wrong, this one would only send less.
    pub fn learn_limits_lowered(&self) {
        if !self.lowered.get() {
            self.lower_limits("another node tells");
        }
    }

    /// A value or a transaction was refused for its size. Such a refusal is certain, and would come
    /// again: what is sent from now on is smaller.
    fn shrink_limits(&self) {
        if !self.lowered.get() {
            return self.lower_limits("it refused a transaction for its size");
        }
        let mut now = self.now.get();
        if now.value_bytes <= LEAST_VALUE && now.txn_ops == 1 {
            return;
        }
        now.value_bytes = (now.value_bytes / 2).max(LEAST_VALUE);
        now.txn_ops = (now.txn_ops / 2).max(1);
        self.now.set(now);
        tracing::warn!(
            value_bytes = now.value_bytes,
            txn_ops = now.txn_ops,
            "the state service takes less than the settings say: smaller transactions from now on"
        );
    }

    /// A refusal for the rate, which all nodes share. Several at once, while every node keeps to its
    /// part, mean that there is less to share.
    fn count_rate_refusal(&self) {
        if self.lowered.get() {
            return;
        }
        let now = Instant::now();
        let (count, since) = self.refusals.get();
        let fresh = now.duration_since(since) < PROOF_WITHIN;
        let (count, since) = if fresh { (count + 1, since) } else { (1, now) };
        self.refusals.set((count, since));
        if count >= PROOF {
            self.lower_limits("it refused requests for their rate");
        }
    }

    /// How long so many changes of acceptances take at this node's share of the write rate.
    pub fn write_delay(&self, changes: usize) -> Duration {
        let mut rate_limiter = self.rate_limiter.borrow_mut();
        rate_limiter.refill(Instant::now());
        let short = changes as f64 - rate_limiter.writes - rate_limiter.ahead;
        Duration::from_secs_f64(short.max(0.0) / rate_limiter.wps)
    }

    /// How many changes of a round the pacer would let through at once now, and at most.
    pub fn write_allowance(&self) -> (f64, f64) {
        let mut rate_limiter = self.rate_limiter.borrow_mut();
        rate_limiter.refill(Instant::now());
        let keep = RequestClass::Dispatch.floor() * rate_limiter.wps;
        (rate_limiter.writes - keep, rate_limiter.wps - keep)
    }

    /// Whether the service answers this node, by an answer of the last seconds: a node that asked
    /// for nothing doesn't know, and must not tell others that it is served.
    pub fn store_reachable(&self) -> bool {
        let fault = self.last_fault.get();
        self.last_ok.get().elapsed() < FRESH && fault.is_none_or(|f| self.last_ok.get() >= f)
    }

    /// Whether the service has not answered this node for so long that a user who waits for one more
    /// try would only wait. (In a cut that answers nothing, each try took its whole patience.)
    pub fn down(&self) -> bool {
        !self.store_reachable()
            && self.last_fault.get().is_some_and(|f| f > self.last_ok.get())
            && self.last_ok.get().elapsed() > DOWN_AFTER
    }

    /// Asks for something cheap if nothing was answered lately, so that [`KeyValueClient::store_reachable`] is known
    /// even where no users come.
    pub async fn probe(&self) {
        if self.last_ok.get().elapsed() > PROBE_AFTER {
            let _ = self
                .get(RequestClass::Leadership, walnutlug_scheduler::storage::keys::LEADER)
                .await;
        }
    }

    /// How long the service has not answered this node.
    pub fn unreachable_for(&self) -> Duration {
        if self.store_reachable() {
            Duration::ZERO
        } else {
            self.last_ok.get().elapsed()
        }
    }

    async fn ask(
        &self,
        class: RequestClass,
        writes: usize,
        method: &str,
        path: &str,
        body: &[u8],
        within: Duration,
    ) -> Result<Response, KeyValueError> {
        let give_up = Instant::now() + Duration::from_secs(3);
        loop {
            loop {
                let wait =
                    self.rate_limiter.borrow_mut().take(Instant::now(), class, writes as f64);
                match wait {
                    None => break,
                    Some(_) if Instant::now() > give_up => return Err(KeyValueError::Rejected),
                    Some(wait) => sleep(wait).await,
                }
            }
            let answer = self.client.request(self.addr, method, path, body, within).await;
            match answer {
                Ok(r) if r.status == 429 => {
                    // Not executed. The limits are shared, so some other node spent them: what
                    // this one thought it had left is not there.
                    self.rate_limiter.borrow_mut().spent();
                    self.count_rate_refusal();
                    let jitter = rand::random_range(40..160);
                    sleep(Duration::from_millis(jitter)).await;
                    if Instant::now() > give_up {
                        return Err(KeyValueError::Rejected);
                    }
                }
                Ok(r) if r.status == 503 => {
                    self.last_fault.set(Some(Instant::now()));
                    return Err(KeyValueError::Rejected);
                }
                Ok(r) if r.status >= 500 => {
                    self.last_fault.set(Some(Instant::now()));
                    return Err(KeyValueError::Indeterminate);
                }
                Ok(r) => {
                    self.last_ok.set(Instant::now());
                    return Ok(r);
                }
                Err(failure) => {
                    self.last_fault.set(Some(Instant::now()));
                    return Err(match failure {
                        Failure::NotSent => KeyValueError::Rejected,
                        Failure::Lost => KeyValueError::Indeterminate,
                    });
                }
            }
        }
    }

    fn read<T: DeserializeOwned>(response: &Response) -> Result<T, KeyValueError> {
        serde_json::from_slice(&response.body).map_err(|_| KeyValueError::InvalidResponse)
    }

    /// A key's value and mark, or `None` if there is no such key.
    pub async fn get(
        &self,
        class: RequestClass,
        key: &str,
    ) -> Result<Option<KeyValue>, KeyValueError> {
        let r = self.ask(class, 0, "GET", &format!("/keys/{key}"), b"", ANSWER).await?;
        match r.status {
            200 => Ok(Some(Self::read(&r)?)),
            404 => Ok(None),
            _ => Err(KeyValueError::InvalidResponse),
        }
    }

    /// All pairs below a prefix, and the revision from which to watch them: that of the first
    /// page, so that nothing that changes meanwhile is missed.
    pub async fn list(
        &self,
        class: RequestClass,
        prefix: &str,
    ) -> Result<(Vec<KeyValue>, Revision), KeyValueError> {
        let mut key_values: Vec<KeyValue> = Vec::new();
        let mut store_revision = None;
        loop {
            let from = match key_values.last() {
                Some(last) => format!("&from={}", last.key),
                None => String::new(),
            };
            let path = format!("/keys?starts={prefix}{from}&most=500");
            let r = self.ask(class, 0, "GET", &path, b"", Duration::from_secs(3)).await?;
            if r.status != 200 {
                return Err(KeyValueError::InvalidResponse);
            }
            let page: Page = Self::read(&r)?;
            let store_revision = *store_revision.get_or_insert(page.store_revision);
            let empty = page.key_values.is_empty();
            key_values.extend(page.key_values);
            if !page.more || empty {
                return Ok((key_values, store_revision));
            }
        }
    }

    pub async fn commit(
        &self,
        class: RequestClass,
        transaction: &Transaction,
    ) -> TransactionOutcome {
        let Ok(body) = serde_json::to_vec(transaction) else { return TransactionOutcome::Rejected };
        let answer =
            self.ask(class, transaction.operations.len(), "POST", "/multi", &body, ANSWER).await;
        match answer {
            Ok(r) if r.status == 200 => match Self::read::<Committed>(&r) {
                Ok(c) => TransactionOutcome::Committed { revision: c.store_revision },
                Err(_) => TransactionOutcome::Indeterminate,
            },
            Ok(r) if r.status == 409 => match Self::read::<Conflict>(&r) {
                Ok(c) if !c.failed.is_empty() => TransactionOutcome::Conflict { failed: c.failed },
                _ => TransactionOutcome::Indeterminate,
            },
            Ok(r) if r.status == 400 => {
                let text = String::from_utf8_lossy(&r.body).into_owned();
                if text.contains("no such lease") {
                    return TransactionOutcome::Rejected;
                }
                tracing::warn!("the state service refuses a transaction as it is: {text}");
                self.shrink_limits();
                TransactionOutcome::TooLarge
            }
            Ok(_) => TransactionOutcome::Indeterminate,
            Err(KeyValueError::Rejected | KeyValueError::Expired) => TransactionOutcome::Rejected,
            Err(KeyValueError::Indeterminate | KeyValueError::InvalidResponse) => {
                TransactionOutcome::Indeterminate
            }
        }
    }

    pub async fn lease(&self, ttl: Duration) -> Result<u64, KeyValueError> {
        let body = json!({"ttlMs": ttl.as_millis() as u64}).to_string();
        let r = self
            .ask(RequestClass::Leadership, 0, "POST", "/leases", body.as_bytes(), ANSWER)
            .await?;
        match r.status {
            200 => Ok(Self::read::<LeaseGrant>(&r)?.hold),
            _ => Err(KeyValueError::InvalidResponse),
        }
    }

    pub async fn touch(&self, lease: u64) -> Result<(), KeyValueError> {
        let path = format!("/leases/{lease}/touch");
        let within = Duration::from_millis(600);
        let r = self.ask(RequestClass::Leadership, 0, "POST", &path, b"", within).await?;
        match r.status {
            200 => Ok(()),
            404 => Err(KeyValueError::Expired),
            _ => Err(KeyValueError::InvalidResponse),
        }
    }

    pub async fn release(&self, lease: u64) -> Result<(), KeyValueError> {
        let path = format!("/leases/{lease}");
        self.ask(RequestClass::Leadership, 0, "DELETE", &path, b"", ANSWER).await.map(|_| ())
    }

    pub async fn watch(
        &self,
        class: RequestClass,
        prefix: &str,
        from: Revision,
        hold: Duration,
    ) -> Result<Watched, KeyValueError> {
        let path = format!("/watch?starts={prefix}&from={from}&holdMs={}", hold.as_millis());
        let within = hold + Duration::from_secs(2);
        let r = self.ask(class, 0, "GET", &path, b"", within).await?;
        match r.status {
            200 => Self::read(&r),
            410 => Err(KeyValueError::Expired),
            _ => Err(KeyValueError::InvalidResponse),
        }
    }

    /// Reads the end of a job, if it has one.
    pub async fn end(
        &self,
        name: &str,
    ) -> Result<Option<walnutlug_scheduler::model::job_spec::JobEnd>, KeyValueError> {
        let key = walnutlug_scheduler::storage::keys::end(name);
        match self.get(RequestClass::Submission, &key).await? {
            None => Ok(None),
            Some(key_value) => {
                serde_json::from_value::<walnutlug_scheduler::model::job_spec::JobEnd>(
                    key_value.value,
                )
                .map(Some)
                .map_err(|_| KeyValueError::InvalidResponse)
            }
        }
    }
}

/// The value under the leader key. The lease is named so that the node itself, back within its
/// time, can end it.
pub fn leader_record(node: &str, incarnation: &str, lease: u64) -> Value {
    json!({"node": node, "inc": incarnation, "lease": lease})
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
