//! The task that accepts a server's connections.

use super::connection;
use super::handle::ServerHandle;
use super::work::Work;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// The task that accepts a server's connections; dropping this stops the task and closes the connections.
#[derive(Debug)]
pub struct ListenerTask {
    task: JoinHandle<()>,
}

impl ListenerTask {
    /// Accepts the connections of `listener` and passes admitted requests to `work`.
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
