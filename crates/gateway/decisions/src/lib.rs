//! The admission, routing and retry decisions of a gateway that enforces quotas, without I/O or a clock.
//!
//! A [`Limiter`] decides on the invocations of one gateway: it leases blocks of a customer's quota from a shared
//! counter, admits invocations from the lease, chooses servers and decides on retries. The limiter's owner (the gateway
//! or the simulator adapter) keeps connections and timers, reports events to the limiter and carries out the
//! [`types::Action`]s that it returns.

pub mod counter_price;
mod limiter;
pub mod rate_limit;
mod state;
pub mod types;

pub use state::Limiter;
