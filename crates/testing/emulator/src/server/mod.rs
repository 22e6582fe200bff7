//! What plain servers and model servers have in common: connections, checks before a request is admitted, faults
//! that a test injects, and the record of the requests.

mod connection;
mod fault;
mod handle;
mod reply;

pub use fault::{ServerFault, ServerFaults};
pub use handle::{ConnectionSettings, ServerHandle};
pub use reply::Reply;

use crate::clock::Clock;
use crate::identity::RequestId;
use crate::record::Record;
use crate::wire::RequestHead;
use bytes::Bytes;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

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

/// A request that has passed the checks and may run.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Request line and headers.
    pub head: RequestHead,
    /// Complete body.
    pub body: Bytes,
    /// Id of the attempt.
    pub request: RequestId,
    /// Time that is left to the request, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// What a kind of server does with a request.
pub trait Work: Send + Sync + 'static {
    /// Runs the request and responds, or rejects it. The future is dropped when the caller disconnects.
    fn work(&self, arrived: ReceivedRequest, reply: &mut Reply) -> impl Future<Output = ()> + Send;

    /// The body of `GET /api/report`, where the server has one.
    fn report(&self) -> Option<String> {
        None
    }
}

/// Clock and record that all servers of a test share.
#[derive(Clone, Debug)]
pub struct TestContext {
    /// The clock of the record.
    pub clock: Clock,
    /// Where observations go.
    pub record: Record,
}

/// The task of a running server; dropping this stops it and closes its connections.
#[derive(Debug)]
pub struct ListenerTask {
    task: JoinHandle<()>,
}

impl ListenerTask {
    /// Serves the connections of `listener` by `work`.
    pub fn start<W: Work>(
        listener: TcpListener,
        handle: Arc<ServerHandle>,
        work: Arc<W>,
    ) -> ListenerTask {
        ListenerTask {
            task: tokio::spawn(connection::accept(listener, handle, work)),
        }
    }
}

impl Drop for ListenerTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}
