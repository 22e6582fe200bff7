//! Budgets that limiters share beside the counter, by sub-leases. A customer's set of limiters has one
//! [`Broker`] at a time, which holds the singleton role `lend` for the customer's shard. It leases blocks from
//! the counter by adding them, sized to what its borrowers lately requested and shrunk near the limit, and
//! answers their adds in the counter's place out of the block: the paper's lease, one level higher. Each
//! limiter has a [`Borrower`], which sends adds to the broker while that answers and to the counter while it
//! does not.
//!
//! State machines without I/O or clock: messages and times in, outputs out, bounded in size and in age, with a
//! bound under partitions that docs/shared-state.md derives. The broker must never answer with units that the
//! counter has not counted, so two brokers, a stale view or a broker that wakes up can waste units but let
//! nothing in twice. It must never keep a request longer than the stated wait, and what it remembers of names,
//! customers and borrowers ends. A borrower must never make an invocation wait longer than the counter may.

mod borrower;
mod broker;
mod message;
mod settings;

pub use borrower::{Borrower, Route};
pub use broker::Broker;
pub use message::{Answer, CounterCall, LeaseRequest, Message, Output};
pub use settings::{Settings, SettingsError};

/// A limiter's name, the same after a restart.
pub type Name = String;
/// A shard of the role `lend`, as `dunespur-singleton-roles` numbers it.
pub type Slot = u32;
