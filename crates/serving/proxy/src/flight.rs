//! A request in flight at a server: accounted for, whatever ends it.

use crate::clock::Clock;
use crate::node::Node;
use dunespur_routing::Outcome;
use std::cell::Cell;
use std::rc::Rc;

/// A client that leaves so shortly before the end of its request's time has waited for all of it.
const LAST_MOMENTS_MS: u64 = 100;
/// A client that leaves after so long a silence leaves for the silence.
const SILENCE_MS: u64 = 2000;

/// Tells the node how a send ended, once. One that is dropped was abandoned by its client, be it for the server's
/// silence.
pub(crate) struct Flight<N: Node> {
    node: Rc<N>,
    clock: Rc<Clock>,
    key: u64,
    sent_ms: u64,
    until_ms: u64,
    heard: Cell<bool>,
    open: bool,
}

impl<N: Node> Flight<N> {
    /// Of a request whose time ends then.
    pub(crate) fn new(node: &Rc<N>, clock: &Rc<Clock>, key: u64, until_ms: u64) -> Flight<N> {
        Flight {
            node: node.clone(),
            clock: clock.clone(),
            key,
            sent_ms: clock.now_ms(),
            until_ms,
            heard: Cell::new(false),
            open: true,
        }
    }

    pub(crate) fn first_event(&self) {
        if !self.heard.replace(true) {
            self.node.first_event(self.key);
        }
    }

    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.tell(outcome);
    }

    fn tell(&mut self, outcome: Outcome) {
        if std::mem::take(&mut self.open) {
            self.node.finished(self.key, outcome);
        }
    }

    fn is_for_silence(&self) -> bool {
        let now_ms = self.clock.now_ms();
        !self.heard.get()
            && (now_ms + LAST_MOMENTS_MS >= self.until_ms || now_ms >= self.sent_ms + SILENCE_MS)
    }
}

impl<N: Node> Drop for Flight<N> {
    fn drop(&mut self) {
        if self.open {
            self.tell(if self.is_for_silence() {
                Outcome::Silent
            } else {
                Outcome::Abandoned
            });
        }
    }
}
