//! A plain server: some slots, a short queue, and work that takes a set time or waits for a gate.

use crate::gate::Gate;
use crate::server::{
    ConnectionSettings, Identity, ListenerTask, ReceivedRequest, Reply, ServerHandle, TestContext,
    Work,
};
use bytes::Bytes;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

/// Settings of a plain server.
#[derive(Clone, Debug)]
pub struct PlainSettings {
    /// Capacity of the queue.
    pub queue: usize,
    /// Duration of a request's work.
    pub work_time: Duration,
    /// Length of the response's body in bytes.
    pub body_bytes: usize,
    /// Treatment of connections.
    pub connections: ConnectionSettings,
}

impl Default for PlainSettings {
    fn default() -> Self {
        PlainSettings {
            queue: 4,
            work_time: Duration::ZERO,
            body_bytes: 800,
            connections: ConnectionSettings::default(),
        }
    }
}

/// A running plain server; dropping this stops it.
#[derive(Debug)]
pub struct PlainServer {
    /// The server's identity, faults and counters.
    pub handle: Arc<ServerHandle>,
    /// Running requests wait here.
    pub gate: Gate,
    _listener_task: ListenerTask,
}

impl PlainServer {
    /// Starts on `listener`, whose address is that of `identity`.
    pub fn start(
        listener: TcpListener,
        identity: Identity,
        settings: PlainSettings,
        context: TestContext,
    ) -> PlainServer {
        let gate = Gate::default();
        let work = PlainWork {
            slots: Semaphore::new(identity.slots as usize),
            waiting: AtomicUsize::new(0),
            queue: settings.queue,
            work_time: settings.work_time,
            body_bytes: settings.body_bytes,
            gate: gate.clone(),
        };
        let handle = Arc::new(ServerHandle::new(identity, settings.connections, context));
        let listener_task = ListenerTask::start(listener, handle.clone(), Arc::new(work));
        PlainServer {
            handle,
            gate,
            _listener_task: listener_task,
        }
    }
}

struct PlainWork {
    slots: Semaphore,
    waiting: AtomicUsize,
    queue: usize,
    work_time: Duration,
    body_bytes: usize,
    gate: Gate,
}

/// Counts one queued request, also when its caller disconnects.
struct Queued<'a>(&'a AtomicUsize);

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl PlainWork {
    async fn acquire_slot(
        &self,
        deadline: Option<Duration>,
    ) -> Option<tokio::sync::SemaphorePermit<'_>> {
        if let Ok(permit) = self.slots.try_acquire() {
            return Some(permit);
        }
        let before = self.waiting.fetch_add(1, Ordering::SeqCst);
        let _queued = Queued(&self.waiting);
        if before >= self.queue {
            return None;
        }
        let acquired = self.slots.acquire();
        match deadline {
            Some(deadline) => timeout(deadline, acquired).await.ok()?.ok(),
            None => acquired.await.ok(),
        }
    }

    async fn work_through(&self) {
        self.gate.pass().await;
        if !self.work_time.is_zero() {
            sleep(self.work_time).await;
        }
    }
}

impl Work for PlainWork {
    async fn work(&self, arrived: ReceivedRequest, reply: &mut Reply) {
        let deadline = arrived.deadline_ms.map(Duration::from_millis);
        let Some(_permit) = self.acquire_slot(deadline).await else {
            reply.reject(503).await;
            return;
        };
        reply.mark_running();
        let worked = match deadline {
            Some(deadline) => timeout(deadline, self.work_through()).await.is_ok(),
            None => {
                self.work_through().await;
                true
            }
        };
        let status = if worked { 200 } else { 504 };
        reply.answer(status, self.body(&arrived)).await;
    }
}

impl PlainWork {
    /// A body that differs from request to request, so that mixed responses are noticed.
    fn body(&self, arrived: &ReceivedRequest) -> Bytes {
        let unit = format!("{} {};", arrived.request, arrived.head.target);
        let mut text = unit.repeat(self.body_bytes / unit.len() + 1);
        text.truncate(self.body_bytes);
        Bytes::from(text)
    }
}
