//! Identity of a server, and what the servers of a test share.

use crate::clock::Clock;
use crate::record::Record;
use std::net::SocketAddr;

/// Identity of a server. Every start is a new incarnation with a new `instance`.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Id of this incarnation.
    pub instance: String,
    /// The service that it belongs to.
    pub backend: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub zone: String,
    /// Version of its software.
    pub generation: String,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// Clock and record that all servers of a test share.
#[derive(Clone, Debug)]
pub struct TestContext {
    /// The clock of the record.
    pub clock: Clock,
    /// Where observations go.
    pub record: Record,
}
