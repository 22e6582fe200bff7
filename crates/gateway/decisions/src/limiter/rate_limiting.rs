//! This limiter's share of the customers' rate limits.

use super::counter_window::phase;
use super::Limiter;
use crate::types::Invocation;

impl Limiter {
    /// The time until this limiter's share of the rate limit covers the invocation, or `None` if it does now. Each
    /// limiter draws on its own share, so that no counter fault, restart or uneven distribution exceeds the limit. A
    /// new limiter's share is empty: an earlier process may have used up the rest.
    pub(super) fn rate_limit_wait(
        &mut self,
        index: usize,
        invocation: &Invocation,
        now: f64,
    ) -> Option<f64> {
        let account = &mut self.accounts[index];
        let limit = &self.plans[account.plan].rate_limit;
        if invocation.drew_rate_limit || limit.rate <= 0.0 {
            return None;
        }
        let share = limit.share(account.gateways, account.short_windows);
        // Where no share covers a unit, the limiters admit in turns while the counter is silent.
        if account.short_windows && share.burst <= 0.0 {
            let first = invocation.first_gateway % self.fleet_size;
            let rank = (self.fleet_index + self.fleet_size - first) % self.fleet_size;
            let customer_phase = phase(account.customer, account.gateways / limit.rate);
            let turn = limit.turn(account.gateways, f64::from(rank), customer_phase, now);
            let silent_since = self.counter_price.outage_since().unwrap_or(now);
            account.next_turn = turn.filter(|turn| *turn > silent_since.max(account.used_turn));
            let no_turn = account.next_turn.is_none() || invocation.units > 1.0;
            return no_turn.then_some(self.max_retry_after);
        }
        let earned = share.rate * (now - account.rate_limit_at);
        account.rate_limit_units = (account.rate_limit_units + earned).min(share.burst);
        account.rate_limit_at = now;
        let missing = invocation.units - account.rate_limit_units;
        (account.rate_limit_units < invocation.units).then(|| missing / share.rate)
    }

    /// Charges an invocation that is sent to the rate limit, or uses up the turn.
    pub(super) fn draw_rate_limit(&mut self, index: usize, invocation: &mut Invocation) {
        if invocation.drew_rate_limit {
            return;
        }
        let account = &mut self.accounts[index];
        account.rate_limit_units -= invocation.units;
        account.used_turn = account.next_turn.take().unwrap_or(account.used_turn);
        invocation.drew_rate_limit = true;
    }
}
