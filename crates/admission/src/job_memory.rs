//! Bounds the jobs that are accepted by the memory in which a leader holds them.
//!
//! Every node accepts jobs, but only the leader holds them all, and so does each of its successors.
//! The leader tells the nodes how much its jobs may take. Of what is then left, each node may accept
//! an equal part by itself, so the sum over all nodes stays within the limit. A node counts what it
//! accepted until the leader has certainly been told of it.

use std::collections::VecDeque;

use walnutlug_time::{TimeDelta, Timestamp};

/// Fraction of the limit that only small urgent jobs may use.
const RESERVED_FRACTION: f64 = 0.25;
/// Largest job that may use the reserved part, in bytes.
pub const MAX_URGENT_BYTES: u64 = 16 * 1024;
/// Fraction of the limit that may be used before any leader has told what it holds.
const UNTOLD_FRACTION: f64 = 0.5;
/// Time after which the leader holds an accepted job: its watch returns within a second, and it
/// reads all descriptions again every 20 s.
const HELD_AFTER: TimeDelta = TimeDelta::from_secs(30);
/// Time after which an accepted job is no longer counted while no leader has ever told what it
/// holds, as those of older versions don't.
const UNTOLD_EXPIRY: TimeDelta = TimeDelta::from_secs(600);

/// Whether a job may use the reserved part of the memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// A job that can wait until others have ended.
    Ordinary,
    /// A job of high priority. It may use the reserved part if it is small.
    Urgent,
}

/// Refusal of a job that a leader might have no memory for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{needed} bytes needed, {left} bytes left on this node")]
pub struct NoMemory {
    /// Memory that the job may take, in bytes.
    pub needed: u64,
    /// Memory that this node may still fill, in bytes.
    pub left: u64,
}

/// Identifies a reservation of this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reservation(u64);

#[derive(Debug)]
struct Reserved {
    id: Reservation,
    at: Timestamp,
    bytes: u64,
}

/// The memory for jobs as one node sees it.
#[derive(Debug)]
pub struct JobMemory {
    /// Memory in which every node can hold jobs, in bytes; `None` if it is not limited.
    limit: Option<u64>,
    /// Number of nodes that accept jobs.
    nodes: u64,
    /// Memory of the leader's jobs as it last told, in bytes.
    held: Option<u64>,
    reserved: VecDeque<Reserved>,
    next_id: u64,
}

impl JobMemory {
    /// Creates the state of a node that was told nothing yet.
    pub fn new(limit: Option<u64>, nodes: usize) -> JobMemory {
        let nodes = nodes.max(1) as u64;
        JobMemory { limit, nodes, held: None, reserved: VecDeque::new(), next_id: 0 }
    }

    /// Records how much memory the leader's jobs may take, in bytes, as it told at `now`.
    pub fn record_held(&mut self, now: Timestamp, held: u64) {
        self.held = Some(held);
        self.reserved.retain(|reserved| now.since(reserved.at) < HELD_AFTER);
    }

    /// Reserves memory for a job that is about to be accepted.
    ///
    /// # Errors
    ///
    /// If the nodes together could thereby accept more than a leader can hold.
    pub fn reserve(
        &mut self,
        now: Timestamp,
        bytes: u64,
        urgency: Urgency,
    ) -> Result<Reservation, NoMemory> {
        if self.held.is_none() {
            self.reserved.retain(|reserved| now.since(reserved.at) < UNTOLD_EXPIRY);
        }
        let left = self.left(bytes, urgency);
        if bytes > left {
            return Err(NoMemory { needed: bytes, left });
        }
        let id = Reservation(self.next_id);
        self.next_id += 1;
        self.reserved.push_back(Reserved { id, at: now, bytes });
        Ok(id)
    }

    /// Gives back the reservation of a job that was certainly not accepted.
    pub fn release(&mut self, id: Reservation) {
        self.reserved.retain(|reserved| reserved.id != id);
    }

    /// Returns how much this node may still accept for a job of that size and urgency, in bytes.
    fn left(&self, bytes: u64, urgency: Urgency) -> u64 {
        let Some(limit) = self.limit else { return u64::MAX };
        let uses_reserve = urgency == Urgency::Urgent && bytes <= MAX_URGENT_BYTES;
        let usable_fraction = if uses_reserve { 1.0 } else { 1.0 - RESERVED_FRACTION };
        let fraction = match self.held {
            Some(_) => usable_fraction,
            None => usable_fraction * UNTOLD_FRACTION,
        };
        let usable = (limit as f64 * fraction) as u64;
        let share = usable.saturating_sub(self.held.unwrap_or(0)) / self.nodes;
        let reserved: u64 = self.reserved.iter().map(|reserved| reserved.bytes).sum();
        share.saturating_sub(reserved)
    }
}
