//! The request to a program's counter: at most one in flight, resent unchanged with backoff until the reply arrives.

use crate::{CounterRequest, LeaseSettings, Millis};

/// Maximum number of times that the backoff between resends doubles.
const MAX_DOUBLINGS: u32 = 10;

/// Whether a request to the counter is in flight.
#[derive(Clone, Debug)]
pub(crate) enum RequestState {
    /// No request is in flight.
    Idle,
    /// A request awaits the counter's reply.
    InFlight(InFlight),
}

/// A request in flight.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    pub(crate) request: CounterRequest,
    /// When the request was first sent.
    pub(crate) sent_at: Millis,
    /// When to resend the request.
    pub(crate) resend_at: Millis,
    /// Number of times that the request was resent or failed.
    failures: u32,
}

impl RequestState {
    /// Records a new request as sent.
    pub(crate) fn begin(&mut self, request: CounterRequest, now: Millis, settings: &LeaseSettings) {
        *self = RequestState::InFlight(InFlight {
            request,
            sent_at: now,
            resend_at: now + settings.reply_timeout_ms,
            failures: 0,
        });
    }

    /// Completes the request in flight if it has this sequence number; returns whether it has.
    pub(crate) fn complete(&mut self, sequence: u64) -> bool {
        let is_in_flight = self
            .in_flight()
            .is_some_and(|in_flight| in_flight.request.sequence == sequence);
        if is_in_flight {
            *self = RequestState::Idle;
        }
        is_in_flight
    }

    /// Schedules a resend of a request that is known to have failed.
    pub(crate) fn fail(&mut self, sequence: u64, now: Millis, settings: &LeaseSettings) {
        let RequestState::InFlight(in_flight) = self else {
            return;
        };
        if in_flight.request.sequence == sequence {
            in_flight.back_off(settings.resend_ms, now, settings);
        }
    }

    /// The request to resend, if one is in flight; schedules the next resend.
    pub(crate) fn resend(
        &mut self,
        now: Millis,
        settings: &LeaseSettings,
    ) -> Option<CounterRequest> {
        let RequestState::InFlight(in_flight) = self else {
            return None;
        };
        in_flight.back_off(settings.reply_timeout_ms, now, settings);
        Some(in_flight.request.clone())
    }

    /// The request in flight, if there is one.
    pub(crate) fn in_flight(&self) -> Option<&InFlight> {
        match self {
            RequestState::Idle => None,
            RequestState::InFlight(in_flight) => Some(in_flight),
        }
    }
}

impl InFlight {
    /// Schedules the next resend with exponential backoff.
    fn back_off(&mut self, initial: Millis, now: Millis, settings: &LeaseSettings) {
        self.failures += 1;
        let doubled = initial.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS));
        self.resend_at = now + doubled.min(settings.max_resend_ms);
    }
}
