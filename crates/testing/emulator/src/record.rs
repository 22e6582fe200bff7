//! What the stand-ins saw, kept for the judge and for tests to ask. Bounded: beyond its bound a record is an error
//! of the test, told by [`Record::overflowed`].

use crate::digest::Digest;
use crate::identity::RequestId;
use crate::wire::Event;
use bytes::Bytes;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Entries kept of each kind.
const MOST_ENTRIES: usize = 400_000;

/// When a request came or was sent, and its answer's first event and end, in microseconds of the shared clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moments {
    /// When it came or was sent.
    pub begun_us: u64,
    /// Of the first event, or of the whole answer where there are no events.
    pub first_us: Option<u64>,
    /// When the answer was complete.
    pub ended_us: Option<u64>,
}

impl Moments {
    /// One that has only begun.
    #[must_use]
    pub fn begun(begun_us: u64) -> Moments {
        Moments {
            begun_us,
            ..Moments::default()
        }
    }

    /// From the beginning to the first event.
    #[must_use]
    pub fn to_first_us(&self) -> Option<u64> {
        Some(self.first_us?.saturating_sub(self.begun_us))
    }
}

/// A request as a server saw it.
#[derive(Clone, Debug)]
pub struct Sighting {
    /// Rises with each sighting of all servers.
    pub number: usize,
    /// When it came, in milliseconds of the shared clock.
    pub at_ms: u64,
    /// The server's id, and the service that it belongs to.
    pub instance: String,
    /// The service that the server belongs to.
    pub backend: String,
    /// The request's id, if it has one.
    pub request: Option<RequestId>,
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Digest of the body.
    pub digest: Digest,
    /// Kept only where the record keeps bodies.
    pub body: Option<Bytes>,
    /// The turn's program, where the request names one.
    pub program: Option<String>,
    /// The deadline that was handed to the server.
    pub deadline_ms: Option<u64>,
    /// What became of it.
    pub fate: Fate,
    /// What the server put into its answer to tell it from all others.
    pub stamp: Option<String>,
    /// Status of the answer, once there is one.
    pub status: Option<u16>,
    /// The body that the server sent, or began to.
    pub sent: Option<Digest>,
    /// The events that were sent.
    pub events: Vec<Event>,
    /// Whether the whole answer was written.
    pub whole: bool,
    /// Whether the server spoilt the answer itself.
    pub spoilt: bool,
    /// When it came, was answered and ended.
    pub moments: Moments,
}

/// What became of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It waits; it has not run.
    Waiting,
    /// The server has begun to work on it.
    Run,
    /// The server said that it did not run it.
    TurnedAway,
    /// The caller left before it ran.
    Abandoned,
}

/// A try as a client saw it.
#[derive(Clone, Debug)]
pub struct Try {
    /// Rises with each attempt of all clients.
    pub number: usize,
    /// The request's id.
    pub request: RequestId,
    /// All tries for one thing wanted have this number in common.
    pub wanted: u64,
    /// The front address called.
    pub front: std::net::SocketAddr,
    /// When it was sent, in milliseconds of the shared clock.
    pub sent_ms: u64,
    /// When it ended, in milliseconds of the shared clock.
    pub ended_ms: u64,
    /// The host that was asked.
    pub host: String,
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Digest of the body that a server is to get.
    pub expected: Option<Digest>,
    /// Whether it is idempotent: it may run any number of times.
    pub repeatable: bool,
    /// What it says of its program, for a turn or a tool's call.
    pub program: Option<ProgramTry>,
    /// How it ended.
    pub outcome: TryOutcome,
    /// When it was sent, answered and ended.
    pub moments: Moments,
}

/// What a try of a program's turn says about it.
#[derive(Clone, Debug)]
pub struct ProgramTry {
    /// The program's id.
    pub program: String,
    /// Nothing for calls of tools.
    pub budget: Option<u64>,
    /// The most that the turn may generate.
    pub most: u64,
    /// Tokens in one event.
    pub chunk_tokens: u64,
    /// The turn that this one goes on from.
    pub previous: Option<RequestId>,
}

/// How a try ended.
#[derive(Clone, Debug)]
pub enum TryOutcome {
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
    /// The status.
    pub status: u16,
    /// The id of the request that it says it answers.
    pub request: Option<RequestId>,
    /// What the server put into it to tell it from all others.
    pub stamp: Option<String>,
    /// The content encoding, if one is named.
    pub encoding: Option<String>,
    /// It says that the request did not run.
    pub not_executed: bool,
    /// When the client may come again, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Digest of the body.
    pub digest: Digest,
    /// The body, as far as it came.
    pub body: Bytes,
    /// The complete events in it.
    pub events: Vec<Event>,
    /// Events that were none.
    pub garbled_events: usize,
    /// Bytes behind the last whole event.
    pub left_over: usize,
    /// From the try's start, in microseconds.
    pub first_event_us: Option<u64>,
    /// The longest pause between two events.
    pub longest_pause_ms: u64,
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
    sightings: Vec<Sighting>,
    tries: Vec<Try>,
    acknowledgements: Vec<Acknowledgement>,
}

/// What the system acknowledged to a server or to the operator.
#[derive(Clone, Debug)]
pub struct Acknowledgement {
    /// When the acknowledgement came, in milliseconds of the shared clock.
    pub at_ms: u64,
    /// When it was first asked for.
    pub asked_ms: u64,
    /// What was acknowledged.
    pub what: Acknowledged,
}

/// What was acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acknowledged {
    /// That the server is draining.
    Draining {
        /// The server's id.
        instance: String,
    },
    /// That the server has left.
    Left {
        /// The server's id.
        instance: String,
    },
    /// A configuration with this version.
    Configuration {
        /// Its version.
        generation: u64,
    },
    /// Not by the system: the platform has asked the machine with this front to leave.
    Terminated {
        /// The machine's front address.
        front: std::net::SocketAddr,
    },
}

impl Record {
    /// A record that keeps the bodies that servers got.
    #[must_use]
    pub fn with_bodies() -> Record {
        let record = Record::default();
        record.lock().keep_bodies = true;
        record
    }

    /// Adds a sighting; gives its number.
    pub fn saw(&self, mut sighting: Sighting, body: &Bytes) -> usize {
        let mut entries = self.lock();
        let number = entries.sightings.len();
        sighting.number = number;
        sighting.body = entries.keep_bodies.then(|| body.clone());
        if number >= MOST_ENTRIES {
            entries.overflowed = true;
            return number;
        }
        entries.sightings.push(sighting);
        drop(entries);
        self.inner.changed.notify_waiters();
        number
    }

    /// Changes a sighting.
    pub fn update(&self, number: usize, change: impl FnOnce(&mut Sighting)) {
        if let Some(sighting) = self.lock().sightings.get_mut(number) {
            change(sighting);
        }
        self.inner.changed.notify_waiters();
    }

    /// Adds an attempt; its number is set here.
    pub fn tried(&self, mut attempt: Try) {
        let mut entries = self.lock();
        attempt.number = entries.tries.len();
        if attempt.number >= MOST_ENTRIES {
            entries.overflowed = true;
            return;
        }
        entries.tries.push(attempt);
        drop(entries);
        self.inner.changed.notify_waiters();
    }

    /// Adds an acknowledgement.
    pub fn acknowledged(&self, at_ms: u64, asked_ms: u64, what: Acknowledged) {
        self.lock().acknowledgements.push(Acknowledgement {
            at_ms,
            asked_ms,
            what,
        });
        self.inner.changed.notify_waiters();
    }

    /// All requests that servers saw.
    #[must_use]
    pub fn sightings(&self) -> Vec<Sighting> {
        self.lock().sightings.clone()
    }

    /// All attempts that clients made.
    #[must_use]
    pub fn tries(&self) -> Vec<Try> {
        self.lock().tries.clone()
    }

    /// All that the system acknowledged.
    #[must_use]
    pub fn acknowledgements(&self) -> Vec<Acknowledgement> {
        self.lock().acknowledgements.clone()
    }

    /// Sightings of one try, by its id.
    #[must_use]
    pub fn sightings_of(&self, request: RequestId) -> Vec<Sighting> {
        self.lock()
            .sightings
            .iter()
            .filter(|sighting| sighting.request == Some(request))
            .cloned()
            .collect()
    }

    /// Sightings at one server.
    #[must_use]
    pub fn sightings_at(&self, instance: &str) -> Vec<Sighting> {
        self.lock()
            .sightings
            .iter()
            .filter(|sighting| sighting.instance == instance)
            .cloned()
            .collect()
    }

    /// Ends once the sightings fulfil `holds`.
    pub async fn until(&self, mut holds: impl FnMut(&[Sighting]) -> bool) {
        loop {
            let changed = self.inner.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if holds(&self.lock().sightings) {
                return;
            }
            changed.await;
        }
    }

    /// Whether something was not kept.
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
