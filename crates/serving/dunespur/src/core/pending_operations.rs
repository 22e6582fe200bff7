//! Operations that were proposed here and are not committed yet, and the callers that wait for them.

use dunespur_control_state::{Operation, Outcome};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The outcome of an operation, or none if the chain has dropped it.
pub type OperationAnswer = oneshot::Receiver<Option<Outcome>>;

/// What has to be done with an operation that was registered.
#[derive(Debug)]
pub enum Registration {
    /// It has to be proposed under its ticket.
    New(OperationAnswer),
    /// The same request is pending already: its answer is this one's too.
    Joined(OperationAnswer),
}

struct PendingOperation {
    callers: Vec<oneshot::Sender<Option<Outcome>>>,
    /// The request, if an equal one may join it.
    payload: Option<Rc<[u8]>>,
}

/// The pending operations, by ticket.
#[derive(Default)]
pub struct PendingOperations {
    pending: HashMap<u64, PendingOperation>,
    /// Tickets of pending requests that callers repeat unchanged.
    joinable: HashMap<Rc<[u8]>, u64>,
}

impl PendingOperations {
    /// How many are pending.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Registers an operation. A limiter repeats a request to a counter unchanged until it is answered: while the first
    /// is pending, a repeated one waits for the same commit. A core that is slow would otherwise get several times the
    /// work for it.
    pub fn register(&mut self, ticket: u64, operation: &Operation, payload: &[u8]) -> Registration {
        let (sender, answer) = oneshot::channel();
        let is_joinable = matches!(operation, Operation::Budget(_));
        if let Some(first) = self.joinable.get(payload).filter(|_| is_joinable) {
            if let Some(first) = self.pending.get_mut(first) {
                first.callers.retain(|caller| !caller.is_closed());
                first.callers.push(sender);
                return Registration::Joined(answer);
            }
        }
        let payload: Option<Rc<[u8]>> = is_joinable.then(|| payload.into());
        if let Some(payload) = &payload {
            self.joinable.insert(payload.clone(), ticket);
        }
        self.pending.insert(
            ticket,
            PendingOperation {
                callers: vec![sender],
                payload,
            },
        );
        Registration::New(answer)
    }

    /// The operation was committed, or dropped.
    pub fn complete(&mut self, ticket: u64, outcome: Option<Outcome>) {
        let Some(operation) = self.pending.remove(&ticket) else {
            return;
        };
        if let Some(payload) = operation.payload {
            self.joinable.remove(&payload);
        }
        for caller in operation.callers {
            let _ = caller.send(outcome.clone());
        }
    }
}

#[cfg(test)]
#[path = "pending_operations/tests.rs"]
mod tests;
