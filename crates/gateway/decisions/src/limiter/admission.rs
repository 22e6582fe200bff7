//! Admission: whether an invocation is sent now, held or rejected.

use super::counter_stake::WithoutCounter;
use super::queue::QueueEntry;
use super::tuning::{EWMA_WEIGHT, MAX_QUEUE_TIME, OVERLOAD_SHARE};
use super::Limiter;
use crate::types::{Decision, Effect, Invocation, Stage, ThrottleCause, TokenScope};

/// Rounding error in units that is tolerated when a lease is compared with an invocation.
const LEASE_ROUNDING: f64 = 1e-6;

/// Result of taking units for an invocation.
enum Units {
    Taken,
    /// No units were taken; the decision tells what to do with the invocation.
    NotTaken(Decision),
}

impl Limiter {
    /// Decides where to send a new or held invocation, or to hold it, throttle it or end it.
    pub fn place(&mut self, invocation: &mut Invocation, now: f64) -> Decision {
        match invocation.stage {
            Stage::InFlight => return Decision::Hold,
            Stage::Done => return Decision::Done,
            Stage::New | Stage::AwaitingCounter | Stage::Queued => {}
        }
        let index = self.account_of(invocation, now);
        if invocation.stage == Stage::New {
            self.record_demand(index, invocation, now);
        }
        if now >= self.latest_start(invocation) {
            return self.throttle(
                invocation,
                ThrottleCause::WaitedTooLong,
                self.latency_target,
                now,
            );
        }
        // If the queue is too long to be served in time, the invocation is rejected before it takes quota.
        if invocation.stage == Stage::New {
            let ahead = self.queue_position(invocation, QueueEntry::FirstAttempt) as f64;
            let queue_time = ahead * self.fleet_latency / self.total_concurrency.max(1.0);
            if queue_time > MAX_QUEUE_TIME {
                let pause = queue_time * self.operations[invocation.operation].latency_target;
                return self.throttle(invocation, ThrottleCause::QueueTooLong, pause, now);
            }
        }
        // Over the rate limit, neither a lease nor a server is sought.
        let over_limit = self.rate_limit_wait(index, invocation, now);
        if let (Some(pause), false) = (over_limit, self.accounts[index].short_windows) {
            return self.throttle(invocation, ThrottleCause::RateLimit, pause, now);
        }
        if !invocation.has_units && !invocation.is_beyond_quota {
            if let Units::NotTaken(decision) = self.take_units(index, invocation, now) {
                return decision;
            }
            invocation.has_units = true;
        }
        if invocation.stage != Stage::Queued {
            invocation.stage = Stage::Queued;
            if self.enqueue(invocation, QueueEntry::FirstAttempt) > 0 {
                return Decision::Hold;
            }
        }
        match self.choose_server(invocation, now) {
            Some(server) => self.send(invocation, server, now),
            None => Decision::Hold,
        }
    }

    fn record_demand(&mut self, index: usize, invocation: &Invocation, now: f64) {
        let account = &mut self.accounts[index];
        let span = self.plans[invocation.plan].span;
        let decay = (-(now - account.demand_at) / span).exp();
        account.demand = account.demand * decay + invocation.units;
        account.demand_at = now;
    }

    /// Takes the invocation's units from the lease, and renews the lease if its units do not cover the invocation.
    fn take_units(&mut self, index: usize, invocation: &mut Invocation, now: f64) -> Units {
        let account = &self.accounts[index];
        let plan = &self.plans[invocation.plan];
        // The plan's limit on attempts in flight is divided evenly over the gateways, at least one for each.
        let max_in_flight = (plan.max_in_flight / account.gateways).floor().max(1.0);
        if plan.max_in_flight > 0.0 && account.in_flight >= max_in_flight {
            let target = self.latency_target;
            return Units::NotTaken(self.beyond_quota(
                invocation,
                ThrottleCause::InFlightLimit,
                target,
                now,
            ));
        }
        if plan.rate <= 0.0 {
            return Units::Taken;
        }
        let covered =
            now < account.lease_expires_at && account.lease + LEASE_ROUNDING >= invocation.units;
        if covered {
            // Units leased in a short window already lie within the rate limit.
            invocation.drew_rate_limit = account.short_windows;
        } else if let Units::NotTaken(decision) = self.renew_lease(index, invocation, now) {
            return Units::NotTaken(decision);
        }
        self.accounts[index].lease -= invocation.units;
        Units::Taken
    }

    /// Requests a lease from the counter, or decides without the counter: takes from the local share or rejects.
    fn renew_lease(&mut self, index: usize, invocation: &mut Invocation, now: f64) -> Units {
        let account = &mut self.accounts[index];
        let plan = &self.plans[invocation.plan];
        if account.add_pending {
            if !account.waiting.contains(&invocation.id) {
                account.waiting.push(invocation.id);
            }
            invocation.stage = Stage::AwaitingCounter;
            return Units::NotTaken(Decision::Hold);
        }
        let room = plan.burst - account.backlog_now(plan, now);
        if account.backlog_at > 0.0 && room < invocation.units {
            let pause = (invocation.units - room) / plan.rate;
            return Units::NotTaken(self.beyond_quota(
                invocation,
                ThrottleCause::Quota,
                pause,
                now,
            ));
        }
        // While the counter is busy, it is called first for invocations whose wrong decision would cost most.
        let over_limit = self.accounts[index].short_windows
            && self.rate_limit_wait(index, invocation, now).is_some();
        let without_counter = if !over_limit && self.local_share_covers(index, invocation, now) {
            WithoutCounter::Admit
        } else {
            WithoutCounter::Reject
        };
        let stake = self.stake(index, invocation, without_counter, now);
        // Invocations whose counter call failed are decided without the counter: another call would add to its load.
        let recently_failed = now - self.accounts[index].add_failed_at < self.counter_timeout;
        if !recently_failed
            && self.has_counter
            && self.counter_price.admits(stake, self.rng.f64(), now)
        {
            self.request_lease(index, invocation, now);
            self.accounts[index].waiting.push(invocation.id);
            invocation.stage = Stage::AwaitingCounter;
            return Units::NotTaken(Decision::Hold);
        }
        match without_counter {
            WithoutCounter::Admit => {
                self.admit_without_counter(index, invocation.units, now);
                Units::Taken
            }
            WithoutCounter::Reject => {
                let pause = self.max_retry_after;
                Units::NotTaken(self.beyond_quota(
                    invocation,
                    ThrottleCause::CounterNotCalled,
                    pause,
                    now,
                ))
            }
        }
    }

    /// Throttles an invocation beyond the quota, or sends it where the plan earns more than it costs and servers are
    /// idle.
    fn beyond_quota(
        &mut self,
        invocation: &mut Invocation,
        cause: ThrottleCause,
        pause: f64,
        now: f64,
    ) -> Decision {
        let servers_idle = self.queue.is_empty() && self.overload_share < OVERLOAD_SHARE / 2.0;
        if self.plans[invocation.plan].beyond_quota_pays && servers_idle {
            invocation.is_beyond_quota = true;
            if let Some(server) = self.choose_server(invocation, now) {
                return self.send(invocation, server, now);
            }
        }
        self.throttle(invocation, cause, pause, now)
    }

    /// Ends an invocation without a server's response: throttles it where a repeat is harmless, else returns an error.
    pub(super) fn throttle(
        &mut self,
        invocation: &mut Invocation,
        cause: ThrottleCause,
        pause: f64,
        now: f64,
    ) -> Decision {
        let unsent = invocation.has_units && invocation.attempts.is_empty();
        if cause == ThrottleCause::QueueTooLong || (unsent && invocation.stage == Stage::Queued) {
            self.unserved_share += EWMA_WEIGHT * (1.0 - self.unserved_share);
        }
        if unsent {
            self.return_units(invocation, now);
        }
        let never_ran = invocation.first_possible_run.is_none() && invocation.in_flight == 0;
        let decision = if never_ran || self.repeat_is_harmless(invocation) {
            Decision::Throttle {
                pause: pause.max(0.0).min(self.max_retry_after),
                cause,
            }
        } else {
            Decision::Error
        };
        self.finish(invocation, decision)
    }

    /// Returns the units of an invocation that was never sent to the lease, or to the local share if the lease has
    /// expired or belongs to another short window.
    fn return_units(&mut self, invocation: &Invocation, now: f64) {
        let Some(&index) = self.by_customer.get(&invocation.customer) else {
            return;
        };
        let account = &mut self.accounts[index];
        let window_starts = account.lease_expires_at - account.window_length;
        let same_window = invocation.drew_rate_limit && invocation.arrived_at >= window_starts;
        let lease_lasts = now < account.lease_expires_at && (same_window || !account.short_windows);
        if lease_lasts {
            account.lease += invocation.units;
        } else {
            account.local_units += invocation.units;
        }
    }

    fn repeat_is_harmless(&self, invocation: &Invocation) -> bool {
        matches!(
            self.operations[invocation.operation].effect,
            Effect::Idempotent
                | Effect::Tokened {
                    scope: TokenScope::All,
                    ..
                }
        )
    }

    /// Removes an invocation from the queue and marks it as done; returns the decision unchanged.
    pub(super) fn finish(&mut self, invocation: &mut Invocation, decision: Decision) -> Decision {
        if invocation.stage == Stage::Queued {
            // Guards against a queue that stalls with no attempt in flight: each departure wakes the head of the queue.
            self.queue.retain(|&(_, id)| id != invocation.id);
            self.place_queue_head();
        }
        invocation.stage = Stage::Done;
        decision
    }

    /// Ends an invocation whose client disconnected or that the owner lost.
    pub fn disconnected(&mut self, invocation: &mut Invocation) {
        self.finish(invocation, Decision::Done);
    }

    /// Seconds until the attempt in flight is abandoned, or until a held invocation is placed again.
    #[must_use]
    pub fn wait_time(&self, invocation: &Invocation, now: f64) -> f64 {
        match invocation.stage {
            Stage::InFlight => (invocation.attempt_deadline - now).max(0.0),
            _ => {
                let left = (self.latest_start(invocation) - now).max(0.0);
                (self.latency_target * EWMA_WEIGHT).min(left)
            }
        }
    }
}
