//! The constants of the decisions, each with its unit and reason.

/// Seconds that a name of the counter is kept: half of the longest lifetime that counters offer, so that none is
/// forgotten in use.
pub(super) const COUNTER_NAME_LIFETIME: f64 = 60.0;
/// Length of a counter window, seconds.
pub(super) const COUNTER_WINDOW: f64 = COUNTER_NAME_LIFETIME / 2.0;
/// Near the limit a grant is the headroom over the customer's gateways and this (the paper's factor).
pub(super) const LEASE_SHRINK_FACTOR: f64 = 2.0;
/// Lifetime of a lease in spans of its plan: its units are counted, and a long set of gateways uses them slowly.
pub(super) const LEASE_SPANS: f64 = 4.0;
/// Units that a limiter's share of a rate limit has to cover, else short windows stand in for it.
pub(super) const MIN_UNITS_PER_SHARE: f64 = 16.0;
/// Least burst, in units, that short windows under a rate limit may hold.
pub(super) const MIN_WINDOW_BURST: f64 = 4.0;
/// Most that a customer's likelihood of room counts for: the calmest are asked about now and then.
pub(super) const MAX_LIKELIHOOD: f64 = 0.95;
/// Weight of "unknown" where a likelihood has to be guessed or is doubted.
pub(super) const EVEN_CHANCE: f64 = 0.5;

/// Share of the latency target that a healthy response stays within.
pub(super) const HEALTHY_LATENCY: f64 = 0.5;
/// Share of the latency target that a server's mean response time may reach before its concurrency shrinks: about
/// twice the bare work where the target leaves room for the slowest in a hundred.
pub(super) const GROWTH_LATENCY: f64 = 0.25;
/// Share of the latency target that an invocation may spend in the queue; more only makes all late.
pub(super) const MAX_QUEUE_TIME: f64 = 0.1;
/// Share of recent attempts ending late or rejected from which the limiter sees overload.
pub(super) const OVERLOAD: f64 = 0.2;
/// Share of a server's recent attempts that failed from which it is ejected, if others do better.
pub(super) const EJECTION_FAILURES: f64 = 0.5;
/// Concurrency that all limiters together start with at one server, shared evenly: enough to learn from.
pub(super) const INITIAL_CONCURRENCY: f64 = 3.0;
/// Latency targets over which figures about a server fade.
pub(super) const FADE_TARGETS: f64 = 4.0;
/// Weight of one new reading in the exponentially weighted means.
pub(super) const EWMA_WEIGHT: f64 = 0.1;
/// Mean responses that an attempt is awaited before it counts as lost: with fewer, one in ten under load was abandoned,
/// ran all the same and was sent again, by all limiters at once.
pub(super) const TIMEOUT_MEANS: f64 = 8.0;
/// Retries while there is no overload (the users' present system).
pub(super) const MAX_RETRIES: usize = 2;
