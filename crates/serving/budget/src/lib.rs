//! Token budgets of programs: a replicated counter and the leases that limiters hold on it.
//!
//! A program states a budget: the tokens (units) that all of its turns together may generate, through whichever
//! limiters. One counter per program, replicated by the core ([`Counters`]), grants units of that budget to limiters as
//! leases. Each limiter admits turns out of its lease ([`LeaseTable`]), without a request to the counter while the
//! lease covers a turn's maximum, and returns what it does not need. What is granted and not returned counts against
//! the budget whether the limiter is alive or not, so all limiters together never hand out more than the budget.
//!
//! Both sides are state machines without I/O and clock: messages and times are inputs, messages and decisions are
//! outputs. A message may be lost, duplicated or reordered; a limiter has at most one unanswered request per program
//! and repeats it unchanged until it is answered, and the counter answers a repeated request as it did the first time.

mod counter;
mod lease;
mod messages;

pub use counter::Counters;
pub use lease::{Admission, LeaseSettings, LeaseTable, Rejection, TurnOutcome};
pub use messages::{CounterChange, CounterReply, CounterRequest, LimiterId};

/// Milliseconds on a monotonic clock of the machine that reads it.
pub type Millis = u64;
