//! The load on one endpoint: requests and tokens of this gateway and of its peers.
//!
//! A peer's last report is its load at one moment. The last report decides whether slots are taken. Time estimates use
//! a smoothed load instead, because the requests of one report are finished when the next one arrives.

use crate::types::Millis;

/// Age up to which a report has its full weight.
const REPORT_FRESH_MS: u64 = 600;
/// Age from which a report has no weight, because its gateway may have departed.
const REPORT_EXPIRED_MS: u64 = 3_000;
/// EWMA gain of the smoothed load of a peer.
const REPORT_SMOOTHING: f64 = 0.4;
/// A smoothed number of requests in flight up to this counts as zero.
const NEGLIGIBLE_IN_FLIGHT: f64 = 0.01;
/// Maximum number of gateways whose reports are stored for one endpoint. Bounds memory.
const MAX_REPORTERS: usize = 64;

/// The load on one endpoint. The fields other than `peers` are of this gateway's requests.
#[derive(Debug, Default)]
pub(crate) struct EndpointLoad {
    in_flight: u32,
    prefill_tokens: u64,
    kv_tokens: u64,
    /// This gateway's requests without a first event.
    awaiting_response: u32,
    /// When the endpoint last responded to a request, or got a request while none awaited a response.
    stalled_since: Millis,
    peers: Vec<PeerReport>,
}

/// The load of another gateway on the endpoint.
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
    /// Records that a request was dispatched.
    pub(crate) fn record_dispatch(&mut self, uncached_tokens: u64, kv_tokens: u64, now: Millis) {
        if self.awaiting_response == 0 {
            self.stalled_since = now;
        }
        self.awaiting_response += 1;
        self.in_flight += 1;
        self.prefill_tokens += uncached_tokens;
        self.kv_tokens += kv_tokens;
    }

    /// Records the endpoint's first response to a request: the first event, an error, or a rejection.
    pub(crate) fn record_response(&mut self, uncached_tokens: u64, now: Millis) {
        self.stalled_since = now;
        self.stop_waiting(uncached_tokens);
    }

    /// Records that a request awaits no response any more.
    pub(crate) fn stop_waiting(&mut self, uncached_tokens: u64) {
        self.awaiting_response = self.awaiting_response.saturating_sub(1);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(uncached_tokens);
    }

    /// Records that a request is no longer in flight.
    pub(crate) fn release(&mut self, kv_tokens: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.kv_tokens = self.kv_tokens.saturating_sub(kv_tokens);
    }

    /// This gateway's requests in flight.
    pub(crate) fn own_in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Tokens still to be prefilled for this gateway's requests.
    pub(crate) fn own_prefill_tokens(&self) -> u64 {
        self.prefill_tokens
    }

    /// KV cache tokens occupied by this gateway's requests.
    pub(crate) fn own_kv_tokens(&self) -> u64 {
        self.kv_tokens
    }

    /// Time for which the endpoint has responded to none of this gateway's requests; 0 if none awaits a response.
    pub(crate) fn stalled_ms(&self, now: Millis) -> u64 {
        if self.awaiting_response == 0 {
            return 0;
        }
        now.saturating_sub(self.stalled_since)
    }

    /// Requests in flight of all gateways, by the last reports of the peers.
    pub(crate) fn in_flight(&self, now: Millis) -> f64 {
        f64::from(self.in_flight) + self.sum_of_peers(now, |report| f64::from(report.in_flight))
    }

    /// Smoothed number of the peers' requests in flight.
    pub(crate) fn peers_smoothed_in_flight(&self, now: Millis) -> f64 {
        self.sum_of_peers(now, |report| report.smoothed_in_flight)
    }

    /// This gateway's requests in flight plus the smoothed number of its peers' requests.
    pub(crate) fn smoothed_in_flight(&self, now: Millis) -> f64 {
        f64::from(self.in_flight) + self.peers_smoothed_in_flight(now)
    }

    /// Tokens still to be prefilled for this gateway plus the smoothed number of its peers' tokens.
    pub(crate) fn smoothed_prefill_tokens(&self, now: Millis) -> f64 {
        self.prefill_tokens as f64 + self.sum_of_peers(now, |report| report.smoothed_prefill_tokens)
    }

    /// Replaces the last report of another gateway.
    pub(crate) fn apply_peer_report(
        &mut self,
        gateway: u64,
        in_flight: u32,
        prefill_tokens: u64,
        now: Millis,
    ) {
        let known = self.peers.iter_mut().find(|peer| peer.gateway == gateway);
        if let Some(known) = known {
            known.update(in_flight, prefill_tokens, now);
        } else if in_flight > 0 || prefill_tokens > 0 {
            self.add_peer(PeerReport {
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

    fn add_peer(&mut self, report: PeerReport) {
        if self.peers.len() < MAX_REPORTERS {
            self.peers.push(report);
        }
    }

    /// Sums a value of the peers' reports, weighted by their age.
    fn sum_of_peers(&self, now: Millis, value: impl Fn(&PeerReport) -> f64) -> f64 {
        self.peers
            .iter()
            .map(|report| report.weight(now) * value(report))
            .sum()
    }
}

impl PeerReport {
    fn update(&mut self, in_flight: u32, prefill_tokens: u64, now: Millis) {
        self.received_at = now;
        self.in_flight = in_flight;
        self.smoothed_in_flight +=
            REPORT_SMOOTHING * (f64::from(in_flight) - self.smoothed_in_flight);
        self.smoothed_prefill_tokens +=
            REPORT_SMOOTHING * (prefill_tokens as f64 - self.smoothed_prefill_tokens);
    }

    /// Weight of the report at its age, from 0 to 1.
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
