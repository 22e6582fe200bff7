//! A plain server: it has a number of slots and a short queue, and each request takes a set time or waits at a gate.

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
    /// Number of requests that may wait for a slot.
    pub queue: usize,
    /// Duration of a request.
    pub work_time: Duration,
    /// Length of the response's body in bytes.
    pub body_bytes: usize,
    /// Limits and time-outs of connections, and the health check's path.
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
    /// Running requests wait at this gate.
    pub gate: Gate,
    _listener_task: ListenerTask,
}

impl PlainServer {
    /// Starts a plain server on `listener`, whose address must be that of `identity`.
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
            queue_capacity: settings.queue,
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
    queue_capacity: usize,
    work_time: Duration,
    body_bytes: usize,
    gate: Gate,
}

/// Counts one request as queued until this is dropped, even if its caller disconnects.
struct QueuedRequest<'a>(&'a AtomicUsize);

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl PlainWork {
    /// Waits in the queue for a slot; `None` where the queue is full or the deadline has passed.
    async fn acquire_slot(
        &self,
        deadline: Option<Duration>,
    ) -> Option<tokio::sync::SemaphorePermit<'_>> {
        if let Ok(permit) = self.slots.try_acquire() {
            return Some(permit);
        }
        let waiting_before = self.waiting.fetch_add(1, Ordering::SeqCst);
        let _queued = QueuedRequest(&self.waiting);
        if waiting_before >= self.queue_capacity {
            return None;
        }
        let acquired = self.slots.acquire();
        match deadline {
            Some(deadline) => timeout(deadline, acquired).await.ok()?.ok(),
            None => acquired.await.ok(),
        }
    }

    async fn run(&self) {
        self.gate.pass().await;
        if !self.work_time.is_zero() {
            sleep(self.work_time).await;
        }
    }
}

impl Work for PlainWork {
    async fn work(&self, received: ReceivedRequest, reply: &mut Reply) {
        let deadline = received.deadline_ms.map(Duration::from_millis);
        let Some(_permit) = self.acquire_slot(deadline).await else {
            reply.reject(503).await;
            return;
        };
        reply.mark_running();
        let in_time = match deadline {
            Some(deadline) => timeout(deadline, self.run()).await.is_ok(),
            None => {
                self.run().await;
                true
            }
        };
        let status = if in_time { 200 } else { 504 };
        reply.answer(status, self.body(&received)).await;
    }
}

impl PlainWork {
    /// A body that differs from request to request, so that mixed responses are noticed.
    fn body(&self, received: &ReceivedRequest) -> Bytes {
        let unit = format!("{} {};", received.request, received.head.target);
        let mut text = unit.repeat(self.body_bytes / unit.len() + 1);
        text.truncate(self.body_bytes);
        Bytes::from(text)
    }
}
