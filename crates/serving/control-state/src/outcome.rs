//! What an operation comes to.

use dunespur_budget::CounterReply;
use dunespur_configuration::Findings;
use serde::{Deserialize, Serialize};

/// What an operation came to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The order is taken, now or before.
    Accepted,
    /// The order builds on a configuration that is not the current one.
    Current {
        /// The current one, 0 for none.
        generation: u64,
    },
    /// The order would make an invalid configuration.
    Invalid(Findings),
    /// The order builds on a configuration so old that nobody knows any more whether it was taken. It gets no
    /// clear answer, since one that was taken must not be refused.
    Forgotten,
    /// The order was not looked at: this call may have been made before an earlier one was refused. Whoever still
    /// wants it calls again with this fence.
    Fenced {
        /// What to call with.
        fence: u64,
    },
    /// What became of the wish to take a store away.
    Retire(RetireOutcome),
    /// What the counter answers.
    Budget(CounterReply),
    /// Any other operation: it is applied, or is overtaken and changes nothing.
    Done,
}

/// What became of the wish to take a store away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetireOutcome {
    /// It is being emptied, or is empty already.
    Taken,
    /// There is no such store.
    UnknownNode,
    /// Too few stores would be left.
    TooFew,
}

/// How far a store is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetireState {
    /// It is being emptied.
    Running,
    /// It is empty and can be taken away.
    Done,
}
