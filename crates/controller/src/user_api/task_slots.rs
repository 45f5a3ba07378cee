//! A bound on background tasks of one kind.

use std::cell::Cell;
use std::rc::Rc;

use crate::count_guard::CountGuard;

/// Slots for tasks that empty one queue.
#[derive(Debug)]
pub(super) struct TaskSlots {
    most: u32,
    taken: Rc<Cell<u32>>,
}

impl TaskSlots {
    pub(super) fn new(most: u32) -> TaskSlots {
        TaskSlots { most, taken: Rc::default() }
    }

    /// A slot, taken until the guard is dropped. `None` if there is none: the tasks that hold them will
    /// come to what was queued.
    pub(super) fn take(&self) -> Option<CountGuard> {
        if self.taken.get() >= self.most {
            return None;
        }
        Some(CountGuard::new(&self.taken))
    }
}
