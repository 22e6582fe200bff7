//! Plain values that pass between a front and the decisions. Times are seconds on one clock; servers,
//! zones, plans and operations are small dense indices that the front hands out.

/// Which servers recognise a repeat of a tokened invocation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// What running an invocation twice would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Idempotent,
    Tokened { group: Group, window: f64 },
    NonIdempotent,
}

#[derive(Clone, Debug)]
pub struct OperationSettings {
    pub effect: Effect,
    pub objective: f64,
    pub integration_timeout: f64,
    pub billed_value: f64,
    pub late_share: f64,
}

#[derive(Clone, Debug, Default)]
pub struct PlanSettings {
    /// Units a second; 0 when the plan has no rate.
    pub rate: f64,
    pub burst: f64,
    /// Most deliveries out at once; 0 when there is no such limit.
    pub open: f64,
    pub hard_rate: f64,
    pub hard_burst: f64,
    /// What one beyond the quota earns and costs, as shares of its billed value.
    pub over_worth: f64,
    pub beyond_costs: f64,
    /// Multiplies the operation's billed value.
    pub price: f64,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub seed: u64,
    pub slot: u32,
    pub fleet: u32,
    pub zone: usize,
    pub operations: Vec<OperationSettings>,
    pub plans: Vec<PlanSettings>,
    pub counter: bool,
    pub count_wait: f64,
    /// What one call for each invocation costs, as a share of all that is earned.
    pub call_price: f64,
    /// Longest pause a client honours; 0 when advice reaches nobody.
    pub max_pause: f64,
    pub most_deliveries: u32,
    pub cold_from: f64,
    pub cold_for: f64,
    /// Multiple of its present capacity that pushes a cold server over.
    pub fall_multiple: f64,
    pub answer_slack: f64,
    /// The endpoints come only when asked for.
    pub watch_on_request: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Readiness {
    Live,
    Draining,
    Gone,
}

/// One entry of the list of endpoints.
#[derive(Clone, Copy, Debug)]
pub struct Server {
    pub tgt: usize,
    pub zone: usize,
    pub cell: u64,
    /// Latest start; 0 means long ago.
    pub came_up: f64,
    pub readiness: Readiness,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    New,
    /// Waits for the counter's answer.
    Quota,
    /// Holds its units and waits for a place at a server.
    Queued,
    Out,
    Done,
}

/// One invocation in the front's hands. The front fills in the first part and leaves the rest alone.
#[derive(Clone, Debug)]
pub struct Invocation {
    pub num: u64,
    pub customer: u64,
    pub plan: usize,
    pub operation: usize,
    pub units: f64,
    pub first_gateway: u32,
    pub gateways: u32,
    pub came: f64,
    pub until: f64,
    /// The client marks it as a repeat of one that it did not get.
    pub repeat: bool,

    pub stage: Stage,
    pub paid: bool,
    pub beyond: bool,
    pub drawn: bool,
    pub out: u32,
    /// The server and the send time of each delivery.
    pub sent: Vec<(usize, f64)>,
    /// The first delivery that may have run.
    pub may_have_run: Option<usize>,
    pub limit: f64,
}

impl Invocation {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        num: u64,
        customer: u64,
        plan: usize,
        operation: usize,
        units: f64,
        gateways: (u32, u32),
        came: f64,
        until: f64,
    ) -> Self {
        Invocation {
            num,
            customer,
            plan,
            operation,
            units,
            first_gateway: gateways.0,
            gateways: gateways.1,
            came,
            until,
            repeat: false,
            stage: Stage::New,
            paid: false,
            beyond: false,
            drawn: false,
            out: 0,
            sent: Vec::new(),
            may_have_run: None,
            limit: until,
        }
    }
}

/// How one delivery ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    Succeeded,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
}

impl Ending {
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::ConnectFailed | Ending::Moot)
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Number of the delivery, from 0.
    pub n: usize,
    pub ending: Ending,
    pub spent: f64,
    /// The invocation has its final answer.
    pub done: bool,
    /// The customer's use over all gateways as a share of its rate, where a meter tells.
    pub used: Option<f64>,
    /// The settled units, where they were an estimate.
    pub settled: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Counted {
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
    /// The counter was not asked, and nothing else spoke for letting it in.
    Unasked,
    /// The hard ceiling's part is used up.
    Ceiling,
    /// As many deliveries are out as the plan allows.
    Open,
    /// The queue could not be cleared in time.
    Queue,
    /// It waited, for the counter or in the queue, until nothing could be earned.
    Waited,
    /// It was sent and never taken, and nothing further is allowed or can earn.
    Undelivered,
}

impl Cause {
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
    Send(usize),
    /// Not yet: ask again when the wait is over or when told to.
    Hold,
    Throttle {
        pause: f64,
        cause: Cause,
    },
    Error,
    /// Nothing is owed.
    Done,
}

/// What an add to a counter's name is about, for whoever answers in the counter's place. Units and seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct About {
    pub customer: u64,
    pub plan: usize,
    /// What is asked for, a part of the add; 0 for a correction. Less than `needs` would serve nobody.
    pub asked: f64,
    pub needs: f64,
    /// The name is full at `most` units and, from `start` on, at `rate` units a second more. It is in use
    /// for `length`.
    pub start: f64,
    pub length: f64,
    pub rate: f64,
    pub most: f64,
}

/// Something for the front to carry out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Ask again about this held invocation.
    Ask(u64),
    Count {
        name: u64,
        add: f64,
        life: f64,
        about: About,
    },
    /// Ask for the endpoints from now on.
    WatchEndpoints,
    /// Call `tick` after this long.
    Tick(f64),
}
