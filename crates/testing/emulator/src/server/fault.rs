//! Faults of a server, injected by the test.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// A fault that one request meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFault {
    /// Runs it and closes the connection without a response.
    AnswerLost,
    /// Runs it and closes the connection inside the response's body.
    TruncateBody {
        /// Bytes of the body that are sent.
        after: usize,
    },
    /// Runs it and sends bytes that are no response.
    SendGarbage,
    /// Runs it, responds, and at once sends the response a second time.
    Surplus,
    /// Runs it, responds, and sends the response a second time in place of the next one.
    LateSurplus,
    /// Runs it and never responds.
    NeverAnswer,
    /// Runs it and answers 500.
    Fail,
    /// Responds 503 without the header that says that it did not run.
    Unavailable,
    /// Rejects it as not run.
    Reject {
        /// HTTP status.
        status: u16,
    },
    /// Responds as usual and closes the connection afterwards.
    Close,
}

/// The faults of the next requests; none beyond them.
#[derive(Debug, Default)]
pub struct ServerFaults {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next: VecDeque<ServerFault>,
    always: Option<ServerFault>,
}

impl ServerFaults {
    /// One of the next requests meets this fault.
    pub fn once(&self, fault: ServerFault) {
        self.change(|state| state.next.push_back(fault));
    }

    /// All requests meet this fault, once those injected by [`Self::once`] are used up.
    pub fn always(&self, fault: Option<ServerFault>) {
        self.change(|state| state.always = fault);
    }

    pub(super) fn draw(&self) -> Option<ServerFault> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.next.pop_front().or(state.always)
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner));
    }
}
