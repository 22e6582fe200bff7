//! Errors of setting up and changing a scene.

use crate::client::Served;
use crate::operator::Unclear;
use crate::system::SystemError;
use std::io;
use std::net::SocketAddr;

/// Why a scene could not be set up or changed.
#[derive(Debug, thiserror::Error)]
pub enum SceneError {
    /// Processes could not be started, signalled or observed.
    #[error(transparent)]
    System(#[from] SystemError),
    /// An order of the operator had no clear response.
    #[error(transparent)]
    Order(#[from] Unclear),
    /// A server's address could not be bound.
    #[error("{address}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The first configuration was rejected.
    #[error("the first configuration: {status} {text}")]
    ConfigurationRejected {
        /// Status of the response.
        status: u16,
        /// Body of the response.
        text: String,
    },
    /// A gateway does not serve in time.
    #[error("{front} does not serve {target}: {last:?}")]
    NotServing {
        /// Address of the gateway.
        front: SocketAddr,
        /// Path that was requested.
        target: String,
        /// The last result.
        last: Box<Served>,
    },
    /// The system did not come up.
    #[error("{logs}")]
    SetUp {
        /// The ends of all logs.
        logs: String,
        /// The cause.
        source: Box<SceneError>,
    },
}
