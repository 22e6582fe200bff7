//! Construction of a limiter from its settings.

use super::tuning::{COUNTER_WINDOW, EVEN_CHANCE, HEALTHY_LATENCY, MIN_WINDOW_BURST};
use super::Limiter;
use crate::counter_price::CounterPrice;
use crate::rate_limit::RateLimit;
use crate::state::{Operation, Plan};
use crate::types::{Action, PlanSettings, Settings};

/// Least span of a plan and least latency target, seconds.
const MIN_SECONDS: f64 = 1e-3;

fn plan_of(settings: &PlanSettings, has_counter: bool) -> Plan {
    let has_rate = settings.rate > 0.0;
    let span = if has_rate {
        (settings.burst / settings.rate).max(MIN_SECONDS)
    } else {
        COUNTER_WINDOW
    };
    let limit_above_quota =
        settings.hard_rate > settings.rate && settings.hard_burst > settings.burst;
    Plan {
        rate: settings.rate,
        burst: settings.burst,
        max_in_flight: settings.max_in_flight,
        span,
        rate_limit: RateLimit {
            rate: settings.hard_rate,
            burst: settings.hard_burst,
            quota_rate: settings.rate,
            quota_burst: settings.burst,
        },
        allows_short_windows: has_counter
            && has_rate
            && settings.burst >= MIN_WINDOW_BURST
            && limit_above_quota,
        had_room: [1.0 - EVEN_CHANCE * EVEN_CHANCE, EVEN_CHANCE],
        price: settings.price,
        excess_cost: (settings.beyond_quota_cost - settings.beyond_quota_earnings).max(0.0),
        beyond_quota_pays: settings.beyond_quota_earnings > settings.beyond_quota_cost,
        local_share_factor: (2.0 - settings.beyond_quota_cost).clamp(1.0, 2.0),
    }
}

/// Average earnings of an invocation over all operations and plans.
fn mean_earnings(operations: &[Operation], plans: &[Plan]) -> f64 {
    let earnings = operations
        .iter()
        .flat_map(|operation| plans.iter().map(|plan| operation.billed_value * plan.price));
    earnings.sum::<f64>() / (operations.len() * plans.len()).max(1) as f64
}

impl Limiter {
    /// A limiter that starts now, without customers and servers.
    #[must_use]
    pub fn new(settings: &Settings, now: f64) -> Self {
        let operations: Vec<Operation> = settings.operations.iter().map(Operation::from).collect();
        let plans: Vec<Plan> = settings
            .plans
            .iter()
            .map(|plan| plan_of(plan, settings.has_counter))
            .collect();
        let shortest_target = operations
            .iter()
            .map(|operation| operation.latency_target)
            .fold(f64::INFINITY, f64::min);
        let latency_target = if shortest_target.is_finite() {
            shortest_target.max(MIN_SECONDS)
        } else {
            1.0
        };
        let earnings = mean_earnings(&operations, &plans);
        let first_action = settings
            .endpoints_on_request
            .then_some(Action::WatchEndpoints);
        Limiter {
            plans,
            operations,
            fleet_size: settings.fleet_size.max(1),
            fleet_index: settings.fleet_index,
            zone: settings.zone,
            has_counter: settings.has_counter,
            counter_timeout: settings.counter_timeout,
            max_retry_after: settings.max_retry_after,
            max_attempts: settings.max_attempts.max(1) as usize,
            warm_up_from: settings.warm_up_from.clamp(0.01, 1.0),
            warm_up_time: settings.warm_up_time.max(MIN_SECONDS),
            slow_start_lead: (settings.overload_multiple / 2.0).clamp(1.0, 2.0),
            response_slack: settings.response_slack,
            endpoints_on_request: settings.endpoints_on_request,
            latency_target,
            started_at: now,
            rng: fastrand::Rng::with_seed(settings.seed),
            counter_price: CounterPrice::new(
                settings.counter_timeout,
                settings.call_price,
                earnings,
            ),
            health_decayed_at: now,
            small_limits_shrunk_at: now,
            fleet_latency: HEALTHY_LATENCY / 2.0,
            answered_latency: HEALTHY_LATENCY / 2.0,
            recent_sends_at: now,
            actions: first_action.into_iter().collect(),
            ..Limiter::default()
        }
    }

    /// Takes the next action for the owner to carry out, in order.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Number of customers with an account at this limiter.
    #[must_use]
    pub fn customers(&self) -> usize {
        self.by_customer.len()
    }
}
