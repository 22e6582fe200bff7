//! What is in flight on one server, from this gateway and from others.

use crate::types::Millis;

/// A report counts in full for this long.
const REPORT_FRESH_MS: u64 = 600;
/// From here on a report no longer counts: its gateway may be gone.
const REPORT_GONE_MS: u64 = 3_000;
/// Gateways whose reports are kept for one server. Bounds memory.
const MOST_REPORTERS: usize = 64;

#[derive(Debug, Clone, Copy)]
struct Reported {
    from: u64,
    in_flight: u32,
    waiting_tokens: u64,
    at: Millis,
}

/// Requests and tokens on one server.
#[derive(Debug, Default)]
pub(crate) struct Load {
    in_flight: u32,
    waiting_tokens: u64,
    memory_tokens: u64,
    others: Vec<Reported>,
}

impl Load {
    /// A request was sent.
    pub(crate) fn sent(&mut self, fresh_tokens: u64, memory_tokens: u64) {
        self.in_flight += 1;
        self.waiting_tokens += fresh_tokens;
        self.memory_tokens += memory_tokens;
    }

    /// Its prompt is read.
    pub(crate) fn read(&mut self, fresh_tokens: u64) {
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

    /// Requests of the other gateways, as far as their reports still hold.
    pub(crate) fn others_in_flight(&self, now: Millis) -> f64 {
        self.others.iter().map(|report| report.weight(now) * f64::from(report.in_flight)).sum()
    }

    /// Requests of all gateways.
    pub(crate) fn in_flight(&self, now: Millis) -> f64 {
        f64::from(self.in_flight) + self.others_in_flight(now)
    }

    /// Tokens to be read for all gateways.
    pub(crate) fn waiting_tokens(&self, now: Millis) -> f64 {
        let others: f64 =
            self.others.iter().map(|report| report.weight(now) * report.waiting_tokens as f64).sum();
        self.waiting_tokens as f64 + others
    }

    /// Takes a gateway's report in place of its last one.
    pub(crate) fn report(&mut self, from: u64, in_flight: u32, waiting_tokens: u64, now: Millis) {
        self.forget(from);
        if in_flight == 0 && waiting_tokens == 0 {
            return;
        }
        if self.others.len() >= MOST_REPORTERS {
            self.others.retain(|report| report.weight(now) > 0.0);
        }
        if self.others.len() < MOST_REPORTERS {
            self.others.push(Reported { from, in_flight, waiting_tokens, at: now });
        }
    }

    /// Drops a gateway's last report.
    pub(crate) fn forget(&mut self, from: u64) {
        self.others.retain(|report| report.from != from);
    }
}

impl Reported {
    fn weight(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at);
        if age <= REPORT_FRESH_MS {
            return 1.0;
        }
        let left = REPORT_GONE_MS.saturating_sub(age);
        left as f64 / (REPORT_GONE_MS - REPORT_FRESH_MS) as f64
    }
}
