//! Keeps this node within its share of the store's request and write rates. Requests that keep the
//! leadership take precedence.

use std::time::Duration;

use tokio::time::Instant;

use super::limits::Limits;

/// Purpose of a request, in order of precedence. Requests of a lower class leave a part of the
/// allowance to higher classes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestClass {
    /// Requests for the leader key and leases. They never wait.
    Leadership,
    /// Submission or cancellation of a job by a user.
    Submission,
    /// Transactions and reads of the leader's dispatch rounds.
    Dispatch,
    /// Reads for users who ask for the state of their jobs.
    Poll,
    /// Background reads and writes.
    Watch,
}

impl RequestClass {
    /// Returns the fraction of one second's allowance that must remain after a request of the
    /// class.
    fn reserve(self) -> f64 {
        match self {
            RequestClass::Leadership => 0.0,
            // Accepting a submission is one small write for which a user waits, so it takes
            // precedence over the writes of a dispatch round.
            RequestClass::Submission => 0.0,
            RequestClass::Dispatch => 0.1,
            RequestClass::Poll => 0.15,
            RequestClass::Watch => 0.25,
        }
    }
}

/// Share of the store's rates until the node first becomes leader or follower.
const INITIAL_SHARE: f64 = 0.3;
/// Share of the store's rates for the leader, which does most of the work.
const LEADER_SHARE: f64 = 0.8;
/// Share of the store's rates for a follower.
const FOLLOWER_SHARE: f64 = 0.5;
/// Lower bound of this node's requests per second, and of its writes per second.
const MIN_RATE: f64 = 2.0;
/// Fraction of the store's writes in one second by which submissions may exceed this node's tokens.
const MAX_SUBMISSION_DEBT: f64 = 0.5;
/// Fraction of a full bucket that remains for requests after the store has refused one for the
/// rate.
const REQUESTS_LEFT_AFTER_REFUSAL: f64 = 0.2;
/// Fraction of a full write bucket for which a transaction waits at most. A larger transaction is
/// sent at that point and leaves a debt.
const MAX_AWAITED_WRITES: f64 = 0.7;
/// Bounds of a single wait, in seconds.
const MIN_WAIT_S: f64 = 0.002;
const MAX_WAIT_S: f64 = 1.0;

/// This node's share of the store's request and write rates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Rates {
    pub(super) requests_per_s: f64,
    pub(super) writes_per_s: f64,
    /// Number of writes by which submissions may exceed this node's tokens. The node's share is
    /// small because all nodes together must stay within the rate, but submissions arrive in bursts
    /// and the store allows a whole second's worth at once. (With a share of 4 writes per second, a
    /// chain submitted job by job waited whole seconds at a node that had nothing else to write.)
    pub(super) max_submission_debt: f64,
}

impl Rates {
    pub(super) fn initial(limits: Limits) -> Rates {
        Rates {
            requests_per_s: limits.rps * INITIAL_SHARE,
            writes_per_s: limits.write_rps * INITIAL_SHARE,
            max_submission_debt: limits.write_rps * MAX_SUBMISSION_DEBT,
        }
    }

    pub(super) fn of_node(limits: Limits, leading: bool) -> Rates {
        let share = if leading { LEADER_SHARE } else { FOLLOWER_SHARE };
        Rates {
            requests_per_s: (limits.rps * share).max(MIN_RATE),
            writes_per_s: (limits.write_rps * share).max(MIN_RATE),
            max_submission_debt: limits.write_rps * MAX_SUBMISSION_DEBT,
        }
    }
}

/// Requests and writes that may be sent at once. A negative number of writes is a debt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Tokens {
    pub(super) requests: f64,
    pub(super) writes: f64,
}

impl Tokens {
    /// Tokens of a node when it starts.
    pub(super) const INITIAL: Tokens = Tokens { requests: 5.0, writes: 2.0 };
}

/// Number of writes of the class [`RequestClass::Dispatch`] that the rate limiter admits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct WriteAllowance {
    /// Writes admitted immediately. Negative while there is a debt.
    pub(crate) now: f64,
    /// Writes admitted at once when the bucket is full.
    pub(crate) max_burst: f64,
}

/// Token buckets for requests and for writes; each holds at most one second's worth.
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

    /// Removes most tokens after the store has refused a request for the rate that all nodes share:
    /// the tokens left at this node were not backed by the store's allowance.
    pub(super) fn drain_after_refusal(&mut self) {
        let left = self.rates.requests_per_s * REQUESTS_LEFT_AFTER_REFUSAL;
        self.tokens.requests = self.tokens.requests.min(left);
        self.tokens.writes = self.tokens.writes.min(0.0);
    }

    /// Takes the tokens for one request.
    ///
    /// # Errors
    ///
    /// Returns the time to wait before the next attempt.
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

    /// Returns the number of write tokens that a request of the class still lacks.
    fn missing_writes(&self, class: RequestClass, writes: f64) -> f64 {
        let needed = writes.min(self.rates.writes_per_s * MAX_AWAITED_WRITES);
        let reserve = match class {
            RequestClass::Submission => -self.rates.max_submission_debt,
            _ => class.reserve() * self.rates.writes_per_s,
        };
        needed + reserve - self.tokens.writes
    }

    /// Returns how long the writes of submissions take at this node's share of the write rate.
    pub(super) fn submission_delay(&mut self, now: Instant, writes: usize) -> Duration {
        self.refill(now);
        let missing = writes as f64 - self.tokens.writes - self.rates.max_submission_debt;
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
