//! Identity of a server, and the clock and record that the servers of a test share.

use crate::clock::Clock;
use crate::record::Record;
use std::net::SocketAddr;

/// Identity of a server. Each start of a server is a new incarnation with a new `instance`.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Id of this incarnation.
    pub instance: String,
    /// Name of the service that the server belongs to.
    pub backend: String,
    /// Address on which the server accepts requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub zone: String,
    /// Version of the server's software.
    pub generation: String,
    /// Maximum number of requests that the server runs at once.
    pub slots: u32,
}

/// Clock and record that the servers of a test share.
#[derive(Clone, Debug)]
pub struct TestContext {
    /// The clock of the record.
    pub clock: Clock,
    /// The record that receives the servers' observations.
    pub record: Record,
}
