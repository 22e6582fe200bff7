//! Operations that this member proposed and that are not committed yet, with their waiting callers.

use dunespur_control_state::{Operation, Outcome};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Receives the outcome of an operation, or `None` if the chain dropped it.
pub type OutcomeReceiver = oneshot::Receiver<Option<Outcome>>;

/// How an operation was registered.
#[derive(Debug)]
pub enum Registration {
    /// The operation is new: the caller has to propose it under its ticket.
    New(OutcomeReceiver),
    /// An identical request is already pending, and its outcome answers this one too.
    Joined(OutcomeReceiver),
}

struct PendingOperation {
    callers: Vec<oneshot::Sender<Option<Outcome>>>,
    /// The encoded request, if identical requests may join it.
    payload: Option<Rc<[u8]>>,
}

/// Pending operations by ticket.
#[derive(Default)]
pub struct PendingOperations {
    pending: HashMap<u64, PendingOperation>,
    /// Tickets of pending requests that identical requests may join, by encoded request.
    joinable: HashMap<Rc<[u8]>, u64>,
}

impl PendingOperations {
    /// Number of pending operations.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Registers an operation. A limiter repeats a counter request unchanged until it is answered, so a repetition
    /// joins the pending request instead of being proposed again, which would multiply the work of a slow core.
    pub fn register(&mut self, ticket: u64, operation: &Operation, payload: &[u8]) -> Registration {
        let (sender, receiver) = oneshot::channel();
        let is_joinable = matches!(operation, Operation::Budget(_));
        if let Some(pending_ticket) = self.joinable.get(payload).filter(|_| is_joinable) {
            if let Some(pending_operation) = self.pending.get_mut(pending_ticket) {
                pending_operation
                    .callers
                    .retain(|caller| !caller.is_closed());
                pending_operation.callers.push(sender);
                return Registration::Joined(receiver);
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
        Registration::New(receiver)
    }

    /// Sends the outcome to all callers of an operation; `None` if the chain dropped it.
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
