//! Addresses for the processes of a trial.

use std::collections::BTreeSet;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Mutex, PoisonError};

/// The addresses that this process has reserved.
static RESERVED: Mutex<BTreeSet<SocketAddrV4>> = Mutex::new(BTreeSet::new());

/// Reserves a free port for connections and datagrams, on a loopback address that other trials do not use. An address is
/// reserved only once, as the kernel offers a port again that is not in use yet.
pub(super) fn reserve_address() -> std::io::Result<SocketAddrV4> {
    let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
    let id = std::process::id();
    let host = format!(
        "127.{}.{}.{}:0",
        64 + (id >> 16) % 128,
        (id >> 8) & 255,
        id & 255
    );
    loop {
        let listener = std::net::TcpListener::bind(&host)?;
        if let SocketAddr::V4(address) = listener.local_addr()? {
            if std::net::UdpSocket::bind(address).is_ok() && reserved.insert(address) {
                return Ok(address);
            }
        }
    }
}

#[cfg(test)]
#[path = "ports/tests.rs"]
mod tests;
