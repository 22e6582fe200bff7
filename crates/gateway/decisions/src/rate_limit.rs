//! A hard rate limit kept by limiters that cannot hear each other: even shares for each, short windows for what a
//! shared counter leases, and turns for a counter that is silent. No state and no clock; the owner of a share, a
//! window or a turn gives the time. What may go out by each way adds up to the limit at most.

/// Two windows meet at their border: what both lease lies within one burst.
const ADJACENT_WINDOWS: f64 = 2.0;

/// One customer's rate limit, in units and units a second, with the quota under it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimit {
    /// Units a second; 0 where there is no rate limit.
    pub rate: f64,
    /// The most units at once.
    pub burst: f64,
    /// The quota's units a second.
    pub quota_rate: f64,
    /// The quota's most units at once.
    pub quota_burst: f64,
}

/// One limiter's share of a rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Units a second.
    pub rate: f64,
    /// The most units at once; 0 where turns take the place of shares.
    pub burst: f64,
}

/// A short window in which a counter leases units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// Units that may be leased in one window; over many windows, fractions add up.
    pub max_units: f64,
    /// Seconds.
    pub length: f64,
}

/// Whole invocations in the window with this number, of so much in each: many windows add up to all of it.
#[must_use]
pub fn whole_units_in(max_units: f64, window: i64) -> f64 {
    let up_to = |n: i64| (max_units * n as f64 + 1e-6).floor();
    up_to(window + 1) - up_to(window)
}

impl RateLimit {
    /// One limiter's even share; with short windows for the quota, what these leave, as long as the burst covers a
    /// unit: else none of the burst.
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

    /// A short window: with the shares, two windows are no more than the limit's burst, and one after the other no
    /// more than its rate.
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

    /// The last turn of the limiter with this rank among the customer's gateways: the time at which it earned one
    /// unit, if that still holds. All limiters earn the limit's rate one after the other, and a unit holds for as long
    /// as the rate takes to fill the burst; so over any time no more is earned and held than the limit gives, if
    /// nothing else is admitted. The phase keeps customers apart.
    #[must_use]
    pub fn turn(&self, gateways: f64, rank: f64, phase: f64, now: f64) -> Option<f64> {
        let round = gateways / self.rate;
        let offset = phase + rank / self.rate;
        let earned = ((now - offset) / round).floor() * round + offset;
        (rank < gateways && now - earned < (self.burst - 1.0) / self.rate).then_some(earned)
    }
}
