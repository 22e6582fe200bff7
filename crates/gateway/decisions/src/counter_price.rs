//! The price of a call to the shared counter.
//!
//! Hundreds of limiters share a counter that can handle only a part of their invocations, and the counter's response
//! time is all that a limiter learns of the load from the others. Each limiter keeps a price that falls with quick
//! replies and rises with slow or missing ones; the ratio of a call's stake to the price decides whether the call is
//! made. The calls of all limiters thus add up to what the counter can handle, and the most valuable are made. There is
//! no clock and no random source: the caller passes in the time and a random number.

use crate::types::CounterReply;

/// Weight of one response time in the running mean.
const RESPONSE_TIME_WEIGHT: f64 = 0.2;
/// Price of a call, in mean earnings, when all calls fail.
const MAX_PRICE: f64 = 10.0;
/// Least fee of a call, as a share of the mean earnings: the price when all replies are quick.
const MIN_FEE: f64 = 0.01;
/// Factor on response times as a share of the time-out. A reply after half of the time-out counts as none: by then the
/// counter has a long queue.
const TIMEOUT_SCALE: f64 = 2.0;
/// Mean delay that a new limiter assumes; high, as hundreds of limiters may have started at once.
const INITIAL_DELAY: f64 = 0.5;
/// Weight of one invocation in the mean earnings.
const EARNINGS_WEIGHT: f64 = 0.025;
/// Time without calls, in time-outs, after which one call is made as a probe, whatever its stake.
const PROBE_TIMEOUTS: f64 = 20.0;
/// Consecutive failed calls from which the counter counts as out of service.
const OUTAGE_FAILURES: u32 = 3;

/// One limiter's estimate of the counter's load.
#[derive(Debug, Default)]
pub struct CounterPrice {
    /// The counter's time-out in seconds.
    timeout: f64,
    /// Cost of calling the counter once for each invocation, as a share of the earnings.
    fee: f64,
    /// Mean response time as a share of half the time-out, 1 at most; a failed call counts as 1.
    delay: f64,
    mean_earnings: f64,
    /// Time of the next probe, unless another call is made before.
    probe_at: f64,
    /// Consecutive failed calls.
    failures: u32,
    /// Time of the first of the consecutive failed calls.
    outage_since: f64,
    outage_ended: f64,
}

impl CounterPrice {
    /// Takes the counter's time-out in seconds, the fee of a call, and the configured mean earnings of an invocation.
    #[must_use]
    pub fn new(timeout: f64, fee: f64, mean_earnings: f64) -> Self {
        CounterPrice {
            timeout,
            fee: fee.max(MIN_FEE),
            mean_earnings: mean_earnings.max(1e-9),
            delay: INITIAL_DELAY,
            outage_ended: f64::NEG_INFINITY,
            ..CounterPrice::default()
        }
    }

    /// Mean earnings of recent invocations.
    #[must_use]
    pub fn mean_earnings(&self) -> f64 {
        self.mean_earnings
    }

    /// Adds the earnings of one more invocation to the mean.
    pub fn add_earnings(&mut self, earnings: f64) {
        self.mean_earnings += EARNINGS_WEIGHT * (earnings - self.mean_earnings);
    }

    /// Whether to make a call with this stake now; `random` is a random number from 0 to 1.
    pub fn admits(&mut self, stake: f64, random: f64, now: f64) -> bool {
        let share = stake / self.price();
        let admitted = random < share * share || now >= self.probe_at;
        if admitted {
            self.probe_at = now + PROBE_TIMEOUTS * self.timeout * (0.75 + random / 2.0);
        }
        admitted
    }

    /// Records the counter's reply to one call, or its absence, and the response time in seconds.
    pub fn record(&mut self, reply: CounterReply, seconds: f64, now: f64) {
        if matches!(reply, CounterReply::Total(_)) {
            if self.failures >= OUTAGE_FAILURES {
                self.outage_ended = now;
            }
            self.failures = 0;
        } else {
            if self.failures == 0 {
                self.outage_since = now;
            }
            self.failures += 1;
        }
        let delay = if self.failures == 0 {
            (TIMEOUT_SCALE * seconds / self.timeout).min(1.0)
        } else {
            1.0
        };
        self.delay += RESPONSE_TIME_WEIGHT * (delay - self.delay);
    }

    /// The price of a call: from its fee when replies are quick to several mean earnings when there are none.
    fn price(&self) -> f64 {
        self.mean_earnings * self.fee * (MAX_PRICE / self.fee).powf(self.delay)
    }

    /// Start of the present outage, in which the counter does not reply or refuses; `None` if there is none.
    #[must_use]
    pub fn outage_since(&self) -> Option<f64> {
        (self.failures >= OUTAGE_FAILURES).then_some(self.outage_since)
    }

    /// End of the last outage; minus infinity if there was none.
    #[must_use]
    pub fn outage_ended(&self) -> f64 {
        self.outage_ended
    }
}
