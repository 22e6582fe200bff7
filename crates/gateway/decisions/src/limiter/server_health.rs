//! Server health, learned from the outcomes of attempts: response times, failures, concurrency limits and outlier
//! ejection.

use super::tuning::{
    EJECTION_FAILURES, EWMA_WEIGHT, GROWTH_LATENCY, HEALTHY_LATENCY, HEALTH_DECAY_TARGETS,
    INITIAL_CONCURRENCY, TIMEOUT_MEANS,
};
use super::Limiter;
use crate::types::{AttemptResult, Invocation, Outcome};

/// Factor by which a concurrency limit is reduced.
const SHRINK_FACTOR: f64 = 0.8;
/// Upper bound of one latency sample, as a multiple of the latency target.
const MAX_LATENCY: f64 = 2.0;

/// Evaluation of one attempt's outcome.
struct Sample {
    /// Duration as a share of the latency target.
    latency: f64,
    succeeded: bool,
    timed_out: bool,
    /// Whether the response was probably lost: then the duration does not reflect load.
    lost: bool,
    /// Whether the duration reflects load.
    reflects_load: bool,
    /// Whether the attempt was late or rejected as overload.
    late: bool,
}

/// Weight of a sample in a running mean; 0 if it does not count.
fn weight(counts: bool) -> f64 {
    if counts {
        EWMA_WEIGHT / 2.0
    } else {
        0.0
    }
}

/// 1 if the condition holds, otherwise 0.
fn one_if(condition: bool) -> f64 {
    f64::from(u8::from(condition))
}

impl Limiter {
    /// Decays the figures of all servers over a few latency targets: high latencies to the fleet's, failures to 0, and
    /// low concurrency limits to the initial one. Guards against stale figures: a slow or failing server gets too few
    /// attempts to show that it has recovered. A server that stays unhealthy costs one attempt now and then.
    pub(super) fn decay_health(&mut self, now: f64) {
        let step = 1.0
            - ((self.health_decayed_at - now) / (HEALTH_DECAY_TARGETS * self.latency_target)).exp();
        self.health_decayed_at = now;
        let initial = INITIAL_CONCURRENCY / f64::from(self.fleet_size);
        let servers = &mut self.servers;
        for index in 0..servers.is_live.len() {
            let latency = &mut servers.latency[index];
            *latency += (self.fleet_latency - *latency).min(0.0) * step;
            servers.failures[index] -= servers.failures[index] * step;
            let concurrency = &mut servers.concurrency[index];
            *concurrency += (initial - *concurrency).max(0.0) * step;
        }
    }

    /// Records one outcome in the figures of its server and of the fleet.
    pub(super) fn record_outcome(
        &mut self,
        server: usize,
        invocation: &Invocation,
        outcome: &Outcome,
        sent_at: f64,
        now: f64,
    ) {
        let in_flight = &mut self.servers.in_flight[server];
        *in_flight = (*in_flight - 1.0).max(0.0);
        if matches!(
            outcome.result,
            AttemptResult::NotSent | AttemptResult::Cancelled
        ) {
            return;
        }
        let sample = self.evaluate(invocation, outcome);
        self.learn_lost_responses(invocation, &sample);
        if !matches!(
            outcome.result,
            AttemptResult::Timeout | AttemptResult::ConnectFailed
        ) {
            self.servers.silent_since[server] = now;
        }
        let fleet_failures = self.fleet_failures;
        self.learn_failures(server, &sample);
        self.learn_latency(server, &sample);
        if sample.succeeded {
            self.end_ejection(server, now);
        }
        self.adapt_concurrency(server, &sample, sent_at, now);
        self.eject_if_failing(server, &sample, fleet_failures, now);
    }

    fn evaluate(&self, invocation: &Invocation, outcome: &Outcome) -> Sample {
        let target = self.operations[invocation.operation].latency_target;
        let latency = (outcome.duration / target).min(MAX_LATENCY);
        let succeeded = outcome.result == AttemptResult::Succeeded;
        let timed_out = outcome.result == AttemptResult::Timeout;
        // Guards against lost responses: while the mean response time is low, an attempt that takes several times as
        // long does not reflect load. A client that gives up before that does.
        let lost =
            self.answered_latency < 0.75 * GROWTH_LATENCY && latency > 3.0 * self.answered_latency;
        let reflects_load = succeeded || (timed_out && !lost);
        let late = outcome.result == AttemptResult::Overloaded
            || (reflects_load && latency > 1.5 * HEALTHY_LATENCY);
        Sample {
            latency,
            succeeded,
            timed_out,
            lost,
            reflects_load,
            late,
        }
    }

    /// Learns the share of slow attempts that never get a response. If most attempts longer than half the time-out
    /// never end, responses are being lost and the time-out is halved. Only attempts awaited until the client's
    /// deadline count, so that an abandoned attempt does not justify abandoning more.
    fn learn_lost_responses(&mut self, invocation: &Invocation, sample: &Sample) {
        let awaited_to_deadline = invocation.attempt_deadline >= invocation.client_deadline;
        let is_conclusive = sample.succeeded || (sample.timed_out && awaited_to_deadline);
        if sample.latency > TIMEOUT_MEANS / 2.0 * self.fleet_latency && is_conclusive {
            self.lost_response_share +=
                EWMA_WEIGHT * (one_if(sample.timed_out) - self.lost_response_share);
        }
    }

    /// Updates the failure shares. A rejection counts as a failure: a server that rejects quickly would otherwise
    /// attract more and more attempts.
    fn learn_failures(&mut self, server: usize, sample: &Sample) {
        let failed = one_if(!sample.succeeded);
        self.fleet_failures += EWMA_WEIGHT / 4.0 * (failed - self.fleet_failures);
        let failures = &mut self.servers.failures[server];
        *failures += 2.0 * EWMA_WEIGHT * (failed - *failures);
        if *failures < EJECTION_FAILURES {
            self.overload_share += EWMA_WEIGHT / 2.0 * (one_if(sample.late) - self.overload_share);
        }
    }

    fn learn_latency(&mut self, server: usize, sample: &Sample) {
        let latency = &mut self.servers.latency[server];
        let ended = sample.succeeded || sample.timed_out;
        *latency += 2.0 * weight(ended) * (sample.latency - *latency);
        self.fleet_latency += weight(sample.reflects_load) * (sample.latency - self.fleet_latency);
        self.answered_latency +=
            weight(sample.succeeded) * (sample.latency - self.answered_latency);
    }

    /// Ends an ejection after a success. The server counts as half warm: it may have restarted and be warming up before
    /// discovery reports it.
    fn end_ejection(&mut self, server: usize, now: f64) {
        let servers = &mut self.servers;
        servers.ejection_time[server] = 0.0;
        if servers.on_probation[server] {
            servers.on_probation[server] = false;
            servers.failures[server] = EJECTION_FAILURES / 2.0;
            servers.concurrency[server] = INITIAL_CONCURRENCY / f64::from(self.fleet_size);
            let half_warm = now - self.warm_up_time / 2.0;
            servers.warming_since[server] = servers.warming_since[server].max(half_warm);
        }
    }

    /// Adapts a server's concurrency limit. Guards against servers that slow down under too many attempts in flight and
    /// stay slow. While responses are quick and the limit is in use, the limits of all limiters together grow by one
    /// per round of successes, so a fresh server's limit doubles quickly. The limit shrinks only for an attempt sent
    /// since the last reduction. A server whose work is slow by nature gets a lower limit.
    fn adapt_concurrency(&mut self, server: usize, sample: &Sample, sent_at: f64, now: f64) {
        if self.servers.concurrency[server] < 1.0 {
            self.adapt_small_limits(sample, sent_at, now);
            return;
        }
        let fleet = f64::from(self.fleet_size);
        let servers = &mut self.servers;
        let concurrency = &mut servers.concurrency[server];
        let slow = servers.latency[server] > GROWTH_LATENCY;
        let in_use = servers.in_flight[server] + 2.0 > *concurrency || !self.queue.is_empty();
        if sample.late || (sample.lost && !sample.succeeded) || slow {
            if sent_at > servers.shrunk_at[server] {
                servers.shrunk_at[server] = now;
                *concurrency = (*concurrency * SHRINK_FACTOR).max(1.0 / fleet);
            }
        } else if sample.succeeded && in_use {
            *concurrency += 1.0 / (fleet * *concurrency);
        }
    }

    /// Adapts all concurrency limits below one together. Guards against figures based on a handful of responses: where
    /// many limiters share a server, the responses of one server are too few to adapt its limit alone. An attempt
    /// abandoned by the client or the gateway counts as slow, as its server may still work on it.
    fn adapt_small_limits(&mut self, sample: &Sample, sent_at: f64, now: f64) {
        let fleet = f64::from(self.fleet_size);
        let all_in_flight = self.servers.in_flight.iter().sum::<f64>();
        let in_use = all_in_flight + 2.0 > self.total_concurrency || !self.queue.is_empty();
        let abandoned = sample.reflects_load && !sample.succeeded;
        let mut scale = 1.0;
        if sample.late || abandoned || self.fleet_latency > HEALTHY_LATENCY {
            if sent_at > self.small_limits_shrunk_at {
                scale = SHRINK_FACTOR;
                self.small_limits_shrunk_at = now;
            }
        } else if sample.succeeded && in_use && self.fleet_latency < 1.5 * GROWTH_LATENCY {
            let total_squared = self.total_concurrency * self.total_concurrency;
            scale += self.servers.is_live.len() as f64 / fleet / total_squared.max(1.0);
        }
        for concurrency in &mut self.servers.concurrency {
            if *concurrency < 1.0 {
                *concurrency = (*concurrency * scale).max(1.0 / fleet);
            }
        }
    }

    /// Ejects a server that fails far more often than the fleet; an error that many servers return is not one server's
    /// fault. Covers crashes, hangs, partitions and quick errors, but can also eject a healthy server by chance.
    fn eject_if_failing(&mut self, server: usize, sample: &Sample, fleet_failures: f64, now: f64) {
        let servers = &mut self.servers;
        let failures = servers.failures[server];
        let is_outlier = failures > EJECTION_FAILURES && failures > 2.0 * fleet_failures;
        if sample.succeeded || !(servers.on_probation[server] || is_outlier) {
            return;
        }
        let ejection_time = &mut servers.ejection_time[server];
        *ejection_time =
            (*ejection_time * 2.0).clamp(2.0 * self.latency_target, self.warm_up_time / 2.0);
        let jitter = 0.75 + self.rng.f64() / 2.0;
        servers.ejected_until[server] = now + *ejection_time * jitter;
        servers.on_probation[server] = true;
    }

    /// Applies the fleet's verdict on a server: an unhealthy server is ejected for `pause` seconds; the ejection of a
    /// healthy one is shortened to `pause`.
    pub fn fleet_verdict(&mut self, server: usize, unhealthy: bool, pause: f64, now: f64) {
        let servers = &mut self.servers;
        if unhealthy || servers.ejected_until[server] > now + pause {
            servers.ejected_until[server] = now + pause;
            servers.on_probation[server] = true;
        }
    }
}
