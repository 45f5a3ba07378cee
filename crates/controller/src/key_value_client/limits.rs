//! What the store accepts, as far as this node knows: configured, announced to come, or learned from
//! its refusals.

use std::time::Duration;

use tokio::time::Instant;

/// What the store accepts, as the platform's settings say.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Limits {
    /// Requests per second, of all nodes together.
    pub(crate) rps: f64,
    /// Written operations per second, of all nodes together.
    pub(crate) write_rps: f64,
    /// Bytes of one value.
    pub(crate) value_bytes: usize,
    /// Operations of one transaction.
    pub(crate) txn_ops: usize,
}

impl Limits {
    /// The smaller of each limit.
    pub(crate) fn smaller_of_each(self, other: Limits) -> Limits {
        Limits {
            rps: self.rps.min(other.rps),
            write_rps: self.write_rps.min(other.write_rps),
            value_bytes: self.value_bytes.min(other.value_bytes),
            txn_ops: self.txn_ops.min(other.txn_ops),
        }
    }
}

/// Rate refusals within [`RATE_REFUSAL_WINDOW`] that prove the rate to have been lowered.
const RATE_REFUSALS_AS_PROOF: u32 = 5;
const RATE_REFUSAL_WINDOW: Duration = Duration::from_secs(10);
/// Value bytes that are always assumed to be accepted, whatever was refused for its size.
pub(super) const MIN_VALUE_BYTES: usize = 512;

/// How this node learned that the announced limits are in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoweredBy {
    /// A transaction was refused for its size.
    SizeRefusal,
    /// [`RATE_REFUSALS_AS_PROOF`] requests were refused for their rate.
    RateRefusals,
    /// Another node said so.
    Peer,
}

impl LoweredBy {
    fn name(self) -> &'static str {
        match self {
            LoweredBy::SizeRefusal => "size refusal",
            LoweredBy::RateRefusals => "rate refusals",
            LoweredBy::Peer => "peer",
        }
    }
}

/// Rate refusals since the first one that counts.
#[derive(Debug, Clone, Copy)]
struct RateRefusals {
    count: u32,
    since: Instant,
}

/// The limits that this node keeps to. They only ever fall.
#[derive(Debug)]
pub(super) struct KnownLimits {
    current: Limits,
    /// What the store may come down to without notice.
    announced: Limits,
    /// Whether the announced limits differ from the configured ones.
    lowering_announced: bool,
    /// Whether the announced limits are in force.
    lowered: bool,
    rate_refusals: RateRefusals,
}

impl KnownLimits {
    pub(super) fn new(configured: Limits, announced: Option<Limits>, now: Instant) -> KnownLimits {
        let announced = announced.map_or(configured, |limits| limits.smaller_of_each(configured));
        KnownLimits {
            // Smaller transactions cost a few more requests, of which there are plenty.
            current: Limits { txn_ops: announced.txn_ops, ..configured },
            announced,
            lowering_announced: announced != configured,
            lowered: announced == configured,
            rate_refusals: RateRefusals { count: 0, since: now },
        }
    }

    pub(super) fn current(&self) -> Limits {
        self.current
    }

    /// Whether the announced limits are in force, or none were announced.
    pub(super) fn are_lowered(&self) -> bool {
        self.lowered
    }

    /// Whether limits were announced, and are in force as far as this node knows.
    pub(super) fn announced_are_in_force(&self) -> bool {
        self.lowered && self.lowering_announced
    }

    /// The store has come down to the announced limits. They hold for the rest of this process's
    /// life.
    pub(super) fn lower(&mut self, by: LoweredBy) {
        let limits = self.announced;
        self.lowered = true;
        self.current = limits;
        tracing::warn!(
            value_bytes = limits.value_bytes,
            txn_ops = limits.txn_ops,
            write_rps = limits.write_rps,
            learned_by = by.name(),
            "the key-value store has lowered its limits to the announced ones"
        );
    }

    /// Halves what is sent, after a refusal for size that no announcement explains.
    pub(super) fn halve(&mut self) {
        let mut limits = self.current;
        if limits.value_bytes <= MIN_VALUE_BYTES && limits.txn_ops == 1 {
            return;
        }
        limits.value_bytes = (limits.value_bytes / 2).max(MIN_VALUE_BYTES);
        limits.txn_ops = (limits.txn_ops / 2).max(1);
        self.current = limits;
        tracing::warn!(
            value_bytes = limits.value_bytes,
            txn_ops = limits.txn_ops,
            "the key-value store accepts less than configured: sending smaller transactions"
        );
    }

    /// Counts a refusal for the rate, which all nodes share. Several at once, while every node keeps
    /// to its share, prove that there is less to share: returns whether these do.
    pub(super) fn rate_refusals_prove_lowering(&mut self, now: Instant) -> bool {
        if self.lowered {
            return false;
        }
        let RateRefusals { count, since } = self.rate_refusals;
        let recent = now.duration_since(since) < RATE_REFUSAL_WINDOW;
        self.rate_refusals = if recent {
            RateRefusals { count: count + 1, since }
        } else {
            RateRefusals { count: 1, since: now }
        };
        self.rate_refusals.count >= RATE_REFUSALS_AS_PROOF
    }
}
