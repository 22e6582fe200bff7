//! Permits that count open connections. Dropping a permit releases it, however the connection ends.

use std::cell::Cell;
use std::rc::Rc;

/// Counts one open connection until it is dropped.
pub(crate) struct ConnectionPermit(Rc<Cell<usize>>);

impl ConnectionPermit {
    /// Adds one connection to `open_count`.
    pub(crate) fn new(open_count: &Rc<Cell<usize>>) -> ConnectionPermit {
        open_count.set(open_count.get() + 1);
        ConnectionPermit(open_count.clone())
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
