//! The fencing token for requests to retire stores.
//!
//! Whether a request can be accepted depends on the present stores, and a rejected request is not recorded. A duplicate
//! of it may still be in flight in a queue or in the log of a partitioned member. The duplicate contains a token from
//! before the rejection, so it is not considered. In the same way, a duplicate of an accepted request does not retire
//! another machine that joins under the same name.

use serde::{Deserialize, Serialize};

/// The current token: known only to callers that called after the last decision on a retirement request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RetirementFencing(u64);

/// Callers without a token send 0, which is never the current token.
const FIRST_TOKEN: u64 = 1;

impl Default for RetirementFencing {
    fn default() -> RetirementFencing {
        RetirementFencing(FIRST_TOKEN)
    }
}

impl RetirementFencing {
    /// The token that a request must contain.
    pub(crate) fn current_token(&self) -> u64 {
        self.0
    }

    /// Whether a request with this token was made after the last decision.
    pub(crate) fn admits(&self, token: u64) -> bool {
        token == self.0
    }

    /// Invalidates the current token after a request was accepted or rejected.
    pub(crate) fn advance(&mut self) {
        self.0 += 1;
    }
}
