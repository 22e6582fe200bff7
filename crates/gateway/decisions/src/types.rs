//! Plain values that a limiter and its owner exchange. Times are seconds on the owner's clock; servers, zones, plans
//! and operations are small dense indices that the owner assigns.

/// The servers that recognise the idempotency token of an invocation that one of them has already run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TokenScope {
    /// All servers.
    All,
    /// Servers of the zone in which the invocation ran.
    Zone,
    /// Servers of the cell in which the invocation ran.
    Cell,
}

/// The consequence of running an invocation twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// A repeat is harmless.
    Idempotent,
    /// A repeat is harmless on the servers of this scope within `window` seconds: they recognise its token.
    Tokened {
        /// Servers that recognise the token.
        scope: TokenScope,
        /// Time for which servers remember the token, seconds.
        window: f64,
    },
    /// A repeat takes effect a second time.
    NonIdempotent,
}

/// One operation of the API, as configured.
#[derive(Clone, Debug)]
pub struct OperationSettings {
    /// The consequence of a repeat.
    pub effect: Effect,
    /// The latency target, seconds.
    pub latency_target: f64,
    /// Time-out of the platform between client and gateway, seconds.
    pub integration_timeout: f64,
    /// Earnings of one invocation, before the plan's price factor.
    pub billed_value: f64,
    /// Share of the billed value that a response after the latency target still earns.
    pub late_share: f64,
}

/// One plan that customers subscribe to, as configured.
#[derive(Clone, Debug, Default)]
pub struct PlanSettings {
    /// Quota, units per second; 0 when the plan has no rate.
    pub rate: f64,
    /// Maximum number of unused quota units that accumulate.
    pub burst: f64,
    /// Maximum number of attempts in flight at once; 0 when unlimited.
    pub max_in_flight: f64,
    /// The hard rate limit, units per second; 0 when there is none.
    pub hard_rate: f64,
    /// Burst of the hard rate limit, units.
    pub hard_burst: f64,
    /// Earnings of an invocation beyond the quota, as a share of its billed value.
    pub beyond_quota_earnings: f64,
    /// Cost of an invocation beyond the quota, as a share of its billed value.
    pub beyond_quota_cost: f64,
    /// Factor on the operation's billed value.
    pub price: f64,
}

/// Configuration of a limiter.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of the limiter's random numbers.
    pub seed: u64,
    /// Index of this limiter in the fleet.
    pub fleet_index: u32,
    /// Number of limiters in the fleet.
    pub fleet_size: u32,
    /// The zone of this limiter.
    pub zone: usize,
    /// All operations, by index.
    pub operations: Vec<OperationSettings>,
    /// All plans, by index.
    pub plans: Vec<PlanSettings>,
    /// Whether there is a shared counter.
    pub has_counter: bool,
    /// Time-out of a call to the counter, seconds.
    pub counter_timeout: f64,
    /// Cost of calling the counter once for each invocation, as a share of the total earnings.
    pub call_price: f64,
    /// Longest `Retry-After` that clients honour, seconds; 0 when clients do not receive it.
    pub max_retry_after: f64,
    /// Maximum number of attempts of one invocation.
    pub max_attempts: u32,
    /// Share of its full capacity that a server has when it starts.
    pub warm_up_from: f64,
    /// Time that a server takes to warm up, seconds.
    pub warm_up_time: f64,
    /// Load that makes a warming server collapse, as a multiple of its present capacity.
    pub overload_multiple: f64,
    /// Safety margin before the end of a token's window within which no repeat is sent, seconds.
    pub response_slack: f64,
    /// Whether the owner reports endpoints only after an [`Action::WatchEndpoints`].
    pub endpoints_on_request: bool,
}

/// Whether a server accepts requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Readiness {
    /// The server accepts requests.
    Live,
    /// The server completes its requests in flight and accepts no new ones.
    Draining,
    /// The server no longer exists.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Server {
    /// Index of the server.
    pub index: usize,
    /// Zone of the server.
    pub zone: usize,
    /// Cell of the server; servers of one cell share their idempotency tokens.
    pub cell: u64,
    /// Time of the latest start; 0 if it was long ago.
    pub started_at: f64,
    /// Whether the server accepts requests.
    pub readiness: Readiness,
}

/// Progress of an invocation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// Not placed yet.
    New,
    /// Waits for the counter's reply.
    AwaitingCounter,
    /// Has its units and waits for a server.
    Queued,
    /// An attempt is in flight.
    InFlight,
    /// The final response is decided.
    Done,
}

/// One invocation, stored by the owner. The owner fills in the first group of fields; the limiter maintains the rest.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// Number by which actions refer to the invocation.
    pub id: u64,
    /// Hash of the customer.
    pub customer: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Index of the operation.
    pub operation: usize,
    /// Units that the invocation takes from the quota.
    pub units: f64,
    /// Index of the first gateway that serves this customer.
    pub first_gateway: u32,
    /// Number of gateways that serve this customer.
    pub gateways: u32,
    /// Time of arrival.
    pub arrived_at: f64,
    /// Time at which the client gives up.
    pub client_deadline: f64,
    /// Whether the client marked the request as a repeat of one that got no result.
    pub repeat: bool,

    /// Progress of the invocation.
    pub stage: Stage,
    /// Whether its units have been taken from a lease.
    pub has_units: bool,
    /// Whether it was admitted beyond the quota.
    pub is_beyond_quota: bool,
    /// Whether its units have been taken from the rate limit.
    pub drew_rate_limit: bool,
    /// Attempts in flight.
    pub in_flight: u32,
    /// The server and the send time of each attempt.
    pub attempts: Vec<(usize, f64)>,
    /// Number of the first attempt that a server may have run.
    pub first_possible_run: Option<usize>,
    /// Time at which the attempt in flight is abandoned.
    pub attempt_deadline: f64,
}

/// Properties of an invocation that are known when it arrives; the fields are those of [`Invocation`].
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Number by which actions refer to the invocation.
    pub id: u64,
    /// Hash of the customer.
    pub customer: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Index of the operation.
    pub operation: usize,
    /// Units that the invocation takes from the quota.
    pub units: f64,
    /// Index of the first gateway that serves this customer.
    pub first_gateway: u32,
    /// Number of gateways that serve this customer.
    pub gateways: u32,
    /// Time of arrival.
    pub arrived_at: f64,
    /// Time at which the client gives up.
    pub client_deadline: f64,
}

impl From<Arrival> for Invocation {
    fn from(arrival: Arrival) -> Self {
        Invocation {
            id: arrival.id,
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

/// How an attempt ended, as far as the gateway can tell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptResult {
    /// The server responded successfully.
    Succeeded,
    /// The server responded with an error.
    Error,
    /// The server rejected the attempt as overload, before running it.
    Overloaded,
    /// No response arrived in time.
    Timeout,
    /// No connection could be established.
    ConnectFailed,
    /// The connection was reset.
    Reset,
    /// This gateway abandoned the attempt.
    Cancelled,
    /// The attempt was never sent: its connection closed before it could be used.
    NotSent,
}

impl AttemptResult {
    /// Whether the server certainly did not run the attempt.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptResult::Overloaded | AttemptResult::ConnectFailed | AttemptResult::NotSent
        )
    }
}

/// The end of one attempt, as the owner reports it.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Number of the attempt, from 0.
    pub attempt: usize,
    /// Result of the attempt.
    pub result: AttemptResult,
    /// Duration of the attempt, seconds.
    pub duration: f64,
    /// Whether the client already has its final response.
    pub answered: bool,
    /// The customer's usage over all gateways as a share of its rate, where a meter reports it.
    pub usage: Option<f64>,
    /// Actual units of the invocation, where the units charged were an estimate.
    pub settled_units: Option<f64>,
}

/// Reply of the shared counter to one add.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterReply {
    /// The total after the add, units.
    Total(f64),
    /// The counter refused the add: nothing was added.
    Refused,
    /// The counter did not reply; the units may have been added.
    NoReply,
}

/// Why an invocation is throttled. Used in metrics and logs only; no decision depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ThrottleCause {
    /// The quota has no headroom, according to the counter, the meter or this gateway's own share.
    Quota,
    /// The counter was not called, and the local share did not cover the invocation.
    CounterNotCalled,
    /// This limiter's share of the rate limit is used up.
    RateLimit,
    /// The plan's limit on attempts in flight is reached.
    InFlightLimit,
    /// The queue is too long to be served in time.
    QueueTooLong,
    /// The invocation waited for the counter or in the queue until it could no longer earn anything.
    WaitedTooLong,
    /// No server accepted an attempt, and a further one is not allowed or could not earn anything.
    NotAccepted,
}

impl ThrottleCause {
    /// All causes with their names in metrics and logs.
    pub const ALL: [(ThrottleCause, &'static str); 7] = [
        (ThrottleCause::Quota, "quota"),
        (ThrottleCause::CounterNotCalled, "unasked"),
        (ThrottleCause::RateLimit, "ceiling"),
        (ThrottleCause::InFlightLimit, "open"),
        (ThrottleCause::QueueTooLong, "queue"),
        (ThrottleCause::WaitedTooLong, "waited"),
        (ThrottleCause::NotAccepted, "undelivered"),
    ];
}

/// What the owner has to do with one invocation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send the invocation to this server.
    Send(usize),
    /// Keep the invocation and place it again when its wait time is over or an action asks for it.
    Hold,
    /// Reject the invocation; the client may safely repeat it after the pause.
    Throttle {
        /// Advised pause before a repeat, seconds.
        pause: f64,
        /// Reason of the rejection.
        cause: ThrottleCause,
    },
    /// Respond with an error: a server may have run the invocation.
    Error,
    /// Send no further response.
    Done,
}

/// Context of an add to a counter name, for a quota broker that replies in the counter's place. Units and seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AddContext {
    /// Hash of the customer.
    pub customer: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// The part of the add that requests new units; 0 for a correction.
    pub requested: f64,
    /// Fewest units that cover one invocation; a smaller grant is useless.
    pub min_units: f64,
    /// Start of the name's window. The limit of the name is `limit` there and grows by `limit_rate`.
    pub window_start: f64,
    /// Length of the name's window, seconds.
    pub window_length: f64,
    /// Growth of the limit, units per second.
    pub limit_rate: f64,
    /// Limit of the name at the start of its window, units.
    pub limit: f64,
}

/// An instruction for the limiter's owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Call `place` again for this held invocation.
    Place(u64),
    /// Add to a name of the shared counter and report the reply with `counter_answered`.
    AddToCounter {
        /// Name at the counter.
        name: u64,
        /// Units to add; negative to return some.
        add: f64,
        /// Time for which the counter keeps the name, seconds.
        lifetime: f64,
        /// Context for a quota broker that replies in the counter's place.
        context: AddContext,
    },
    /// Report the endpoints from now on.
    WatchEndpoints,
    /// Call `tick` after this many seconds.
    ScheduleTick(f64),
}
