//! Common parts of plain servers and model servers: connections, checks before a request is admitted, injected faults
//! and the record of requests.

mod connection;
mod fault;
mod handle;
mod identity;
mod listener;
mod reply;
mod work;

pub use fault::{ServerFault, ServerFaults};
pub use handle::{ConnectionSettings, ServerHandle};
pub use identity::{Identity, TestContext};
pub use listener::ListenerTask;
pub use reply::Reply;
pub use work::{ReceivedRequest, Work};
