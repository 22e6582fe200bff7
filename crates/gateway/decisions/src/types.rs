//! Plain values that pass between the decisions and their owner. Times are seconds on one clock; servers, zones, plans
//! and operations are small dense indices that the owner hands out.

/// Which servers recognise a repeat of a tokened invocation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Group {
    /// All servers.
    All,
    /// Servers of the zone in which it ran.
    Zone,
    /// Servers of the cell in which it ran.
    Cell,
}

/// What running an invocation twice would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// No harm.
    Idempotent,
    /// No harm where servers of this group see the repeat within `window` seconds: they recognise its token.
    Tokened {
        /// Which servers recognise the token.
        group: Group,
        /// For how long, seconds.
        window: f64,
    },
    /// Its effect twice.
    NonIdempotent,
}

/// One operation of the API, as configured.
#[derive(Clone, Debug)]
pub struct OperationSettings {
    /// What a repeat would do.
    pub effect: Effect,
    /// The latency target, seconds.
    pub objective: f64,
    /// Time-out of the platform between client and gateway, seconds.
    pub integration_timeout: f64,
    /// What one invocation earns.
    pub billed_value: f64,
    /// The share of it that is earned after the latency target.
    pub late_share: f64,
}

/// One plan that customers subscribe to, as configured.
#[derive(Clone, Debug, Default)]
pub struct PlanSettings {
    /// Units a second; 0 when the plan has no rate.
    pub rate: f64,
    /// The most units that may be saved up.
    pub burst: f64,
    /// Most attempts in flight at once; 0 when there is no such limit.
    pub open: f64,
    /// The hard rate limit, units a second; 0 when there is none.
    pub hard_rate: f64,
    /// The most units at once under the rate limit.
    pub hard_burst: f64,
    /// What an invocation beyond the quota earns, as a share of its billed value.
    pub beyond_quota_earnings: f64,
    /// What an invocation beyond the quota costs, as a share of its billed value.
    pub beyond_quota_cost: f64,
    /// Multiplies the operation's billed value.
    pub price: f64,
}

/// What a limiter is made from.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of its random numbers.
    pub seed: u64,
    /// Index of this limiter in the fleet.
    pub slot: u32,
    /// Number of limiters.
    pub fleet: u32,
    /// The zone of this limiter.
    pub zone: usize,
    /// All operations, by index.
    pub operations: Vec<OperationSettings>,
    /// All plans, by index.
    pub plans: Vec<PlanSettings>,
    /// There is a shared counter.
    pub counter: bool,
    /// Time-out of a call to the counter, seconds.
    pub counter_timeout: f64,
    /// What one call for each invocation costs, as a share of all that is earned.
    pub call_price: f64,
    /// Longest pause a client honours, seconds; 0 when advice reaches nobody.
    pub max_retry_after: f64,
    /// Most attempts of one invocation.
    pub max_attempts: u32,
    /// Share of its capacity that a warming server starts with.
    pub warm_up_from: f64,
    /// Time that a server takes to warm up, seconds.
    pub warm_up_time: f64,
    /// Multiple of its present capacity that pushes a warming server over.
    pub overload_multiple: f64,
    /// Time that a repeat is kept clear of the end of its token's window, seconds.
    pub response_slack: f64,
    /// The endpoints come only when asked for.
    pub endpoints_on_request: bool,
}

/// Whether a server takes requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Readiness {
    /// It does.
    Live,
    /// It completes what it has and takes no more.
    Draining,
    /// It is not there any more.
    Gone,
}

/// One entry of the list of endpoints.
#[derive(Clone, Copy, Debug)]
pub struct Server {
    /// Index of the server.
    pub tgt: usize,
    /// Its zone.
    pub zone: usize,
    /// Its cell: servers of one cell share what they know of tokens.
    pub cell: u64,
    /// Latest start; 0 means long ago.
    pub started_at: f64,
    /// Whether it takes requests.
    pub readiness: Readiness,
}

/// How far an invocation is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// Not placed yet.
    New,
    /// Waits for the counter's answer.
    AwaitingCounter,
    /// Has its units and waits for a server.
    Queued,
    /// An attempt is in flight.
    InFlight,
    /// It has its answer.
    Done,
}

/// One invocation in the owner's hands. The owner fills in the first part and leaves the rest alone.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// Number by which actions name it.
    pub num: u64,
    /// Hash of the customer.
    pub customer: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Index of the operation.
    pub operation: usize,
    /// Units that it uses of the quota.
    pub units: f64,
    /// The first of the gateways that this customer's invocations come through.
    pub first_gateway: u32,
    /// The number of these gateways.
    pub gateways: u32,
    /// When it arrived.
    pub arrived_at: f64,
    /// When its client gives up.
    pub client_deadline: f64,
    /// The client marks it as a repeat of one that it did not get.
    pub repeat: bool,

    /// How far it is.
    pub stage: Stage,
    /// Its units are taken from a lease.
    pub has_units: bool,
    /// It is admitted beyond the quota.
    pub is_beyond_quota: bool,
    /// Its units are taken from the rate limit.
    pub drew_rate_limit: bool,
    /// Attempts in flight.
    pub in_flight: u32,
    /// The server and the send time of each attempt.
    pub attempts: Vec<(usize, f64)>,
    /// The first attempt that may have run.
    pub first_possible_run: Option<usize>,
    /// When the attempt in flight is abandoned.
    pub attempt_deadline: f64,
}

/// What an owner knows of an invocation as it arrives; the fields are those of [`Invocation`].
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Number by which actions name it.
    pub num: u64,
    /// Hash of the customer.
    pub customer: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Index of the operation.
    pub operation: usize,
    /// Units that it uses of the quota.
    pub units: f64,
    /// The first of the gateways that this customer's invocations come through.
    pub first_gateway: u32,
    /// The number of these gateways.
    pub gateways: u32,
    /// When it arrived.
    pub arrived_at: f64,
    /// When its client gives up.
    pub client_deadline: f64,
}

impl From<Arrival> for Invocation {
    fn from(arrival: Arrival) -> Self {
        Invocation {
            num: arrival.num,
            customer: arrival.customer,
            plan: arrival.plan,
            operation: arrival.operation,
            units: arrival.units,
            first_gateway: arrival.first_gateway,
            gateways: arrival.gateways,
            arrived_at: arrival.arrived_at,
            client_deadline: arrival.client_deadline,
            repeat: false,
            stage: Stage::New,
            has_units: false,
            is_beyond_quota: false,
            drew_rate_limit: false,
            in_flight: 0,
            attempts: Vec::new(),
            first_possible_run: None,
            attempt_deadline: arrival.client_deadline,
        }
    }
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// With a good response.
    Succeeded,
    /// With an error of the server.
    Error,
    /// Rejected as overload before it ran.
    Full,
    /// Without a response in time.
    Timeout,
    /// No connection came up.
    ConnectFailed,
    /// The connection was reset.
    Reset,
    /// Abandoned by this gateway.
    Cancelled,
    /// Never sent: its connection was gone in the moment of its use.
    Moot,
}

impl Ending {
    /// Whether the server surely did not run it.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::ConnectFailed | Ending::Moot)
    }
}

/// The outcome of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Number of the attempt, from 0.
    pub n: usize,
    /// How it ended.
    pub ending: Ending,
    /// Seconds that it took.
    pub spent: f64,
    /// The invocation has its final answer.
    pub done: bool,
    /// The customer's use over all gateways as a share of its rate, where a meter tells.
    pub used: Option<f64>,
    /// The settled units, where they were an estimate.
    pub settled: Option<f64>,
}

/// The counter's answer to one add.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Counted {
    /// The total after the add, units.
    Total(f64),
    /// Nothing was added.
    Refused,
    /// No answer; the amount may have been added.
    Silent,
}

/// Why an invocation is throttled, for those who watch; nothing is decided by it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cause {
    /// No headroom, as the counter, the meter or this gateway's own share shows it.
    Quota,
    /// The counter was not asked, and nothing else spoke for admitting it.
    Unasked,
    /// This limiter's share of the rate limit is used up.
    Ceiling,
    /// As many attempts are in flight as the plan allows.
    Open,
    /// The queue could not be cleared in time.
    Queue,
    /// It waited, for the counter or in the queue, until nothing could be earned.
    Waited,
    /// It was sent and never taken, and nothing further is allowed or can earn.
    Undelivered,
}

impl Cause {
    /// All causes with the names that counters and logs give them.
    pub const ALL: [(Cause, &'static str); 7] = [
        (Cause::Quota, "quota"),
        (Cause::Unasked, "unasked"),
        (Cause::Ceiling, "ceiling"),
        (Cause::Open, "open"),
        (Cause::Queue, "queue"),
        (Cause::Waited, "waited"),
        (Cause::Undelivered, "undelivered"),
    ];
}

/// The answer to a question about one invocation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// Send it to this server.
    Send(usize),
    /// Not yet: ask again when the wait is over or when an action says so.
    Hold,
    /// Reject it; a repeat after this pause does no harm.
    Throttle {
        /// Seconds.
        pause: f64,
        /// Why.
        cause: Cause,
    },
    /// Answer it with an error: it may have run.
    Error,
    /// Nothing is owed.
    Done,
}

/// What an add to a counter's name is about, for whoever answers in the counter's place. Units and seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct About {
    /// Hash of the customer.
    pub customer: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// What is asked for, a part of the add; 0 for a correction. Less than `needs` would serve nobody.
    pub asked: f64,
    /// Fewer units than this serve nobody.
    pub needs: f64,
    /// When the name's window starts. The name is full at `most` units and at `rate` units a second more from then on.
    pub start: f64,
    /// Seconds that the name is in use.
    pub length: f64,
    /// Units a second.
    pub rate: f64,
    /// Units.
    pub most: f64,
}

/// Something for the owner to carry out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Ask again about this held invocation.
    Ask(u64),
    /// Add to a name of the shared counter; the answer goes to `counted`.
    Count {
        /// The name.
        name: u64,
        /// Units to add; negative to return some.
        add: f64,
        /// Seconds that the counter keeps the name.
        life: f64,
        /// What the add is about, for whoever answers in the counter's place.
        about: About,
    },
    /// Ask for the endpoints from now on.
    WatchEndpoints,
    /// Call `tick` after this long.
    Tick(f64),
}
