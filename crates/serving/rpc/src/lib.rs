//! Remote procedure calls between the processes of the serving tier, over persistent TCP connections: requests with
//! responses, and one-way messages, as frames with a length and a checksum. The payload of a frame is the caller's
//! business.
//!
//! Both sides run on one thread (`tokio` current-thread with a `LocalSet`). Queues are bounded; a peer that does
//! not read, or is silent behind a network partition, ends its connection within [`PEER_TIMEOUT`].

mod client;
mod connection;
mod frame;
mod server;

pub use client::{CallError, Client};
pub use connection::{CONNECT_TIMEOUT, PEER_TIMEOUT};
pub use frame::{FrameError, MAX_FRAME_BYTES};
pub use server::{serve, Service};
