//! The fencing token of requests to retire stores.
//!
//! Whether such a request can be accepted changes with the stores that are present, and a rejected one leaves no
//! trace. A duplicate of it may still be in flight, in a queue or in the log of a partitioned member: it was made
//! before the rejection, so it carries an older token and is not considered. The same holds for duplicates of an
//! accepted request, should another machine of that name join.

use serde::{Deserialize, Serialize};

/// A number that only those callers know whose call was made after the last decision on such a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RetirementFencing(u64);

/// Callers that know of no decision carry 0, which is never the current token.
const FIRST_TOKEN: u64 = 1;

impl Default for RetirementFencing {
    fn default() -> RetirementFencing {
        RetirementFencing(FIRST_TOKEN)
    }
}

impl RetirementFencing {
    /// The token that a call has to carry.
    pub(crate) fn current_token(&self) -> u64 {
        self.0
    }

    /// Whether a call with this token was made after the last decision.
    pub(crate) fn admits(&self, token: u64) -> bool {
        token == self.0
    }

    /// A request was accepted or rejected: tokens from before are void.
    pub(crate) fn advance(&mut self) {
        self.0 += 1;
    }
}
