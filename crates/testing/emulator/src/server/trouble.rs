//! Troubles of a server, ordered by the test.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// What a server does to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Runs it and closes the connection without an answer.
    AnswerLost,
    /// Runs it and ends the connection after that many bytes of the answer's body.
    Cut {
        /// Bytes of the answer that are still sent.
        after: usize,
    },
    /// Runs it and sends bytes that form no answer.
    Garble,
    /// Runs it, answers, and at once sends the answer a second time.
    Surplus,
    /// Runs it, answers, and sends the answer a second time where the next one is expected.
    LateSurplus,
    /// Runs it and never answers.
    Mute,
    /// Runs it and answers 500.
    Fail,
    /// Answers 503 without saying that it did not run.
    Unavailable,
    /// Does not run it and says so, with this status.
    TurnAway {
        /// The status of the refusal.
        status: u16,
    },
    /// Answers as ever and ends the connection after it.
    Close,
}

/// The troubles that the next requests get; none beyond them.
#[derive(Debug, Default)]
pub struct Troubles {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next: VecDeque<Trouble>,
    always: Option<Trouble>,
}

impl Troubles {
    /// One of the next requests gets this trouble.
    pub fn once(&self, trouble: Trouble) {
        self.change(|state| state.next.push_back(trouble));
    }

    /// All requests get this trouble, once those ordered by [`Self::once`] are over.
    pub fn always(&self, trouble: Option<Trouble>) {
        self.change(|state| state.always = trouble);
    }

    pub(super) fn draw(&self) -> Option<Trouble> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.next.pop_front().or(state.always)
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner));
    }
}
