//! The results of operations.
//!
//! The encoding depends on the order of fields and variants, so neither may change.

use dunespur_budget::CounterReply;
use dunespur_configuration::Findings;
use serde::{Deserialize, Serialize};

/// The result of an operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The configuration request was accepted, by this call or an earlier one.
    Accepted,
    /// The configuration request builds on a generation that is not the current one.
    GenerationConflict {
        /// The current generation, or 0 for none.
        current: u64,
    },
    /// The configuration request would result in an invalid configuration.
    Invalid(Findings),
    /// No definite answer to the configuration request is possible. It builds on a generation so old that its
    /// acceptance is no longer recorded, or its rejection cannot be recorded. An accepted request must never be
    /// rejected.
    Undetermined,
    /// The request was not considered, because this call may be older than the rejection of an earlier call. To
    /// proceed, the caller repeats the request with this token.
    Fenced {
        /// The token that the repeated request must contain.
        fencing_token: u64,
    },
    /// The result of a request to retire a store.
    Retire(RetirementOutcome),
    /// The counter's reply to a budget request.
    Budget(CounterReply),
    /// Any other operation was applied, or was superseded and changed nothing.
    Done,
}

/// The result of a request to retire a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetirementOutcome {
    /// The store is being emptied or is already empty.
    Accepted,
    /// No store of this name is recorded.
    UnknownNode,
    /// Too few other stores would remain.
    TooFew,
}

/// The state of a store's retirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetirementState {
    /// The store is being emptied.
    Running,
    /// The store is empty and can be decommissioned.
    Done,
}
