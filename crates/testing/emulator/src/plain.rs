//! A plain server: a few places, a short queue, a time that the work takes or a gate that the test holds.

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

/// How a plain server works.
#[derive(Clone, Debug)]
pub struct PlainSettings {
    /// Requests that wait beyond those at work.
    pub queue: usize,
    /// How long one takes; nothing for as fast as asked.
    pub work_time: Duration,
    pub body_bytes: usize,
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

/// A plain server that runs; it ends when this is dropped.
#[derive(Debug)]
pub struct PlainServer {
    pub handle: Arc<ServerHandle>,
    /// Held by the test: requests at work wait here.
    pub gate: Gate,
    _listener_task: ListenerTask,
}

impl PlainServer {
    /// Starts on `listener`, whose address `identity` names.
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

/// Counts one in the queue, also when its caller leaves.
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
        reply.run();
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
    /// Differs from request to request, so that a mix-up shows.
    fn body(&self, arrived: &ReceivedRequest) -> Bytes {
        let unit = format!("{} {};", arrived.request, arrived.head.target);
        let mut text = unit.repeat(self.body_bytes / unit.len() + 1);
        text.truncate(self.body_bytes);
        Bytes::from(text)
    }
}
