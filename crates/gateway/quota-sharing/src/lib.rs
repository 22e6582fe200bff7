//! Quota sharing between limiters by sub-leases, so that fewer calls reach the shared counter. The limiters that
//! serve a customer have one [`Broker`] at a time: the holder of the singleton role `lend` for the customer's
//! shard. The broker leases blocks of units from the counter, sized to the recent demand of its borrowers and
//! smaller near the limit, and answers the borrowers' adds from the block in the counter's place. Each limiter
//! has a [`Borrower`], which sends adds to the broker while the broker responds, and otherwise to the counter.
//!
//! Both are state machines without I/O or a clock: messages and times in, outputs out. Their state is bounded in
//! size and in age; docs/shared-state.md derives the bound that holds under partitions. Invariants:
//! - A broker never grants units that the counter has not counted. Two brokers at once, a stale view or a broker
//!   that resumes after a pause can waste units but never grant one twice.
//! - A broker never holds a request longer than `MAX_WAIT_TIMEOUTS` counter time-outs, and forgets idle names,
//!   customers and borrowers.
//! - A borrower never makes an invocation wait longer than a call to the counter may take.

mod borrower;
mod broker;
mod message;
mod settings;

pub use borrower::{Borrower, Route};
pub use broker::Broker;
pub use message::{BrokerAnswer, CounterCall, LeaseRequest, Message, Output};
pub use settings::{Settings, SettingsError};

/// A limiter's name, unchanged by a restart.
pub type Name = String;
/// Number of a shard of the role `lend`, as in `dunespur-singleton-roles`.
pub type Slot = u32;
