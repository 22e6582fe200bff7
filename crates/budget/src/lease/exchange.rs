//! A program's request to its counter: one at a time, sent again unchanged until it is answered.

use crate::{CounterRequest, LeaseSettings, Millis};

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
    /// How long the next failure to send delays it.
    pause: Millis,
}

impl Exchange {
    pub(crate) fn begin(&mut self, request: CounterRequest, now: Millis, settings: &LeaseSettings) {
        let resend_at = now + settings.answer_wait_ms;
        *self = Exchange::Asked(Asked { request, since: now, resend_at, pause: settings.resend_ms });
    }

    /// Ends the exchange if that is the request under way; tells whether it was.
    pub(crate) fn end(&mut self, sequence: u64) -> bool {
        let awaited = self.asked().is_some_and(|asked| asked.request.sequence == sequence);
        if awaited {
            *self = Exchange::Quiet;
        }
        awaited
    }

    /// The request found no answer: it is sent again after a pause that grows.
    pub(crate) fn failed(&mut self, sequence: u64, now: Millis, settings: &LeaseSettings) {
        let Exchange::Asked(asked) = self else { return };
        if asked.request.sequence != sequence {
            return;
        }
        asked.resend_at = now + asked.pause;
        asked.pause = (asked.pause * 2).min(settings.answer_wait_ms);
    }

    /// The request to send again.
    pub(crate) fn resend(&mut self, now: Millis, settings: &LeaseSettings) -> Option<CounterRequest> {
        let Exchange::Asked(asked) = self else { return None };
        asked.resend_at = now + settings.answer_wait_ms;
        Some(asked.request.clone())
    }

    pub(crate) fn asked(&self) -> Option<&Asked> {
        match self {
            Exchange::Quiet => None,
            Exchange::Asked(asked) => Some(asked),
        }
    }
}
