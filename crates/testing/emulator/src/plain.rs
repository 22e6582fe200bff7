//! A plain server: a few places, a short queue, a time that the work takes or a gate that the test holds.

use crate::gate::Gate;
use crate::server::{Arrived, Door, DoorSettings, Identity, Listening, Reply, Surroundings, Work};
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
    /// Length of an answer's body.
    pub body_bytes: usize,
    /// How it meets the network.
    pub door: DoorSettings,
}

impl Default for PlainSettings {
    fn default() -> Self {
        PlainSettings {
            queue: 4,
            work_time: Duration::ZERO,
            body_bytes: 800,
            door: DoorSettings::default(),
        }
    }
}

/// A plain server that runs; it ends when this is dropped.
#[derive(Debug)]
pub struct PlainServer {
    /// Its connections, health and faults.
    pub door: Arc<Door>,
    /// Held by the test: requests at work wait here.
    pub gate: Gate,
    _listening: Listening,
}

impl PlainServer {
    /// Starts on `listener`, whose address `identity` names.
    pub fn start(
        listener: TcpListener,
        identity: Identity,
        settings: PlainSettings,
        surroundings: Surroundings,
    ) -> PlainServer {
        let gate = Gate::default();
        let work = PlainWork {
            places: Semaphore::new(identity.slots as usize),
            waiting: AtomicUsize::new(0),
            queue: settings.queue,
            work_time: settings.work_time,
            body_bytes: settings.body_bytes,
            gate: gate.clone(),
        };
        let door = Arc::new(Door::new(identity, settings.door, surroundings));
        let listening = Listening::start(listener, door.clone(), Arc::new(work));
        PlainServer {
            door,
            gate,
            _listening: listening,
        }
    }
}

struct PlainWork {
    places: Semaphore,
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
    async fn place(&self, deadline: Option<Duration>) -> Option<tokio::sync::SemaphorePermit<'_>> {
        if let Ok(place) = self.places.try_acquire() {
            return Some(place);
        }
        let before = self.waiting.fetch_add(1, Ordering::SeqCst);
        let _queued = Queued(&self.waiting);
        if before >= self.queue {
            return None;
        }
        let acquired = self.places.acquire();
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
    async fn work(&self, arrived: Arrived, reply: &mut Reply) {
        let deadline = arrived.deadline_ms.map(Duration::from_millis);
        let Some(_place) = self.place(deadline).await else {
            reply.turn_away(503).await;
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
    fn body(&self, arrived: &Arrived) -> Bytes {
        let unit = format!("{} {};", arrived.request, arrived.head.target);
        let mut text = unit.repeat(self.body_bytes / unit.len() + 1);
        text.truncate(self.body_bytes);
        Bytes::from(text)
    }
}
