//! Calls between the processes of the system over kept TCP connections: requests with answers, and messages
//! without, as frames with a length and a checksum. What a frame holds is the caller's business.
//!
//! Both sides run on one thread (`tokio` current-thread with a `LocalSet`). Queues are bounded; a peer that does
//! not read, or is silent behind a cut, ends its connection within [`PEER_TIMEOUT`].

mod client;
mod frame;
mod server;

pub use client::{CallError, Client};
pub use frame::{FrameError, MOST_FRAME};
pub use server::{serve, Service};

use std::time::Duration;

/// Unacknowledged bytes end a connection after this time (`TCP_USER_TIMEOUT`). Guards against cuts, which say
/// nothing.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1500);

/// A connection that does not come up within this time has failed.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// A connection that has not come up after this time is tried once more, beside the first attempt.
const FURTHER_ATTEMPT: Duration = Duration::from_millis(150);

/// Frames that may wait for a connection to take them; with more the oldest state is stale anyway and the
/// connection is ended.
const MOST_QUEUED: usize = 4096;

/// Sets what every internal connection needs: no delay for small frames, an end for silent peers.
fn prepare(stream: &tokio::net::TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(PEER_TIMEOUT))
}
