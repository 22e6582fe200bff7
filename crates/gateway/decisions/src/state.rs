//! What a limiter holds about operations, plans, customers, calls and servers: fields only. What becomes of
//! them is decided in `rules.rs`, which alone writes them.

use crate::ceilings::Ceiling;
use crate::types::Effect;

pub(crate) struct Operation {
    pub effect: Effect,
    pub objective: f64,
    pub value: f64,
    pub pays_late: bool,
}

pub(crate) struct Plan {
    pub rate: f64,
    pub burst: f64,
    pub open: f64,
    /// A lease's life, and the span over which demand is measured.
    pub span: f64,
    pub hard: Ceiling,
    /// Leases may be counted in short windows.
    pub halves: bool,
    /// One beyond the quota earns more than it costs.
    pub beyond_pays: bool,
    /// Recent share of those first met and asked about that had room, clients' repeats apart.
    pub had_room: [f64; 2],
    /// What one invocation earns, as a multiple of its operation's billed value, and the part of that which
    /// one beyond the quota costs.
    pub price: f64,
    pub excess: f64,
    /// How far the local share opens while the counter is silent: the cheaper an excess, the wider.
    pub openness: f64,
}

/// One customer's books at this limiter.
#[derive(Default)]
pub(crate) struct Account {
    pub customer: u64,
    pub plan: usize,
    pub gateways: f64,
    pub demand: f64,
    pub seen: f64,
    pub lease: f64,
    pub lapses: f64,
    /// Units the counter held above the line that the rate allows, when last heard.
    pub backlog: f64,
    pub heard: f64,
    pub window: i64,
    /// Units to report with the next add: let in without a lease, or a correction that was refused.
    pub debt: f64,
    pub debt_at: f64,
    /// The counter's last answer showed less use than the rate.
    pub calm: bool,
    /// How likely it had room, by what was heard of it.
    pub likely: f64,
    pub asking: bool,
    pub failed_at: f64,
    pub waiting: Vec<u64>,
    /// The local share that stands in for a silent counter.
    pub share: f64,
    pub share_at: f64,
    /// Leases are counted in short windows, of this length; when one had no room last.
    pub short: bool,
    pub length: f64,
    pub full_at: f64,
    pub hard: f64,
    pub hard_at: f64,
    /// The turn that may be used now, and the last that was.
    pub turn: Option<f64>,
    pub spent: f64,
    pub open: f64,
}

/// One add on its way; corrections ask for nothing and expect the total that they need.
pub(crate) struct Call {
    pub account: usize,
    pub add: f64,
    pub asked: f64,
    pub needs: f64,
    /// Backlog brought over into a new name, units let in unleased, and units returned.
    pub carried: f64,
    pub debt: f64,
    pub back: f64,
    pub window: i64,
    pub repeat: bool,
}

/// Figures about servers, by dense index.
#[derive(Default)]
pub(crate) struct Servers {
    pub live: Vec<bool>,
    pub zone: Vec<usize>,
    pub cell: Vec<u64>,
    pub cold_since: Vec<f64>,
    pub came_up: Vec<f64>,
    pub out: Vec<f64>,
    pub places: Vec<f64>,
    pub shrunk: Vec<f64>,
    /// Recent answer time as a share of the latency objective.
    pub slow: Vec<f64>,
    pub bad: Vec<f64>,
    /// Earliest time since which something is out there with no answer of any kind.
    pub quiet_since: Vec<f64>,
    pub sent_at: Vec<f64>,
    pub rest_until: Vec<f64>,
    pub rest: Vec<f64>,
    pub on_trial: Vec<bool>,
    pub paced_until: Vec<f64>,
}
