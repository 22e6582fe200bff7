//! The decisions of a quota-keeping gateway, without I/O or a clock.
//!
//! A [`Limiter`] decides on one gateway's invocations: it leases blocks of a customer's quota from a shared counter,
//! admits from the lease, chooses the server and decides on retries. Its owner (the gateway on sockets, the adapter of
//! the simulator) keeps connections and timers, passes on what it observes and carries out the [`types::Action`]s.

pub mod counter_price;
mod limiter;
pub mod rate_limit;
mod state;
pub mod types;

pub use state::Limiter;
