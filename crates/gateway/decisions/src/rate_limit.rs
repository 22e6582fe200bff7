//! A hard rate limit that limiters enforce without communicating: an even share for each limiter, short windows for
//! units leased from a shared counter, and turns for the time when the counter is silent. Together they admit no more
//! than the limit. There is no state and no clock: the caller passes in the time.

/// Windows whose units can be used at one moment, at the border between them; both have to fit into one burst.
const ADJACENT_WINDOWS: f64 = 2.0;

/// One customer's rate limit and the quota below it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimit {
    /// Units per second; 0 when there is no rate limit.
    pub rate: f64,
    /// Burst, units.
    pub burst: f64,
    /// The quota's units per second.
    pub quota_rate: f64,
    /// The quota's burst, units.
    pub quota_burst: f64,
}

/// One limiter's share of a rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Units per second.
    pub rate: f64,
    /// Burst, units; 0 where turns replace shares.
    pub burst: f64,
}

/// A short window in which units are leased from a counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// Units that may be leased in one window; fractions add up over many windows.
    pub max_units: f64,
    /// Length of the window, seconds.
    pub length: f64,
}

/// Whole units of the window with this number, where `max_units` may be a fraction: rounded so that many windows
/// together hold `max_units` each on average.
#[must_use]
pub fn whole_units_in(max_units: f64, window: i64) -> f64 {
    let up_to = |n: i64| (max_units * n as f64 + 1e-6).floor();
    up_to(window + 1) - up_to(window)
}

impl RateLimit {
    /// One limiter's even share of the limit; with short windows for the quota, of the part that the windows leave. In
    /// that case the burst is 0 if it would not cover one unit.
    #[must_use]
    pub fn share(&self, gateways: f64, short_windows: bool) -> Share {
        if !short_windows {
            return Share {
                rate: self.rate / gateways,
                burst: self.burst / gateways,
            };
        }
        let burst = (self.burst - self.quota_burst) / gateways;
        Share {
            rate: (self.rate - self.quota_rate) / gateways,
            burst: if burst < 1.0 { 0.0 } else { burst },
        }
    }

    /// The short window for leases. Together with the shares, two adjacent windows stay within the limit's burst and a
    /// sequence of windows within its rate.
    #[must_use]
    pub fn window(&self, gateways: f64) -> Window {
        if self.rate <= 0.0 {
            return Window {
                max_units: self.quota_burst,
                length: self.quota_burst / self.quota_rate,
            };
        }
        let share = self.share(gateways, true).burst;
        let (burst, rate) = if share > 0.0 {
            (self.quota_burst / ADJACENT_WINDOWS, self.quota_rate)
        } else {
            (self.quota_burst, self.rate)
        };
        let max_units = burst.min((self.burst - share * gateways) / ADJACENT_WINDOWS);
        Window {
            max_units,
            length: max_units / rate,
        }
    }

    /// The last turn of the limiter with this rank among the customer's gateways: the time at which the limiter earned
    /// one unit, or `None` if that unit has expired. The limiters earn the limit's rate one after the other, and a unit
    /// is valid for the time in which the rate fills the burst, so the turns alone never exceed the limit. The phase
    /// staggers the turns of different customers.
    #[must_use]
    pub fn turn(&self, gateways: f64, rank: f64, phase: f64, now: f64) -> Option<f64> {
        let round = gateways / self.rate;
        let offset = phase + rank / self.rate;
        let earned = ((now - offset) / round).floor() * round + offset;
        (rank < gateways && now - earned < (self.burst - 1.0) / self.rate).then_some(earned)
    }
}
