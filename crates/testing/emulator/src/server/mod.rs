//! What plain servers and model servers have in common: connections, checks before a request is let in, troubles
//! that a test orders, and the record of what came.

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

/// Who a server is. Every start is a new incarnation with a new `instance`.
#[derive(Clone, Debug)]
pub struct Identity {
    pub instance: String,
    /// The service that it belongs to.
    pub backend: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Version of its software.
    pub generation: String,
    pub slots: u32,
}

/// A request that has passed the checks at the door.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub head: RequestHead,
    pub body: Bytes,
    pub request: RequestId,
    pub deadline_ms: Option<u64>,
}

/// What a kind of server does with a request.
pub trait Work: Send + Sync + 'static {
    /// Runs the request and answers, or turns it away. The future is dropped when the caller leaves.
    fn work(&self, arrived: ReceivedRequest, reply: &mut Reply) -> impl Future<Output = ()> + Send;

    /// The body of `GET /api/report`, where the server has one.
    fn report(&self) -> Option<String> {
        None
    }
}

/// What the servers of a test share.
#[derive(Clone, Debug)]
pub struct TestContext {
    pub clock: Clock,
    pub record: Record,
}

/// A server that runs; it ends when this is dropped, with its connections.
#[derive(Debug)]
pub struct ListenerTask {
    task: JoinHandle<()>,
}

impl ListenerTask {
    /// Serves connections of `listener` by `work` behind `door`.
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
