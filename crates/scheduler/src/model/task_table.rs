//! The tasks of a job array, stored by what is known about them.
//!
//! Most tasks of a large array are in one of two states that need no entry of their own: never
//! placed, and completed with the completion stored. Only the other placed or completed tasks have
//! an entry, so the memory that a job takes follows its activity and not the size of its array.

use std::collections::btree_map::{self, BTreeMap};
use std::iter::Peekable;
use std::ops::Range;

use roaring::RoaringBitmap;

use crate::model::ids::Attempt;
use crate::model::task::{Task, TaskPhase};
use crate::time::Timestamp;

/// The states of a job's tasks, by index in the array.
#[derive(Debug, Clone)]
pub struct TaskTable {
    len: u32,
    /// Time from which tasks without an entry count as unchanged.
    created: Timestamp,
    /// Tasks that are placed, or completed without the completion being stored.
    entries: BTreeMap<u32, Task>,
    /// Tasks that are placed or completed. Those without an entry have a stored completion.
    not_pending: RoaringBitmap,
    /// Tasks without an entry whose attempt is not the first, by attempt.
    later_attempts: BTreeMap<Attempt, RoaringBitmap>,
}

impl TaskTable {
    /// Creates a table of `len` tasks that were never placed.
    pub(crate) fn new(len: u32, now: Timestamp) -> TaskTable {
        TaskTable {
            len,
            created: now,
            entries: BTreeMap::new(),
            not_pending: RoaringBitmap::new(),
            later_attempts: BTreeMap::new(),
        }
    }

    /// Returns the number of tasks in the array.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Returns whether the array has no tasks.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of tasks that have an entry of their own.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the state of a task, or `None` if the array has no such task.
    pub fn get(&self, index: u32) -> Option<Task> {
        if index >= self.len {
            return None;
        }
        Some(match self.entries.get(&index) {
            Some(task) => *task,
            None => self.task_without_entry(index),
        })
    }

    /// Returns the state of a task that is placed, or whose completion is not stored.
    pub(crate) fn entry(&self, index: u32) -> Option<&Task> {
        self.entries.get(&index)
    }

    /// Replaces the state of a task. A completed task keeps its entry until
    /// [`TaskTable::completion_stored`].
    pub(crate) fn set(&mut self, index: u32, task: Task) {
        let previous = match task.phase {
            TaskPhase::Pending => self.entries.remove(&index),
            _ => self.entries.insert(index, task),
        };
        if previous.is_none() {
            self.forget_attempt(index);
        }
        if task.phase == TaskPhase::Pending {
            self.not_pending.remove(index);
            self.remember_attempt(index, task.attempt);
        } else {
            self.not_pending.insert(index);
        }
    }

    /// Records that the completion of a task is stored. Its machine is forgotten, and its worker may
    /// be told to forget the task.
    pub(crate) fn completion_stored(&mut self, index: u32) {
        let is_done = |task: &Task| task.phase == TaskPhase::Done;
        if !self.entries.get(&index).is_some_and(is_done) {
            return;
        }
        if let Some(task) = self.entries.remove(&index) {
            self.remember_attempt(index, task.attempt);
        }
    }

    /// Returns the first pending task from `from` on.
    pub(crate) fn next_pending(&self, from: u32) -> Option<u32> {
        if from >= self.len {
            return None;
        }
        if !self.not_pending.contains(from) {
            return Some(from);
        }
        // Finds the end of the run of tasks that are not pending: all up to `low` are.
        let (mut low, mut high) = (from, self.len);
        while high - low > 1 {
            let middle = low + (high - low) / 2;
            if self.not_pending.contains_range(from..=middle) {
                low = middle;
            } else {
                high = middle;
            }
        }
        (high < self.len).then_some(high)
    }

    /// Returns the states of consecutive tasks.
    pub(crate) fn range(&self, indices: Range<u32>) -> TaskRange<'_> {
        let indices = indices.start..indices.end.min(self.len).max(indices.start);
        TaskRange { table: self, entries: self.entries.range(indices.clone()).peekable(), indices }
    }

    /// Returns the states of all tasks in order.
    pub fn iter(&self) -> impl Iterator<Item = Task> + '_ {
        self.range(0..self.len)
    }

    /// Returns the placed tasks in order.
    pub fn placed(&self) -> impl Iterator<Item = (u32, &Task)> {
        self.entries.iter().map(|(&index, task)| (index, task)).filter(|(_, t)| t.phase.placed())
    }

    /// Changes the placed tasks in order.
    pub(crate) fn placed_mut(&mut self) -> impl Iterator<Item = (u32, &mut Task)> {
        let entries = self.entries.iter_mut().map(|(&index, task)| (index, task));
        entries.filter(|(_, task)| task.phase.placed())
    }

    /// Returns the number of completed tasks.
    pub(crate) fn count_done(&self) -> u32 {
        self.not_pending.len() as u32 - self.placed().count() as u32
    }

    /// Returns the earliest known placement of a task that is placed or completed.
    pub(crate) fn earliest_placement(&self) -> Option<Timestamp> {
        let known = self.entries.values().map(|task| task.placed_at).min();
        let has_forgotten = self.not_pending.len() > self.entries.len() as u64;
        let forgotten = has_forgotten.then_some(self.created);
        known.into_iter().chain(forgotten).min()
    }

    fn task_without_entry(&self, index: u32) -> Task {
        let is_done = self.not_pending.contains(index);
        Task {
            phase: if is_done { TaskPhase::Done } else { TaskPhase::Pending },
            attempt: self.attempt_without_entry(index),
            ..Task::new(self.created)
        }
    }

    fn attempt_without_entry(&self, index: u32) -> Attempt {
        let mut later = self.later_attempts.iter();
        let found = later.find(|(_, tasks)| tasks.contains(index));
        found.map_or(Attempt::FIRST, |(&attempt, _)| attempt)
    }

    fn remember_attempt(&mut self, index: u32, attempt: Attempt) {
        if attempt != Attempt::FIRST {
            self.later_attempts.entry(attempt).or_default().insert(index);
        }
    }

    fn forget_attempt(&mut self, index: u32) {
        self.later_attempts.retain(|_, tasks| !tasks.remove(index) || !tasks.is_empty());
    }
}

/// Iterator over the states of consecutive tasks.
#[derive(Debug)]
pub(crate) struct TaskRange<'a> {
    table: &'a TaskTable,
    entries: Peekable<btree_map::Range<'a, u32, Task>>,
    indices: Range<u32>,
}

impl Iterator for TaskRange<'_> {
    type Item = Task;

    fn next(&mut self) -> Option<Task> {
        let index = self.indices.next()?;
        match self.entries.next_if(|(&entry, _)| entry == index) {
            Some((_, task)) => Some(*task),
            None => Some(self.table.task_without_entry(index)),
        }
    }
}

#[cfg(test)]
mod tests;
