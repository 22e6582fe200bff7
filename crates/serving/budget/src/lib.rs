//! A program's counter of tokens and the leases that limiters hold on it.
//!
//! A program states a budget: the tokens that all of its turns may generate, through whichever limiters. One
//! counter per program, kept by the replicas of the core ([`Counters`]), grants units of that budget to limiters.
//! Each limiter admits turns out of what it holds ([`LeaseBook`]), without a call to the counter while that
//! covers a turn's most, and gives back what it does not need. What is granted and not given back counts against
//! the budget whether its holder lives or not, so all limiters together never hand out more than the budget.
//!
//! Both sides are state machines without I/O and clock: messages and times come in, messages and verdicts go out.
//! A message may be lost, doubled or overtaken; a limiter has at most one unanswered request per program and sends
//! it again unchanged until it is answered, and the counter answers a repeated request as it did the first time.

mod counter;
mod lease;
mod messages;

pub use counter::Counters;
pub use lease::{Admission, LeaseBook, LeaseSettings, Refusal, TurnOutcome};
pub use messages::{CounterChange, CounterReply, CounterRequest, LimiterId};

/// Milliseconds on a steady clock of the machine that names them.
pub type Millis = u64;
