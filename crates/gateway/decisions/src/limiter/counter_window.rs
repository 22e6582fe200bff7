//! Windows of the shared counter: each customer's units are counted under a name for each window.

use super::tuning::{COUNTER_NAME_LIFETIME, LEASE_SPANS};
use super::Limiter;
use crate::rate_limit::whole_units_in;
use crate::state::{Account, PendingAdd, Plan};
use crate::types::{About, Action};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed that keeps a customer's phase apart from the names of its windows.
const PHASE_SEED: u64 = 7;
/// 2 to the power of 53, one more than the largest integer that a double holds among all smaller ones.
const TWO_POW_53: f64 = 9007199254740992.0;

/// The same at every gateway.
fn mix(a: u64, b: u64) -> u64 {
    xxh3_64_with_seed(&a.to_le_bytes(), b)
}

/// Windows are staggered over customers, so that leases do not all end together: seconds from 0 to `length`.
pub(super) fn phase(customer: u64, length: f64) -> f64 {
    (mix(customer, PHASE_SEED) >> 11) as f64 / TWO_POW_53 * length
}

/// Number of the account's window at this time.
pub(super) fn window_at(account: &Account, now: f64) -> i64 {
    let since_phase = now + phase(account.customer, account.window_length);
    (since_phase / account.window_length).floor() as i64
}

/// When a window of the account starts.
pub(super) fn window_start(account: &Account, window: i64) -> f64 {
    window as f64 * account.window_length - phase(account.customer, account.window_length)
}

/// What one counter window holds, as it stands at the counter's answer.
pub(super) struct WindowBounds {
    pub ends: f64,
    /// Units that the rate has allowed since the window's start.
    pub allowed: f64,
    /// Units beyond these that may be leased.
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
        // A short window holds what was leased in it. One that lately filled a window, or used turns, gets no more
        // than its rate gives in one.
        let lately_full = now - account.window_full_at.max(outage_ended) < LEASE_SPANS * plan.span;
        let max_units = if lately_full {
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
    /// Sends one add to the name of its window.
    pub(super) fn send_add(&mut self, call: PendingAdd) {
        let account = &self.accounts[call.account];
        let plan = &self.plans[account.plan];
        let (max_units, rate) = if account.short_windows {
            let window = plan.rate_limit.window(account.gateways);
            (whole_units_in(window.max_units, call.window), 0.0)
        } else {
            (plan.burst, plan.rate)
        };
        let about = About {
            customer: account.customer,
            plan: account.plan,
            asked: call.requested,
            needs: call.min_units,
            start: window_start(account, call.window),
            length: account.window_length,
            rate,
            most: max_units,
        };
        let name = mix(account.customer, call.window as u64) >> 1;
        self.actions.push_back(Action::Count {
            name,
            add: call.add,
            life: COUNTER_NAME_LIFETIME,
            about,
        });
        self.pending_adds.entry(name).or_default().push_back(call);
    }
}
