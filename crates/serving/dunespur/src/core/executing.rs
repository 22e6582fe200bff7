//! Operations that were handed to the chain here and are not committed yet, and who waits for them.

use dunespur_control_state::{Operation, Outcome};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Who waits for an operation: its outcome, or none if the chain has dropped it.
pub type Answer = oneshot::Receiver<Option<Outcome>>;

/// What is to be done with an operation.
#[derive(Debug)]
pub enum Taken {
    /// It goes to the chain under this ticket.
    New(Answer),
    /// The same request is on its way already: its answer is this one's too.
    Joined(Answer),
}

struct Waiting {
    callers: Vec<oneshot::Sender<Option<Outcome>>>,
    /// The request, if one like it may join.
    payload: Option<Rc<[u8]>>,
}

/// The operations in hand, by ticket.
#[derive(Default)]
pub struct Executing {
    waiting: HashMap<u64, Waiting>,
    /// Tickets of requests that a caller repeats unchanged.
    repeatable: HashMap<Rc<[u8]>, u64>,
}

impl Executing {
    /// How many are in hand.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Takes an operation in. A limiter repeats a request to a counter unchanged until it is answered: while the
    /// first is in hand, a repeated one waits for the same commit. Against a core that is slow and gets several times
    /// the work for it.
    pub fn take(&mut self, ticket: u64, operation: &Operation, payload: &[u8]) -> Taken {
        let (sender, answer) = oneshot::channel();
        let repeatable = matches!(operation, Operation::Budget(_));
        if let Some(first) = self.repeatable.get(payload).filter(|_| repeatable) {
            if let Some(waiting) = self.waiting.get_mut(first) {
                waiting.callers.retain(|caller| !caller.is_closed());
                waiting.callers.push(sender);
                return Taken::Joined(answer);
            }
        }
        let payload: Option<Rc<[u8]>> = repeatable.then(|| payload.into());
        if let Some(payload) = &payload {
            self.repeatable.insert(payload.clone(), ticket);
        }
        self.waiting.insert(
            ticket,
            Waiting {
                callers: vec![sender],
                payload,
            },
        );
        Taken::New(answer)
    }

    /// The operation was committed, or dropped.
    pub fn ended(&mut self, ticket: u64, outcome: Option<Outcome>) {
        let Some(waiting) = self.waiting.remove(&ticket) else {
            return;
        };
        if let Some(payload) = waiting.payload {
            self.repeatable.remove(&payload);
        }
        for caller in waiting.callers {
            let _ = caller.send(outcome.clone());
        }
    }
}

#[cfg(test)]
#[path = "executing/tests.rs"]
mod tests;
