//! A client's connection to a gateway.

use crate::wire::MessageReader;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection that carries one request at a time.
pub struct ClientConnection {
    pub(super) front: SocketAddr,
    pub(super) reader: MessageReader<OwnedReadHalf>,
    pub(super) write: OwnedWriteHalf,
    pub(super) is_open: bool,
}

impl ClientConnection {
    /// Opens a connection to the gateway at `front`; `None` where it does not accept in time.
    pub async fn open(front: SocketAddr) -> Option<ClientConnection> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(front));
        let stream = connecting.await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        Some(ClientConnection {
            front,
            reader: MessageReader::new(read),
            write,
            is_open: true,
        })
    }

    /// Whether the connection can carry another request.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.is_open
    }
}
