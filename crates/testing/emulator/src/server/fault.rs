//! Faults of a server, injected by the test.

use dunespur_test_fixtures::response_heads::ResponseHead;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// How a server mishandles one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFault {
    /// Runs the request and closes the connection without a response.
    AnswerLost,
    /// Runs the request and closes the connection inside the response's body.
    TruncateBody {
        /// Number of body bytes that are sent.
        after: usize,
    },
    /// Runs the request and sends bytes that are not an HTTP response.
    SendGarbage,
    /// Runs the request, sends a response with this broken head, and closes the connection.
    BreakHead(&'static ResponseHead),
    /// Runs the request, responds, and immediately sends the response a second time.
    Surplus,
    /// Runs the request, responds, and sends the same response again before the next one on the connection.
    LateSurplus,
    /// Runs the request and never responds.
    NeverAnswer,
    /// Runs the request and responds with 500.
    Fail,
    /// Responds with 503, without the header that states that the request did not run.
    Unavailable,
    /// Rejects the request, with the header that states that it did not run.
    Reject {
        /// HTTP status of the rejection.
        status: u16,
    },
    /// Runs the request, responds, and closes the connection afterwards.
    Close,
}

/// The faults to be injected into the next requests.
#[derive(Debug, Default)]
pub struct ServerFaults {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// One fault for each of the next requests.
    next: VecDeque<ServerFault>,
    /// Fault of all requests once `next` is empty.
    always: Option<ServerFault>,
}

impl ServerFaults {
    /// Injects `fault` into one request, after the faults that were added before.
    pub fn once(&self, fault: ServerFault) {
        self.change(|state| state.next.push_back(fault));
    }

    /// Injects `fault` into all requests, once the faults added by [`Self::once`] are used up; `None` ends it.
    pub fn always(&self, fault: Option<ServerFault>) {
        self.change(|state| state.always = fault);
    }

    /// Removes all faults that were not injected yet.
    pub fn clear(&self) {
        self.change(|state| *state = State::default());
    }

    /// Takes the fault of the next request.
    pub(super) fn next_fault(&self) -> Option<ServerFault> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.next.pop_front().or(state.always)
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner));
    }
}
