//! A bound on background tasks of one kind.

use std::cell::Cell;
use std::rc::Rc;

/// Slots for tasks that empty one queue.
#[derive(Debug)]
pub(super) struct TaskSlots {
    most: u32,
    taken: Rc<Cell<u32>>,
}

/// One slot, free again once this is dropped.
#[derive(Debug)]
pub(super) struct TaskSlot(Rc<Cell<u32>>);

impl TaskSlots {
    pub(super) fn new(most: u32) -> TaskSlots {
        TaskSlots { most, taken: Rc::default() }
    }

    /// A slot, if one is free. If none is, the tasks that hold them will come to what was queued.
    pub(super) fn take(&self) -> Option<TaskSlot> {
        if self.taken.get() >= self.most {
            return None;
        }
        self.taken.set(self.taken.get() + 1);
        Some(TaskSlot(self.taken.clone()))
    }
}

impl Drop for TaskSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
