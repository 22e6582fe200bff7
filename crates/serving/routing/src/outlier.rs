//! Outlier ejection: decides from the outcomes of an endpoint's requests whether it gets more.
//!
//! A failing endpoint is ejected for a time that doubles with each relapse, and then returns by slow start.

use crate::types::Millis;

/// Number of consecutive failures after which an endpoint is ejected.
const CONSECUTIVE_FAILURES: u32 = 3;
/// Ratio of failures among recent requests from which an endpoint is ejected.
const FAILURE_RATIO: f64 = 0.5;
/// Minimum weight of recent requests for the failure ratio to apply.
const MIN_REQUESTS_FOR_RATIO: f64 = 5.0;
/// Factor on the weight of earlier requests with each new one.
const DECAY: f64 = 0.9;
/// First ejection time of a failing endpoint.
const FAILURE_EJECTION_MS: u64 = 1_000;
/// First ejection time of an unreachable endpoint.
const UNREACHABLE_EJECTION_MS: u64 = 500;
/// First ejection time of an endpoint that does not respond.
const TIMEOUT_EJECTION_MS: u64 = 1_000;
/// First ejection time of a full endpoint.
const REJECTION_EJECTION_MS: u64 = 60;
/// Consecutive rejections that an engine is allowed before it is ejected. The time estimate already avoids a full
/// engine. Ejecting it at once would scatter the programs whose prefixes it caches, and prefilling elsewhere costs more
/// than is gained. Ejection for rejections is only for an engine that accepts nothing at all.
const ENGINE_TOLERATED_REJECTIONS: u32 = 8;
/// Maximum number of times that an ejection time is doubled.
const MAX_DOUBLINGS: u32 = 3;
/// Fraction of a returning endpoint's slots that get requests at first.
const SLOW_START_CAPACITY: f64 = 0.2;
/// Duration of slow start, as a multiple of the ejection time.
const SLOW_START_FACTOR: u64 = 2;

/// Health signal that the outcome of one request gives for its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthSignal {
    /// A complete response.
    Success,
    /// An error, a reset or a broken response.
    Failure,
    /// The endpoint sent no response in time.
    Timeout,
    /// No connection to the endpoint was established.
    Unreachable,
    /// Rejected because all slots were taken.
    Rejected,
    /// The address belongs to another instance.
    Misdirected,
}

/// The health of an endpoint, which decides whether it gets requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// Gets requests for all of its slots.
    Healthy,
    /// Gets no requests until `until`, unless too few other endpoints are left.
    Ejected { until: Millis, duration_ms: u64 },
    /// Gets requests again, for a growing fraction of its slots.
    SlowStart { since: Millis, duration_ms: u64 },
    /// Never gets requests again, because its address belongs to another instance.
    Replaced,
}

/// The outlier detector of one endpoint.
#[derive(Debug)]
pub(crate) struct OutlierDetector {
    state: HealthState,
    consecutive_failures: u32,
    consecutive_rejections: u32,
    tolerated_rejections: u32,
    /// Ejections since the endpoint was last healthy; each doubles the next ejection time.
    ejections: u32,
    /// Whether the last ejection was for a fault, not for a full endpoint.
    ejected_for_fault: bool,
    /// Decaying weight of recent requests.
    recent_requests: f64,
    /// Decaying weight of recent requests that failed.
    recent_failures: f64,
}

impl OutlierDetector {
    /// Creates the detector of a server without an engine.
    pub(crate) fn for_server() -> Self {
        Self::new(0)
    }

    /// Creates the detector of a model engine.
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

    /// The state at `now`.
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

    /// Whether the endpoint never gets requests again, because its address belongs to another instance.
    pub(crate) fn is_replaced(&self) -> bool {
        self.state == HealthState::Replaced
    }

    /// Fraction of the endpoint's slots that get requests, from 0 to 1.
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

    /// Time until the ejection ends; 0 if the endpoint is not ejected, the maximum if it was replaced.
    pub(crate) fn remaining_ejection_ms(&self, now: Millis) -> u64 {
        match self.state(now) {
            HealthState::Ejected { until, .. } => until.saturating_sub(now),
            HealthState::Replaced => u64::MAX,
            HealthState::Healthy | HealthState::SlowStart { .. } => 0,
        }
    }

    /// Records the health signal of one request.
    pub(crate) fn record(&mut self, signal: HealthSignal, now: Millis) {
        let state = self.state(now);
        self.set_state(state);
        if state == HealthState::Replaced {
            return;
        }
        match signal {
            HealthSignal::Success => self.record_success(),
            HealthSignal::Failure => self.record_failure(now),
            HealthSignal::Timeout => self.eject_for_fault(TIMEOUT_EJECTION_MS, now),
            HealthSignal::Unreachable => self.eject_for_fault(UNREACHABLE_EJECTION_MS, now),
            HealthSignal::Rejected => self.record_rejection(now),
            HealthSignal::Misdirected => self.set_state(HealthState::Replaced),
        }
    }

    fn record_success(&mut self) {
        self.count_recent(0.0);
        self.consecutive_failures = 0;
        self.consecutive_rejections = 0;
        if self.state == HealthState::Healthy {
            self.ejections = 0;
        }
    }

    fn record_failure(&mut self, now: Millis) {
        self.count_recent(1.0);
        self.consecutive_failures += 1;
        let relapsed = matches!(self.state, HealthState::SlowStart { .. }) && self.ejections > 0;
        let consecutive = self.consecutive_failures >= CONSECUTIVE_FAILURES;
        let ratio_exceeded = self.recent_requests >= MIN_REQUESTS_FOR_RATIO
            && self.recent_failures >= FAILURE_RATIO * self.recent_requests;
        if relapsed || consecutive || ratio_exceeded {
            self.eject(FAILURE_EJECTION_MS, now);
        }
    }

    fn eject_for_fault(&mut self, first_ms: u64, now: Millis) {
        self.count_recent(1.0);
        self.consecutive_failures += 1;
        self.eject(first_ms, now);
    }

    /// Ejects the endpoint for `first_ms`, doubled for each earlier ejection. A failure during an ejection does not
    /// extend it, because requests that fail together are one fault.
    fn eject(&mut self, first_ms: u64, now: Millis) {
        if matches!(self.state, HealthState::Ejected { .. }) {
            return;
        }
        let duration_ms = first_ms << self.ejections.min(MAX_DOUBLINGS);
        self.ejections += 1;
        self.ejected_for_fault = true;
        self.set_state(HealthState::Ejected {
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
        self.set_state(HealthState::Ejected {
            until: now + duration_ms,
            duration_ms,
        });
    }

    /// Adds a request to the decaying weights; `failed` is 1 for a failure, otherwise 0.
    fn count_recent(&mut self, failed: f64) {
        self.recent_requests = self.recent_requests * DECAY + 1.0;
        self.recent_failures = self.recent_failures * DECAY + failed;
    }

    fn set_state(&mut self, state: HealthState) {
        self.state = state;
    }
}

impl HealthState {
    /// Healthy if this is a slow start that is complete, otherwise the state itself.
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
