//! Decisions on turns.

use crate::CounterRequest;

/// The decision on a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum Admission {
    /// The turn's maximum is reserved; the turn may be sent to a server.
    Admitted,
    /// The turn waits for the counter's reply to this request, which the caller must send. The decision follows as a
    /// [`TurnOutcome`]; the caller may call `admit` for the turn again before that.
    Request(CounterRequest),
    /// The turn waits for the counter's reply to a request in flight. The decision follows as a [`TurnOutcome`]; the
    /// caller may call `admit` for the turn again before that.
    Waiting,
    /// The turn is not admitted, and the table no longer records it.
    Rejected(Rejection),
}

/// Why a turn is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The budget is spent: it could not cover the turn even if all leases were returned.
    Spent,
    /// Limiters hold leased units that they may return.
    LeasedElsewhere {
        /// Milliseconds after which a retry may succeed.
        retry_after_ms: u64,
    },
    /// The counter did not reply in time.
    CounterTimeout,
    /// The limiter has its maximum number of programs or turns, or the program's name is too long.
    AtCapacity,
}

/// The decision on a waiting turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnOutcome {
    /// The caller's key for the turn.
    pub turn: u64,
    /// `Admitted`, `Rejected`, or a `Request` to send while the turn keeps waiting.
    pub admission: Admission,
}
