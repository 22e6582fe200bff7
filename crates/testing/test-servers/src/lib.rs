//! Test doubles of the services that a gateway calls, written from the published protocol: HTTP servers, the shared
//! counter and discovery. They run on the caller's tokio `LocalSet`, listen on loopback, and are controlled by their
//! public fields. None of them checks the gateway's responses.

mod counter;
mod discovery;
mod server;

pub use counter::Counter;
pub use discovery::{endpoint_list, Discovery};
pub use server::Server;
