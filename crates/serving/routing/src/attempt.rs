//! One attempt of a request: what it counts for at its endpoint, and what its outcome shows of that endpoint.

use std::rc::Rc;

use crate::endpoint::Endpoint;
use crate::outlier::HealthSignal;
use crate::types::{Millis, Outcome};

/// A client that disconnects earlier without a first event shows nothing of the endpoint.
const OVERDUE_MS: u64 = 1_000;
/// Nor does one that disconnects before this many times the latency target.
const OVERDUE_TARGETS: u64 = 3;

/// One attempt in flight.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) backend: Rc<str>,
    /// The number of its endpoint.
    pub(crate) endpoint: u64,
    pub(crate) dispatched_at: Millis,
    pub(crate) first_event_at: Option<Millis>,
    pub(crate) target_ms: u64,
    pub(crate) engine: Option<EngineAttempt>,
}

/// What an attempt at an engine counts for there.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineAttempt {
    /// Prompt tokens that the engine must prefill for it.
    pub(crate) uncached_tokens: u64,
    /// KV cache tokens that it takes.
    pub(crate) footprint: u64,
    /// Tokens to prefill when it was dispatched, its own included.
    pub(crate) prefill_tokens_ahead: f64,
    /// Requests in the batch when it was dispatched, itself included.
    pub(crate) batch: f64,
    /// Whether all slots were taken when it was dispatched.
    pub(crate) waited_for_slot: bool,
    pub(crate) max_tokens: u32,
    pub(crate) chunk_tokens: u32,
    /// The prompt's last segment, if the engine had not cached it.
    pub(crate) new_segment: Option<u64>,
}

/// Tells the endpoint's outlier detector and hint how an attempt ended.
pub(crate) fn record_outcome(
    endpoint: &mut Endpoint,
    attempt: &Attempt,
    outcome: Outcome,
    now: Millis,
) {
    if let Some(signal) = health_signal(attempt, outcome, now) {
        endpoint.outliers.record(signal, now);
    }
    if let Outcome::Served { .. } = outcome {
        endpoint.hint.refute(attempt.dispatched_at, now);
    }
}

fn health_signal(attempt: &Attempt, outcome: Outcome, now: Millis) -> Option<HealthSignal> {
    match outcome {
        Outcome::Served { .. } => Some(HealthSignal::Success),
        Outcome::Failed => Some(HealthSignal::Failure),
        Outcome::TimedOut => Some(HealthSignal::Timeout),
        Outcome::Rejected => Some(HealthSignal::Rejected),
        Outcome::Misdirected => Some(HealthSignal::Misdirected),
        Outcome::Unreachable => Some(HealthSignal::Unreachable),
        Outcome::Cancelled if attempt.is_overdue(now) => Some(HealthSignal::Failure),
        Outcome::Cancelled => None,
    }
}

impl Attempt {
    /// Whether the first event is so late that the client disconnected for it: against servers that hang, as clients
    /// give up before any time limit of the gateway's.
    fn is_overdue(&self, now: Millis) -> bool {
        let overdue_ms = OVERDUE_MS.max(OVERDUE_TARGETS * self.target_ms);
        self.first_event_at.is_none() && now.saturating_sub(self.dispatched_at) >= overdue_ms
    }
}

/// Releases what an attempt counted for at its endpoint.
pub(crate) fn release(endpoint: &mut Endpoint, attempt: &Attempt, outcome: Outcome, now: Millis) {
    let uncached_tokens = attempt.engine.map_or(0, |engine| engine.uncached_tokens);
    match (attempt.first_event_at, outcome.is_response()) {
        (Some(_), _) => {}
        (None, true) => endpoint.load.record_response(uncached_tokens, now),
        (None, false) => endpoint.load.stop_waiting(uncached_tokens),
    }
    let Some(engine) = attempt.engine else {
        endpoint.load.release(0);
        return;
    };
    endpoint.load.release(engine.footprint);
    let never_ran = matches!(
        outcome,
        Outcome::Rejected | Outcome::Misdirected | Outcome::Unreachable
    );
    if let (true, Some(segment)) = (never_ran, engine.new_segment) {
        endpoint.cache.remove(segment);
    }
}
