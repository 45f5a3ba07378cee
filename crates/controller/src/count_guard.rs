//! An RAII counter for open connections, requests in flight and running background tasks.

use std::cell::Cell;
use std::rc::Rc;

/// Holds one unit of a shared counter and gives it back when dropped.
#[derive(Debug)]
pub(crate) struct CountGuard(Rc<Cell<u32>>);

impl CountGuard {
    /// Increments the counter; dropping the guard decrements it again.
    pub(crate) fn new(count: &Rc<Cell<u32>>) -> CountGuard {
        count.set(count.get() + 1);
        CountGuard(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
