//! What outcomes tell of servers: response times, failures, concurrency limits and outlier ejection.

use super::tuning::{
    EJECTION_FAILURES, EWMA_WEIGHT, FADE_TARGETS, GROWTH_LATENCY, HEALTHY_LATENCY,
    INITIAL_CONCURRENCY, TIMEOUT_MEANS,
};
use super::Limiter;
use crate::types::{Ending, Invocation, Outcome};

/// What a concurrency limit is multiplied by when it shrinks.
const SHRINK_FACTOR: f64 = 0.8;
/// Multiple of the latency target that one reading counts as at most.
const MAX_LATENCY: f64 = 2.0;

/// One attempt's outcome, as it counts for the figures.
struct Reading {
    /// Time taken as a share of the latency target.
    latency: f64,
    succeeded: bool,
    timed_out: bool,
    /// The response was probably lost: its lateness says nothing of load.
    lost: bool,
    /// The time taken says something of load.
    timed: bool,
    /// Late, or rejected as overload.
    late: bool,
}

fn weight(counts: bool) -> f64 {
    if counts {
        EWMA_WEIGHT / 2.0
    } else {
        0.0
    }
}

fn as_share(counts: bool) -> f64 {
    f64::from(u8::from(counts))
}

impl Limiter {
    /// Guards against figures that outlive their cause: a server that was slow or failing gets too little to show that
    /// it recovered, so what is known of it fades to the fleet's over a few latency targets. A server that stays
    /// unhealthy costs one attempt now and then.
    pub(super) fn fade(&mut self, now: f64) {
        let step = 1.0 - ((self.faded_at - now) / (FADE_TARGETS * self.latency_target)).exp();
        self.faded_at = now;
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

    /// Takes one outcome into the figures of its server and of the fleet.
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
        if matches!(outcome.ending, Ending::Moot | Ending::Cancelled) {
            return;
        }
        let reading = self.read(invocation, outcome);
        self.learn_lost_responses(invocation, &reading);
        if !matches!(outcome.ending, Ending::Timeout | Ending::ConnectFailed) {
            self.servers.silent_since[server] = now;
        }
        let fleet_failures = self.fleet_failures;
        self.learn_failures(server, &reading);
        self.learn_latency(server, &reading);
        if reading.succeeded {
            self.end_ejection(server, now);
        }
        self.adapt_concurrency(server, &reading, sent_at, now);
        self.eject_if_failing(server, &reading, fleet_failures, now);
    }

    fn read(&self, invocation: &Invocation, outcome: &Outcome) -> Reading {
        let target = self.operations[invocation.operation].latency_target;
        let latency = (outcome.spent / target).min(MAX_LATENCY);
        let succeeded = outcome.ending == Ending::Succeeded;
        let timed_out = outcome.ending == Ending::Timeout;
        // Guards against responses that get lost: one awaited for several times a quick mean tells nothing of load.
        // Clients that give up before that do.
        let lost =
            self.answered_latency < 0.75 * GROWTH_LATENCY && latency > 3.0 * self.answered_latency;
        let timed = succeeded || (timed_out && !lost);
        let late = outcome.ending == Ending::Full || (timed && latency > 1.5 * HEALTHY_LATENCY);
        Reading {
            latency,
            succeeded,
            timed_out,
            lost,
            timed,
            late,
        }
    }

    /// Where most that outlast half of the time-out never end, responses are lost, and it is halved. Only those awaited
    /// to their end tell, so that what was abandoned is no proof that it was right to.
    fn learn_lost_responses(&mut self, invocation: &Invocation, reading: &Reading) {
        let awaited_to_the_end = invocation.attempt_deadline >= invocation.client_deadline;
        let tells = reading.succeeded || (reading.timed_out && awaited_to_the_end);
        if reading.latency > TIMEOUT_MEANS / 2.0 * self.fleet_latency && tells {
            self.unanswered += EWMA_WEIGHT * (as_share(reading.timed_out) - self.unanswered);
        }
    }

    /// A rejection counts as failed: a server that is quick to say no would draw ever more.
    fn learn_failures(&mut self, server: usize, reading: &Reading) {
        let failed = as_share(!reading.succeeded);
        self.fleet_failures += EWMA_WEIGHT / 4.0 * (failed - self.fleet_failures);
        let failures = &mut self.servers.failures[server];
        *failures += 2.0 * EWMA_WEIGHT * (failed - *failures);
        if *failures < EJECTION_FAILURES {
            self.overload += EWMA_WEIGHT / 2.0 * (as_share(reading.late) - self.overload);
        }
    }

    fn learn_latency(&mut self, server: usize, reading: &Reading) {
        let latency = &mut self.servers.latency[server];
        let ended = reading.succeeded || reading.timed_out;
        *latency += 2.0 * weight(ended) * (reading.latency - *latency);
        self.fleet_latency += weight(reading.timed) * (reading.latency - self.fleet_latency);
        self.answered_latency +=
            weight(reading.succeeded) * (reading.latency - self.answered_latency);
    }

    /// Trust returns slowly: the server may be back, warming up, before discovery says so.
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

    /// Guards against servers that slow down under what they have in flight, and stay slow: concurrency grows by one
    /// while the mean response is quick and all is in use, and shrinks once for what was sent since it last shrank. A
    /// fresh server's limit doubles as fast; one with slow work of its own gets less.
    fn adapt_concurrency(&mut self, server: usize, reading: &Reading, sent_at: f64, now: f64) {
        if self.servers.concurrency[server] < 1.0 {
            self.adapt_small_limits(reading, sent_at, now);
            return;
        }
        let fleet = f64::from(self.fleet_size);
        let servers = &mut self.servers;
        let concurrency = &mut servers.concurrency[server];
        let slow = servers.latency[server] > GROWTH_LATENCY;
        let in_use = servers.in_flight[server] + 2.0 > *concurrency || !self.queue.is_empty();
        if reading.late || (reading.lost && !reading.succeeded) || slow {
            if sent_at > servers.shrunk_at[server] {
                servers.shrunk_at[server] = now;
                *concurrency = (*concurrency * SHRINK_FACTOR).max(1.0 / fleet);
            }
        } else if reading.succeeded && in_use {
            *concurrency += 1.0 / (fleet * *concurrency);
        }
    }

    /// Guards against figures that rest on a handful of responses: where many limiters share a server and each has a
    /// limit under one there, one response speaks for all servers. An attempt that was abandoned, by whomever, was not
    /// quick, and its server may still work on it.
    fn adapt_small_limits(&mut self, reading: &Reading, sent_at: f64, now: f64) {
        let fleet = f64::from(self.fleet_size);
        let all_in_flight = self.servers.in_flight.iter().sum::<f64>();
        let in_use = all_in_flight + 2.0 > self.total_concurrency || !self.queue.is_empty();
        let abandoned = reading.timed && !reading.succeeded;
        let mut scale = 1.0;
        if reading.late || abandoned || self.fleet_latency > HEALTHY_LATENCY {
            if sent_at > self.small_limits_shrunk_at {
                scale = SHRINK_FACTOR;
                self.small_limits_shrunk_at = now;
            }
        } else if reading.succeeded && in_use && self.fleet_latency < 1.5 * GROWTH_LATENCY {
            let total_squared = self.total_concurrency * self.total_concurrency;
            scale += self.servers.is_live.len() as f64 / fleet / total_squared.max(1.0);
        }
        for concurrency in &mut self.servers.concurrency {
            if *concurrency < 1.0 {
                *concurrency = (*concurrency * scale).max(1.0 / fleet);
            }
        }
    }

    /// Ejected when it fails far more than the fleet; an error that many return is not one server's fault. Covers
    /// crashes, hangs, partitions and quick errors; hurts a server that had bad luck.
    fn eject_if_failing(
        &mut self,
        server: usize,
        reading: &Reading,
        fleet_failures: f64,
        now: f64,
    ) {
        let servers = &mut self.servers;
        let failures = servers.failures[server];
        let is_outlier = failures > EJECTION_FAILURES && failures > 2.0 * fleet_failures;
        if reading.succeeded || !(servers.on_probation[server] || is_outlier) {
            return;
        }
        let ejection_time = &mut servers.ejection_time[server];
        *ejection_time =
            (*ejection_time * 2.0).clamp(2.0 * self.latency_target, self.warm_up_time / 2.0);
        let jitter = 0.75 + self.rng.f64() / 2.0;
        servers.ejected_until[server] = now + *ejection_time * jitter;
        servers.on_probation[server] = true;
    }

    /// What the fleet saw of a server: an unhealthy one is ejected for so many seconds, one healthy again no longer.
    pub fn fleet_verdict(&mut self, server: usize, unhealthy: bool, pause: f64, now: f64) {
        let servers = &mut self.servers;
        if unhealthy || servers.ejected_until[server] > now + pause {
            servers.ejected_until[server] = now + pause;
            servers.on_probation[server] = true;
        }
    }
}
