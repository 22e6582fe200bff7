//! What both sides of a connection have in common: how it is opened, its socket options and its queue.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Unacknowledged bytes end a connection after this time (`TCP_USER_TIMEOUT`, RFC 5482). Against network partitions,
/// of which the socket reports nothing.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1500);

/// A connection that is not established within this time has failed.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// After this time without an established connection a further attempt is made beside the earlier ones.
const CONNECT_HEDGE_DELAY: Duration = Duration::from_millis(150);

/// Frames that may wait in a connection's queue. With more, the oldest state is stale anyway and the connection is
/// ended.
pub const MAX_QUEUED_FRAMES: usize = 4096;

/// Opens a connection within [`CONNECT_TIMEOUT`].
pub async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, connect_hedged(address))
        .await
        .ok()??;
    configure(&stream).ok()?;
    Some(stream)
}

/// An attempt without a result is joined by a further one after a short time. Against a machine that was unreachable
/// when the first packet came: TCP repeats that only after a second, while the machine may be back long before.
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

/// Sets what every connection needs: no delay for small frames, an end for silent peers.
pub fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(PEER_TIMEOUT))
}
