//! Budgets lent on. A customer's set of limiters has one [`Broker`] at a time, which holds the duty `lend` for
//! the customer's shard. It leases blocks from the counter by adding them, sized to what its borrowers lately
//! asked for and shrunk near the limit, and answers their adds in the counter's place out of the block: the
//! paper's lease, one floor higher. Each limiter has a [`Borrower`], which sends adds to the broker while that
//! answers and to the counter while it does not.
//!
//! The broker must never answer with units that the counter has not counted, so two brokers, a stale view or
//! a broker that wakes up can waste units but let nothing in twice. It must never keep an ask longer than the
//! stated wait, and what it remembers of names, customers and borrowers ends.

mod borrower;
mod broker;
mod message;
mod settings;
#[cfg(test)]
mod test_settings;

pub use borrower::{Anew, Borrower, Way};
pub use broker::Broker;
pub use message::{Answer, Ask, Msg, Output};
pub use settings::Settings;
