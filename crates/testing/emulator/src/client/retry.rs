//! Attempts and retries, as the protocol defines them for clients.

use super::attempt::{Attempt, Timeouts};
use super::request::RequestSpec;
use crate::clock::Clock;
use crate::identity::{IdentitySource, RequestId};
use crate::record::{Answered, AttemptOutcome, AttemptRecord, Record, Timings};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Shortest idle time-out of a stream.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// A stream's idle time-out is at least this many latency targets.
const IDLE_TARGETS: u32 = 4;
/// And at least this many of its longest gaps.
const IDLE_GAPS: u32 = 8;
/// Backoff before a retry where the response states no time, and its jitter.
const RETRY_BACKOFF_MS: u64 = 30;
/// `Retry-After` is respected up to the remaining time divided by this.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// A client of all gateways; clones share it.
#[derive(Clone, Debug)]
pub struct Client {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    record: Record,
    identities: IdentitySource,
    fronts: Mutex<Vec<SocketAddr>>,
    operation: AtomicU64,
}

/// The result of an operation with all its attempts.
#[derive(Clone, Debug)]
pub struct Served {
    /// Id of the last attempt.
    pub request: RequestId,
    /// How the last attempt ended.
    pub outcome: AttemptOutcome,
    /// Number of attempts, the first one counted.
    pub attempts: u32,
    /// From the first attempt to the first event, or to the end where there are no events, in milliseconds.
    pub first_ms: u64,
    /// From the first attempt to the end of the last, in milliseconds.
    pub took_ms: u64,
}

impl Served {
    /// The response, where a complete one came.
    pub fn answer(&self) -> Option<&Answered> {
        match &self.outcome {
            AttemptOutcome::Answered(answered) => Some(answered),
            _ => None,
        }
    }

    /// The status of a complete response.
    pub fn status(&self) -> Option<u16> {
        self.answer().map(|answered| answered.status)
    }

    /// Whether a complete response with a 2xx status came.
    pub fn succeeded(&self) -> bool {
        self.status()
            .is_some_and(|status| (200..300).contains(&status))
    }
}

impl Client {
    /// A client that sends to `fronts` in turn and writes its attempts to `record`.
    #[must_use]
    pub fn new(
        clock: Clock,
        record: Record,
        identities: IdentitySource,
        fronts: Vec<SocketAddr>,
    ) -> Client {
        let fronts = Mutex::new(fronts);
        Client {
            shared: Arc::new(Shared {
                clock,
                record,
                identities,
                fronts,
                operation: AtomicU64::new(0),
            }),
        }
    }

    /// Replaces the gateways' addresses for new connections.
    pub fn set_fronts(&self, fronts: Vec<SocketAddr>) {
        *self
            .shared
            .fronts
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = fronts;
    }

    /// The source of this client's ids.
    #[must_use]
    pub fn identities(&self) -> &IdentitySource {
        &self.shared.identities
    }

    /// The clock of the record.
    #[must_use]
    pub fn clock(&self) -> Clock {
        self.shared.clock
    }

    /// Sends a request, with retries at other gateways.
    pub async fn send(&self, spec: &RequestSpec) -> Served {
        self.send_by(spec, None).await
    }

    /// Makes one attempt at one gateway.
    pub async fn send_to(&self, front: SocketAddr, spec: &RequestSpec) -> Served {
        self.send_by(
            &RequestSpec {
                retries: 0,
                ..spec.clone()
            },
            Some(front),
        )
        .await
    }

    async fn send_by(&self, spec: &RequestSpec, front: Option<SocketAddr>) -> Served {
        let operation = self.shared.operation.fetch_add(1, Ordering::SeqCst);
        let started = Instant::now();
        let until = started + Duration::from_millis(spec.deadline_ms);
        let timeouts = Timeouts {
            until,
            idle: idle_timeout(spec),
        };
        let mut attempts = 0;
        loop {
            let attempt = Attempt {
                spec,
                request: self.shared.identities.request(),
                front: front.unwrap_or_else(|| self.front(operation + u64::from(attempts))),
                timeouts,
            };
            let attempt_started = Instant::now();
            let recording = AttemptRecorder::begin(&self.shared, &attempt, operation);
            let outcome = recording.end(attempt.carry_out().await);
            attempts += 1;
            let backoff = backoff_before_retry(spec, &outcome, until, &self.shared.identities);
            let ended = attempts > spec.retries || Instant::now() >= until;
            match backoff {
                Some(backoff) if !ended => sleep(backoff).await,
                _ => return served(&attempt, outcome, attempts, started, attempt_started),
            }
        }
    }

    /// The gateways in turn, starting at an offset that differs between requests.
    fn front(&self, offset: u64) -> SocketAddr {
        let fronts = self
            .shared
            .fronts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        fronts[offset as usize % fronts.len()]
    }
}

/// Records an attempt; as given up where its client is dropped before it ends.
struct AttemptRecorder<'a> {
    shared: &'a Shared,
    attempt: &'a Attempt<'a>,
    operation: u64,
    sent_us: u64,
    outcome: AttemptOutcome,
}

impl<'a> AttemptRecorder<'a> {
    fn begin(shared: &'a Shared, attempt: &'a Attempt<'a>, operation: u64) -> AttemptRecorder<'a> {
        let sent_us = shared.clock.now_us();
        AttemptRecorder {
            shared,
            attempt,
            operation,
            sent_us,
            outcome: AttemptOutcome::GivenUp,
        }
    }

    fn end(mut self, outcome: AttemptOutcome) -> AttemptOutcome {
        self.outcome = outcome.clone();
        outcome
    }
}

impl Drop for AttemptRecorder<'_> {
    fn drop(&mut self) {
        let ended_us = self.shared.clock.now_us();
        let spec = self.attempt.spec;
        self.shared.record.record_attempt(AttemptRecord {
            number: 0,
            request: self.attempt.request,
            operation: self.operation,
            front: self.attempt.front,
            sent_ms: self.sent_us / 1_000,
            ended_ms: ended_us / 1_000,
            host: spec.host.clone(),
            method: spec.method.to_owned(),
            target: spec.target.clone(),
            expected: spec.expected,
            idempotent: spec.kind.idempotent(),
            program: spec.program_attempt(),
            timings: timings(self.sent_us, ended_us, &self.outcome),
            outcome: std::mem::replace(&mut self.outcome, AttemptOutcome::GivenUp),
        });
    }
}

fn timings(sent_us: u64, ended_us: u64, outcome: &AttemptOutcome) -> Timings {
    let first_us = match outcome {
        AttemptOutcome::Answered(answered) => {
            Some(answered.first_event_us.map_or(ended_us, |us| sent_us + us))
        }
        _ => None,
    };
    Timings {
        started_us: sent_us,
        first_us,
        ended_us: Some(ended_us),
    }
}

fn served(
    attempt: &Attempt<'_>,
    outcome: AttemptOutcome,
    attempts: u32,
    started: Instant,
    attempt_started: Instant,
) -> Served {
    let took_ms = started.elapsed().as_millis() as u64;
    let before_ms = attempt_started.duration_since(started).as_millis() as u64;
    let first_event = match &outcome {
        AttemptOutcome::Answered(answered) | AttemptOutcome::BrokenOff(answered) => {
            answered.first_event_us
        }
        _ => None,
    };
    let first_ms = first_event.map_or(took_ms, |first| before_ms + first / 1_000);
    Served {
        request: attempt.request,
        outcome,
        attempts,
        first_ms,
        took_ms,
    }
}

fn idle_timeout(spec: &RequestSpec) -> Duration {
    let objective = Duration::from_millis(spec.target_ms) * IDLE_TARGETS;
    let backoff = Duration::from_millis(spec.max_gap_ms) * IDLE_GAPS;
    MIN_IDLE_TIMEOUT.max(objective).max(backoff)
}

/// The backoff before a retry; `None` where there must be none.
fn backoff_before_retry(
    spec: &RequestSpec,
    outcome: &AttemptOutcome,
    until: Instant,
    identities: &IdentitySource,
) -> Option<Duration> {
    let idempotent = spec.kind.idempotent();
    let usual = Duration::from_millis(RETRY_BACKOFF_MS + identities.below(RETRY_BACKOFF_MS));
    match outcome {
        AttemptOutcome::NotSent => Some(usual),
        AttemptOutcome::Answered(answered) => {
            if is_final(answered.status) || !(idempotent || is_promise(answered.status)) {
                return None;
            }
            let max_wait = until.saturating_duration_since(Instant::now()) / RETRY_AFTER_DIVISOR;
            let retry_after = answered.retry_after_ms.map(Duration::from_millis);
            Some(retry_after.map_or(usual, |retry_after| retry_after.min(max_wait)))
        }
        _ => idempotent.then_some(usual),
    }
}

/// Statuses after which nothing is retried.
fn is_final(status: u16) -> bool {
    matches!(status, 200..300 | 400 | 401 | 402 | 403 | 404 | 413 | 431)
}

/// Statuses that promise that the request has not run and never will.
fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
