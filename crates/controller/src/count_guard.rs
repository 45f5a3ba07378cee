//! A count of things that last a while, such as connections and requests in flight.

use std::cell::Cell;
use std::rc::Rc;

/// One of the things that are counted, until this is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard(Rc<Cell<u32>>);

impl CountGuard {
    /// Counts one more.
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
