//! Outlier ejection: whether an endpoint gets requests, judged by the outcomes of those dispatched to it.
//!
//! An endpoint that fails is ejected for a time that doubles with each relapse, and returns by slow start.

use crate::types::Millis;

/// Failures in sequence after which an endpoint is ejected.
const CONSECUTIVE_FAILURES: u32 = 3;
/// Ratio of recent requests that failed from which an endpoint is ejected.
const FAILURE_RATIO: f64 = 0.5;
/// Weight of recent requests from which that ratio is trusted.
const MIN_REQUESTS_FOR_RATIO: f64 = 5.0;
/// Ratio of its weight that a request keeps with each later one.
const DECAY: f64 = 0.9;
/// First ejection time of a failing endpoint.
const FAILURE_EJECTION_MS: u64 = 1_000;
/// First ejection time of an unreachable endpoint.
const UNREACHABLE_EJECTION_MS: u64 = 500;
/// First ejection time of an endpoint that does not respond.
const TIMEOUT_EJECTION_MS: u64 = 1_000;
/// First ejection time of a full endpoint.
const REJECTION_EJECTION_MS: u64 = 60;
/// Requests in sequence that an engine may reject before it is ejected. A full engine is left by the estimate: to
/// eject it at once would scatter the programs whose prefixes it caches, and the prefills elsewhere cost more than is
/// gained. This is against an engine that accepts nothing at all.
const ENGINE_TOLERATED_REJECTIONS: u32 = 8;
/// Upper bound of the doublings of an ejection time.
const MAX_DOUBLINGS: u32 = 3;
/// Ratio of its slots that a returning endpoint is offered at first.
const SLOW_START_CAPACITY: f64 = 0.2;
/// Slow start takes this many times the ejection time.
const SLOW_START_FACTOR: u64 = 2;

/// What one request showed of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthSignal {
    /// A complete response.
    Success,
    /// An error, a reset or a broken response.
    Failure,
    /// No response in time.
    Timeout,
    /// No connection.
    Unreachable,
    /// Rejected, as all slots were taken.
    Rejected,
    /// The address is another instance's.
    Misdirected,
}

/// How an endpoint is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// Gets requests like any other.
    Healthy,
    /// Gets none until then, unless no better one is left.
    Ejected { until: Millis, duration_ms: u64 },
    /// Gets requests again, at first for few of its slots.
    SlowStart { since: Millis, duration_ms: u64 },
    /// Never gets requests again: its address is another instance's.
    Replaced,
}

/// The detector of one endpoint.
#[derive(Debug)]
pub(crate) struct OutlierDetector {
    state: HealthState,
    consecutive_failures: u32,
    consecutive_rejections: u32,
    tolerated_rejections: u32,
    /// Ejections since the endpoint was last healthy; each doubles the time of the next.
    ejections: u32,
    /// It was last ejected for a fault, not as it was full.
    ejected_for_fault: bool,
    /// Decaying weight of recent requests.
    recent_requests: f64,
    /// Decaying weight of those that failed.
    recent_failures: f64,
}

impl OutlierDetector {
    /// For a server that is no engine.
    pub(crate) fn for_server() -> Self {
        Self::new(0)
    }

    /// For a model engine.
    pub(crate) fn for_engine() -> Self {
        Self::new(ENGINE_TOLERATED_REJECTIONS)
    }

    fn new(tolerated_rejections: u32) -> Self {
        Self {
            tolerated_rejections,
            state: HealthState::Healthy,
            consecutive_failures: 0,
            consecutive_rejections: 0,
            ejections: 0,
            ejected_for_fault: false,
            recent_requests: 0.0,
            recent_failures: 0.0,
        }
    }

    /// The state as of now.
    pub(crate) fn state(&self, now: Millis) -> HealthState {
        match self.state {
            HealthState::Ejected { until, duration_ms } if now >= until => HealthState::SlowStart {
                since: until,
                duration_ms: duration_ms * SLOW_START_FACTOR,
            }
            .after_slow_start(now),
            state => state.after_slow_start(now),
        }
    }

    /// Whether the endpoint is ejected.
    pub(crate) fn is_ejected(&self, now: Millis) -> bool {
        matches!(self.state(now), HealthState::Ejected { .. })
    }

    /// Whether the endpoint is ejected for a fault.
    pub(crate) fn is_ejected_for_fault(&self, now: Millis) -> bool {
        self.ejected_for_fault && self.is_ejected(now)
    }

    /// Whether the endpoint must never get requests again.
    pub(crate) fn is_replaced(&self) -> bool {
        self.state == HealthState::Replaced
    }

    /// The ratio of its slots that the endpoint is offered, from 0 to 1.
    pub(crate) fn capacity_factor(&self, now: Millis) -> f64 {
        match self.state(now) {
            HealthState::Healthy => 1.0,
            HealthState::Ejected { .. } => SLOW_START_CAPACITY,
            HealthState::SlowStart { since, duration_ms } => {
                let progress = now.saturating_sub(since) as f64 / duration_ms as f64;
                (SLOW_START_CAPACITY + (1.0 - SLOW_START_CAPACITY) * progress).min(1.0)
            }
            HealthState::Replaced => 0.0,
        }
    }

    /// How long the endpoint is still ejected: the least bad one has the least.
    pub(crate) fn remaining_ejection_ms(&self, now: Millis) -> u64 {
        match self.state(now) {
            HealthState::Ejected { until, .. } => until.saturating_sub(now),
            HealthState::Replaced => u64::MAX,
            HealthState::Healthy | HealthState::SlowStart { .. } => 0,
        }
    }

    /// Takes what a request showed.
    pub(crate) fn record(&mut self, signal: HealthSignal, now: Millis) {
        let state = self.state(now);
        self.enter(state);
        if state == HealthState::Replaced {
            return;
        }
        match signal {
            HealthSignal::Success => self.record_success(),
            HealthSignal::Failure => self.record_failure(now),
            HealthSignal::Timeout => self.eject_for_fault(TIMEOUT_EJECTION_MS, now),
            HealthSignal::Unreachable => self.eject_for_fault(UNREACHABLE_EJECTION_MS, now),
            HealthSignal::Rejected => self.record_rejection(now),
            HealthSignal::Misdirected => self.enter(HealthState::Replaced),
        }
    }

    fn record_success(&mut self) {
        self.count(0.0);
        self.consecutive_failures = 0;
        self.consecutive_rejections = 0;
        if self.state == HealthState::Healthy {
            self.ejections = 0;
        }
    }

    fn record_failure(&mut self, now: Millis) {
        self.count(1.0);
        self.consecutive_failures += 1;
        let relapsed = matches!(self.state, HealthState::SlowStart { .. }) && self.ejections > 0;
        let in_sequence = self.consecutive_failures >= CONSECUTIVE_FAILURES;
        let too_many = self.recent_requests >= MIN_REQUESTS_FOR_RATIO
            && self.recent_failures >= FAILURE_RATIO * self.recent_requests;
        if relapsed || in_sequence || too_many {
            self.eject(FAILURE_EJECTION_MS, now);
        }
    }

    fn eject_for_fault(&mut self, first_ms: u64, now: Millis) {
        self.count(1.0);
        self.consecutive_failures += 1;
        self.eject(first_ms, now);
    }

    /// Several requests that fail together are one fault: while the endpoint is ejected, the time doesn't grow.
    fn eject(&mut self, first_ms: u64, now: Millis) {
        if matches!(self.state, HealthState::Ejected { .. }) {
            return;
        }
        let duration_ms = first_ms << self.ejections.min(MAX_DOUBLINGS);
        self.ejections += 1;
        self.ejected_for_fault = true;
        self.enter(HealthState::Ejected {
            until: now + duration_ms,
            duration_ms,
        });
    }

    fn record_rejection(&mut self, now: Millis) {
        if matches!(self.state, HealthState::Ejected { .. }) {
            return;
        }
        self.consecutive_rejections += 1;
        if self.consecutive_rejections <= self.tolerated_rejections {
            return;
        }
        self.ejected_for_fault = false;
        let doublings = self.consecutive_rejections - self.tolerated_rejections - 1;
        let duration_ms = REJECTION_EJECTION_MS << doublings.min(MAX_DOUBLINGS);
        self.enter(HealthState::Ejected {
            until: now + duration_ms,
            duration_ms,
        });
    }

    fn count(&mut self, failed: f64) {
        self.recent_requests = self.recent_requests * DECAY + 1.0;
        self.recent_failures = self.recent_failures * DECAY + failed;
    }

    /// The one function that changes the state.
    fn enter(&mut self, state: HealthState) {
        self.state = state;
    }
}

impl HealthState {
    /// An endpoint whose slow start is complete is as good as any.
    fn after_slow_start(self, now: Millis) -> Self {
        match self {
            HealthState::SlowStart { since, duration_ms } if now >= since + duration_ms => {
                HealthState::Healthy
            }
            state => state,
        }
    }
}

#[cfg(test)]
mod tests;
