//! The local share of a quota, from which a limiter admits while the counter is silent or too expensive to call.

use super::tuning::LEASE_SPANS;
use super::Limiter;
use crate::types::Invocation;

/// Rounding error in units that is tolerated when units are compared.
const ROUNDING: f64 = 1e-9;

impl Limiter {
    /// Whether the local share covers the invocation. The share is an even part of the quota, multiplied where
    /// exceeding the quota costs little. If a customer has so many gateways that no share covers one invocation, one is
    /// admitted in each span if it earns more than it risks. Units admitted here are reported to the counter later.
    pub(super) fn local_share_covers(
        &mut self,
        index: usize,
        invocation: &Invocation,
        now: f64,
    ) -> bool {
        let expected = self.expected_earnings(invocation, now);
        let account = &mut self.accounts[index];
        let plan = &self.plans[account.plan];
        // A customer below its rate may be spread unevenly over its gateways: it gets the whole quota here.
        let share = if account.below_rate {
            1.0
        } else {
            (plan.local_share_factor / account.gateways).min(1.0)
        };
        let since = now - account.local_units_at;
        if since > plan.span {
            let room = plan.burst - account.backlog_now(plan, now);
            let likelihood = account.likelihood_of_room(plan, invocation.repeat);
            // Where servers are scarce, an admitted invocation displaces another one.
            let gains = expected * (likelihood - (1.0 - likelihood) * plan.excess_cost);
            let admission_pays = gains > self.unserved_share * self.counter_price.mean_earnings();
            let min_units = if admission_pays {
                invocation.units.min(room)
            } else {
                0.0
            };
            account.local_units = (room * share).max(min_units);
        } else {
            let max_units = (plan.burst * share).max(invocation.units);
            account.local_units = (account.local_units + since * plan.rate * share).min(max_units);
        }
        account.local_units_at = now;
        account.local_units + ROUNDING >= invocation.units
    }

    /// Takes units from the local share as a lease that has yet to be reported to the counter.
    pub(super) fn admit_without_counter(&mut self, index: usize, units: f64, now: f64) {
        let account = &mut self.accounts[index];
        let plan = &self.plans[account.plan];
        account.local_units -= units;
        account.unreported = (account.take_unreported(plan, now) + units).min(plan.burst);
        account.lease = units;
        account.lease_expires_at = now + LEASE_SPANS * plan.span;
    }
}
