//! What servers, clients and operator saw, for the judge and for tests. Bounded: an overflow is an error of the test,
//! see [`Record::overflowed`].

use crate::digest::Digest;
use crate::identity::RequestId;
use crate::wire::Event;
use bytes::Bytes;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Most entries of each kind.
const MAX_ENTRIES: usize = 400_000;

/// When a request was received or sent, and its response began and ended, in microseconds of the shared clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timings {
    /// When it was sent or received.
    pub started_us: u64,
    /// When the first event came, or the complete response where there are no events.
    pub first_us: Option<u64>,
    /// When the response was complete, or the attempt ended.
    pub ended_us: Option<u64>,
}

impl Timings {
    /// Timings of a request that has just started.
    #[must_use]
    pub fn started(started_us: u64) -> Timings {
        Timings {
            started_us,
            ..Timings::default()
        }
    }

    /// From the start to the first event.
    #[must_use]
    pub fn to_first_us(&self) -> Option<u64> {
        Some(self.first_us?.saturating_sub(self.started_us))
    }
}

/// A request as a server observed it.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Rises with each observation of all servers.
    pub number: usize,
    /// When it arrived, in milliseconds of the shared clock.
    pub at_ms: u64,
    /// Id of the server's incarnation.
    pub instance: String,
    /// The service that the server belongs to.
    pub backend: String,
    /// Id of the attempt, if the request has one.
    pub request: Option<RequestId>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Digest of the request's body.
    pub digest: Digest,
    /// Present only where the record stores bodies.
    pub body: Option<Bytes>,
    /// Id of the program, where the request names one.
    pub program: Option<String>,
    /// The deadline that the request states, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// What became of it.
    pub fate: Fate,
    /// The stamp that the server gave to its response.
    pub stamp: Option<String>,
    /// Status of the response, once there is one.
    pub status: Option<u16>,
    /// Digest of the body that the server sent, or began to send.
    pub sent_digest: Option<Digest>,
    /// Events sent.
    pub events: Vec<Event>,
    /// Whether the complete response was written.
    pub complete: bool,
    /// Whether an injected fault altered the response.
    pub faulted: bool,
    /// When it arrived and was answered.
    pub timings: Timings,
}

/// What became of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is queued and has not run.
    Waiting,
    /// The server has begun to run it.
    Run,
    /// The server rejected it as not run.
    Rejected,
    /// The caller disconnected before it ran.
    Abandoned,
}

/// An attempt as a client observed it.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Rises with each attempt of all clients.
    pub number: usize,
    /// Id of the attempt.
    pub request: RequestId,
    /// Number of the client's operation, common to all its attempts.
    pub operation: u64,
    /// The gateway's address.
    pub front: std::net::SocketAddr,
    /// When it was sent, in milliseconds of the shared clock.
    pub sent_ms: u64,
    /// When it ended, in milliseconds of the shared clock.
    pub ended_ms: u64,
    /// Value of `Host`.
    pub host: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Digest of the body that a server is to receive; `None` where it is not compared.
    pub expected: Option<Digest>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Data of the agent program, if one sent it.
    pub program: Option<ProgramAttempt>,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// When it was sent and answered.
    pub timings: Timings,
}

/// What an attempt states about its program.
#[derive(Clone, Debug)]
pub struct ProgramAttempt {
    /// Id of the program.
    pub program: String,
    /// The program's token budget; `None` for calls of tools.
    pub budget: Option<u64>,
    /// Most tokens that the turn may generate.
    pub max_tokens: u64,
    /// Tokens in one event.
    pub chunk_tokens: u64,
    /// The turn that this one continues.
    pub previous: Option<RequestId>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum AttemptOutcome {
    /// A complete response.
    Answered(Answered),
    /// The connection ended inside a response.
    BrokenOff(Answered),
    /// The connection ended before a response, after the request had been written.
    Closed,
    /// No connection, or it ended before the request had been written.
    NotSent,
    /// The client gave up: its deadline or an idle time-out passed.
    GivenUp,
    /// Bytes that are no response.
    Garbled(String),
}

/// A response, or the received part of it.
#[derive(Clone, Debug)]
pub struct Answered {
    /// HTTP status.
    pub status: u16,
    /// Id that the response names.
    pub request: Option<RequestId>,
    /// The server's stamp; none on responses of the system's own.
    pub stamp: Option<String>,
    /// Content coding, if any.
    pub encoding: Option<String>,
    /// Whether the response says that the request did not run.
    pub not_executed: bool,
    /// When the response says to retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Digest of the body as received.
    pub digest: Digest,
    /// Beginning of the body; bounded.
    pub body: Bytes,
    /// Events received.
    pub events: Vec<Event>,
    /// Blocks of the stream that are no events.
    pub garbled_events: usize,
    /// Bytes after the last complete event.
    pub trailing_bytes: usize,
    /// From the start of the attempt to the first event, in microseconds.
    pub first_event_us: Option<u64>,
    /// Longest gap between two events, in milliseconds.
    pub longest_gap_ms: u64,
    /// Bytes received after the complete response.
    pub surplus: usize,
}

/// All observations, attempts and acknowledgements of a test; clones share them.
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

/// An acknowledgement of the system to a server or to the operator.
#[derive(Clone, Debug)]
pub struct Acknowledgement {
    /// When the acknowledgement came, in milliseconds of the shared clock.
    pub at_ms: u64,
    /// When it was first requested, in milliseconds of the shared clock.
    pub requested_ms: u64,
    /// What was acknowledged.
    pub event: Acknowledged,
}

/// What was acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acknowledged {
    /// That the server is draining.
    Draining {
        /// Id of the server.
        instance: String,
    },
    /// That the server has left.
    Left {
        /// Id of the server.
        instance: String,
    },
    /// A configuration with this version.
    Configuration {
        /// Version of the configuration.
        generation: u64,
    },
    /// Not by the system: the platform has sent SIGTERM to a machine.
    Terminated {
        /// Address for clients of the machine.
        front: std::net::SocketAddr,
    },
}

impl Record {
    /// A record that stores the bodies that servers receive.
    #[must_use]
    pub fn with_bodies() -> Record {
        let record = Record::default();
        record.lock().keep_bodies = true;
        record
    }

    /// Adds an observation; returns its number.
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

    /// Changes an observation.
    pub fn update(&self, number: usize, change: impl FnOnce(&mut Observation)) {
        if let Some(observation) = self.lock().observations.get_mut(number) {
            change(observation);
        }
        self.inner.changed.notify_waiters();
    }

    /// Adds an attempt and numbers it.
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

    /// Adds an acknowledgement; times in milliseconds of the shared clock.
    pub fn acknowledged(&self, at_ms: u64, requested_ms: u64, event: Acknowledged) {
        self.lock().acknowledgements.push(Acknowledgement {
            at_ms,
            requested_ms,
            event,
        });
        self.inner.changed.notify_waiters();
    }

    /// All observations so far.
    #[must_use]
    pub fn observations(&self) -> Vec<Observation> {
        self.lock().observations.clone()
    }

    /// All attempts that have ended.
    #[must_use]
    pub fn attempts(&self) -> Vec<AttemptRecord> {
        self.lock().attempts.clone()
    }

    /// All acknowledgements so far.
    #[must_use]
    pub fn acknowledgements(&self) -> Vec<Acknowledgement> {
        self.lock().acknowledgements.clone()
    }

    /// Observations of one attempt.
    #[must_use]
    pub fn observations_of(&self, request: RequestId) -> Vec<Observation> {
        self.lock()
            .observations
            .iter()
            .filter(|observation| observation.request == Some(request))
            .cloned()
            .collect()
    }

    /// Observations at one server.
    #[must_use]
    pub fn observations_at(&self, instance: &str) -> Vec<Observation> {
        self.lock()
            .observations
            .iter()
            .filter(|observation| observation.instance == instance)
            .cloned()
            .collect()
    }

    /// Returns once the observations fulfil `condition`.
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

    /// Whether an entry was dropped because the record was full.
    #[must_use]
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
