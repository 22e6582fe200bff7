//! Sends requests to the gateways and retries failed attempts as the protocol allows clients to.

use super::attempt::{Attempt, Timeouts};
use super::connection::ClientConnection;
use super::request::RequestSpec;
use crate::clock::Clock;
use crate::identity::{IdentitySource, RequestId};
use crate::record::{Answered, AttemptOutcome, AttemptRecord, Record, Timings};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Lower bound of a stream's idle time-out.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// A stream's idle time-out is at least this many times its latency target.
const IDLE_TIMEOUT_TARGETS: u32 = 4;
/// A stream's idle time-out is at least this many times its longest wanted gap between events.
const IDLE_TIMEOUT_GAPS: u32 = 8;
/// Backoff before a retry where the response has no `Retry-After`; random jitter adds up to as much again.
const RETRY_BACKOFF_MS: u64 = 30;
/// The wait for `Retry-After` is limited to the remaining time divided by this.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// A client that spreads its requests over all gateways; clones share its state.
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
    /// Number of the next operation.
    next_operation: AtomicU64,
}

/// The result of an operation with all its attempts.
#[derive(Clone, Debug)]
pub struct Served {
    /// Id of the last attempt.
    pub request: RequestId,
    /// How the last attempt ended.
    pub outcome: AttemptOutcome,
    /// Number of attempts, including the first.
    pub attempts: u32,
    /// Time from the first attempt to the first event, or to the end where there are no events, in milliseconds.
    pub first_ms: u64,
    /// Time from the start of the first attempt to the end of the last, in milliseconds.
    pub took_ms: u64,
}

impl Served {
    /// The last attempt's response, if it is complete.
    pub fn answer(&self) -> Option<&Answered> {
        match &self.outcome {
            AttemptOutcome::Answered(answered) => Some(answered),
            _ => None,
        }
    }

    /// The status of the last attempt's response, if it is complete.
    pub fn status(&self) -> Option<u16> {
        self.answer().map(|answered| answered.status)
    }

    /// Whether the last attempt's response is complete and has a 2xx status.
    pub fn succeeded(&self) -> bool {
        self.status()
            .is_some_and(|status| (200..300).contains(&status))
    }
}

impl Client {
    /// A client that sends to the gateways at `fronts` in turn and writes its attempts to `record`.
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
                next_operation: AtomicU64::new(0),
            }),
        }
    }

    /// Replaces the gateways' addresses; attempts under way keep their connections.
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

    /// Sends a request; retries go to the next gateways in turn.
    pub async fn send(&self, spec: &RequestSpec) -> Served {
        self.send_with_retries(spec, None).await
    }

    /// Makes one attempt at one gateway.
    pub async fn send_to(&self, front: SocketAddr, spec: &RequestSpec) -> Served {
        self.send_with_retries(
            &RequestSpec {
                retries: 0,
                ..spec.clone()
            },
            Some(front),
        )
        .await
    }

    /// Makes one attempt over an open connection.
    pub async fn send_over(
        &self,
        connection: &mut ClientConnection,
        spec: &RequestSpec,
    ) -> AttemptOutcome {
        let operation = self.shared.next_operation.fetch_add(1, Ordering::SeqCst);
        let attempt = Attempt {
            spec,
            request: self.shared.identities.request(),
            front: connection.front,
            timeouts: Timeouts {
                deadline: Instant::now() + Duration::from_millis(spec.deadline_ms),
                idle: idle_timeout(spec),
            },
        };
        let recorder = AttemptRecorder::begin(&self.shared, &attempt, operation);
        recorder.end(attempt.send_over(connection).await)
    }

    async fn send_with_retries(&self, spec: &RequestSpec, front: Option<SocketAddr>) -> Served {
        let operation = self.shared.next_operation.fetch_add(1, Ordering::SeqCst);
        let started = Instant::now();
        let deadline = started + Duration::from_millis(spec.deadline_ms);
        let timeouts = Timeouts {
            deadline,
            idle: idle_timeout(spec),
        };
        let mut attempts = 0;
        loop {
            let attempt = Attempt {
                spec,
                request: self.shared.identities.request(),
                front: front.unwrap_or_else(|| self.front_at(operation + u64::from(attempts))),
                timeouts,
            };
            let attempt_started = Instant::now();
            let recorder = AttemptRecorder::begin(&self.shared, &attempt, operation);
            let outcome = recorder.end(attempt.send().await);
            attempts += 1;
            let backoff = backoff_before_retry(spec, &outcome, deadline, &self.shared.identities);
            let exhausted = attempts > spec.retries || Instant::now() >= deadline;
            match backoff {
                Some(backoff) if !exhausted => sleep(backoff).await,
                _ => return served(&attempt, outcome, attempts, started, attempt_started),
            }
        }
    }

    /// The gateway at `offset`, counted round the list of gateways.
    fn front_at(&self, offset: u64) -> SocketAddr {
        let fronts = self
            .shared
            .fronts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        fronts[offset as usize % fronts.len()]
    }
}

/// Records an attempt when dropped; an attempt whose client is dropped before it ends is recorded as given up.
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
    let earlier_attempts_ms = attempt_started.duration_since(started).as_millis() as u64;
    let first_event_us = match &outcome {
        AttemptOutcome::Answered(answered) | AttemptOutcome::BrokenOff(answered) => {
            answered.first_event_us
        }
        _ => None,
    };
    let first_ms =
        first_event_us.map_or(took_ms, |first_us| earlier_attempts_ms + first_us / 1_000);
    Served {
        request: attempt.request,
        outcome,
        attempts,
        first_ms,
        took_ms,
    }
}

fn idle_timeout(spec: &RequestSpec) -> Duration {
    let by_target = Duration::from_millis(spec.target_ms) * IDLE_TIMEOUT_TARGETS;
    let by_gap = Duration::from_millis(spec.max_gap_ms) * IDLE_TIMEOUT_GAPS;
    MIN_IDLE_TIMEOUT.max(by_target).max(by_gap)
}

/// The backoff before a retry; `None` where the attempt must not be retried.
fn backoff_before_retry(
    spec: &RequestSpec,
    outcome: &AttemptOutcome,
    deadline: Instant,
    identities: &IdentitySource,
) -> Option<Duration> {
    let idempotent = spec.kind.idempotent();
    let default_backoff =
        Duration::from_millis(RETRY_BACKOFF_MS + identities.below(RETRY_BACKOFF_MS));
    match outcome {
        AttemptOutcome::NotSent => Some(default_backoff),
        AttemptOutcome::Answered(answered) => {
            if is_final(answered.status)
                || !(idempotent || guarantees_not_executed(answered.status))
            {
                return None;
            }
            let max_wait = deadline.saturating_duration_since(Instant::now()) / RETRY_AFTER_DIVISOR;
            let retry_after = answered.retry_after_ms.map(Duration::from_millis);
            Some(retry_after.map_or(default_backoff, |retry_after| retry_after.min(max_wait)))
        }
        _ => idempotent.then_some(default_backoff),
    }
}

/// Whether a request is never retried after this status.
fn is_final(status: u16) -> bool {
    matches!(status, 200..300 | 400 | 401 | 402 | 403 | 404 | 413 | 431)
}

/// Whether this status guarantees that the request has not run and never will.
fn guarantees_not_executed(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
