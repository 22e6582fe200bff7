//! The stake of a counter call: the expected cost of a wrong decision without the counter. The higher the stake, the
//! more likely the counter is called.

use super::tuning::MAX_LIKELIHOOD;
use super::Limiter;
use crate::types::Invocation;

/// Decision on an invocation if the counter is not called.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum WithoutCounter {
    /// Admit the invocation from the local share.
    Admit,
    /// Reject the invocation.
    Reject,
}

impl Limiter {
    /// Expected earnings of an invocation that is sent now: its earnings times the probability of a response in time.
    pub(super) fn expected_earnings(&self, invocation: &Invocation, now: f64) -> f64 {
        let operation = &self.operations[invocation.operation];
        let deadline = invocation
            .client_deadline
            .min(invocation.arrived_at + operation.latency_target);
        let time_left = deadline - now;
        let mean = (self.fleet_latency * operation.latency_target).max(1e-9);
        self.earnings(invocation) * (1.0 - (-time_left.max(0.0) / mean).exp())
    }

    fn earnings(&self, invocation: &Invocation) -> f64 {
        let billed_value = self.operations[invocation.operation].billed_value;
        billed_value * self.plans[invocation.plan].price * invocation.units
    }

    /// Expected cost of a wrong decision about this invocation. Also adds its earnings to the mean.
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
        // The customer's likelihood decays to its plan's over a span: otherwise the counter would never be called again
        // for a customer without room.
        let customer_likelihood = account.likelihood_of_room(plan, invocation.repeat);
        let plan_likelihood = plan.had_room[usize::from(invocation.repeat)];
        let freshness = (-(now - account.backlog_at) / plan.span).exp();
        let likelihood = (plan_likelihood + (customer_likelihood - plan_likelihood) * freshness)
            .min(MAX_LIKELIHOOD);
        // The value of a lease grows with the invocations it serves; near the limit of a customer with many gateways it
        // serves only one.
        let demand = if account.demand * account.gateways > plan.burst {
            0.0
        } else {
            account.demand
        };
        let invocations_served = (demand / invocation.units.max(1e-9)).max(1.0);
        let expected_loss = match without_counter {
            WithoutCounter::Admit => (1.0 - likelihood) * plan.excess_cost,
            WithoutCounter::Reject => likelihood,
        };
        earnings * invocations_served * expected_loss
    }
}
