//! The fence of orders to take stores away.
//!
//! Whether such an order may be taken changes with the stores that are there, and one that was refused leaves no
//! trace. A copy of it may still be under way, in a queue or in the log of a member that was cut off: it was made
//! before the refusal, so it bears an older fence and counts no more. The same holds for copies of an order that was
//! taken, should another machine of that name come.

use serde::{Deserialize, Serialize};

/// A number that only those calls know that were made after the last decision on such an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RetireFence(u64);

/// Calls that know of no decision bear 0, which is never the fence.
const FIRST: u64 = 1;

impl Default for RetireFence {
    fn default() -> RetireFence {
        RetireFence(FIRST)
    }
}

impl RetireFence {
    /// What a call has to bear.
    pub(crate) fn current(&self) -> u64 {
        self.0
    }

    /// Whether a call was made after the last decision.
    pub(crate) fn lets_pass(&self, fence: u64) -> bool {
        fence == self.0
    }

    /// An order was taken or refused.
    pub(crate) fn decided(&mut self) {
        self.0 += 1;
    }
}
