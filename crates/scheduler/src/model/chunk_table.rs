//! The chunks of a job: which stored records hold them, and which of their changes wait to be
//! written.
//!
//! Only chunks that have a record, a waiting change or a write in flight have an entry.

use std::collections::BTreeMap;

use crate::storage::chunk_records::ChunkRecords;
use crate::time::Timestamp;

/// Writes of a chunk that are waiting or in flight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ChunkWrites {
    /// Whether a transaction that writes any record of the chunk is in flight.
    pub(crate) in_flight: bool,
    /// When the oldest planned start that is still to be written was planned.
    pub(crate) start_due: Option<Timestamp>,
    /// When the oldest unwritten task end was reported. The write may be deferred, or combined with
    /// that of a start: the worker keeps an exited task until its end is written.
    pub(crate) unpersisted_since: Option<Timestamp>,
}

impl ChunkWrites {
    /// Records that no change of the chunk waits any more.
    pub(crate) fn nothing_waits(&mut self) {
        (self.start_due, self.unpersisted_since) = (None, None);
    }
}

/// The chunks of a job by number.
#[derive(Debug, Clone, Default)]
pub struct ChunkTable {
    records: BTreeMap<usize, ChunkRecords>,
    writes: BTreeMap<usize, ChunkWrites>,
}

impl ChunkTable {
    /// Returns the number of chunks that have a stored record.
    pub fn recorded_count(&self) -> usize {
        self.records.len()
    }

    /// Returns the chunk's stored records, unless there are none.
    pub(crate) fn records(&self, chunk: usize) -> Option<&ChunkRecords> {
        self.records.get(&chunk)
    }

    /// Returns the chunk's stored records, to add some.
    pub(crate) fn records_mut(&mut self, chunk: usize) -> &mut ChunkRecords {
        self.records.entry(chunk).or_default()
    }

    /// Changes the stored records of each chunk that has some, in order, and forgets chunks that
    /// have none left.
    pub(crate) fn update_records(&mut self, mut update: impl FnMut(usize, &mut ChunkRecords)) {
        self.records.retain(|&chunk, records| {
            update(chunk, records);
            !records.is_empty()
        });
    }

    /// Returns whether any chunk has a stored record.
    pub(crate) fn has_records(&self) -> bool {
        self.records.values().any(|records| !records.is_empty())
    }

    /// Returns the waiting and sent writes of a chunk.
    pub(crate) fn writes(&self, chunk: usize) -> ChunkWrites {
        self.writes.get(&chunk).copied().unwrap_or_default()
    }

    /// Returns the chunks with waiting or sent writes, in order.
    pub(crate) fn all_writes(&self) -> impl Iterator<Item = (usize, &ChunkWrites)> {
        self.writes.iter().map(|(&chunk, writes)| (chunk, writes))
    }

    /// Returns whether a write of any chunk is in flight.
    pub(crate) fn any_in_flight(&self) -> bool {
        self.writes.values().any(|writes| writes.in_flight)
    }

    /// Changes the waiting and sent writes of a chunk.
    pub(crate) fn update_writes<T>(
        &mut self,
        chunk: usize,
        update: impl FnOnce(&mut ChunkWrites) -> T,
    ) -> T {
        let mut writes = self.writes(chunk);
        let result = update(&mut writes);
        if writes == ChunkWrites::default() {
            self.writes.remove(&chunk);
        } else {
            self.writes.insert(chunk, writes);
        }
        result
    }
}
