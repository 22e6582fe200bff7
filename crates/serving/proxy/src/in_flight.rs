//! A request in flight at an endpoint: its outcome is reported to the node, however it ends.

use crate::clock::Clock;
use crate::node::Node;
use dunespur_routing::{Outcome, TicketKey};
use std::cell::Cell;
use std::rc::Rc;

/// A client that disconnects so shortly before its request's deadline has waited for all of it.
const DEADLINE_MARGIN_MS: u64 = 100;
/// A client that disconnects after so long without a response does so for want of it.
const UNRESPONSIVE_MS: u64 = 2000;

/// Reports to the node how a send ended, once. One that is dropped was abandoned by its client, be it because the
/// endpoint did not respond.
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
    /// Of a request with this deadline.
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

    pub(crate) fn first_event(&self) {
        if !self.has_responded.replace(true) {
            self.node.first_event(self.key);
        }
    }

    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.report(outcome);
    }

    fn report(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.is_reported, true) {
            self.node.finished(self.key, outcome);
        }
    }

    fn was_unresponsive(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let has_waited_long = now_ms + DEADLINE_MARGIN_MS >= self.deadline_ms
            || now_ms >= self.sent_at_ms + UNRESPONSIVE_MS;
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
