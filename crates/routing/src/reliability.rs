//! How likely a request is to fail at a server, by what became of the recent ones there.
//!
//! [`Health`](crate::health::Health) takes a server out that fails outright. A server that fails only some of its
//! requests never has three failures in a row for long; its failures are weighed here as a cost of choosing it, so
//! that it is left while others are about as good and tried again as the evidence fades.

use crate::types::Millis;

/// Evidence loses half of its weight in this time: a fault of some seconds is soon left and soon forgotten.
const HALF_LIFE_MS: f64 = 3_000.0;
/// Requests served that every server is given credit for. Against taking one failure for the rule.
const PRIOR_SERVED: f64 = 2.0;
/// Weight of failures from which a server is suspected: one that is two seconds old.
const SUSPECT_FAILURES: f64 = 0.63;
/// Share of failures from which a server is suspected.
const SUSPECT_SHARE: f64 = 0.2;

/// Faded counts of one server's requests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Reliability {
    served: f64,
    failed: f64,
    at: Millis,
}

impl Reliability {
    /// A request was served.
    pub(crate) fn note_served(&mut self, now: Millis) {
        self.fade(now);
        self.served += 1.0;
    }

    /// A request failed.
    pub(crate) fn note_failed(&mut self, now: Millis) {
        self.fade(now);
        self.failed += 1.0;
    }

    /// The share of requests that are expected to fail.
    pub(crate) fn failed_share(&self, now: Millis) -> f64 {
        let left = self.left(now);
        left * self.failed / (left * (self.served + self.failed) + PRIOR_SERVED)
    }

    /// Whether the other gateways are to be told.
    pub(crate) fn is_suspect(&self, now: Millis) -> bool {
        self.left(now) * self.failed >= SUSPECT_FAILURES && self.failed_share(now) >= SUSPECT_SHARE
    }

    fn fade(&mut self, now: Millis) {
        let left = self.left(now);
        self.served *= left;
        self.failed *= left;
        self.at = now;
    }

    /// What is left of the counted evidence.
    fn left(&self, now: Millis) -> f64 {
        0.5_f64.powf(now.saturating_sub(self.at) as f64 / HALF_LIFE_MS)
    }
}

#[cfg(test)]
mod tests;
