//! What a limiter keeps about operations, plans, customers, counter calls and servers: data only. The modules of
//! [`crate::limiter`] decide what becomes of it. Times are seconds on the owner's clock.

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
    /// A response after the latency target still earns something.
    pub pays_late: bool,
}

impl From<&OperationSettings> for Operation {
    fn from(settings: &OperationSettings) -> Self {
        Operation {
            effect: settings.effect,
            latency_target: settings.objective.min(settings.integration_timeout),
            billed_value: settings.billed_value,
            pays_late: settings.late_share > 0.0,
        }
    }
}

/// One plan that customers subscribe to: its quota, rate limit and prices.
pub(crate) struct Plan {
    /// The quota: units a second, and the most that may be saved up.
    pub rate: f64,
    pub burst: f64,
    /// Most attempts in flight at once; 0 where there is no such limit.
    pub max_in_flight: f64,
    /// Lifetime of a lease, and the span over which demand is measured.
    pub span: f64,
    pub rate_limit: RateLimit,
    /// Leases may be counted in short windows.
    pub allows_short_windows: bool,
    /// An invocation beyond the quota earns more than it costs.
    pub beyond_pays: bool,
    /// Recent share of customers with room, of those first met and asked about; the clients' repeats apart.
    pub had_room: [f64; 2],
    /// What one invocation earns, as a multiple of its operation's billed value.
    pub price: f64,
    /// The part of that which an invocation beyond the quota costs.
    pub excess_cost: f64,
    /// How far the local share opens while the counter is silent: the cheaper an excess, the wider.
    pub local_share_factor: f64,
}

/// What this limiter knows of one customer.
#[derive(Default)]
pub(crate) struct Account {
    pub customer: u64,
    pub plan: usize,
    /// Number of gateways that this customer's invocations come through.
    pub gateways: f64,
    /// Units wanted lately, decayed over the plan's span, and when that was last brought up to date.
    pub demand: f64,
    pub demand_at: f64,
    /// Units left of the lease.
    pub lease: f64,
    pub lease_expires_at: f64,
    /// Units that the counter stood above what the rate allows, when it last answered.
    pub backlog: f64,
    pub backlog_at: f64,
    /// Number of the counter window that the lease came from.
    pub window: i64,
    /// Units to report with the next add: admitted without a lease, or a correction that was refused.
    pub unreported: f64,
    pub unreported_at: f64,
    /// The counter's last answer showed less use than the rate.
    pub below_rate: bool,
    /// How likely the customer has room, by the counter's answers.
    pub room_likelihood: f64,
    pub add_pending: bool,
    pub add_failed_at: f64,
    /// Invocations that wait for the pending add.
    pub waiting: Vec<u64>,
    /// Units of the local share that stands in for a silent counter.
    pub local_units: f64,
    pub local_units_at: f64,
    /// Leases are counted in short windows, of `window_length`.
    pub short_windows: bool,
    pub window_length: f64,
    /// When a window last had no room.
    pub window_full_at: f64,
    /// Units left of this limiter's share of the rate limit.
    pub rate_limit_units: f64,
    pub rate_limit_at: f64,
    /// The turn that may be used now, and the last one used.
    pub next_turn: Option<f64>,
    pub used_turn: f64,
    /// Attempts in flight.
    pub in_flight: f64,
}

/// One add that waits for the counter's answer. A correction requests nothing and expects `min_units` as the total.
pub(crate) struct PendingAdd {
    pub account: usize,
    pub add: f64,
    /// Units requested for the lease.
    pub requested: f64,
    /// Fewer units would serve nobody.
    pub min_units: f64,
    /// Backlog carried over into a new window.
    pub carried: f64,
    /// Units reported that were admitted without a lease.
    pub reported: f64,
    /// Units returned from the previous lease.
    pub returned: f64,
    pub window: i64,
    pub repeat: bool,
}

/// Figures about servers, by dense index.
#[derive(Default)]
pub(crate) struct Servers {
    pub is_live: Vec<bool>,
    pub zone: Vec<usize>,
    pub cell: Vec<u64>,
    pub warming_since: Vec<f64>,
    pub started_at: Vec<f64>,
    /// Attempts of this limiter in flight.
    pub in_flight: Vec<f64>,
    /// Attempts that this limiter may have in flight; below one where many limiters share a server.
    pub concurrency: Vec<f64>,
    /// When the concurrency last shrank.
    pub shrunk_at: Vec<f64>,
    /// Recent response time as a share of the latency target.
    pub latency: Vec<f64>,
    /// Recent share of attempts that failed.
    pub failures: Vec<f64>,
    /// Earliest time since which attempts are in flight without a response of any kind.
    pub silent_since: Vec<f64>,
    pub sent_at: Vec<f64>,
    pub ejected_until: Vec<f64>,
    /// Length of the last ejection.
    pub ejection_time: Vec<f64>,
    /// After an ejection, until one attempt succeeds.
    pub on_probation: Vec<bool>,
    /// Slow start: nothing is sent before this time.
    pub paced_until: Vec<f64>,
}

impl Servers {
    /// Adds servers, none of them live, until there is one with this index.
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

/// One gateway's limiter: decides on its invocations and asks its owner for what has to be done.
///
/// All its values are plain; see [`crate::types`]. It is driven by one caller at a time.
#[derive(Default)]
pub struct Limiter {
    pub(crate) operations: Vec<Operation>,
    pub(crate) plans: Vec<Plan>,
    /// Number of limiters, and this one's index among them.
    pub(crate) fleet_size: u32,
    pub(crate) fleet_index: u32,
    pub(crate) zone: usize,
    pub(crate) has_counter: bool,
    pub(crate) counter_timeout: f64,
    /// Longest `Retry-After` that clients honour.
    pub(crate) max_retry_after: f64,
    pub(crate) max_attempts: usize,
    /// A warming server starts with this share of its capacity and has all of it after `warm_up_time`.
    pub(crate) warm_up_from: f64,
    pub(crate) warm_up_time: f64,
    pub(crate) slow_start_lead: f64,
    /// Time that a repeat is kept clear of the end of its token's window.
    pub(crate) response_slack: f64,
    pub(crate) endpoints_on_request: bool,
    /// The shortest latency target of all operations, the unit of time for health.
    pub(crate) latency_target: f64,
    pub(crate) started_at: f64,
    pub(crate) rng: fastrand::Rng,
    pub(crate) servers: Servers,
    pub(crate) by_customer: HashMap<u64, usize>,
    pub(crate) accounts: Vec<Account>,
    /// Where the search for idle accounts stands.
    pub(crate) eviction_hand: usize,
    /// Adds without an answer, by the counter's name, the oldest first.
    pub(crate) pending_adds: HashMap<u64, VecDeque<PendingAdd>>,
    pub(crate) counter_price: CounterPrice,
    /// Billed value of the operation and number of those that wait for a server, the dearest first.
    pub(crate) queue: VecDeque<(f64, u64)>,
    /// Recent share of attempts that were late or rejected as overload.
    pub(crate) overload: f64,
    /// Recent share of invocations with units that got no server.
    pub(crate) crowding: f64,
    /// Recent share of failed attempts at all servers.
    pub(crate) fleet_failures: f64,
    /// Recent share of those awaited for long that never had a response.
    pub(crate) unanswered: f64,
    pub(crate) faded_at: f64,
    /// Sum of the concurrency of the servers in use, when last counted.
    pub(crate) total_concurrency: f64,
    /// When concurrencies below one last shrank.
    pub(crate) small_limits_shrunk_at: f64,
    /// Recent response time of all servers as a share of the latency target; with time-outs, and without.
    pub(crate) fleet_latency: f64,
    pub(crate) answered_latency: f64,
    /// Recent sends to warm servers.
    pub(crate) recent_sends: f64,
    pub(crate) recent_sends_at: f64,
    pub(crate) actions: VecDeque<Action>,
}
