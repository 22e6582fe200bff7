//! A hard ceiling held by limiters that cannot hear each other: even parts for each, short windows for
//! what a shared counter leases, and turns for a counter that is silent. No state, no clock; whoever keeps
//! a part, a window or a turn gives the time. What may go out by each way adds up to the ceiling at most.

/// Two windows meet at their border: what both lease lies within one burst.
const BORDER: f64 = 2.0;

/// One customer's ceiling, in units and units a second, with the quota under it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ceiling {
    pub rate: f64,
    pub burst: f64,
    pub quota_rate: f64,
    pub quota_burst: f64,
}

/// Whole invocations in the window with this number, of so much in each: many windows add up to all of it.
pub fn whole(most: f64, window: i64) -> f64 {
    let upto = |n: i64| (most * n as f64 + 1e-6).floor();
    upto(window + 1) - upto(window)
}

impl Ceiling {
    /// One limiter's even part of the rate and the burst; where short windows lease the quota, what that
    /// leaves, as long as it covers a unit: else none of the burst.
    pub fn part(&self, gateways: f64, short: bool) -> (f64, f64) {
        if !short {
            return (self.rate / gateways, self.burst / gateways);
        }
        let burst = (self.burst - self.quota_burst) / gateways;
        (
            (self.rate - self.quota_rate) / gateways,
            if burst < 1.0 { 0.0 } else { burst },
        )
    }

    /// What may be leased in one short window, and its length: with the parts, two windows are no more than
    /// the ceiling's burst, and one after the other no more than its rate.
    pub fn window(&self, gateways: f64) -> (f64, f64) {
        if self.rate <= 0.0 {
            return (self.quota_burst, self.quota_burst / self.quota_rate);
        }
        let part = self.part(gateways, true).1;
        let (burst, rate) = match part > 0.0 {
            true => (self.quota_burst / BORDER, self.quota_rate),
            false => (self.quota_burst, self.rate),
        };
        let most = burst.min((self.burst - part * gateways) / BORDER);
        (most, most / rate)
    }

    /// The last turn of the limiter with this rank in the customer's set: the time at which it earned one
    /// unit, if that still holds. All limiters earn the ceiling's rate one after the other, and a unit holds
    /// for as long as the rate takes to fill the burst; so over any time no more is earned and held than the
    /// ceiling gives, if nothing else is let in. The phase keeps customers apart.
    pub fn turn(&self, gateways: f64, rank: f64, phase: f64, now: f64) -> Option<f64> {
        let round = gateways / self.rate;
        let offset = phase + rank / self.rate;
        let earned = ((now - offset) / round).floor() * round + offset;
        (rank < gateways && now - earned < (self.burst - 1.0) / self.rate).then_some(earned)
    }
}
