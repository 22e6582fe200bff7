//! What is in flight on one server, from this gateway and from others.

use crate::types::Millis;

/// A report counts in full for this long.
const REPORT_FRESH_MS: u64 = 600;
/// From here on a report no longer counts: its gateway may be gone.
const REPORT_GONE_MS: u64 = 3_000;
/// How far a new report moves what a gateway is taken to have in flight: a report is one moment's chance, while
/// it counts until the next.
const REPORT_GAIN: f64 = 0.4;
/// Less than this in flight is none.
const NEGLIGIBLE: f64 = 0.01;
/// Gateways whose reports are kept for one server. Bounds memory.
const MOST_REPORTERS: usize = 64;

#[derive(Debug, Clone, Copy)]
struct Reported {
    from: u64,
    in_flight: f64,
    waiting_tokens: f64,
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
        self.others.iter().map(|report| report.weight(now) * report.in_flight).sum()
    }

    /// Requests of all gateways.
    pub(crate) fn in_flight(&self, now: Millis) -> f64 {
        f64::from(self.in_flight) + self.others_in_flight(now)
    }

    /// Tokens to be read for all gateways.
    pub(crate) fn waiting_tokens(&self, now: Millis) -> f64 {
        let others: f64 = self.others.iter().map(|report| report.weight(now) * report.waiting_tokens).sum();
        self.waiting_tokens as f64 + others
    }

    /// Takes a gateway's report; what it reported before still counts for a part.
    pub(crate) fn report(&mut self, from: u64, in_flight: u32, waiting_tokens: u64, now: Millis) {
        let (in_flight, waiting_tokens) = (f64::from(in_flight), waiting_tokens as f64);
        if let Some(known) = self.others.iter_mut().find(|report| report.from == from) {
            known.blend(in_flight, waiting_tokens, now);
        } else if in_flight > 0.0 || waiting_tokens > 0.0 {
            self.add(Reported { from, in_flight, waiting_tokens, at: now });
        }
        self.others.retain(|report| report.in_flight > NEGLIGIBLE && report.weight(now) > 0.0);
    }

    fn add(&mut self, report: Reported) {
        if self.others.len() < MOST_REPORTERS {
            self.others.push(report);
        }
    }
}

impl Reported {
    fn blend(&mut self, in_flight: f64, waiting_tokens: f64, now: Millis) {
        self.in_flight += REPORT_GAIN * (in_flight - self.in_flight);
        self.waiting_tokens += REPORT_GAIN * (waiting_tokens - self.waiting_tokens);
        self.at = now;
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
