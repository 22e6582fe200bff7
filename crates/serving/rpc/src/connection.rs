//! Connection establishment, socket options and queue limits, shared by client and server.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// A connection is closed if sent bytes stay unacknowledged for this time (`TCP_USER_TIMEOUT`, RFC 5482). Without it,
/// the socket would not report a network partition.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time within which a connection must be established.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time without a result after which a further connection attempt is started in parallel.
const CONNECT_HEDGE_DELAY: Duration = Duration::from_millis(150);

/// Maximum number of frames in a connection's queue. If the queue is full, its oldest frames are stale and the client
/// closes the connection.
pub const MAX_QUEUED_FRAMES: usize = 4096;

/// Opens a connection within [`CONNECT_TIMEOUT`].
pub async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, connect_hedged(address))
        .await
        .ok()??;
    set_socket_options(&stream).ok()?;
    Some(stream)
}

/// Starts parallel connection attempts, [`CONNECT_HEDGE_DELAY`] apart, and returns the first result. TCP repeats a lost
/// SYN packet only after a second, although an unreachable machine may be back much earlier.
async fn connect_hedged(address: SocketAddr) -> Option<TcpStream> {
    let mut attempts = JoinSet::new();
    loop {
        attempts.spawn_local(TcpStream::connect(address));
        match timeout(CONNECT_HEDGE_DELAY, attempts.join_next()).await {
            Ok(Some(Ok(connected))) => return connected.ok(),
            Ok(_) => return None,
            Err(_) => {}
        }
    }
}

/// Sets the socket options of a connection: `TCP_NODELAY` for small frames, and [`PEER_TIMEOUT`].
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(PEER_TIMEOUT))
}
