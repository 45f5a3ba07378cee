//! Limits of the key-value store as known to this node: configured, announced in advance, or
//! learned from refusals.

use std::time::Duration;

use tokio::time::Instant;
use walnutlug_scheduler::protocol::key_value::{Operation, Transaction};

/// Limits of the key-value store, which are part of the platform's settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Limits {
    /// Requests per second by all nodes together.
    pub(crate) rps: f64,
    /// Write operations per second by all nodes together.
    pub(crate) write_rps: f64,
    /// Maximum size of one value, in bytes.
    pub(crate) value_bytes: usize,
    /// Maximum number of operations in one transaction.
    pub(crate) txn_ops: usize,
}

/// Number of compares that the store accepts for each operation that it accepts per transaction.
const COMPARES_PER_OPERATION: usize = 4;

impl Limits {
    /// Returns the maximum number of compares in one transaction.
    pub(super) fn compares(self) -> usize {
        self.txn_ops * COMPARES_PER_OPERATION
    }

    /// Returns the minimum of each limit.
    pub(crate) fn smaller_of_each(self, other: Limits) -> Limits {
        Limits {
            rps: self.rps.min(other.rps),
            write_rps: self.write_rps.min(other.write_rps),
            value_bytes: self.value_bytes.min(other.value_bytes),
            txn_ops: self.txn_ops.min(other.txn_ops),
        }
    }
}

/// The sizes of a transaction that the store limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TransactionSize {
    /// Size of the largest value, in bytes.
    value_bytes: usize,
    operations: usize,
    compares: usize,
}

impl TransactionSize {
    pub(super) fn of(transaction: &Transaction) -> TransactionSize {
        let put_bytes = |operation: &Operation| match operation {
            Operation::Put { value, .. } => value.size(),
            Operation::Delete { .. } => 0,
        };
        TransactionSize {
            value_bytes: transaction.operations.iter().map(put_bytes).max().unwrap_or(0),
            operations: transaction.operations.len(),
            compares: transaction.compares.len(),
        }
    }

    /// Returns whether the transaction is larger than the limits allow.
    pub(super) fn exceeds(self, limits: Limits) -> bool {
        self.value_bytes > limits.value_bytes
            || self.operations > limits.txn_ops
            || self.compares > limits.compares()
    }
}

/// Number of rate refusals within [`RATE_REFUSAL_WINDOW`] that show that the store has lowered the
/// rate.
const MIN_RATE_REFUSALS: u32 = 5;
const RATE_REFUSAL_WINDOW: Duration = Duration::from_secs(10);
/// Minimum size limit for values, in bytes. Values up to this size are sent whatever the store has
/// refused.
pub(super) const MIN_VALUE_BYTES: usize = 512;

/// Evidence from which this node learned that announced limits are in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoweredBy {
    /// The store refused a transaction for its size.
    SizeRefusal,
    /// The store refused [`MIN_RATE_REFUSALS`] requests for the rate. The nodes of two versions
    /// together may exceed the rate too, so this shows nothing about the limits for sizes.
    RateRefusals,
    /// Another node reported the lower limits, of which it has had a refusal for size.
    Peer,
    /// Another node reported the lower rates.
    PeerRates,
}

impl LoweredBy {
    fn name(self) -> &'static str {
        match self {
            LoweredBy::SizeRefusal => "size refusal",
            LoweredBy::RateRefusals => "rate refusals",
            LoweredBy::Peer => "peer",
            LoweredBy::PeerRates => "peer with rate refusals",
        }
    }

    /// Returns whether the limits for values and transactions are in force, and not just the rates.
    fn shows_sizes(self) -> bool {
        matches!(self, LoweredBy::SizeRefusal | LoweredBy::Peer)
    }
}

/// Number of rate refusals, counted from the first one in the current window.
#[derive(Debug, Clone, Copy)]
struct RateRefusals {
    count: u32,
    since: Instant,
}

/// Limits that this node keeps to. They never rise during the life of the process.
#[derive(Debug)]
pub(super) struct KnownLimits {
    current: Limits,
    /// Limits to which the store may switch without notice.
    announced: Limits,
    /// Set if limits were announced that are lower than the configured ones.
    lowering_announced: bool,
    /// Whether the announced rates are in force, as far as this node knows.
    rates_lowered: bool,
    /// Whether all announced limits are in force, as far as this node knows. Until then records are
    /// written whole: the production version doesn't read the parts of those that are too large.
    sizes_lowered: bool,
    rate_refusals: RateRefusals,
}

impl KnownLimits {
    pub(super) fn new(configured: Limits, announced: Option<Limits>, now: Instant) -> KnownLimits {
        let announced = announced.map_or(configured, |limits| limits.smaller_of_each(configured));
        KnownLimits {
            // Transactions keep to the announced size from the start: smaller ones cost a few
            // more requests, of which there are plenty.
            current: Limits { txn_ops: announced.txn_ops, ..configured },
            announced,
            lowering_announced: announced != configured,
            rates_lowered: announced == configured,
            sizes_lowered: announced == configured,
            rate_refusals: RateRefusals { count: 0, since: now },
        }
    }

    pub(super) fn current(&self) -> Limits {
        self.current
    }

    /// Returns whether all announced limits are in force, or none were announced.
    pub(super) fn are_lowered(&self) -> bool {
        self.sizes_lowered
    }

    /// Returns whether the announced rates are in force, or no limits were announced.
    pub(super) fn rates_are_lowered(&self) -> bool {
        self.rates_lowered
    }

    /// Returns whether limits were announced and their rates are in force, as far as this node
    /// knows.
    pub(super) fn announced_rates_are_in_force(&self) -> bool {
        self.rates_lowered && self.lowering_announced
    }

    /// Returns whether limits were announced and are all in force, as far as this node knows.
    pub(super) fn announced_are_in_force(&self) -> bool {
        self.sizes_lowered && self.lowering_announced
    }

    /// Switches to the announced limits that the store now enforces. They hold for the rest of the
    /// life of this process.
    pub(super) fn lower(&mut self, by: LoweredBy) {
        self.rates_lowered = true;
        self.sizes_lowered |= by.shows_sizes();
        let Limits { rps, write_rps, .. } = self.announced;
        self.current = match self.sizes_lowered {
            true => self.announced,
            false => Limits { rps, write_rps, ..self.current },
        };
        let limits = self.current;
        tracing::warn!(
            value_bytes = limits.value_bytes,
            txn_ops = limits.txn_ops,
            write_rps = limits.write_rps,
            learned_by = by.name(),
            "key-value store enforces the announced lower limits"
        );
    }

    /// Halves the limits for values and transactions, after a refusal for size that no announced
    /// limit explains.
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
            "key-value store refuses sizes within the configured limits: halving value and transaction sizes"
        );
    }

    /// Counts a refusal for the rate, which all nodes share. Several refusals in a short time,
    /// while every node keeps to its share, show that the store has lowered the rate. Returns
    /// whether that is the case.
    pub(super) fn record_rate_refusal(&mut self, now: Instant) -> bool {
        if self.rates_lowered {
            return false;
        }
        let RateRefusals { count, since } = self.rate_refusals;
        let recent = now.duration_since(since) < RATE_REFUSAL_WINDOW;
        self.rate_refusals = if recent {
            RateRefusals { count: count + 1, since }
        } else {
            RateRefusals { count: 1, since: now }
        };
        self.rate_refusals.count >= MIN_RATE_REFUSALS
    }
}
