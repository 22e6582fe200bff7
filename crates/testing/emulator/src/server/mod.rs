//! What plain servers and model servers have in common: connections, checks before a request is let in, troubles
//! that a test orders, and the record of what came.

mod connection;
mod door;
mod reply;
mod trouble;

pub use door::{Door, DoorSettings};
pub use reply::Reply;
pub use trouble::{Trouble, Troubles};

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
    /// Its id.
    pub instance: String,
    /// The service that it belongs to.
    pub backend: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub zone: String,
    /// Version of its software.
    pub generation: String,
    /// Requests that it runs side by side.
    pub slots: u32,
}

/// A request that has passed the checks at the door.
#[derive(Clone, Debug)]
pub struct Arrived {
    /// Request line and headers.
    pub head: RequestHead,
    /// The complete body.
    pub body: Bytes,
    /// The request's id.
    pub request: RequestId,
    /// Time that is left for the answer, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// What a kind of server does with a request.
pub trait Work: Send + Sync + 'static {
    /// Runs the request and answers, or turns it away. The future is dropped when the caller leaves.
    fn work(&self, arrived: Arrived, reply: &mut Reply) -> impl Future<Output = ()> + Send;

    /// The body of `GET /api/report`, where the server has one.
    fn report(&self) -> Option<String> {
        None
    }
}

/// What the servers of a test share.
#[derive(Clone, Debug)]
pub struct Surroundings {
    /// The shared clock.
    pub clock: Clock,
    /// Where it writes what it saw.
    pub record: Record,
}

/// A server that runs; it ends when this is dropped, with its connections.
#[derive(Debug)]
pub struct Listening {
    task: JoinHandle<()>,
}

impl Listening {
    /// Serves connections of `listener` by `work` behind `door`.
    pub fn start<W: Work>(listener: TcpListener, door: Arc<Door>, work: Arc<W>) -> Listening {
        Listening {
            task: tokio::spawn(connection::accept(listener, door, work)),
        }
    }
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.task.abort();
    }
}
