//! Constants that several modules of the limiter share.

/// Time for which the counter keeps a name, seconds: half of the longest lifetime that counters offer, so that no name
/// expires while it is in use.
pub(super) const COUNTER_NAME_LIFETIME: f64 = 60.0;
/// Length of a counter window, seconds.
pub(super) const COUNTER_WINDOW: f64 = COUNTER_NAME_LIFETIME / 2.0;
/// Near the limit a grant is the headroom divided by the customer's gateways and this factor (from the lease paper).
pub(super) const LEASE_SHRINK_FACTOR: f64 = 2.0;
/// Lifetime of a lease in spans of its plan. Long, as its units are already counted and many gateways use them slowly.
pub(super) const LEASE_SPANS: f64 = 4.0;
/// Least share of a rate limit, in units, that one limiter can work with; below it short windows are used.
pub(super) const MIN_UNITS_PER_SHARE: f64 = 16.0;
/// Least burst, in units, for which short windows under a rate limit are used.
pub(super) const MIN_WINDOW_BURST: f64 = 4.0;
/// Upper bound of a customer's likelihood of room, so that the counter is called now and then for any customer.
pub(super) const MAX_LIKELIHOOD: f64 = 0.95;
/// Probability that stands for "unknown".
pub(super) const EVEN_CHANCE: f64 = 0.5;

/// Share of the latency target within which a response counts as healthy.
pub(super) const HEALTHY_LATENCY: f64 = 0.5;
/// Mean response time of a server, as a share of the latency target, above which its concurrency limit is reduced:
/// about twice the pure processing time where the target allows for the 99th percentile.
pub(super) const GROWTH_LATENCY: f64 = 0.25;
/// Longest time in the queue as a share of the latency target; a longer queue makes every response late.
pub(super) const MAX_QUEUE_TIME: f64 = 0.1;
/// Share of recent attempts that were late or rejected from which the fleet counts as overloaded.
pub(super) const OVERLOAD_SHARE: f64 = 0.2;
/// Share of failed attempts above which a server is ejected, if other servers fail less.
pub(super) const EJECTION_FAILURES: f64 = 0.5;
/// Initial concurrency limit of one server, shared evenly by all limiters: enough to measure response times.
pub(super) const INITIAL_CONCURRENCY: f64 = 3.0;
/// Time constant, in latency targets, with which the figures about a server decay.
pub(super) const HEALTH_DECAY_TARGETS: f64 = 4.0;
/// Weight of one new sample in the exponentially weighted means.
pub(super) const EWMA_WEIGHT: f64 = 0.1;
/// Time-out of an attempt in mean response times. With fewer, under load one attempt in ten was abandoned, ran to its
/// end all the same and was sent again, by all limiters at once.
pub(super) const TIMEOUT_MEANS: f64 = 8.0;
/// Most retries of an invocation, as in the system that this one replaces; none during overload.
pub(super) const MAX_RETRIES: usize = 2;
