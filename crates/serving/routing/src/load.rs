//! What is in flight on one server, from this gateway and from others.
//!
//! Another gateway's last report says what it had in flight at one moment. Whether places are taken is judged by
//! it; what a request would take is judged by what the gateway usually has there, as its requests of that moment
//! are over when the next report comes.

use crate::types::Millis;

/// A report counts in full for this long.
const REPORT_FRESH_MS: u64 = 600;
/// From here on a report no longer counts: its gateway may be gone.
const REPORT_GONE_MS: u64 = 3_000;
/// How far a new report moves what a gateway usually has in flight.
const REPORT_GAIN: f64 = 0.4;
/// Less than this in flight is none.
const NEGLIGIBLE: f64 = 0.01;
/// Gateways whose reports are kept for one server. Bounds memory.
const MOST_REPORTERS: usize = 64;

/// Requests and tokens on one server.
#[derive(Debug, Default)]
pub(crate) struct Load {
    in_flight: u32,
    waiting_tokens: u64,
    memory_tokens: u64,
    /// This gateway's requests without a first event.
    unanswered: u32,
    /// When the server last answered a request, or got the first of those that wait.
    quiet_since: Millis,
    others: Vec<Reported>,
}

/// What another gateway has there.
#[derive(Debug, Clone, Copy)]
struct Reported {
    from: u64,
    at: Millis,
    in_flight: u32,
    usual_in_flight: f64,
    usual_waiting_tokens: f64,
}

impl Load {
    /// A request was sent.
    pub(crate) fn sent(&mut self, fresh_tokens: u64, memory_tokens: u64, now: Millis) {
        if self.unanswered == 0 {
            self.quiet_since = now;
        }
        self.unanswered += 1;
        self.in_flight += 1;
        self.waiting_tokens += fresh_tokens;
        self.memory_tokens += memory_tokens;
    }

    /// The server's first sign for a request came: its first event, an error, or that it was turned away.
    pub(crate) fn answered(&mut self, fresh_tokens: u64, now: Millis) {
        self.quiet_since = now;
        self.given_up(fresh_tokens);
    }

    /// A request is waited for no longer, though the server gave no sign.
    pub(crate) fn given_up(&mut self, fresh_tokens: u64) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.waiting_tokens = self.waiting_tokens.saturating_sub(fresh_tokens);
    }

    /// It is over.
    pub(crate) fn ended(&mut self, memory_tokens: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.memory_tokens = self.memory_tokens.saturating_sub(memory_tokens);
    }

    /// This gateway's requests.
    pub(crate) fn own_in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Tokens to be read for this gateway's requests.
    pub(crate) fn own_waiting_tokens(&self) -> u64 {
        self.waiting_tokens
    }

    /// Memory taken by this gateway's requests.
    pub(crate) fn own_memory_tokens(&self) -> u64 {
        self.memory_tokens
    }

    /// For how long the server has answered none of this gateway's requests, while there are any to answer.
    pub(crate) fn quiet_ms(&self, now: Millis) -> u64 {
        if self.unanswered == 0 {
            return 0;
        }
        now.saturating_sub(self.quiet_since)
    }

    /// Requests of all gateways, by the last reports.
    pub(crate) fn in_flight(&self, now: Millis) -> f64 {
        f64::from(self.in_flight) + self.sum_of_others(now, |report| f64::from(report.in_flight))
    }

    /// Requests that the other gateways usually have there.
    pub(crate) fn others_usual_in_flight(&self, now: Millis) -> f64 {
        self.sum_of_others(now, |report| report.usual_in_flight)
    }

    /// This gateway's requests and what the others usually have there.
    pub(crate) fn usual_in_flight(&self, now: Millis) -> f64 {
        f64::from(self.in_flight) + self.others_usual_in_flight(now)
    }

    /// Tokens to be read for this gateway, and what the others usually have to be read.
    pub(crate) fn usual_waiting_tokens(&self, now: Millis) -> f64 {
        self.waiting_tokens as f64 + self.sum_of_others(now, |report| report.usual_waiting_tokens)
    }

    /// Takes a gateway's report in place of its last one.
    pub(crate) fn report(&mut self, from: u64, in_flight: u32, waiting_tokens: u64, now: Millis) {
        if let Some(known) = self.others.iter_mut().find(|report| report.from == from) {
            known.renew(in_flight, waiting_tokens, now);
        } else if in_flight > 0 || waiting_tokens > 0 {
            self.add(Reported {
                from,
                at: now,
                in_flight,
                usual_in_flight: f64::from(in_flight),
                usual_waiting_tokens: waiting_tokens as f64,
            });
        }
        self.others
            .retain(|report| report.usual_in_flight > NEGLIGIBLE && report.weight(now) > 0.0);
    }

    fn add(&mut self, report: Reported) {
        if self.others.len() < MOST_REPORTERS {
            self.others.push(report);
        }
    }

    fn sum_of_others(&self, now: Millis, figure: impl Fn(&Reported) -> f64) -> f64 {
        self.others
            .iter()
            .map(|report| report.weight(now) * figure(report))
            .sum()
    }
}

impl Reported {
    fn renew(&mut self, in_flight: u32, waiting_tokens: u64, now: Millis) {
        self.at = now;
        self.in_flight = in_flight;
        self.usual_in_flight += REPORT_GAIN * (f64::from(in_flight) - self.usual_in_flight);
        self.usual_waiting_tokens +=
            REPORT_GAIN * (waiting_tokens as f64 - self.usual_waiting_tokens);
    }

    fn weight(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at);
        if age <= REPORT_FRESH_MS {
            return 1.0;
        }
        let left = REPORT_GONE_MS.saturating_sub(age);
        left as f64 / (REPORT_GONE_MS - REPORT_FRESH_MS) as f64
    }
}

#[cfg(test)]
mod tests;
