//! Limits how many background tasks of one kind run at the same time.

use std::cell::Cell;
use std::rc::Rc;

use crate::count_guard::CountGuard;

/// Counting semaphore for the tasks that drain one queue.
#[derive(Debug)]
pub(super) struct TaskSlots {
    limit: u32,
    in_use: Rc<Cell<u32>>,
}

impl TaskSlots {
    pub(super) fn new(limit: u32) -> TaskSlots {
        TaskSlots { limit, in_use: Rc::default() }
    }

    /// Takes a slot, which is released when the guard is dropped. Returns `None` if all are in use; the
    /// running tasks then also process whatever was queued before the call.
    pub(super) fn try_acquire(&self) -> Option<CountGuard> {
        if self.in_use.get() >= self.limit {
            return None;
        }
        Some(CountGuard::new(&self.in_use))
    }
}
