//! Reads that wait until this member has applied every operation committed before them.

use std::collections::HashMap;
use tokio::sync::oneshot;

/// Pending reads by ticket.
#[derive(Default)]
pub struct PendingReads {
    callers: HashMap<u64, oneshot::Sender<()>>,
}

impl PendingReads {
    /// Registers a read, and removes reads whose callers have given up.
    pub fn register(&mut self, ticket: u64) -> oneshot::Receiver<()> {
        let (caller, completed) = oneshot::channel();
        self.callers.retain(|_, caller| !caller.is_closed());
        self.callers.insert(ticket, caller);
        completed
    }

    /// Completes a read: every operation committed before it is applied.
    pub fn complete(&mut self, ticket: u64) {
        if let Some(caller) = self.callers.remove(&ticket) {
            let _ = caller.send(());
        }
    }

    /// Drops a read that the state machine has given up; its caller sees the closed channel.
    pub fn drop_ticket(&mut self, ticket: u64) {
        self.callers.remove(&ticket);
    }
}
