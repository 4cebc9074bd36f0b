//! Counts open requests.

use std::{cell::Cell, rc::Rc};

/// Increment of a counter that lasts until it is dropped.
pub struct Counted(Rc<Cell<usize>>);

impl Counted {
    /// Increments the counter.
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
