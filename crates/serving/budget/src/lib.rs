//! Token budgets of programs: a replicated counter and the leases that limiters hold on it.
//!
//! A program's budget is the number of tokens (units) that all its turns together may generate, across all limiters.
//! Each program has one counter, replicated by the core ([`Counters`]), which grants units of the budget to limiters as
//! leases. A limiter admits turns from its lease ([`LeaseTable`]), sends a request to the counter only when the lease
//! does not cover a turn's maximum, and returns unused units. Units that were granted and not returned count against
//! the budget even if the limiter is dead, so all limiters together never exceed the budget.
//!
//! Counter and limiter are state machines without I/O or a clock: their inputs are messages and times, their outputs
//! messages and decisions. Messages may be lost, duplicated or reordered. A limiter has at most one unanswered request
//! per program and resends it unchanged until the reply arrives; the counter answers a duplicate with the same reply.

mod counter;
mod lease;
mod messages;

pub use counter::Counters;
pub use lease::{Admission, LeaseSettings, LeaseTable, Rejection, TurnOutcome};
pub use messages::{CounterChange, CounterReply, CounterRequest, LimiterId};

/// Milliseconds on the local machine's monotonic clock.
pub type Millis = u64;
