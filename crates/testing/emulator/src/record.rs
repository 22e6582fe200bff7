//! What the stand-ins saw, kept for the judge and for tests to ask. Bounded: beyond its bound a record is an error
//! of the test, told by [`Record::overflowed`].

use crate::digest::Digest;
use crate::identity::RequestId;
use crate::wire::Event;
use bytes::Bytes;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Entries kept of each kind.
const MAX_ENTRIES: usize = 400_000;

/// When a request came or was sent, and its answer's first event and end, in microseconds of the shared clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timings {
    pub started_us: u64,
    /// Of the first event, or of the whole answer where there are no events.
    pub first_us: Option<u64>,
    pub ended_us: Option<u64>,
}

impl Timings {
    pub fn started(started_us: u64) -> Timings {
        Timings {
            started_us,
            ..Timings::default()
        }
    }

    /// From the beginning to the first event.
    pub fn to_first_us(&self) -> Option<u64> {
        Some(self.first_us?.saturating_sub(self.started_us))
    }
}

/// A request as a server saw it.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Rises with each sighting of all servers.
    pub number: usize,
    pub at_ms: u64,
    /// The server's id, and the service that it belongs to.
    pub instance: String,
    pub backend: String,
    pub request: Option<RequestId>,
    pub method: String,
    pub target: String,
    pub digest: Digest,
    /// Kept only where the record keeps bodies.
    pub body: Option<Bytes>,
    /// The turn's program, where the request names one.
    pub program: Option<String>,
    /// The deadline that was handed to the server.
    pub deadline_ms: Option<u64>,
    pub fate: Fate,
    pub stamp: Option<String>,
    /// Status of the answer, once there is one.
    pub status: Option<u16>,
    /// The body that the server sent, or began to.
    pub sent_digest: Option<Digest>,
    pub events: Vec<Event>,
    /// Whether the whole answer was written.
    pub complete: bool,
    /// Whether the server spoilt the answer itself.
    pub faulted: bool,
    pub timings: Timings,
}

/// What became of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It waits; it has not run.
    Waiting,
    /// The server has begun to work on it.
    Run,
    /// The server said that it did not run it.
    Rejected,
    /// The caller left before it ran.
    Abandoned,
}

/// A try as a client saw it.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    pub number: usize,
    pub request: RequestId,
    /// All tries for one thing wanted have this number in common.
    pub operation: u64,
    /// The front address called.
    pub front: std::net::SocketAddr,
    pub sent_ms: u64,
    pub ended_ms: u64,
    pub host: String,
    pub method: String,
    pub target: String,
    /// Digest of the body that a server is to get.
    pub expected: Option<Digest>,
    pub idempotent: bool,
    pub program: Option<ProgramAttempt>,
    pub outcome: AttemptOutcome,
    pub timings: Timings,
}

/// What a try of a program's turn says about it.
#[derive(Clone, Debug)]
pub struct ProgramAttempt {
    pub program: String,
    /// Nothing for calls of tools.
    pub budget: Option<u64>,
    /// The most that the turn may generate.
    pub max_tokens: u64,
    /// Tokens in one event.
    pub chunk_tokens: u64,
    pub previous: Option<RequestId>,
}

/// How a try ended.
#[derive(Clone, Debug)]
pub enum AttemptOutcome {
    /// A whole answer.
    Answered(Answered),
    /// The connection ended inside an answer.
    BrokenOff(Answered),
    /// The connection ended before an answer, after the request had been written.
    Closed,
    /// No connection, or it ended before the request had been written.
    NotSent,
    /// The client gave up.
    GivenUp,
    /// Bytes that are no answer.
    Garbled(String),
}

/// An answer, or what came of it.
#[derive(Clone, Debug)]
pub struct Answered {
    pub status: u16,
    pub request: Option<RequestId>,
    pub stamp: Option<String>,
    pub encoding: Option<String>,
    pub not_executed: bool,
    pub retry_after_ms: Option<u64>,
    pub digest: Digest,
    pub body: Bytes,
    pub events: Vec<Event>,
    pub garbled_events: usize,
    /// Bytes behind the last whole event.
    pub trailing_bytes: usize,
    /// From the try's start, in microseconds.
    pub first_event_us: Option<u64>,
    /// The longest pause between two events.
    pub longest_gap_ms: u64,
    /// Bytes that came behind the whole answer.
    pub surplus: usize,
}

/// What all stand-ins saw.
#[derive(Clone, Debug, Default)]
pub struct Record {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    entries: Mutex<Entries>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct Entries {
    keep_bodies: bool,
    overflowed: bool,
    observations: Vec<Observation>,
    attempts: Vec<AttemptRecord>,
    acknowledgements: Vec<Acknowledgement>,
}

/// What the system acknowledged to a server or to the operator.
#[derive(Clone, Debug)]
pub struct Acknowledgement {
    pub at_ms: u64,
    /// When it was first asked for.
    pub requested_ms: u64,
    pub event: Acknowledged,
}

/// What was acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acknowledged {
    /// That the server is draining.
    Draining { instance: String },
    /// That the server has left.
    Left { instance: String },
    /// A configuration with this version.
    Configuration { generation: u64 },
    /// Not by the system: the platform has asked the machine with this front to leave.
    Terminated { front: std::net::SocketAddr },
}

impl Record {
    /// A record that keeps the bodies that servers got.
    pub fn with_bodies() -> Record {
        let record = Record::default();
        record.lock().keep_bodies = true;
        record
    }

    /// Adds a sighting; gives its number.
    pub fn record_observation(&self, mut observation: Observation, body: &Bytes) -> usize {
        let mut entries = self.lock();
        let number = entries.observations.len();
        observation.number = number;
        observation.body = entries.keep_bodies.then(|| body.clone());
        if number >= MAX_ENTRIES {
            entries.overflowed = true;
            return number;
        }
        entries.observations.push(observation);
        drop(entries);
        self.inner.changed.notify_waiters();
        number
    }

    /// Changes a sighting.
    pub fn update(&self, number: usize, change: impl FnOnce(&mut Observation)) {
        if let Some(observation) = self.lock().observations.get_mut(number) {
            change(observation);
        }
        self.inner.changed.notify_waiters();
    }

    pub fn record_attempt(&self, mut attempt: AttemptRecord) {
        let mut entries = self.lock();
        attempt.number = entries.attempts.len();
        if attempt.number >= MAX_ENTRIES {
            entries.overflowed = true;
            return;
        }
        entries.attempts.push(attempt);
        drop(entries);
        self.inner.changed.notify_waiters();
    }

    pub fn acknowledged(&self, at_ms: u64, requested_ms: u64, event: Acknowledged) {
        self.lock().acknowledgements.push(Acknowledgement {
            at_ms,
            requested_ms,
            event,
        });
        self.inner.changed.notify_waiters();
    }

    pub fn observations(&self) -> Vec<Observation> {
        self.lock().observations.clone()
    }

    pub fn attempts(&self) -> Vec<AttemptRecord> {
        self.lock().attempts.clone()
    }

    pub fn acknowledgements(&self) -> Vec<Acknowledgement> {
        self.lock().acknowledgements.clone()
    }

    /// Sightings of one try, by its id.
    pub fn observations_of(&self, request: RequestId) -> Vec<Observation> {
        self.lock()
            .observations
            .iter()
            .filter(|observation| observation.request == Some(request))
            .cloned()
            .collect()
    }

    /// Sightings at one server.
    pub fn observations_at(&self, instance: &str) -> Vec<Observation> {
        self.lock()
            .observations
            .iter()
            .filter(|observation| observation.instance == instance)
            .cloned()
            .collect()
    }

    /// Ends once the sightings fulfil `holds`.
    pub async fn until(&self, mut condition: impl FnMut(&[Observation]) -> bool) {
        loop {
            let changed = self.inner.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if condition(&self.lock().observations) {
                return;
            }
            changed.await;
        }
    }

    /// Whether something was not kept.
    pub fn overflowed(&self) -> bool {
        self.lock().overflowed
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.inner
            .entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
