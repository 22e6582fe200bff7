//! A bounded number of connections: each holds a permit, released however it ends.

use std::cell::Cell;
use std::rc::Rc;

/// One open connection, counted until it is dropped.
pub(crate) struct ConnectionPermit(Rc<Cell<usize>>);

impl ConnectionPermit {
    /// Counts one more among those `open`.
    pub(crate) fn new(open: &Rc<Cell<usize>>) -> ConnectionPermit {
        open.set(open.get() + 1);
        ConnectionPermit(open.clone())
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
