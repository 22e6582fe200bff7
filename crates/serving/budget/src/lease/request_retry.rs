//! A program's request to its counter: one at a time, repeated unchanged with backoff until it is answered.

use crate::{CounterRequest, LeaseSettings, Millis};

/// The backoff between repetitions doubles this often at most.
const MAX_DOUBLINGS: u32 = 10;

/// Whether a request is in flight.
#[derive(Clone, Debug)]
pub(crate) enum RequestState {
    /// No reply is awaited.
    Idle,
    /// The counter's reply is awaited.
    InFlight(InFlight),
}

/// A request in flight.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    pub(crate) request: CounterRequest,
    /// When it was first sent.
    pub(crate) since: Millis,
    /// When it is to be sent again.
    pub(crate) resend_at: Millis,
    /// How often it was sent without a reply.
    failures: u32,
}

impl RequestState {
    /// A new request is sent.
    pub(crate) fn begin(&mut self, request: CounterRequest, now: Millis, settings: &LeaseSettings) {
        *self = RequestState::InFlight(InFlight {
            request,
            since: now,
            resend_at: now + settings.reply_timeout_ms,
            failures: 0,
        });
    }

    /// A reply arrived: ends the request if it is the one in flight, and returns whether it was.
    pub(crate) fn complete(&mut self, sequence: u64) -> bool {
        let awaited = self
            .in_flight()
            .is_some_and(|in_flight| in_flight.request.sequence == sequence);
        if awaited {
            *self = RequestState::Idle;
        }
        awaited
    }

    /// The request is known to have failed: it is sent again soon.
    pub(crate) fn fail(&mut self, sequence: u64, now: Millis, settings: &LeaseSettings) {
        let RequestState::InFlight(in_flight) = self else {
            return;
        };
        if in_flight.request.sequence == sequence {
            in_flight.back_off(settings.resend_ms, now, settings);
        }
    }

    /// The request to send again.
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
    /// Sets the time to send the request again: after an exponential backoff.
    fn back_off(&mut self, initial: Millis, now: Millis, settings: &LeaseSettings) {
        self.failures += 1;
        let doubled = initial.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS));
        self.resend_at = now + doubled.min(settings.max_resend_ms);
    }
}
