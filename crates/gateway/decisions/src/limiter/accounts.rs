//! Customer accounts, opened with a customer's first invocation and closed when idle.

use super::tuning::{COUNTER_WINDOW, MIN_UNITS_PER_SHARE};
use super::Limiter;
use crate::state::{Account, Plan};
use crate::types::Invocation;

/// Accounts that are checked for idleness each time an account is opened.
const EVICTION_STEPS: usize = 2;

/// Whether the account has been idle for so long that its quota and its rate limit are full again.
fn is_idle(account: &Account, plan: &Plan, now: f64) -> bool {
    let limit_refill = if plan.rate_limit.rate > 0.0 {
        plan.rate_limit.burst / plan.rate_limit.rate
    } else {
        0.0
    };
    let idle_after = COUNTER_WINDOW.max(2.0 * plan.span).max(2.0 * limit_refill);
    now - account.demand_at > idle_after
        && !account.add_pending
        && account.waiting.is_empty()
        && account.in_flight <= 0.0
}

impl Limiter {
    /// Index of the customer's account, opened if there is none. An opening reuses the entry of an idle account if it
    /// finds one, so that accounts of customers seen once do not accumulate.
    pub(super) fn account_of(&mut self, invocation: &Invocation, now: f64) -> usize {
        if let Some(&index) = self.by_customer.get(&invocation.customer) {
            return index;
        }
        let account = self.new_account(invocation, now);
        for _ in 0..EVICTION_STEPS.min(self.accounts.len()) {
            self.eviction_cursor = (self.eviction_cursor + 1) % self.accounts.len();
            let index = self.eviction_cursor;
            let candidate = &self.accounts[index];
            if is_idle(candidate, &self.plans[candidate.plan], now) {
                self.by_customer.remove(&candidate.customer);
                self.by_customer.insert(invocation.customer, index);
                self.accounts[index] = account;
                return index;
            }
        }
        let index = self.accounts.len();
        self.accounts.push(account);
        self.by_customer.insert(invocation.customer, index);
        index
    }

    fn new_account(&self, invocation: &Invocation, now: f64) -> Account {
        let plan = &self.plans[invocation.plan];
        let gateways = f64::from(invocation.gateways.clamp(1, self.fleet_size));
        // With so many gateways that no share of the burst covers a unit, a lease serves one invocation. Taking back
        // the units of a refused add would cost another call; in a short window they expire with it.
        let lease_serves_one = self.has_counter
            && plan.rate_limit.rate <= 0.0
            && plan.rate > 0.0
            && plan.burst < gateways;
        // Where a share of the rate limit is too small, short windows bound the leases even if the counter loses data.
        let share_too_small =
            plan.allows_short_windows && plan.rate_limit.burst < MIN_UNITS_PER_SHARE * gateways;
        let short_windows = lease_serves_one || share_too_small;
        let share = plan.rate_limit.share(gateways, short_windows);
        let window_length = if short_windows {
            plan.rate_limit.window(gateways).length
        } else {
            COUNTER_WINDOW
        };
        Account {
            customer: invocation.customer,
            plan: invocation.plan,
            gateways,
            demand_at: now,
            window: i64::MIN,
            unreported_at: now,
            local_units_at: f64::NEG_INFINITY,
            add_failed_at: f64::NEG_INFINITY,
            used_turn: f64::NEG_INFINITY,
            short_windows,
            window_length,
            window_full_at: f64::NEG_INFINITY,
            rate_limit_units: (share.rate * (now - self.started_at)).min(share.burst),
            rate_limit_at: now,
            ..Account::default()
        }
    }
}
