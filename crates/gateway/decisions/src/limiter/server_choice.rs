//! The choice of a server for an attempt, and the bookkeeping of sends.

use super::tuning::{EWMA_WEIGHT, HEALTHY_LATENCY, MAX_RETRIES, OVERLOAD_SHARE, TIMEOUT_MEANS};
use super::Limiter;
use crate::types::{Decision, Effect, Invocation, Stage, ThrottleCause, TokenScope};

/// Cost of a server in another zone, as a multiple of one in the limiter's own zone.
const OTHER_ZONE_COST: f64 = 1.05;
/// Lower bound of a server's success rate in the calculation of its cost.
const MIN_SUCCESS: f64 = 0.05;
/// Lower bound of a server's latency, as a share of the latency target, in the calculation of its cost.
const MIN_LATENCY: f64 = 0.02;
/// Random part of a server's cost, so that gateways do not all choose the same server.
const JITTER: f64 = 0.1;
/// Ejections are ignored if fewer than one in this many live servers would stay in use.
const EJECTION_FLOOR_DIVISOR: usize = 4;

/// The pace of sends to a server in slow start.
pub(super) struct SlowStart {
    /// Seconds between two sends.
    pub interval: f64,
    /// Whether no server of the fleet is warm.
    pub none_warm: bool,
}

impl Limiter {
    /// The server with capacity and the lowest cost; servers that this invocation has not tried come first.
    pub(super) fn choose_server(&mut self, invocation: &Invocation, now: f64) -> Option<usize> {
        self.decay_health(now);
        let in_use = self.servers_in_use(now);
        let servers = &self.servers;
        // A server's concurrency limit may be below one where many limiters share it; then not all servers can be in
        // use at once.
        self.total_concurrency = in_use.iter().map(|&index| servers.concurrency[index]).sum();
        let in_flight: f64 = in_use.iter().map(|&index| servers.in_flight[index]).sum();
        if in_flight + 1.0 > self.total_concurrency.max(1.0) {
            return None;
        }
        let mut best: Option<((bool, f64), usize)> = None;
        for index in in_use {
            if !self.has_capacity(index, now) || !self.recognises_repeat(invocation, index) {
                continue;
            }
            let tried_before = invocation
                .attempts
                .iter()
                .any(|&(sent_to, _)| sent_to == index);
            let cost = (tried_before, self.cost(index));
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Live servers that are not ejected. Guards against a fault that makes the whole fleet look unhealthy: if more
    /// than three in four are ejected, all live servers are in use.
    fn servers_in_use(&self, now: f64) -> Vec<usize> {
        let servers = &self.servers;
        let mut in_use: Vec<usize> = (0..servers.is_live.len())
            .filter(|&index| servers.is_live[index])
            .collect();
        let ejected = in_use
            .iter()
            .filter(|&&index| servers.ejected_until[index] > now)
            .count();
        if (in_use.len() - ejected) * EJECTION_FLOOR_DIVISOR >= in_use.len() {
            in_use.retain(|&index| servers.ejected_until[index] <= now);
        }
        in_use
    }

    /// Relative expected response time of a server. A server whose ejection is over costs 0, so that it is probed with
    /// one attempt at once.
    fn cost(&mut self, index: usize) -> f64 {
        let servers = &self.servers;
        if servers.on_probation[index] {
            return 0.0;
        }
        let zone_cost = if servers.zone[index] == self.zone {
            1.0
        } else {
            OTHER_ZONE_COST
        };
        let success = (1.0 - servers.failures[index]).max(MIN_SUCCESS);
        let latency = servers.latency[index].max(MIN_LATENCY);
        let cost = (servers.in_flight[index] + 1.0) * latency * zone_cost / (success * success);
        cost * (1.0 + JITTER * self.rng.f64())
    }

    fn has_capacity(&self, index: usize, now: f64) -> bool {
        let servers = &self.servers;
        let in_flight = servers.in_flight[index];
        let limit = if servers.on_probation[index] {
            1.0
        } else {
            servers.concurrency[index].max(1.0).ceil()
        };
        if in_flight + 1.0 > limit || servers.paced_until[index] > now {
            return false;
        }
        // Guards against servers that accept attempts and never respond, before a time-out shows it: after half a
        // latency target without a response, a further attempt waits for another half target per attempt in flight. A
        // server that loses some attempts stays in use; one that hangs gets hardly any.
        let half_target = HEALTHY_LATENCY * self.latency_target;
        let silent_for = now - servers.silent_since[index];
        let sent_ago = now - servers.sent_at[index];
        in_flight <= 0.0
            || silent_for <= half_target
            || silent_for.min(sent_ago) > half_target * in_flight
    }

    /// Whether this server would recognise the token of an invocation that may have run on another server.
    fn recognises_repeat(&self, invocation: &Invocation, index: usize) -> bool {
        let Some(first_possible_run) = invocation.first_possible_run else {
            return true;
        };
        let ran_at = invocation.attempts[first_possible_run].0;
        let Effect::Tokened { scope, .. } = self.operations[invocation.operation].effect else {
            return true;
        };
        match scope {
            TokenScope::Zone => self.servers.zone[index] == self.servers.zone[ran_at],
            TokenScope::Cell => self.servers.cell[index] == self.servers.cell[ran_at],
            TokenScope::All => true,
        }
    }

    /// Sends an invocation to this server if the rules for repeats and the rate limit allow it.
    pub(super) fn send(
        &mut self,
        invocation: &mut Invocation,
        server: usize,
        now: f64,
    ) -> Decision {
        if !self.resendable(invocation, now) {
            return self.finish(invocation, Decision::Error);
        }
        let account = self.account_of(invocation, now);
        if let Some(pause) = self.rate_limit_wait(account, invocation, now) {
            return self.throttle(invocation, ThrottleCause::RateLimit, pause, now);
        }
        self.draw_rate_limit(account, invocation);
        self.accounts[account].in_flight += 1.0;
        if invocation.attempts.is_empty() {
            self.unserved_share -= EWMA_WEIGHT * self.unserved_share;
        }
        self.finish(invocation, Decision::Done);
        invocation.attempt_deadline = self.attempt_deadline(invocation, now);
        self.record_send(server, now);
        invocation.stage = Stage::InFlight;
        invocation.in_flight += 1;
        invocation.attempts.push((server, now));
        Decision::Send(server)
    }

    /// Time at which an attempt that starts now is abandoned. Leaves time for a retry where one could follow; otherwise
    /// the attempt has until the client's deadline.
    fn attempt_deadline(&self, invocation: &Invocation, now: f64) -> f64 {
        let operation = &self.operations[invocation.operation];
        let may_retry = self.overload_share < OVERLOAD_SHARE
            && invocation.attempts.len() < MAX_RETRIES
            && invocation.attempts.len() + 1 < self.max_attempts
            && operation.effect != Effect::NonIdempotent;
        let target_ends = invocation.arrived_at + operation.latency_target;
        let timeout_means = if self.lost_response_share > HEALTHY_LATENCY {
            TIMEOUT_MEANS / 2.0
        } else {
            TIMEOUT_MEANS
        };
        let half_of_time_left = (target_ends - now) * HEALTHY_LATENCY;
        let timeout =
            half_of_time_left.max(timeout_means * self.fleet_latency * operation.latency_target);
        if may_retry && now + timeout < target_ends {
            now + timeout
        } else {
            invocation.client_deadline
        }
    }

    /// Records a send in the figures of its server and of the fleet.
    fn record_send(&mut self, server: usize, now: f64) {
        let decay = (-(now - self.recent_sends_at) / (2.0 * self.latency_target)).exp();
        self.recent_sends *= decay;
        self.recent_sends_at = now;
        let servers = &mut self.servers;
        if servers.in_flight[server] <= 0.0 {
            servers.silent_since[server] = now;
        }
        servers.sent_at[server] = now;
        servers.in_flight[server] += 1.0;
        let is_warming = now - servers.warming_since[server] < self.warm_up_time;
        let slow_start = self.slow_start(server, now);
        if is_warming {
            self.servers.paced_until[server] = now + slow_start.interval;
        }
        if !is_warming || slow_start.none_warm {
            self.recent_sends += 1.0;
        }
    }

    /// Pace of sends to a server in slow start: its present share of its capacity, applied to a warm server's load,
    /// times a lead. If all limiters do the same and the warm servers are full, the server gets half of the load that
    /// would overload it.
    pub(super) fn slow_start(&self, server: usize, now: f64) -> SlowStart {
        let servers = &self.servers;
        let warm = (0..servers.is_live.len())
            .filter(|&index| servers.is_live[index])
            .filter(|&index| now - servers.warming_since[index] >= self.warm_up_time)
            .count();
        let warm_for = now - servers.warming_since[server];
        let capacity_share =
            self.warm_up_from + (1.0 - self.warm_up_from) * warm_for / self.warm_up_time;
        let sends_to_each = self.recent_sends / 2.0 / warm.max(1) as f64;
        let min_sends = 1.0 / f64::from(self.fleet_size);
        let rate = sends_to_each.max(min_sends) / self.latency_target;
        SlowStart {
            interval: 1.0 / (rate * capacity_share * self.slow_start_lead),
            none_warm: warm == 0,
        }
    }
}
