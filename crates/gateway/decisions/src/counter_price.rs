//! The price of a call to the shared counter.
//!
//! Hundreds of limiters share a counter that can answer for a part of their invocations only; none hears of the
//! others but by how quickly it answers. Each keeps a price that falls with quick answers and rises with slow ones and
//! with none, and a call goes out by its stake over that price. So the calls of all come to what the counter bears and
//! go where they are worth most. No clock and no random source: the caller gives time and chance.

use crate::types::Counted;

/// Weight of one answer's time in the running mean.
const ANSWER_TIME_WEIGHT: f64 = 0.2;
/// The price, in mean earnings, where all calls fail.
const MAX_PRICE: f64 = 10.0;
/// Least fee of a call, as a share of the mean earnings: the price where all answers are quick.
const MIN_FEE: f64 = 0.01;
/// An answer that takes half of the time-out is as bad as none: by then there is a long queue before it.
const TIMEOUT_SCALE: f64 = 2.0;
/// The mean delay that a limiter starts with: hundreds may have started at once.
const INITIAL_DELAY: f64 = 0.5;
/// Weight of one invocation in the mean earnings.
const EARNINGS_WEIGHT: f64 = 0.025;
/// Time-outs after which one call goes out as a probe, whatever its stake.
const PROBE_TIMEOUTS: f64 = 20.0;
/// Failed calls in a row from which the counter counts as silent.
const OUTAGE_FAILURES: u32 = 3;

/// What one limiter knows of the counter's load.
#[derive(Debug, Default)]
pub struct CounterPrice {
    /// The counter's time-out in seconds.
    timeout: f64,
    /// What one call for each invocation costs, as a share of what is earned.
    fee: f64,
    /// Mean time of answers as a share of half the time-out, 1 at most; a failed call counts as 1.
    delay: f64,
    mean_earnings: f64,
    probe_at: f64,
    failures: u32,
    outage_since: f64,
    outage_ended: f64,
}

impl CounterPrice {
    /// With the counter's time-out in seconds, the fee, and the mean earnings of an invocation as configured.
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

    /// The mean earnings of the invocations seen lately.
    #[must_use]
    pub fn mean_earnings(&self) -> f64 {
        self.mean_earnings
    }

    /// Takes what one more invocation earns into the mean.
    pub fn add_earnings(&mut self, earnings: f64) {
        self.mean_earnings += EARNINGS_WEIGHT * (earnings - self.mean_earnings);
    }

    /// Whether a call with this stake goes out now, by a chance from 0 to 1.
    pub fn admits(&mut self, stake: f64, chance: f64, now: f64) -> bool {
        let share = stake / self.price();
        let admitted = chance < share * share || now >= self.probe_at;
        if admitted {
            self.probe_at = now + PROBE_TIMEOUTS * self.timeout * (0.75 + chance / 2.0);
        }
        admitted
    }

    /// Takes in the counter's answer to one call, after so many seconds.
    pub fn record(&mut self, answer: Counted, seconds: f64, now: f64) {
        if matches!(answer, Counted::Total(_)) {
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
        self.delay += ANSWER_TIME_WEIGHT * (delay - self.delay);
    }

    /// The price of a call: from its fee where answers are quick to several mean earnings where none come.
    fn price(&self) -> f64 {
        self.mean_earnings * self.fee * (MAX_PRICE / self.fee).powf(self.delay)
    }

    /// Since when the counter has been silent or refusing, if it is.
    #[must_use]
    pub fn outage_since(&self) -> Option<f64> {
        (self.failures >= OUTAGE_FAILURES).then_some(self.outage_since)
    }

    /// When its last outage ended; minus infinity if there was none.
    #[must_use]
    pub fn outage_ended(&self) -> f64 {
        self.outage_ended
    }
}
