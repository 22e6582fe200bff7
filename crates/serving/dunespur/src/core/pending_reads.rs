//! Reads that wait until all that was committed before them is applied here.

use std::collections::HashMap;
use tokio::sync::oneshot;

/// Pending reads by their ticket.
#[derive(Default)]
pub struct PendingReads {
    callers: HashMap<u64, oneshot::Sender<()>>,
}

impl PendingReads {
    /// Registers a read. Reads whose callers have given up are forgotten on the way.
    pub fn register(&mut self, ticket: u64) -> oneshot::Receiver<()> {
        let (caller, answer) = oneshot::channel();
        self.callers.retain(|_, waiting| !waiting.is_closed());
        self.callers.insert(ticket, caller);
        answer
    }

    /// The read sees all that was committed before it.
    pub fn complete(&mut self, ticket: u64) {
        if let Some(caller) = self.callers.remove(&ticket) {
            let _ = caller.send(());
        }
    }

    /// The state machine has given up the read: its caller sees the closed channel.
    pub fn drop_ticket(&mut self, ticket: u64) {
        self.callers.remove(&ticket);
    }
}
