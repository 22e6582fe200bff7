//! Decisions on turns.

use crate::CounterRequest;

/// The decision on a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum Admission {
    /// The turn's maximum is reserved; it may be sent to a server.
    Admitted,
    /// The turn waits for the counter's reply to this request, which the caller has to send. The decision comes as a
    /// [`TurnOutcome`]; admitting the turn again meanwhile is allowed.
    Request(CounterRequest),
    /// The turn waits for the reply to a request in flight. The decision comes as a [`TurnOutcome`]; admitting the
    /// turn again meanwhile is allowed.
    Waiting,
    /// The turn is not admitted, and no longer known here.
    Rejected(Rejection),
}

/// Why a turn is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The budget is spent: even if all leases were returned, the turn would not fit.
    Spent,
    /// Limiters have units on lease that may be returned.
    LeasedElsewhere {
        /// When a retry may succeed, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// The counter has not replied in time.
    CounterTimeout,
    /// The limiter is at its capacity of programs or turns, or the program's name is too long to store.
    AtCapacity,
}

/// The decision on a turn that had been waiting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnOutcome {
    /// The caller's key of the turn.
    pub turn: u64,
    /// Admitted, rejected, or a next request to send on behalf of the turn, which goes on waiting.
    pub admission: Admission,
}
