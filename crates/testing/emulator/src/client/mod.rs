//! Clients of the system: attempts, retries as the protocol defines them, streams read event by event.

mod attempt;
pub mod call;
mod request;
mod retry;

pub use attempt::Timeouts;
pub use request::{Kind, RequestSpec, Turn};
pub use retry::{Client, Served};
