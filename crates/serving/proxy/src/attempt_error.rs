//! The errors of an attempt, and what they mean for the request and its endpoint.

use crate::classification::{Attempt, Execution, RetryRule};
use crate::endpoint_connection::ConnectError;
use crate::endpoint_response::outcome_of_truncated;
use dunespur_routing::Outcome;
use thiserror::Error;

/// Why an attempt returned no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum AttemptError {
    /// No connection to the endpoint could be opened.
    #[error("no connection to the endpoint")]
    Connect(#[source] ConnectError),
    /// The attempt ended before a usable response arrived.
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

    /// Whether the endpoint has ended, so that an earlier attempt no longer runs there.
    pub(crate) fn shows_departure(self) -> bool {
        matches!(
            self,
            AttemptError::Connect(ConnectError::Unreachable | ConnectError::Replaced)
        )
    }

    /// Returns the outcome to be reported for the endpoint.
    pub(crate) fn outcome(self) -> Outcome {
        match self {
            AttemptError::Connect(ConnectError::Unreachable) => Outcome::Unreachable,
            // The shortage is in this process, or the endpoint leaves: neither may count against the endpoint.
            AttemptError::Connect(ConnectError::NoConnectionLeft | ConnectError::Leaving) => {
                Outcome::Cancelled
            }
            AttemptError::Connect(ConnectError::Replaced) => Outcome::Misdirected,
            AttemptError::Connect(ConnectError::TurnedAway) => Outcome::Rejected,
            AttemptError::Connect(ConnectError::TimeUp) => Outcome::Failed,
            AttemptError::Ended(_) if self.execution() == Execution::NotRun => Outcome::Failed,
            AttemptError::Ended(attempt) => outcome_of_truncated(attempt.ended_by),
        }
    }
}
