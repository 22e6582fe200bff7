//! Remote procedure calls between the processes of the serving tier, over persistent TCP connections: requests with
//! responses, and one-way messages. Each is a frame with a length and a checksum; the payload is opaque to this package.
//!
//! Client and server run on one thread (`tokio` current-thread with a `LocalSet`). Queues are bounded. A connection is
//! closed if the peer stops reading, or if a network partition leaves sent bytes unacknowledged for [`PEER_TIMEOUT`].

mod client;
mod connection;
mod frame;
mod server;

pub use client::{CallError, Client};
pub use connection::{CONNECT_TIMEOUT, PEER_TIMEOUT};
pub use frame::{FrameError, MAX_FRAME_BYTES};
pub use server::{serve, Service};
