//! Why an attempt brought no usable response, and what follows.

use crate::classification::{Attempt, Execution, RetryRule};
use crate::endpoint_connection::ConnectError;
use crate::endpoint_response::outcome_of_truncated;
use dunespur_routing::Outcome;
use thiserror::Error;

/// Why an attempt brought no response that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum AttemptError {
    /// It had no connection.
    #[error("no connection to the endpoint")]
    Connect(#[source] ConnectError),
    /// It ended so.
    #[error("the attempt ended early: {0:?}")]
    Ended(Attempt),
}

impl AttemptError {
    pub(crate) fn execution(self) -> Execution {
        match self {
            AttemptError::Connect(_) => Execution::NotRun,
            AttemptError::Ended(attempt) => attempt.classify().execution,
        }
    }

    pub(crate) fn retry(self) -> RetryRule {
        match self {
            AttemptError::Connect(_) => RetryRule::Allowed,
            AttemptError::Ended(attempt) => attempt.classify().retry,
        }
    }

    /// What it says about its endpoint.
    pub(crate) fn outcome(self) -> Outcome {
        match self {
            AttemptError::Connect(ConnectError::Unreachable) => Outcome::Unreachable,
            // The endpoint is not to blame.
            AttemptError::Connect(ConnectError::NoConnectionLeft) => Outcome::Cancelled,
            AttemptError::Connect(ConnectError::TurnedAway) => Outcome::Rejected,
            AttemptError::Connect(ConnectError::TimeUp) => Outcome::Failed,
            AttemptError::Ended(_) if self.execution() == Execution::NotRun => Outcome::Failed,
            AttemptError::Ended(attempt) => outcome_of_truncated(attempt.ended_by),
        }
    }
}
