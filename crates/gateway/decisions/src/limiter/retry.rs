//! What follows an attempt: completion, a retry or an error.

use super::queue::QueueEntry;
use super::tuning::{EVEN_CHANCE, HEALTHY_LATENCY, MAX_QUEUE_TIME, MAX_RETRIES, OVERLOAD};
use super::Limiter;
use crate::types::{Answer, Cause, Effect, Ending, Invocation, Outcome, Stage};

impl Limiter {
    /// Records the end of an attempt and decides what to do with the invocation.
    pub fn after(&mut self, invocation: &mut Invocation, outcome: &Outcome, now: f64) -> Answer {
        let Some(&(server, sent_at)) = invocation.attempts.get(outcome.n) else {
            return Answer::Done;
        };
        invocation.in_flight = invocation.in_flight.saturating_sub(1);
        self.record_outcome(server, invocation, outcome, sent_at, now);
        self.place_queue_head();
        let first_that_ran = invocation
            .first_possible_run
            .is_none_or(|first| outcome.n < first);
        if !outcome.ending.never_ran() && first_that_ran {
            invocation.first_possible_run = Some(outcome.n);
        }
        self.settle_account(invocation, outcome);
        if outcome.done || invocation.stage == Stage::Done {
            return self.finish(invocation, Answer::Done);
        }
        if invocation.in_flight > 0 {
            return Answer::Hold;
        }
        if outcome.ending != Ending::Moot && self.may_retry(invocation, now) {
            return self.retry(invocation, now);
        }
        if invocation.first_possible_run.is_none() {
            return self.throttle(invocation, Cause::Undelivered, self.latency_target, now);
        }
        self.finish(invocation, Answer::Error)
    }

    /// Updates the customer's account with the usage that the outcome reports.
    fn settle_account(&mut self, invocation: &Invocation, outcome: &Outcome) {
        let Some(&index) = self.by_customer.get(&invocation.customer) else {
            return;
        };
        let account = &mut self.accounts[index];
        account.in_flight = (account.in_flight - 1.0).max(0.0);
        let rate = self.plans[invocation.plan].rate;
        let over_rate = outcome
            .used
            .is_some_and(|used| used * rate > rate + invocation.units);
        // A metered usage well above the rate shows, without the counter, that the limiters admit too much.
        if over_rate {
            account.local_units = 0.0;
            account.below_rate = false;
            account.room_likelihood *= EVEN_CHANCE;
        }
        if let (Some(units), true) = (outcome.settled, invocation.has_units) {
            account.unreported += units - invocation.units;
        }
    }

    /// Whether a retry is allowed, can still earn something, and does not add to an overload.
    fn may_retry(&self, invocation: &Invocation, now: f64) -> bool {
        invocation.attempts.len() < self.max_attempts.min(MAX_RETRIES + 1)
            && self.overload < OVERLOAD
            && now < self.latest_start(invocation)
            && self.resendable(invocation, now)
    }

    fn retry(&mut self, invocation: &mut Invocation, now: f64) -> Answer {
        invocation.stage = Stage::Queued;
        if let Some(server) = self.choose_server(invocation, now) {
            return self.send(invocation, server, now);
        }
        self.enqueue(invocation, QueueEntry::Retry);
        Answer::Hold
    }

    /// Whether another attempt is allowed now without the risk that the invocation takes effect twice.
    #[must_use]
    pub fn resendable(&self, invocation: &Invocation, now: f64) -> bool {
        let Some(first_that_ran) = invocation.first_possible_run else {
            return true;
        };
        match self.operations[invocation.operation].effect {
            Effect::Idempotent => true,
            Effect::Tokened { window, .. } => {
                let sent_at = invocation.attempts[first_that_ran].1;
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
        // The counter's time-out may exceed the queue time that a short latency target allows; it is always waited for.
        let max_wait = (MAX_QUEUE_TIME * operation.latency_target).max(self.counter_timeout);
        latest.min(invocation.arrived_at + max_wait)
    }
}
