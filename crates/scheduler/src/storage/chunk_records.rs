//! Tracks which stored records hold the tasks of a chunk.
//!
//! A chunk is stored as a whole, in parts, or both; for each task the record with the highest
//! revision counts. A part's key names its first task, but its length follows from the value limit
//! known at the time of the write. A write can therefore replace a part by a shorter one, and the
//! tasks beyond its end are then in no record, or only in an outdated one. Before a record is
//! replaced, `ChunkRecords::task_lost_by` finds the tasks that have to be written elsewhere.

use std::collections::BTreeMap;
use std::ops::Range;

use crate::storage::revision::Revision;

/// Key of a task record within its chunk: the number of the part's first task, or `None` for the
/// record of the whole chunk.
pub(crate) type PartKey = Option<u32>;

/// A stored record of consecutive tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StoredRecord {
    /// Tasks that the record holds.
    pub(crate) tasks: Range<u32>,
    /// Revision of the record's key.
    pub(crate) revision: Revision,
}

/// The stored records of one chunk.
#[derive(Debug, Clone, Default)]
pub struct ChunkRecords {
    whole: Option<StoredRecord>,
    /// Parts by their first task.
    parts: BTreeMap<u32, StoredRecord>,
}

impl ChunkRecords {
    /// Registers a record that was read or written.
    pub(crate) fn insert(&mut self, key: PartKey, record: StoredRecord) {
        match key {
            None => self.whole = Some(record),
            Some(first) => {
                self.parts.insert(first, record);
            }
        }
    }

    /// Returns the revision of the record with that key; `Revision::NONE` if there is none.
    pub(crate) fn revision(&self, key: PartKey) -> Revision {
        self.get(key).map_or(Revision::NONE, |record| record.revision)
    }

    /// Returns whether the chunk has no records.
    pub(crate) fn is_empty(&self) -> bool {
        self.whole.is_none() && self.parts.is_empty()
    }

    /// Removes the record of the whole chunk and returns whether there was one.
    pub(crate) fn remove_whole(&mut self) -> bool {
        self.whole.take().is_some()
    }

    /// Removes the first part and returns its key.
    pub(crate) fn pop_first_part(&mut self) -> Option<PartKey> {
        self.parts.pop_first().map(|(first, _)| Some(first))
    }

    /// Returns the first task of which no record would hold the newest state if the record with
    /// that key were replaced by one of `tasks`. `is_rewritten` tells which tasks the same
    /// transaction writes to other records.
    pub(crate) fn task_lost_by(
        &self,
        key: PartKey,
        tasks: &Range<u32>,
        is_rewritten: impl Fn(u32) -> bool,
    ) -> Option<u32> {
        let replaced = self.get(key)?;
        replaced.tasks.clone().find(|&task| {
            let is_written = tasks.contains(&task) || is_rewritten(task);
            !is_written && !self.has_newer(task, replaced.revision)
        })
    }

    /// Returns whether a record of a higher revision holds the task.
    pub(crate) fn has_newer(&self, task: u32, revision: Revision) -> bool {
        let mut records = self.iter();
        records.any(|(_, other)| other.revision > revision && other.tasks.contains(&task))
    }

    fn get(&self, key: PartKey) -> Option<&StoredRecord> {
        match key {
            None => self.whole.as_ref(),
            Some(first) => self.parts.get(&first),
        }
    }

    fn iter(&self) -> impl Iterator<Item = (PartKey, &StoredRecord)> {
        let whole = self.whole.iter().map(|record| (None, record));
        whole.chain(self.parts.iter().map(|(&first, record)| (Some(first), record)))
    }
}

#[cfg(test)]
mod tests;
