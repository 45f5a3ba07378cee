//! What a connection keeps of its worker's last heartbeat, so that a repetition costs little.

use std::cell::{Cell, OnceCell, RefCell};
use std::ops::Range;
use std::rc::Rc;

use walnutlug_scheduler::protocol::workers::sequence_digits;
use walnutlug_scheduler::reconciliation::heartbeat_cache::CachedHeartbeat;

use crate::count_guard::CountGuard;

/// Bytes of a heartbeat that is remembered. Longer ones are read in full each time: some thousand
/// connections remember one each.
const MAX_REMEMBERED: usize = 4 * 1024;

/// A heartbeat that left nothing to do, as it came.
#[derive(Debug)]
struct Remembered {
    body: Vec<u8>,
    /// Where its sequence number stands.
    sequence: Range<usize>,
    cached: CachedHeartbeat,
}

/// A connection's last heartbeat once more, but for its sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Repetition {
    /// The heartbeat that it repeats.
    pub(crate) cached: CachedHeartbeat,
    /// Its own sequence number.
    pub(crate) sequence: u64,
}

/// One connection from a worker, if it turns out to be from one.
#[derive(Debug, Default)]
pub(crate) struct WorkerConnection {
    last: RefCell<Option<Remembered>>,
    heartbeats: Cell<u32>,
    /// Counts the connection among those of workers for as long as it lasts.
    counted: OnceCell<CountGuard>,
}

impl WorkerConnection {
    /// A heartbeat has arrived: the connection counts as a worker's from its first on. Returns whether
    /// this is the first.
    pub(crate) fn record_heartbeat(&self, workers: &Rc<Cell<u32>>) -> bool {
        self.counted.get_or_init(|| CountGuard::new(workers));
        self.heartbeats.set(self.heartbeats.get().saturating_add(1));
        self.heartbeats.get() == 1
    }

    /// What the body repeats, if it is the last heartbeat but for its sequence number.
    pub(crate) fn repetition(&self, body: &[u8]) -> Option<Repetition> {
        let remembered = self.last.borrow();
        let last = remembered.as_ref()?;
        let before = &last.body[..last.sequence.start];
        let after = &last.body[last.sequence.end..];
        let digits = body.strip_prefix(before)?.strip_suffix(after)?;
        Some(Repetition { cached: last.cached, sequence: parse_digits(digits)? })
    }

    /// Remembers a heartbeat that left nothing to do, or only forgets the one before.
    pub(crate) fn cache_heartbeat(&self, body: &[u8], cached: Option<CachedHeartbeat>) {
        let remembered = cached.filter(|_| body.len() <= MAX_REMEMBERED).and_then(|cached| {
            Some(Remembered { body: body.to_vec(), sequence: sequence_digits(body)?, cached })
        });
        *self.last.borrow_mut() = remembered;
    }
}

/// The sequence number as it stands in a heartbeat's text.
pub(crate) fn sequence_in(body: &[u8]) -> Option<u64> {
    parse_digits(&body[sequence_digits(body)?])
}

fn parse_digits(digits: &[u8]) -> Option<u64> {
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}
