//! Reports the outcome of each request in flight to the node, however the request ends.

use crate::clock::Clock;
use crate::node::Node;
use dunespur_routing::{Outcome, TicketKey};
use std::cell::Cell;
use std::rc::Rc;

/// A client that disconnects this shortly before the deadline counts as having waited for the whole time.
const DEADLINE_MARGIN_MS: u64 = 100;
/// A client that disconnects after this time without a response counts as having given up on the endpoint.
const UNRESPONSIVE_AFTER_MS: u64 = 2000;

/// A request in flight at an endpoint. Reports the outcome to the node exactly once. Dropped without an outcome, it
/// reports that the client disconnected: a timeout if the endpoint was unresponsive, otherwise a cancellation.
pub(crate) struct InFlight<N: Node> {
    node: Rc<N>,
    clock: Rc<Clock>,
    key: TicketKey,
    sent_at_ms: u64,
    deadline_ms: u64,
    has_responded: Cell<bool>,
    is_reported: bool,
}

impl<N: Node> InFlight<N> {
    /// Starts tracking a request that was just assigned to an endpoint.
    pub(crate) fn new(
        node: &Rc<N>,
        clock: &Rc<Clock>,
        key: TicketKey,
        deadline_ms: u64,
    ) -> InFlight<N> {
        InFlight {
            node: node.clone(),
            clock: clock.clone(),
            key,
            sent_at_ms: clock.now_ms(),
            deadline_ms,
            has_responded: Cell::new(false),
            is_reported: false,
        }
    }

    pub(crate) fn record_first_event(&self) {
        if !self.has_responded.replace(true) {
            self.node.record_first_event(self.key);
        }
    }

    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.report(outcome);
    }

    fn report(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.is_reported, true) {
            self.node.record_outcome(self.key, outcome);
        }
    }

    fn was_unresponsive(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let has_waited_long = now_ms + DEADLINE_MARGIN_MS >= self.deadline_ms
            || now_ms >= self.sent_at_ms + UNRESPONSIVE_AFTER_MS;
        !self.has_responded.get() && has_waited_long
    }
}

impl<N: Node> Drop for InFlight<N> {
    fn drop(&mut self) {
        if !self.is_reported {
            self.report(if self.was_unresponsive() {
                Outcome::TimedOut
            } else {
                Outcome::Cancelled
            });
        }
    }
}
