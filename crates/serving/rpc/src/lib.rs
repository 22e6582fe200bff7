//! Remote procedure calls between the processes of the serving tier, over persistent TCP connections: requests with
//! responses, and one-way messages. Each is a frame with a length and a checksum; the payload is opaque to this
//! package.
//!
//! Client and server run on one thread (`tokio` current-thread with a `LocalSet`). Queues are bounded. A connection is
//! closed within [`PEER_TIMEOUT`] if the peer stops reading or a network partition makes it unreachable.

mod client;
mod connection;
mod frame;
mod server;

pub use client::{CallError, Client};
pub use connection::{CONNECT_TIMEOUT, PEER_TIMEOUT};
pub use frame::{FrameError, MAX_FRAME_BYTES, MAX_PAYLOAD_BYTES};
pub use server::{serve, Service};
