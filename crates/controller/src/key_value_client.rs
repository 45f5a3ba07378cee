//! The state service: its protocol, and a pacer that keeps this node within its share of the
//! request and write limits, the leadership's requests first.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::{json, Value};
use tokio::time::{sleep, Instant};
use walnutlug_scheduler::protocol::{Committed, Conflict, LeaseGrant, Page, Pair, Txn, Watched};
use walnutlug_scheduler::scheduler::Outcome;

use crate::http::client::{Client, Failure, Response};

#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    /// Certainly not executed.
    #[error("the state service refuses")]
    Refused,
    /// May have been executed.
    #[error("the state service does not answer")]
    Lost,
    /// What was asked for is gone: a lease, or history.
    #[error("gone")]
    Gone,
    /// An answer that makes no sense, which counts as none.
    #[error("a bad answer")]
    Bad,
}

/// Who asks. Lower ones leave a part of the allowance to those above.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    Leadership,
    Submission,
    Dispatch,
    Poll,
    Watch,
}

impl Class {
    /// The part of a second's allowance that must be left after a request of the class.
    fn floor(self) -> f64 {
        match self {
            Class::Leadership => 0.0,
            // An acceptance is one small write whose user waits; it goes before a round's.
            Class::Submission => 0.0,
            Class::Dispatch => 0.1,
            Class::Poll => 0.15,
            Class::Watch => 0.25,
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
struct Pacer {
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

impl Pacer {
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
    fn take(&mut self, now: Instant, class: Class, writes: f64) -> Option<Duration> {
        self.refill(now);
        let floor = class.floor();
        // More writes than the bucket ever holds wait for a full one and leave a debt.
        let need_writes = writes.min(self.wps * 0.7);
        let short_requests = 1.0 + floor * self.rps - self.requests;
        let floor_writes = if class == Class::Submission { -self.ahead } else { floor * self.wps };
        let short_writes =
            if writes > 0.0 { need_writes + floor_writes - self.writes } else { 0.0 };
        if class != Class::Leadership && (short_requests > 0.0 || short_writes > 0.0) {
            let wait = (short_requests / self.rps).max(short_writes / self.wps);
            return Some(Duration::from_secs_f64(wait.clamp(0.002, 1.0)));
        }
        self.requests -= 1.0;
        self.writes -= writes;
        None
    }
}

pub struct State {
    client: Rc<Client>,
    addr: SocketAddrV4,
    pacer: RefCell<Pacer>,
    /// What the service takes as far as is known, and what it may come down to without notice.
    now: Cell<Limits>,
    next: Limits,
    fallen: Cell<bool>,
    /// Whether there are any next limits.
    foretold: bool,
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

impl State {
    pub fn new(
        client: Rc<Client>,
        addr: SocketAddrV4,
        limits: Limits,
        next: Option<Limits>,
    ) -> State {
        let now = Instant::now();
        let (rps, wps) = (limits.rps * 0.3, limits.write_rps * 0.3);
        let ahead = limits.write_rps * AHEAD;
        let pacer = Pacer { rps, wps, ahead, requests: 5.0, writes: 2.0, last: now };
        let next = next.map_or(limits, |n| n.least(limits));
        State {
            client,
            addr,
            pacer: RefCell::new(pacer),
            // Smaller transactions cost a few more requests, of which there are plenty.
            now: Cell::new(Limits { txn_ops: next.txn_ops, ..limits }),
            next,
            fallen: Cell::new(next == limits),
            foretold: next != limits,
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
        let mut pacer = self.pacer.borrow_mut();
        pacer.rps = (self.now.get().rps * part).max(2.0);
        pacer.wps = (self.now.get().write_rps * part).max(2.0);
        pacer.ahead = self.now.get().write_rps * AHEAD;
    }

    /// What the service takes now, as far as is known.
    pub fn limits(&self) -> Limits {
        self.now.get()
    }

    /// Conditions in one transaction that only compares.
    pub fn most_guards(&self) -> usize {
        (self.now.get().txn_ops * 4).min(200)
    }

    /// The service has come down to its next limits. They hold from here on, for all of this
    /// process's life.
    fn fall(&self, why: &str) {
        let next = self.next;
        self.fallen.set(true);
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
    pub fn met_fall(&self) -> bool {
        self.fallen.get() && self.foretold
    }

    /// Another node met with the next limits. Were it wrong, this one would only send less.
    pub fn heard_of_fall(&self) {
        if !self.fallen.get() {
            self.fall("another node tells");
        }
    }

    /// A value or a transaction was refused for its size. Such a refusal is certain, and would come
    /// again: what is sent from now on is smaller.
    fn too_large(&self) {
        if !self.fallen.get() {
            return self.fall("it refused a transaction for its size");
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
    fn too_often(&self) {
        if self.fallen.get() {
            return;
        }
        let now = Instant::now();
        let (count, since) = self.refusals.get();
        let fresh = now.duration_since(since) < PROOF_WITHIN;
        let (count, since) = if fresh { (count + 1, since) } else { (1, now) };
        self.refusals.set((count, since));
        if count >= PROOF {
            self.fall("it refused requests for their rate");
        }
    }

    /// How long so many changes of acceptances take at this node's share of the write rate.
    pub fn time_for(&self, changes: usize) -> Duration {
        let mut pacer = self.pacer.borrow_mut();
        pacer.refill(Instant::now());
        let short = changes as f64 - pacer.writes - pacer.ahead;
        Duration::from_secs_f64(short.max(0.0) / pacer.wps)
    }

    /// How many changes of a round the pacer would let through at once now, and at most.
    pub fn writes_left(&self) -> (f64, f64) {
        let mut pacer = self.pacer.borrow_mut();
        pacer.refill(Instant::now());
        let keep = Class::Dispatch.floor() * pacer.wps;
        (pacer.writes - keep, pacer.wps - keep)
    }

    /// Whether the service answers this node, by an answer of the last seconds: a node that asked
    /// for nothing doesn't know, and must not tell others that it is served.
    pub fn served(&self) -> bool {
        let fault = self.last_fault.get();
        self.last_ok.get().elapsed() < FRESH && fault.is_none_or(|f| self.last_ok.get() >= f)
    }

    /// Whether the service has not answered this node for so long that a user who waits for one more
    /// try would only wait. (In a cut that answers nothing, each try took its whole patience.)
    pub fn down(&self) -> bool {
        !self.served()
            && self.last_fault.get().is_some_and(|f| f > self.last_ok.get())
            && self.last_ok.get().elapsed() > DOWN_AFTER
    }

    /// Asks for something cheap if nothing was answered lately, so that [`State::served`] is known
    /// even where no users come.
    pub async fn probe(&self) {
        if self.last_ok.get().elapsed() > PROBE_AFTER {
            let _ =
                self.get(Class::Leadership, walnutlug_scheduler::model::job::keys::LEADER).await;
        }
    }

    /// How long the service has not answered this node.
    pub fn unserved_for(&self) -> Duration {
        if self.served() {
            Duration::ZERO
        } else {
            self.last_ok.get().elapsed()
        }
    }

    async fn ask(
        &self,
        class: Class,
        writes: usize,
        method: &str,
        path: &str,
        body: &[u8],
        within: Duration,
    ) -> Result<Response, StateError> {
        let give_up = Instant::now() + Duration::from_secs(3);
        loop {
            loop {
                let wait = self.pacer.borrow_mut().take(Instant::now(), class, writes as f64);
                match wait {
                    None => break,
                    Some(_) if Instant::now() > give_up => return Err(StateError::Refused),
                    Some(wait) => sleep(wait).await,
                }
            }
            let answer = self.client.request(self.addr, method, path, body, within).await;
            match answer {
                Ok(r) if r.status == 429 => {
                    // Not executed. The limits are shared, so some other node spent them: what
                    // this one thought it had left is not there.
                    self.pacer.borrow_mut().spent();
                    self.too_often();
                    let jitter = rand::random_range(40..160);
                    sleep(Duration::from_millis(jitter)).await;
                    if Instant::now() > give_up {
                        return Err(StateError::Refused);
                    }
                }
                Ok(r) if r.status == 503 => {
                    self.last_fault.set(Some(Instant::now()));
                    return Err(StateError::Refused);
                }
                Ok(r) if r.status >= 500 => {
                    self.last_fault.set(Some(Instant::now()));
                    return Err(StateError::Lost);
                }
                Ok(r) => {
                    self.last_ok.set(Instant::now());
                    return Ok(r);
                }
                Err(failure) => {
                    self.last_fault.set(Some(Instant::now()));
                    return Err(match failure {
                        Failure::NotSent => StateError::Refused,
                        Failure::Lost => StateError::Lost,
                    });
                }
            }
        }
    }

    fn read<T: DeserializeOwned>(response: &Response) -> Result<T, StateError> {
        serde_json::from_slice(&response.body).map_err(|_| StateError::Bad)
    }

    /// A key's value and mark, or `None` if there is no such key.
    pub async fn get(&self, class: Class, key: &str) -> Result<Option<Pair>, StateError> {
        let r = self.ask(class, 0, "GET", &format!("/keys/{key}"), b"", ANSWER).await?;
        match r.status {
            200 => Ok(Some(Self::read(&r)?)),
            404 => Ok(None),
            _ => Err(StateError::Bad),
        }
    }

    /// All pairs below a prefix, and the revision from which to watch them: that of the first
    /// page, so that nothing that changes meanwhile is missed.
    pub async fn list(&self, class: Class, prefix: &str) -> Result<(Vec<Pair>, u64), StateError> {
        let mut pairs: Vec<Pair> = Vec::new();
        let mut growth = None;
        loop {
            let from = match pairs.last() {
                Some(last) => format!("&from={}", last.key),
                None => String::new(),
            };
            let path = format!("/keys?starts={prefix}{from}&most=500");
            let r = self.ask(class, 0, "GET", &path, b"", Duration::from_secs(3)).await?;
            if r.status != 200 {
                return Err(StateError::Bad);
            }
            let page: Page = Self::read(&r)?;
            let growth = *growth.get_or_insert(page.growth);
            let empty = page.pairs.is_empty();
            pairs.extend(page.pairs);
            if !page.more || empty {
                return Ok((pairs, growth));
            }
        }
    }

    pub async fn commit(&self, class: Class, txn: &Txn) -> Outcome {
        let Ok(body) = serde_json::to_vec(txn) else { return Outcome::Refused };
        let answer = self.ask(class, txn.apply.len(), "POST", "/multi", &body, ANSWER).await;
        match answer {
            Ok(r) if r.status == 200 => match Self::read::<Committed>(&r) {
                Ok(c) => Outcome::Committed { mark: c.growth },
                Err(_) => Outcome::Lost,
            },
            Ok(r) if r.status == 409 => match Self::read::<Conflict>(&r) {
                Ok(c) if !c.failed.is_empty() => Outcome::Conflict { failed: c.failed },
                _ => Outcome::Lost,
            },
            Ok(r) if r.status == 400 => {
                let text = String::from_utf8_lossy(&r.body).into_owned();
                if text.contains("no such lease") {
                    return Outcome::Refused;
                }
                tracing::warn!("the state service refuses a transaction as it is: {text}");
                self.too_large();
                Outcome::TooLarge
            }
            Ok(_) => Outcome::Lost,
            Err(StateError::Refused | StateError::Gone) => Outcome::Refused,
            Err(StateError::Lost | StateError::Bad) => Outcome::Lost,
        }
    }

    pub async fn lease(&self, ttl: Duration) -> Result<u64, StateError> {
        let body = json!({"ttlMs": ttl.as_millis() as u64}).to_string();
        let r = self.ask(Class::Leadership, 0, "POST", "/leases", body.as_bytes(), ANSWER).await?;
        match r.status {
            200 => Ok(Self::read::<LeaseGrant>(&r)?.hold),
            _ => Err(StateError::Bad),
        }
    }

    pub async fn touch(&self, lease: u64) -> Result<(), StateError> {
        let path = format!("/leases/{lease}/touch");
        let within = Duration::from_millis(600);
        let r = self.ask(Class::Leadership, 0, "POST", &path, b"", within).await?;
        match r.status {
            200 => Ok(()),
            404 => Err(StateError::Gone),
            _ => Err(StateError::Bad),
        }
    }

    pub async fn release(&self, lease: u64) -> Result<(), StateError> {
        let path = format!("/leases/{lease}");
        self.ask(Class::Leadership, 0, "DELETE", &path, b"", ANSWER).await.map(|_| ())
    }

    pub async fn watch(
        &self,
        class: Class,
        prefix: &str,
        from: u64,
        hold: Duration,
    ) -> Result<Watched, StateError> {
        let path = format!("/watch?starts={prefix}&from={from}&holdMs={}", hold.as_millis());
        let within = hold + Duration::from_secs(2);
        let r = self.ask(class, 0, "GET", &path, b"", within).await?;
        match r.status {
            200 => Self::read(&r),
            410 => Err(StateError::Gone),
            _ => Err(StateError::Bad),
        }
    }

    /// Reads the end of a job, if it has one.
    pub async fn end(
        &self,
        name: &str,
    ) -> Result<Option<walnutlug_scheduler::model::job::End>, StateError> {
        let key = walnutlug_scheduler::model::job::keys::end(name);
        match self.get(Class::Submission, &key).await? {
            None => Ok(None),
            Some(pair) => {
                serde_json::from_value::<walnutlug_scheduler::model::job::End>(pair.value)
                    .map(Some)
                    .map_err(|_| StateError::Bad)
            }
        }
    }
}

/// The value under the leader key. The lease is named so that the node itself, back within its
/// time, can end it.
pub fn leader_value(node: &str, incarnation: &str, lease: u64) -> Value {
    json!({"node": node, "inc": incarnation, "lease": lease})
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
