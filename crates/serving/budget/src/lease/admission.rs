//! Verdicts on turns.

use crate::CounterRequest;

/// What is to be done with a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The turn's most is reserved; it may be sent to a server.
    Admitted,
    /// The turn waits for the counter's answer to this request, which is to be sent. The verdict comes as a
    /// [`TurnOutcome`]; asking again is allowed.
    Ask(CounterRequest),
    /// The turn waits for the answer to a request that is under way. The verdict comes as a [`TurnOutcome`];
    /// asking again is allowed.
    Waiting,
    /// The turn is not admitted, and no longer known here.
    Refused(Refusal),
}

/// Why a turn is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The budget is spent: even if all that is held came back, the turn would not fit.
    Spent,
    /// Limiters hold units that may come back.
    Elsewhere {
        /// After this long it is worth trying again.
        retry_after_ms: u64,
    },
    /// The counter has not answered in time.
    Silent,
    /// More programs or turns are under way here than are kept, or the program's name is too long to keep.
    Crowded,
}

/// The verdict on a turn that had been waiting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnOutcome {
    /// The caller's key of the turn.
    pub turn: u64,
    /// Admitted, refused, or a next request to send on behalf of the turn, which goes on waiting.
    pub admission: Admission,
}
