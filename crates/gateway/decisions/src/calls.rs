//! What a call to the shared counter has to be worth. Hundreds of limiters share a counter that answers a
//! part of their invocations; none hears of the others but by how quickly it answers. Each holds a price:
//! it falls with quick answers and rises with slow ones and with none, and a call goes out by its stake
//! over that price, so that the calls of all come to what the counter bears and go where they are worth
//! most. No clock and no random source: the caller gives time and chance.

use crate::types::Counted;

/// Weight of one answer's time in the running mean.
const LATEST: f64 = 0.2;
/// Mean worths that the price is at where all fail; least share of one that it is at where all are quick.
const MOST: f64 = 10.0;
const LEAST: f64 = 0.01;
/// An answer that takes half of its time-out is as bad as none: by then there is a long queue before it.
const HALF: f64 = 2.0;
/// The mean that a limiter starts with: hundreds may have started at once.
const FIRST: f64 = 0.5;
/// Weight of one invocation's worth in the mean.
const NEWEST: f64 = 0.025;
/// Time-outs after which one call goes out as a test, whatever it is worth.
const TEST: f64 = 20.0;
/// Failed calls in a row from which the counter is held to be silent.
const SILENT: u32 = 3;

#[derive(Debug, Default)]
pub struct Calls {
    /// The counter's time-out, and what one call for each invocation costs as a share of what is earned.
    wait: f64,
    fee: f64,
    /// Mean time of answers as a share of half the time-out, 1 at most; what failed counts whole.
    slow: f64,
    worth: f64,
    test_at: f64,
    failures: u32,
    since: f64,
    ended: f64,
}

impl Calls {
    /// With the counter's time-out in seconds, the fee, and the mean worth of an invocation as set.
    pub fn new(wait: f64, fee: f64, worth: f64) -> Self {
        let worth = worth.max(1e-9);
        Calls {
            wait,
            fee: fee.max(LEAST),
            worth,
            slow: FIRST,
            ended: f64::NEG_INFINITY,
            ..Calls::default()
        }
    }

    /// The mean worth of the invocations seen lately.
    pub fn worth(&self) -> f64 {
        self.worth
    }

    pub fn seen(&mut self, worth: f64) {
        self.worth += NEWEST * (worth - self.worth);
    }

    /// Whether a call with this stake goes out now, by a chance from 0 to 1.
    pub fn open(&mut self, stake: f64, chance: f64, now: f64) -> bool {
        let share = stake / self.price();
        let open = chance < share * share || now >= self.test_at;
        if open {
            self.test_at = now + TEST * self.wait * (0.75 + chance / 2.0);
        }
        open
    }

    /// The counter's answer to one call, after so many seconds.
    pub fn heard(&mut self, counted: Counted, spent: f64, now: f64) {
        if matches!(counted, Counted::Total(_)) {
            self.ended = if self.failures >= SILENT {
                now
            } else {
                self.ended
            };
            self.failures = 0;
        } else {
            self.since = if self.failures == 0 { now } else { self.since };
            self.failures += 1;
        }
        let spent = if self.failures == 0 {
            (HALF * spent / self.wait).min(1.0)
        } else {
            1.0
        };
        self.slow += LATEST * (spent - self.slow);
    }

    /// The price of a call: from its fee where answers are quick to several mean worths where none come.
    fn price(&self) -> f64 {
        self.worth * self.fee * (MOST / self.fee).powf(self.slow)
    }

    /// Since when the counter has been silent or refusing, if it is.
    pub fn silent_since(&self) -> Option<f64> {
        (self.failures >= SILENT).then_some(self.since)
    }

    /// When its last silence ended.
    pub fn silent_until(&self) -> f64 {
        self.ended
    }
}
