//! The results of operations.
//!
//! They are encoded by position and variant order: neither may change.

use dunespur_budget::CounterReply;
use dunespur_configuration::Findings;
use serde::{Deserialize, Serialize};

/// The result of an operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The configuration request is accepted, now or by an earlier call.
    Accepted,
    /// The configuration request builds on a generation that is not the current one.
    GenerationConflict {
        /// The current generation, 0 for none.
        current: u64,
    },
    /// The configuration request would make an invalid configuration.
    Invalid(Findings),
    /// Whether the configuration request was accepted is no longer recorded: it builds on too old a generation. The
    /// caller gets no definite answer, since an accepted request must never be rejected.
    Undetermined,
    /// The request was not considered: this call may have been made before an earlier one was rejected. A caller that
    /// still wants it calls again with this token.
    Fenced {
        /// The token that a call has to carry.
        fencing_token: u64,
    },
    /// The result of a request to retire a store.
    Retire(RetirementOutcome),
    /// The counter's reply.
    Budget(CounterReply),
    /// Any other operation: it was applied, or was superseded and changed nothing.
    Done,
}

/// The result of a request to retire a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetirementOutcome {
    /// The store is being emptied, or is empty already.
    Accepted,
    /// There is no such store.
    UnknownNode,
    /// Too few stores would remain.
    TooFew,
}

/// How far the retirement of a store is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetirementState {
    /// The store is being emptied.
    Running,
    /// The store is empty and can be decommissioned.
    Done,
}
