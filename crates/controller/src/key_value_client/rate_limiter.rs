//! Keeps this node within its share of the store's request and write rates, the leadership's
//! requests first.

use std::time::Duration;

use tokio::time::Instant;

use super::limits::Limits;

/// What a request is for. Lower classes leave a part of the allowance to those above.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestClass {
    /// The leader key and leases. Never waits.
    Leadership,
    /// A user's submission or cancellation.
    Submission,
    /// The leader's transactions and reads.
    Dispatch,
    /// How jobs stand, for users who ask.
    Poll,
    /// What is read or written in the background.
    Watch,
}

impl RequestClass {
    /// The part of a second's allowance that must be left after a request of the class.
    fn reserve(self) -> f64 {
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

/// This node's share of the store's rates before it has led or stood back once.
const INITIAL_SHARE: f64 = 0.3;
/// The leader does most of the work and gets most of the common allowance.
const LEADER_SHARE: f64 = 0.8;
const FOLLOWER_SHARE: f64 = 0.5;
/// Requests, and writes, per second that are never gone below.
const MIN_RATE: f64 = 2.0;
/// The part of a second's writes by which submissions may be in debt.
const SUBMISSION_DEBT: f64 = 0.5;
/// The part of the bucket that is left once the store says that the common allowance is spent.
const LEFT_WHEN_SPENT: f64 = 0.2;
/// A transaction of more writes than this part of a full bucket waits only for this part, and
/// leaves a debt.
const MAX_WRITES_WAITED_FOR: f64 = 0.7;
/// Bounds of one wait, in seconds.
const MIN_WAIT_S: f64 = 0.002;
const MAX_WAIT_S: f64 = 1.0;

/// This node's share of the store's rates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Rates {
    pub(super) requests_per_s: f64,
    pub(super) writes_per_s: f64,
    /// Writes by which submissions may be ahead of what this node has earned. Its share is small, for
    /// all nodes together must keep within the rate; but submissions come in bunches, and the store
    /// allows a whole second's worth at once. (With a share of 4 writes a second, a chain submitted
    /// job by job waited whole seconds at a node that had nothing else to write.)
    pub(super) submission_debt: f64,
}

impl Rates {
    pub(super) fn initial(limits: Limits) -> Rates {
        Rates {
            requests_per_s: limits.rps * INITIAL_SHARE,
            writes_per_s: limits.write_rps * INITIAL_SHARE,
            submission_debt: limits.write_rps * SUBMISSION_DEBT,
        }
    }

    pub(super) fn of_node(limits: Limits, leading: bool) -> Rates {
        let share = if leading { LEADER_SHARE } else { FOLLOWER_SHARE };
        Rates {
            requests_per_s: (limits.rps * share).max(MIN_RATE),
            writes_per_s: (limits.write_rps * share).max(MIN_RATE),
            submission_debt: limits.write_rps * SUBMISSION_DEBT,
        }
    }
}

/// Requests and writes that may be sent at once. Negative writes are a debt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Tokens {
    pub(super) requests: f64,
    pub(super) writes: f64,
}

impl Tokens {
    /// What a node starts with.
    pub(super) const INITIAL: Tokens = Tokens { requests: 5.0, writes: 2.0 };
}

/// Writes of the class [`RequestClass::Dispatch`] that the rate limiter would let through.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct WriteAllowance {
    /// At once, now. Negative while there is a debt.
    pub(crate) now: f64,
    /// At once, at most.
    pub(crate) max_burst: f64,
}

/// Two token buckets of one second's worth each.
#[derive(Debug)]
pub(super) struct RateLimiter {
    rates: Rates,
    tokens: Tokens,
    refilled_at: Instant,
}

impl RateLimiter {
    pub(super) fn new(rates: Rates, tokens: Tokens, now: Instant) -> RateLimiter {
        RateLimiter { rates, tokens, refilled_at: now }
    }

    #[cfg(test)]
    pub(super) fn rates(&self) -> Rates {
        self.rates
    }

    pub(super) fn set_rates(&mut self, rates: Rates) {
        self.rates = rates;
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_s = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let Rates { requests_per_s, writes_per_s, .. } = self.rates;
        let requests = self.tokens.requests + elapsed_s * requests_per_s;
        let writes = self.tokens.writes + elapsed_s * writes_per_s;
        self.tokens.requests = requests.min(requests_per_s);
        self.tokens.writes = writes.min(writes_per_s);
    }

    /// The store says that the common allowance is spent: what this node thought it had left is not
    /// there.
    pub(super) fn common_allowance_spent(&mut self) {
        let left = self.rates.requests_per_s * LEFT_WHEN_SPENT;
        self.tokens.requests = self.tokens.requests.min(left);
        self.tokens.writes = self.tokens.writes.min(0.0);
    }

    /// Takes the tokens of one request.
    ///
    /// # Errors
    ///
    /// How long to wait before the next try.
    pub(super) fn take(
        &mut self,
        now: Instant,
        class: RequestClass,
        writes: usize,
    ) -> Result<(), Duration> {
        self.refill(now);
        let writes = writes as f64;
        let Rates { requests_per_s, writes_per_s, .. } = self.rates;
        let missing_requests = 1.0 + class.reserve() * requests_per_s - self.tokens.requests;
        let missing_writes = if writes > 0.0 { self.missing_writes(class, writes) } else { 0.0 };
        let is_short = missing_requests > 0.0 || missing_writes > 0.0;
        if class != RequestClass::Leadership && is_short {
            let wait_s = (missing_requests / requests_per_s).max(missing_writes / writes_per_s);
            return Err(Duration::from_secs_f64(wait_s.clamp(MIN_WAIT_S, MAX_WAIT_S)));
        }
        self.tokens.requests -= 1.0;
        self.tokens.writes -= writes;
        Ok(())
    }

    /// Writes that a request has to wait for.
    fn missing_writes(&self, class: RequestClass, writes: f64) -> f64 {
        let needed = writes.min(self.rates.writes_per_s * MAX_WRITES_WAITED_FOR);
        let reserve = match class {
            RequestClass::Submission => -self.rates.submission_debt,
            _ => class.reserve() * self.rates.writes_per_s,
        };
        needed + reserve - self.tokens.writes
    }

    /// How long the writes of submissions take at this node's share of the write rate.
    pub(super) fn submission_delay(&mut self, now: Instant, writes: usize) -> Duration {
        self.refill(now);
        let missing = writes as f64 - self.tokens.writes - self.rates.submission_debt;
        Duration::from_secs_f64(missing.max(0.0) / self.rates.writes_per_s)
    }

    pub(super) fn write_allowance(&mut self, now: Instant) -> WriteAllowance {
        self.refill(now);
        let reserve = RequestClass::Dispatch.reserve() * self.rates.writes_per_s;
        WriteAllowance {
            now: self.tokens.writes - reserve,
            max_burst: self.rates.writes_per_s - reserve,
        }
    }
}
