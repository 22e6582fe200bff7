//! A program's request to its counter: one at a time, sent again unchanged until it is answered.

use crate::{CounterRequest, LeaseSettings, Millis};

/// Pauses between repeated requests double this often at most.
const MAX_DOUBLINGS: u32 = 10;

/// Whether a request is under way.
#[derive(Clone, Debug)]
pub(crate) enum Exchange {
    /// Nothing is awaited.
    Quiet,
    /// The counter's answer is awaited.
    Asked(Asked),
}

/// A request under way.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub(crate) request: CounterRequest,
    /// When it was first sent.
    pub(crate) since: Millis,
    /// When it is to be sent again.
    pub(crate) resend_at: Millis,
    /// How often it was sent in vain.
    failures: u32,
}

impl Exchange {
    pub(crate) fn begin(&mut self, request: CounterRequest, now: Millis, settings: &LeaseSettings) {
        let resend_at = now + settings.answer_wait_ms;
        *self = Exchange::Asked(Asked {
            request,
            since: now,
            resend_at,
            failures: 0,
        });
    }

    /// Ends the exchange if that is the request under way; tells whether it was.
    pub(crate) fn end(&mut self, sequence: u64) -> bool {
        let awaited = self
            .asked()
            .is_some_and(|asked| asked.request.sequence == sequence);
        if awaited {
            *self = Exchange::Quiet;
        }
        awaited
    }

    /// It is known that no answer will come to the request: it is sent again soon.
    pub(crate) fn failed(&mut self, sequence: u64, now: Millis, settings: &LeaseSettings) {
        let Exchange::Asked(asked) = self else { return };
        if asked.request.sequence == sequence {
            asked.put_off(settings.resend_ms, now, settings);
        }
    }

    /// The request to send again.
    pub(crate) fn resend(
        &mut self,
        now: Millis,
        settings: &LeaseSettings,
    ) -> Option<CounterRequest> {
        let Exchange::Asked(asked) = self else {
            return None;
        };
        asked.put_off(settings.answer_wait_ms, now, settings);
        Some(asked.request.clone())
    }

    pub(crate) fn asked(&self) -> Option<&Asked> {
        match self {
            Exchange::Quiet => None,
            Exchange::Asked(asked) => Some(asked),
        }
    }
}

impl Asked {
    /// Sets the time to send the request again: after a pause that doubles each time.
    fn put_off(&mut self, pause: Millis, now: Millis, settings: &LeaseSettings) {
        self.failures += 1;
        let doubled = pause.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS));
        self.resend_at = now + doubled.min(settings.resend_most_ms);
    }
}
