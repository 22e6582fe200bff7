//! Clients of the system: they send requests, retry as the protocol allows, and read streams event by event.

mod attempt;
pub mod call;
mod connection;
mod request;
mod retry;

pub use attempt::Timeouts;
pub use connection::ClientConnection;
pub use request::{RequestKind, RequestSpec, TurnHeaders};
pub use retry::{Client, Served};
