//! Opens TCP connections to endpoints.

use crate::endpoint_connection::{ConnectError, PEER_TIMEOUT};
use dunespur_routing::Server;
use socket2::SockRef;
use std::io::{Error, ErrorKind, Result as IoResult};
use std::net::SocketAddr;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{timeout, Duration};

/// The least connect timeout. The timeout is half of the request's latency target, within these bounds; an endpoint
/// that does not accept in time counts as unreachable.
const MIN_CONNECT_TIMEOUT_MS: u64 = 100;
/// The greatest connect timeout.
const MAX_CONNECT_TIMEOUT_MS: u64 = 400;
/// Linux error numbers for a lack of file descriptors, ports or buffers in this process or on this machine.
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const EADDRNOTAVAIL: i32 = 99;
const ENOBUFS: i32 = 105;

/// Opens a connection to `endpoint` for a request with this latency target.
pub(crate) async fn dial(endpoint: &Server, target_ms: u64) -> Result<TcpStream, ConnectError> {
    let timeout_ms = (target_ms / 2).clamp(MIN_CONNECT_TIMEOUT_MS, MAX_CONNECT_TIMEOUT_MS);
    match timeout(Duration::from_millis(timeout_ms), connect(endpoint.address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => {
            log::debug!(
                "connecting to endpoint {} at {} failed: {error}",
                endpoint.id,
                endpoint.address
            );
            Err(connect_error(&error))
        }
        Err(_) => Err(ConnectError::Unreachable),
    }
}

async fn connect(address: SocketAddr) -> IoResult<TcpStream> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    SockRef::from(&socket).set_tcp_user_timeout(Some(PEER_TIMEOUT))?;
    socket.set_nodelay(true)?;
    socket.connect(address).await
}

/// Classifies an I/O error: the endpoint is unreachable, the endpoint refuses more connections, or this machine lacks
/// the resources for a connection.
fn connect_error(error: &Error) -> ConnectError {
    match (error.raw_os_error(), error.kind()) {
        (Some(ENFILE | EMFILE | ENOBUFS | EADDRNOTAVAIL), _) => ConnectError::NoConnectionLeft,
        (_, ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted) => ConnectError::TurnedAway,
        _ => ConnectError::Unreachable,
    }
}
