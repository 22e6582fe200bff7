//! A request in flight at a server: accounted for, whatever ends it.

use crate::node::Node;
use dunespur_routing::Outcome;
use std::rc::Rc;

/// Tells the node how a send ended, once. One that is dropped was abandoned by its client.
pub(crate) struct Flight<N: Node> {
    node: Rc<N>,
    key: u64,
    open: bool,
}

impl<N: Node> Flight<N> {
    pub(crate) fn new(node: &Rc<N>, key: u64) -> Flight<N> {
        Flight { node: node.clone(), key, open: true }
    }

    pub(crate) fn first_event(&self) {
        self.node.first_event(self.key);
    }

    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.tell(outcome);
    }

    fn tell(&mut self, outcome: Outcome) {
        if std::mem::take(&mut self.open) {
            self.node.finished(self.key, outcome);
        }
    }
}

impl<N: Node> Drop for Flight<N> {
    fn drop(&mut self) {
        self.tell(Outcome::Abandoned);
    }
}
