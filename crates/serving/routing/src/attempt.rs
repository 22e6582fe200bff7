//! One attempt of a request: the load it adds to its endpoint, and the health signal that its outcome gives.

use std::rc::Rc;

use crate::endpoint::Endpoint;
use crate::outlier::HealthSignal;
use crate::types::{Millis, Outcome};

/// Minimum time after which a client's disconnect before the first event counts as a failure of the endpoint.
const MIN_OVERDUE_MS: u64 = 1_000;
/// Multiple of the latency target after which such a disconnect counts as a failure, if that is longer than
/// [`MIN_OVERDUE_MS`].
const OVERDUE_TARGETS: u64 = 3;

/// One attempt in flight.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) backend: Rc<str>,
    /// [`Endpoint::number`] of the endpoint that got the request.
    pub(crate) endpoint: u64,
    pub(crate) dispatched_at: Millis,
    pub(crate) first_event_at: Option<Millis>,
    pub(crate) target_ms: u64,
    pub(crate) engine: Option<EngineAttempt>,
}

/// Load that an attempt adds to an engine, and the engine's load at dispatch.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineAttempt {
    /// Prompt tokens that the engine must prefill for this request.
    pub(crate) uncached_tokens: u64,
    /// KV cache tokens that this request occupies.
    pub(crate) footprint: u64,
    /// Tokens that the engine had to prefill at dispatch, including this request's.
    pub(crate) prefill_tokens_ahead: f64,
    /// Requests in the engine's batch at dispatch, including this one.
    pub(crate) batch: f64,
    /// Whether all slots of the engine were taken at dispatch.
    pub(crate) waited_for_slot: bool,
    pub(crate) max_tokens: u32,
    pub(crate) chunk_tokens: u32,
    /// Id of the prompt's last segment, if the engine had not cached it at dispatch.
    pub(crate) new_segment: Option<u64>,
}

/// Passes the outcome of an attempt to the endpoint's outlier detector and fault hint.
pub(crate) fn record_health(
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

/// The health signal of an outcome; `None` if the client cancelled before the attempt was overdue.
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
    /// Whether the first event is so late that the client's disconnect is due to the server. Detects servers that hang,
    /// because clients disconnect before any timeout of the gateway.
    fn is_overdue(&self, now: Millis) -> bool {
        let overdue_ms = MIN_OVERDUE_MS.max(OVERDUE_TARGETS * self.target_ms);
        self.first_event_at.is_none() && now.saturating_sub(self.dispatched_at) >= overdue_ms
    }
}

/// Subtracts an ended attempt from its endpoint's load, and from the prefix cache if the attempt never ran.
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
