//! Record of what servers, clients and the operator observed, for the judge and for tests. The record is bounded; tests
//! treat an overflow as an error, see [`Record::overflowed`].

use crate::digest::Digest;
use crate::identity::RequestId;
use crate::wire::Event;
use bytes::Bytes;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Maximum number of observations, and of attempts.
const MAX_ENTRIES: usize = 400_000;

/// When a request was received or sent, and its response began and ended, in microseconds of the shared clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timings {
    /// When the request was sent or received.
    pub started_us: u64,
    /// When the first event came, or the complete response of a request without events.
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

    /// Time from the start to the first event, in microseconds.
    #[must_use]
    pub fn to_first_us(&self) -> Option<u64> {
        Some(self.first_us?.saturating_sub(self.started_us))
    }
}

/// A request as a server observed it.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Number of the observation, in the order of arrival at all servers.
    pub number: usize,
    /// When the request arrived, in milliseconds of the shared clock.
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
    /// Body of the request; `None` where the record stores no bodies.
    pub body: Option<Bytes>,
    /// Id of the program, where the request names one.
    pub program: Option<String>,
    /// Remaining time that the request states on arrival, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// How far the server got with the request.
    pub fate: Fate,
    /// The stamp that the server gave to its response.
    pub stamp: Option<String>,
    /// Status of the response, once there is one.
    pub status: Option<u16>,
    /// Digest of the body that the server sent, or began to send.
    pub sent_digest: Option<Digest>,
    /// Events that the server sent.
    pub events: Vec<Event>,
    /// Whether the complete response was written.
    pub complete: bool,
    /// Whether an injected fault altered the response.
    pub faulted: bool,
    /// When the request arrived and was answered.
    pub timings: Timings,
}

/// How far a server got with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// The request is queued and has not run.
    Waiting,
    /// The server has begun to run the request.
    Run,
    /// The server rejected the request as not run.
    Rejected,
    /// The caller disconnected before the request ran.
    Abandoned,
}

/// An attempt as a client observed it.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Number of the attempt, in the order in which the attempts of all clients ended.
    pub number: usize,
    /// Id of the attempt.
    pub request: RequestId,
    /// Number of the client's operation, common to all its attempts.
    pub operation: u64,
    /// The gateway's address.
    pub front: std::net::SocketAddr,
    /// When the attempt was sent, in milliseconds of the shared clock.
    pub sent_ms: u64,
    /// When the attempt ended, in milliseconds of the shared clock.
    pub ended_ms: u64,
    /// Value of `Host`.
    pub host: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Digest of the body that a server is to receive; `None` where it is not compared.
    pub expected: Option<Digest>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Data of the agent program that sent the attempt, if any.
    pub program: Option<ProgramAttempt>,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// When the attempt was sent and answered.
    pub timings: Timings,
}

/// Data of the agent program that sent an attempt.
#[derive(Clone, Debug)]
pub struct ProgramAttempt {
    /// Id of the program.
    pub program: String,
    /// The program's token budget; `None` for tool calls.
    pub budget: Option<u64>,
    /// Maximum number of tokens that the turn may generate.
    pub max_tokens: u64,
    /// Tokens in one event.
    pub chunk_tokens: u64,
    /// Id of the turn that this one continues.
    pub previous: Option<RequestId>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum AttemptOutcome {
    /// A complete response was received.
    Answered(Answered),
    /// The connection ended inside a response.
    BrokenOff(Answered),
    /// The connection ended before a response, after the request had been written.
    Closed,
    /// The connection could not be opened, or ended before the request had been written.
    NotSent,
    /// The client gave up: its deadline or an idle time-out passed.
    GivenUp,
    /// The received bytes are not an HTTP response; the text names the malformed part.
    Garbled(String),
}

/// A response, or the received part of it.
#[derive(Clone, Debug)]
pub struct Answered {
    /// HTTP status.
    pub status: u16,
    /// Request id that the response names.
    pub request: Option<RequestId>,
    /// The server's stamp; `None` on responses that the system itself generated.
    pub stamp: Option<String>,
    /// Content coding, if any.
    pub encoding: Option<String>,
    /// Whether the response says that the request did not run.
    pub not_executed: bool,
    /// Value of `Retry-After`, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Digest of the body as received.
    pub digest: Digest,
    /// Beginning of the body, up to a size limit.
    pub body: Bytes,
    /// Events received.
    pub events: Vec<Event>,
    /// Number of malformed blocks in the stream.
    pub garbled_events: usize,
    /// Number of bytes after the last complete event.
    pub trailing_bytes: usize,
    /// Time from the start of the attempt to the first event, in microseconds.
    pub first_event_us: Option<u64>,
    /// Longest gap between two events, in milliseconds.
    pub longest_gap_ms: u64,
    /// Number of bytes received after the complete response.
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

/// An acknowledgement that the system sent to a server or to the operator, or a machine's termination.
#[derive(Clone, Debug)]
pub struct Acknowledgement {
    /// When the acknowledgement arrived, in milliseconds of the shared clock.
    pub at_ms: u64,
    /// When the acknowledged request was first sent, in milliseconds of the shared clock.
    pub requested_ms: u64,
    /// What was acknowledged.
    pub event: Acknowledged,
}

/// What was acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acknowledged {
    /// The system knows that the server is draining.
    Draining {
        /// Id of the server.
        instance: String,
    },
    /// The system knows that the server has left.
    Left {
        /// Id of the server.
        instance: String,
    },
    /// The system has accepted a configuration.
    Configuration {
        /// Version of the configuration.
        generation: u64,
    },
    /// The platform has sent SIGTERM to a machine; the system acknowledges nothing here.
    Terminated {
        /// The machine's address for clients.
        front: std::net::SocketAddr,
    },
}

impl Record {
    /// A record that also stores the request bodies that servers receive.
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

    /// Changes the observation with this number.
    pub fn update(&self, number: usize, change: impl FnOnce(&mut Observation)) {
        if let Some(observation) = self.lock().observations.get_mut(number) {
            change(observation);
        }
        self.inner.changed.notify_waiters();
    }

    /// Adds an attempt and sets its number.
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

    /// All observations of one attempt.
    #[must_use]
    pub fn observations_of(&self, request: RequestId) -> Vec<Observation> {
        self.lock()
            .observations
            .iter()
            .filter(|observation| observation.request == Some(request))
            .cloned()
            .collect()
    }

    /// All observations of one server.
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
