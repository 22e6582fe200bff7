//! What is at stake with a call to the counter: the more a wrong guess would cost, the sooner it is asked.

use super::tuning::MAX_LIKELIHOOD;
use super::Limiter;
use crate::types::Invocation;

/// What a limiter would go by if it did not ask the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum WithoutCounter {
    /// It would admit the invocation from its local share.
    Admit,
    /// It would reject the invocation.
    Reject,
}

impl Limiter {
    /// What this invocation earns if it is sent now: its earnings times the chance of a response in time.
    pub(super) fn expected_earnings(&self, invocation: &Invocation, now: f64) -> f64 {
        let operation = &self.operations[invocation.operation];
        let deadline = invocation
            .client_deadline
            .min(invocation.arrived_at + operation.latency_target);
        let left = deadline - now;
        let mean = (self.fleet_latency * operation.latency_target).max(1e-9);
        self.earnings(invocation) * (1.0 - (-left.max(0.0) / mean).exp())
    }

    fn earnings(&self, invocation: &Invocation) -> f64 {
        let billed_value = self.operations[invocation.operation].billed_value;
        billed_value * self.plans[invocation.plan].price * invocation.units
    }

    /// What a wrong guess about this invocation costs on average. Takes its earnings into the mean on the way.
    pub(super) fn stake(
        &mut self,
        index: usize,
        invocation: &Invocation,
        without_counter: WithoutCounter,
        now: f64,
    ) -> f64 {
        let earnings = self.earnings(invocation);
        self.counter_price.add_earnings(earnings);
        let account = &self.accounts[index];
        let plan = &self.plans[invocation.plan];
        // What was heard gives way to what is usual over a span: else a customer without room is never asked about again.
        let heard = account.likelihood_of_room(plan, invocation.repeat);
        let usual = plan.had_room[usize::from(invocation.repeat)];
        let freshness = (-(now - account.backlog_at) / plan.span).exp();
        let likelihood = (usual + (heard - usual) * freshness).min(MAX_LIKELIHOOD);
        // A lease that serves many is worth more than one that serves one, as near the limit of a long set.
        let demand = if account.demand * account.gateways > plan.burst {
            0.0
        } else {
            account.demand
        };
        let invocations_served = (demand / invocation.units.max(1e-9)).max(1.0);
        let wrong_guess = match without_counter {
            WithoutCounter::Admit => (1.0 - likelihood) * plan.excess_cost,
            WithoutCounter::Reject => likelihood,
        };
        earnings * invocations_served * wrong_guess
    }
}
