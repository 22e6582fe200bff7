//! Windows of the shared counter: each customer has a counter name of its own for each window.

use super::tuning::{COUNTER_NAME_LIFETIME, LEASE_SPANS};
use super::Limiter;
use crate::rate_limit::whole_units_in;
use crate::state::{Account, PendingAdd, Plan};
use crate::types::{Action, AddContext};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash seed of a customer's phase.
const PHASE_SEED: u64 = 7;
/// 2 to the power of 53: scales the upper 53 bits of a hash, which a double represents exactly, to a fraction of 1.
const TWO_POW_53: f64 = 9007199254740992.0;

/// A hash that is the same at every gateway.
fn hash(value: u64, seed: u64) -> u64 {
    xxh3_64_with_seed(&value.to_le_bytes(), seed)
}

/// Offset of the customer's windows, from 0 to `length` seconds: windows are staggered over customers, so that leases
/// do not all expire together.
pub(super) fn phase(customer: u64, length: f64) -> f64 {
    (hash(customer, PHASE_SEED) >> 11) as f64 / TWO_POW_53 * length
}

/// Number of the account's window at this time.
pub(super) fn window_at(account: &Account, now: f64) -> i64 {
    let since_phase = now + phase(account.customer, account.window_length);
    (since_phase / account.window_length).floor() as i64
}

/// Start time of a window of the account.
pub(super) fn window_start(account: &Account, window: i64) -> f64 {
    window as f64 * account.window_length - phase(account.customer, account.window_length)
}

/// End and limit of one counter window at the time of the counter's reply.
pub(super) struct WindowBounds {
    pub ends: f64,
    /// Units that the rate has allowed since the window's start.
    pub allowed: f64,
    /// Units that may be leased beyond the allowed ones.
    pub max_units: f64,
}

impl WindowBounds {
    pub(super) fn new(
        account: &Account,
        plan: &Plan,
        window: i64,
        outage_ended: f64,
        now: f64,
    ) -> Self {
        let start = window_start(account, window);
        let ends = start + account.window_length;
        if !account.short_windows {
            return WindowBounds {
                ends,
                allowed: plan.rate * (now - start),
                max_units: plan.burst,
            };
        }
        // A short window counts only the units leased in it. After a customer recently filled a window, or limiters may
        // have used turns in an outage, a window allows no more than the quota's rate.
        let recently_full =
            now - account.window_full_at.max(outage_ended) < LEASE_SPANS * plan.span;
        let max_units = if recently_full {
            plan.rate * account.window_length
        } else {
            plan.rate_limit.window(account.gateways).max_units
        };
        WindowBounds {
            ends,
            allowed: 0.0,
            max_units: whole_units_in(max_units, window),
        }
    }
}

impl Limiter {
    /// Sends one add to the counter name of its window.
    pub(super) fn send_add(&mut self, call: PendingAdd) {
        let account = &self.accounts[call.account];
        let plan = &self.plans[account.plan];
        let (max_units, rate) = if account.short_windows {
            let window = plan.rate_limit.window(account.gateways);
            (whole_units_in(window.max_units, call.window), 0.0)
        } else {
            (plan.burst, plan.rate)
        };
        let context = AddContext {
            customer: account.customer,
            plan: account.plan,
            requested: call.requested,
            min_units: call.min_units,
            window_start: window_start(account, call.window),
            window_length: account.window_length,
            limit_rate: rate,
            limit: max_units,
        };
        let name = hash(account.customer, call.window as u64) >> 1;
        self.actions.push_back(Action::AddToCounter {
            name,
            add: call.add,
            lifetime: COUNTER_NAME_LIFETIME,
            context,
        });
        self.pending_adds.entry(name).or_default().push_back(call);
    }
}
