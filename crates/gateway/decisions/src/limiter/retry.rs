//! What follows an attempt: completion, a retry or an error.

use super::queue::QueueEntry;
use super::tuning::{EVEN_CHANCE, HEALTHY_LATENCY, MAX_QUEUE_TIME, MAX_RETRIES, OVERLOAD_SHARE};
use super::Limiter;
use crate::types::{AttemptResult, Decision, Effect, Invocation, Outcome, Stage, ThrottleCause};

impl Limiter {
    /// Records the end of an attempt and decides what to do with the invocation.
    pub fn attempt_ended(
        &mut self,
        invocation: &mut Invocation,
        outcome: &Outcome,
        now: f64,
    ) -> Decision {
        let Some(&(server, sent_at)) = invocation.attempts.get(outcome.attempt) else {
            return Decision::Done;
        };
        invocation.in_flight = invocation.in_flight.saturating_sub(1);
        self.record_outcome(server, invocation, outcome, sent_at, now);
        self.place_queue_head();
        let is_earliest = invocation
            .first_possible_run
            .is_none_or(|first| outcome.attempt < first);
        if !outcome.result.never_ran() && is_earliest {
            invocation.first_possible_run = Some(outcome.attempt);
        }
        self.update_account(invocation, outcome);
        if outcome.answered || invocation.stage == Stage::Done {
            return self.finish(invocation, Decision::Done);
        }
        if invocation.in_flight > 0 {
            return Decision::Hold;
        }
        if outcome.result != AttemptResult::NotSent && self.may_retry(invocation, now) {
            return self.retry(invocation, now);
        }
        if invocation.first_possible_run.is_none() {
            return self.throttle(
                invocation,
                ThrottleCause::NotAccepted,
                self.latency_target,
                now,
            );
        }
        self.finish(invocation, Decision::Error)
    }

    /// Updates the customer's account with the usage that the outcome reports.
    fn update_account(&mut self, invocation: &Invocation, outcome: &Outcome) {
        let Some(&index) = self.by_customer.get(&invocation.customer) else {
            return;
        };
        let account = &mut self.accounts[index];
        account.in_flight = (account.in_flight - 1.0).max(0.0);
        let rate = self.plans[invocation.plan].rate;
        let over_rate = outcome
            .usage
            .is_some_and(|usage| usage * rate > rate + invocation.units);
        // A metered usage well above the rate shows, without the counter, that the limiters admit too much.
        if over_rate {
            account.local_units = 0.0;
            account.below_rate = false;
            account.room_likelihood *= EVEN_CHANCE;
        }
        if let (Some(units), true) = (outcome.settled_units, invocation.has_units) {
            account.unreported += units - invocation.units;
        }
    }

    /// Whether a retry is allowed, can still earn something, and does not add to an overload.
    fn may_retry(&self, invocation: &Invocation, now: f64) -> bool {
        invocation.attempts.len() < self.max_attempts.min(MAX_RETRIES + 1)
            && self.overload_share < OVERLOAD_SHARE
            && now < self.latest_start(invocation)
            && self.resendable(invocation, now)
    }

    fn retry(&mut self, invocation: &mut Invocation, now: f64) -> Decision {
        invocation.stage = Stage::Queued;
        if let Some(server) = self.choose_server(invocation, now) {
            return self.send(invocation, server, now);
        }
        self.enqueue(invocation, QueueEntry::Retry);
        Decision::Hold
    }

    /// Whether another attempt is allowed now without the risk that the invocation takes effect twice.
    #[must_use]
    pub fn resendable(&self, invocation: &Invocation, now: f64) -> bool {
        let Some(first_possible_run) = invocation.first_possible_run else {
            return true;
        };
        match self.operations[invocation.operation].effect {
            Effect::Idempotent => true,
            Effect::Tokened { window, .. } => {
                let sent_at = invocation.attempts[first_possible_run].1;
                now < sent_at + window - self.response_slack
            }
            Effect::NonIdempotent => false,
        }
    }

    /// Latest time at which an attempt can start and still be answered in time.
    pub(super) fn latest_start(&self, invocation: &Invocation) -> f64 {
        let operation = &self.operations[invocation.operation];
        let target_ends = if operation.pays_late {
            f64::INFINITY
        } else {
            invocation.arrived_at + operation.latency_target
        };
        let work = self.fleet_latency.min(HEALTHY_LATENCY) * operation.latency_target / 2.0;
        let latest = invocation.client_deadline.min(target_ends) - work;
        if !invocation.attempts.is_empty() {
            return latest;
        }
        // Guards against a counter time-out above the queue time that a short latency target allows: the time-out is
        // always waited for.
        let max_wait = (MAX_QUEUE_TIME * operation.latency_target).max(self.counter_timeout);
        latest.min(invocation.arrived_at + max_wait)
    }
}
