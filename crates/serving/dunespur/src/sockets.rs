//! Listening sockets.

use anyhow::Context;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Opens a listening socket.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("listening on {address}"))
}
