//! State of a limiter: operations, plans, customer accounts, pending counter calls and servers. The logic is in the
//! modules of [`crate::limiter`]. Times are seconds on the owner's clock.

use crate::counter_price::CounterPrice;
use crate::rate_limit::RateLimit;
use crate::types::{Action, Effect, OperationSettings};
use std::collections::{HashMap, VecDeque};

/// One operation of the API, as configured.
pub(crate) struct Operation {
    pub effect: Effect,
    /// The latency target, seconds.
    pub latency_target: f64,
    pub billed_value: f64,
    /// Whether a response after the latency target still earns something.
    pub pays_late: bool,
}

impl From<&OperationSettings> for Operation {
    fn from(settings: &OperationSettings) -> Self {
        Operation {
            effect: settings.effect,
            latency_target: settings.latency_target.min(settings.integration_timeout),
            billed_value: settings.billed_value,
            pays_late: settings.late_share > 0.0,
        }
    }
}

/// One plan that customers subscribe to: its quota, rate limit and prices.
pub(crate) struct Plan {
    /// The quota, units per second.
    pub rate: f64,
    /// Maximum number of unused quota units that accumulate.
    pub burst: f64,
    /// Maximum number of attempts in flight at once; 0 when unlimited.
    pub max_in_flight: f64,
    /// Time in which the rate fills the burst: the unit of lease lifetimes and of the measurement of demand.
    pub span: f64,
    pub rate_limit: RateLimit,
    /// Whether leases may be counted in short windows.
    pub allows_short_windows: bool,
    /// Whether an invocation beyond the quota earns more than it costs.
    pub beyond_quota_pays: bool,
    /// Recent share of customers whose quota had room at the first counter reply about them; the first element is for
    /// first requests, the second for repeats.
    pub had_room: [f64; 2],
    /// Earnings of an invocation as a multiple of its operation's billed value.
    pub price: f64,
    /// Net cost of an invocation beyond the quota, as a share of an invocation's earnings.
    pub excess_cost: f64,
    /// Multiplies the local share while the counter is silent; larger where exceeding the quota costs less.
    pub local_share_factor: f64,
}

/// State of one customer at this limiter.
#[derive(Default)]
pub(crate) struct Account {
    pub customer: u64,
    pub plan: usize,
    /// Number of gateways that serve this customer.
    pub gateways: f64,
    /// Units requested recently, decayed over the plan's span.
    pub demand: f64,
    /// Time at which `demand` was last updated.
    pub demand_at: f64,
    /// Units left of the lease.
    pub lease: f64,
    pub lease_expires_at: f64,
    /// Units by which the counter's total exceeded the rate's allowance at the last reply.
    pub backlog: f64,
    /// Time of the last reply with a total; 0 if there was none.
    pub backlog_at: f64,
    /// Number of the counter window from which the lease was granted.
    pub window: i64,
    /// Units to report with the next add: admitted without a lease, or left from a correction that was refused.
    pub unreported: f64,
    /// Time at which `unreported` was last updated.
    pub unreported_at: f64,
    /// Whether the counter's last reply showed a usage below the rate.
    pub below_rate: bool,
    /// Estimated probability that the customer has room, learned from the counter's replies.
    pub room_likelihood: f64,
    pub add_pending: bool,
    pub add_failed_at: f64,
    /// Invocations that wait for the pending add.
    pub waiting: Vec<u64>,
    /// Units left of the local share, which replaces leases while the counter is silent.
    pub local_units: f64,
    /// Time at which `local_units` was last updated.
    pub local_units_at: f64,
    /// Whether leases are counted in short windows of `window_length`.
    pub short_windows: bool,
    pub window_length: f64,
    /// Time at which a window last had no room.
    pub window_full_at: f64,
    /// Units left of this limiter's share of the rate limit.
    pub rate_limit_units: f64,
    pub rate_limit_at: f64,
    /// Time of the turn that may be used now; see [`RateLimit::turn`].
    pub next_turn: Option<f64>,
    /// Time of the last turn that was used.
    pub used_turn: f64,
    /// Attempts in flight.
    pub in_flight: f64,
}

/// An add that waits for the counter's reply. A correction has no `requested` units; its `min_units` is the expected
/// total.
pub(crate) struct PendingAdd {
    pub account: usize,
    pub add: f64,
    /// Units requested for the lease.
    pub requested: f64,
    /// Fewest units that cover one invocation.
    pub min_units: f64,
    /// Backlog carried over into a new window.
    pub carried: f64,
    /// Units admitted without a lease that this add reports.
    pub reported: f64,
    /// Units of the previous lease that this add returns.
    pub returned: f64,
    pub window: i64,
    pub repeat: bool,
}

/// State of the servers, each field indexed by server.
#[derive(Default)]
pub(crate) struct Servers {
    pub is_live: Vec<bool>,
    pub zone: Vec<usize>,
    pub cell: Vec<u64>,
    pub warming_since: Vec<f64>,
    pub started_at: Vec<f64>,
    /// Attempts of this limiter in flight.
    pub in_flight: Vec<f64>,
    /// Limit on this limiter's attempts in flight; below one where many limiters share a server.
    pub concurrency: Vec<f64>,
    /// Time at which the concurrency limit was last reduced.
    pub shrunk_at: Vec<f64>,
    /// Recent response time as a share of the latency target.
    pub latency: Vec<f64>,
    /// Recent share of attempts that failed.
    pub failures: Vec<f64>,
    /// Time since which attempts have been in flight without any response.
    pub silent_since: Vec<f64>,
    pub sent_at: Vec<f64>,
    pub ejected_until: Vec<f64>,
    /// Duration of the last ejection, seconds.
    pub ejection_time: Vec<f64>,
    /// Set from an ejection until an attempt succeeds.
    pub on_probation: Vec<bool>,
    /// Slow start: no attempt is sent before this time.
    pub paced_until: Vec<f64>,
}

impl Servers {
    /// Appends servers that are not live until this index exists.
    pub fn grow_to(&mut self, index: usize, concurrency: f64, latency: f64) {
        while self.is_live.len() <= index {
            self.is_live.push(false);
            self.zone.push(0);
            self.cell.push(0);
            self.warming_since.push(f64::NEG_INFINITY);
            self.started_at.push(0.0);
            self.in_flight.push(0.0);
            self.concurrency.push(concurrency);
            self.shrunk_at.push(f64::NEG_INFINITY);
            self.latency.push(latency);
            self.failures.push(0.0);
            self.silent_since.push(0.0);
            self.sent_at.push(0.0);
            self.ejected_until.push(0.0);
            self.ejection_time.push(0.0);
            self.on_probation.push(false);
            self.paced_until.push(0.0);
        }
    }
}

/// The limiter of one gateway: decides on the gateway's invocations and returns actions for its owner.
///
/// Exchanges plain values with its owner; see [`crate::types`]. It is driven by one caller at a time.
#[derive(Default)]
pub struct Limiter {
    pub(crate) operations: Vec<Operation>,
    pub(crate) plans: Vec<Plan>,
    /// Number of limiters in the fleet.
    pub(crate) fleet_size: u32,
    /// Index of this limiter in the fleet.
    pub(crate) fleet_index: u32,
    pub(crate) zone: usize,
    pub(crate) has_counter: bool,
    pub(crate) counter_timeout: f64,
    /// Longest `Retry-After` that clients honour.
    pub(crate) max_retry_after: f64,
    pub(crate) max_attempts: usize,
    /// A server starts with this share of its capacity and reaches all of it after `warm_up_time`.
    pub(crate) warm_up_from: f64,
    pub(crate) warm_up_time: f64,
    /// Factor by which a warming server gets more than its present share of the load.
    pub(crate) slow_start_lead: f64,
    /// Safety margin before the end of a token's window within which no repeat is sent.
    pub(crate) response_slack: f64,
    pub(crate) endpoints_on_request: bool,
    /// The shortest latency target of all operations: the time scale of the health figures.
    pub(crate) latency_target: f64,
    pub(crate) started_at: f64,
    pub(crate) rng: fastrand::Rng,
    pub(crate) servers: Servers,
    pub(crate) by_customer: HashMap<u64, usize>,
    pub(crate) accounts: Vec<Account>,
    /// Index of the account that the search for idle accounts looked at last.
    pub(crate) eviction_cursor: usize,
    /// Adds that wait for a reply, by counter name, oldest first.
    pub(crate) pending_adds: HashMap<u64, VecDeque<PendingAdd>>,
    pub(crate) counter_price: CounterPrice,
    /// Invocations that wait for a server, as billed value and number; the highest value first.
    pub(crate) queue: VecDeque<(f64, u64)>,
    /// Recent share of attempts that were late or rejected as overload.
    pub(crate) overload_share: f64,
    /// Recent share of invocations with units that got no server.
    pub(crate) unserved_share: f64,
    /// Recent share of failed attempts over all servers.
    pub(crate) fleet_failures: f64,
    /// Recent share of long-awaited attempts that never got a response.
    pub(crate) lost_response_share: f64,
    /// Time at which the health figures were last decayed.
    pub(crate) health_decayed_at: f64,
    /// Sum of the concurrency limits of the servers in use at the last choice of a server.
    pub(crate) total_concurrency: f64,
    /// Time at which concurrency limits below one were last reduced.
    pub(crate) small_limits_shrunk_at: f64,
    /// Recent duration of all servers' attempts as a share of the latency target. Time-outs count unless the response
    /// was probably lost.
    pub(crate) fleet_latency: f64,
    /// Recent duration of all servers' successful attempts as a share of the latency target.
    pub(crate) answered_latency: f64,
    /// Decayed number of recent sends to warm servers.
    pub(crate) recent_sends: f64,
    /// Time at which `recent_sends` was last updated.
    pub(crate) recent_sends_at: f64,
    pub(crate) actions: VecDeque<Action>,
}
