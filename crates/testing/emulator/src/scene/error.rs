//! Errors of setting up and changing a scene.

use crate::client::Served;
use crate::operator::NoClearResponse;
use crate::system::SystemError;
use std::io;
use std::net::SocketAddr;

/// Why a scene could not be set up or changed.
#[derive(Debug, thiserror::Error)]
pub enum SceneError {
    /// Processes could not be started, signalled or observed.
    #[error(transparent)]
    System(#[from] SystemError),
    /// An order of the operator received no clear response.
    #[error(transparent)]
    Order(#[from] NoClearResponse),
    /// The address of a server could not be bound.
    #[error("could not bind the server address {address}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The scene's configuration was rejected.
    #[error("the configuration of the scene was rejected with status {status}: {text}")]
    ConfigurationRejected {
        /// Status of the response.
        status: u16,
        /// Body of the response.
        text: String,
    },
    /// A gateway did not serve a request in time.
    #[error("the gateway at {front} does not serve {target}; last result: {last:?}")]
    NotServing {
        /// Address of the gateway.
        front: SocketAddr,
        /// Path of the request.
        target: String,
        /// Result of the last request.
        last: Box<Served>,
    },
    /// The system did not start to serve.
    #[error("the system did not start to serve; the logs of its machines end with:\n{logs}")]
    SetUp {
        /// The last parts of all machines' logs.
        logs: String,
        /// The cause.
        source: Box<SceneError>,
    },
}
