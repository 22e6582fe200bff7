//! Scripted servers that a gateway meets, written from the published protocol: servers of requests, the shared counter
//! and discovery with its watches. They run on the caller's tokio `LocalSet`, on loopback, and do what their switches
//! say. None of them knows what a correct response of the gateway would be.

mod counter;
mod discovery;
mod server;

pub use counter::Counter;
pub use discovery::{list, Discovery};
pub use server::Server;
