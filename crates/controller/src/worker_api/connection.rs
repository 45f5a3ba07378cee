//! Per-connection cache of the worker's last heartbeat, so that repetitions need no JSON parsing.

use std::cell::{Cell, OnceCell, RefCell};
use std::ops::Range;
use std::rc::Rc;

use walnutlug_scheduler::protocol::workers::sequence_digits;
use walnutlug_scheduler::reconciliation::heartbeat_cache::CachedHeartbeat;

use crate::count_guard::CountGuard;

/// Size limit of a cached heartbeat; longer ones are parsed each time. Bounds memory, because some
/// thousand connections cache one heartbeat each.
const MAX_CACHED_BYTES: usize = 4 * 1024;

/// The raw body of a heartbeat that required no command.
#[derive(Debug)]
struct LastHeartbeat {
    body: Vec<u8>,
    /// Byte range of the sequence number in `body`.
    sequence_range: Range<usize>,
    cached: CachedHeartbeat,
}

/// A heartbeat that differs from the connection's cached one only in its sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Repetition {
    /// Cache entry of the repeated heartbeat.
    pub(crate) cached: CachedHeartbeat,
    /// Sequence number of the repetition itself.
    pub(crate) sequence: u64,
}

/// State of an incoming connection that may belong to a worker; users' connections never send a
/// heartbeat and keep the default.
#[derive(Debug, Default)]
pub(crate) struct WorkerConnection {
    last: RefCell<Option<LastHeartbeat>>,
    heartbeat_count: Cell<u32>,
    /// Counts this connection as a worker's; set by its first heartbeat.
    count_guard: OnceCell<CountGuard>,
}

impl WorkerConnection {
    /// Notes that a heartbeat arrived and returns whether it is the connection's first, from which on the
    /// connection counts as a worker's.
    pub(crate) fn record_heartbeat(&self, workers: &Rc<Cell<u32>>) -> bool {
        self.count_guard.get_or_init(|| CountGuard::new(workers));
        self.heartbeat_count.set(self.heartbeat_count.get().saturating_add(1));
        self.heartbeat_count.get() == 1
    }

    /// Returns the repetition if `body` equals the cached heartbeat except for the sequence number.
    pub(crate) fn repetition(&self, body: &[u8]) -> Option<Repetition> {
        let last_heartbeat = self.last.borrow();
        let last = last_heartbeat.as_ref()?;
        let before = &last.body[..last.sequence_range.start];
        let after = &last.body[last.sequence_range.end..];
        let digits = body.strip_prefix(before)?.strip_suffix(after)?;
        Some(Repetition { cached: last.cached, sequence: parse_digits(digits)? })
    }

    /// Replaces the cached heartbeat. Clears the cache if `cached` is `None`, the body is too long or it
    /// has no sequence number.
    pub(crate) fn cache_heartbeat(&self, body: &[u8], cached: Option<CachedHeartbeat>) {
        let last_heartbeat = cached.filter(|_| body.len() <= MAX_CACHED_BYTES).and_then(|cached| {
            Some(LastHeartbeat {
                body: body.to_vec(),
                sequence_range: sequence_digits(body)?,
                cached,
            })
        });
        *self.last.borrow_mut() = last_heartbeat;
    }
}

/// Extracts the sequence number from a heartbeat body without parsing the JSON.
pub(crate) fn parse_sequence(body: &[u8]) -> Option<u64> {
    parse_digits(&body[sequence_digits(body)?])
}

fn parse_digits(digits: &[u8]) -> Option<u64> {
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}
