//! What is in flight on one endpoint, from this gateway and from its peers.
//!
//! A peer's last report says what it had in flight at one moment. Whether slots are taken is judged by that report;
//! what a request would take is judged by a smoothed figure, as the peer's requests of that moment are finished when
//! its next report comes.

use crate::types::Millis;

/// A report counts in full for this long.
const REPORT_FRESH_MS: u64 = 600;
/// From this age on a report no longer counts: its gateway may have departed.
const REPORT_EXPIRED_MS: u64 = 3_000;
/// How far a new report moves the smoothed figures of its gateway.
const REPORT_SMOOTHING: f64 = 0.4;
/// Less than this in flight is none.
const NEGLIGIBLE_IN_FLIGHT: f64 = 0.01;
/// Gateways whose reports are stored for one endpoint. Bounds memory.
const MAX_REPORTERS: usize = 64;

/// Requests and tokens on one endpoint.
#[derive(Debug, Default)]
pub(crate) struct EndpointLoad {
    in_flight: u32,
    prefill_tokens: u64,
    kv_tokens: u64,
    /// This gateway's requests without a first event.
    awaiting_response: u32,
    /// When the endpoint last responded to a request, or got the first of those that wait.
    stalled_since: Millis,
    peers: Vec<PeerReport>,
}

/// What another gateway has on the endpoint.
#[derive(Debug, Clone, Copy)]
struct PeerReport {
    /// Hash of the gateway's name.
    gateway: u64,
    received_at: Millis,
    in_flight: u32,
    smoothed_in_flight: f64,
    smoothed_prefill_tokens: f64,
}

impl EndpointLoad {
    /// A request was dispatched.
    pub(crate) fn record_dispatch(&mut self, uncached_tokens: u64, kv_tokens: u64, now: Millis) {
        if self.awaiting_response == 0 {
            self.stalled_since = now;
        }
        self.awaiting_response += 1;
        self.in_flight += 1;
        self.prefill_tokens += uncached_tokens;
        self.kv_tokens += kv_tokens;
    }

    /// The endpoint responded to a request for the first time: its first event, an error, or a rejection.
    pub(crate) fn record_response(&mut self, uncached_tokens: u64, now: Millis) {
        self.stalled_since = now;
        self.stop_waiting(uncached_tokens);
    }

    /// A request is waited for no longer, though the endpoint did not respond.
    pub(crate) fn stop_waiting(&mut self, uncached_tokens: u64) {
        self.awaiting_response = self.awaiting_response.saturating_sub(1);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(uncached_tokens);
    }

    /// A request is finished.
    pub(crate) fn release(&mut self, kv_tokens: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.kv_tokens = self.kv_tokens.saturating_sub(kv_tokens);
    }

    /// This gateway's requests.
    pub(crate) fn own_in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Tokens to be prefilled for this gateway's requests.
    pub(crate) fn own_prefill_tokens(&self) -> u64 {
        self.prefill_tokens
    }

    /// KV cache tokens taken by this gateway's requests.
    pub(crate) fn own_kv_tokens(&self) -> u64 {
        self.kv_tokens
    }

    /// For how long the endpoint has responded to none of this gateway's requests, while there are any waiting.
    pub(crate) fn stalled_ms(&self, now: Millis) -> u64 {
        if self.awaiting_response == 0 {
            return 0;
        }
        now.saturating_sub(self.stalled_since)
    }

    /// Requests of all gateways, by the last reports.
    pub(crate) fn in_flight(&self, now: Millis) -> f64 {
        f64::from(self.in_flight) + self.sum_of_peers(now, |report| f64::from(report.in_flight))
    }

    /// Requests of the peers, smoothed.
    pub(crate) fn peers_smoothed_in_flight(&self, now: Millis) -> f64 {
        self.sum_of_peers(now, |report| report.smoothed_in_flight)
    }

    /// This gateway's requests and the smoothed figure of its peers.
    pub(crate) fn smoothed_in_flight(&self, now: Millis) -> f64 {
        f64::from(self.in_flight) + self.peers_smoothed_in_flight(now)
    }

    /// Tokens to be prefilled for this gateway, and the smoothed figure of its peers.
    pub(crate) fn smoothed_prefill_tokens(&self, now: Millis) -> f64 {
        self.prefill_tokens as f64 + self.sum_of_peers(now, |report| report.smoothed_prefill_tokens)
    }

    /// Takes a gateway's report in exchange for its last one.
    pub(crate) fn report(
        &mut self,
        gateway: u64,
        in_flight: u32,
        prefill_tokens: u64,
        now: Millis,
    ) {
        let known = self.peers.iter_mut().find(|peer| peer.gateway == gateway);
        if let Some(known) = known {
            known.renew(in_flight, prefill_tokens, now);
        } else if in_flight > 0 || prefill_tokens > 0 {
            self.add(PeerReport {
                gateway,
                received_at: now,
                in_flight,
                smoothed_in_flight: f64::from(in_flight),
                smoothed_prefill_tokens: prefill_tokens as f64,
            });
        }
        self.peers.retain(|peer| {
            peer.smoothed_in_flight > NEGLIGIBLE_IN_FLIGHT && peer.weight(now) > 0.0
        });
    }

    fn add(&mut self, report: PeerReport) {
        if self.peers.len() < MAX_REPORTERS {
            self.peers.push(report);
        }
    }

    fn sum_of_peers(&self, now: Millis, figure: impl Fn(&PeerReport) -> f64) -> f64 {
        self.peers
            .iter()
            .map(|report| report.weight(now) * figure(report))
            .sum()
    }
}

impl PeerReport {
    fn renew(&mut self, in_flight: u32, prefill_tokens: u64, now: Millis) {
        self.received_at = now;
        self.in_flight = in_flight;
        self.smoothed_in_flight +=
            REPORT_SMOOTHING * (f64::from(in_flight) - self.smoothed_in_flight);
        self.smoothed_prefill_tokens +=
            REPORT_SMOOTHING * (prefill_tokens as f64 - self.smoothed_prefill_tokens);
    }

    /// How much the report still counts at its age, from 0 to 1.
    fn weight(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.received_at);
        if age <= REPORT_FRESH_MS {
            return 1.0;
        }
        let remaining = REPORT_EXPIRED_MS.saturating_sub(age);
        remaining as f64 / (REPORT_EXPIRED_MS - REPORT_FRESH_MS) as f64
    }
}

#[cfg(test)]
mod tests;
