//! What other gateways say of a server's trouble: it is asked less until a request of our own is served there.
//!
//! A hint never keeps a server out, whoever gives it: the server counts as slower but for one request every few
//! seconds, and no longer once a request that was sent after the hint is served. Against one gateway that is wrong
//! about a server, or cut off from it.

use crate::types::Millis;

/// A hint that is not repeated counts for this long.
const HINT_MS: u64 = 1_300;
/// How many times slower a server counts that others find in trouble.
const HINTED_SLOWNESS: f64 = 8.0;
/// After this time without a request the next one goes there as if nothing had been said.
const PROBE_AFTER_MS: u64 = 5_000;

/// What others say of one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Hint {
    /// Nothing.
    #[default]
    None,
    /// It is in trouble.
    Trouble {
        since: Millis,
        until: Millis,
        slower_until: Millis,
    },
    /// It is in trouble, while our own request was served.
    Refuted { until: Millis },
}

impl Hint {
    /// Others find the server in trouble.
    pub(crate) fn note(&mut self, now: Millis) {
        let until = now + HINT_MS;
        let next = match self.at(now) {
            Hint::None => Hint::Trouble {
                since: now,
                until,
                slower_until: now + PROBE_AFTER_MS,
            },
            Hint::Trouble {
                since,
                slower_until,
                ..
            } => Hint::Trouble {
                since,
                until,
                slower_until,
            },
            Hint::Refuted { .. } => Hint::Refuted { until },
        };
        self.enter(next);
    }

    /// A request of our own is sent there.
    pub(crate) fn sent(&mut self, now: Millis) {
        if let Hint::Trouble {
            since,
            until,
            slower_until,
        } = self.at(now)
        {
            if now >= slower_until {
                self.enter(Hint::Trouble {
                    since,
                    until,
                    slower_until: now + PROBE_AFTER_MS,
                });
            }
        }
    }

    /// A request of our own that was sent at `sent_at` was served.
    pub(crate) fn refute(&mut self, sent_at: Millis, now: Millis) {
        if let Hint::Trouble { since, until, .. } = self.at(now) {
            if sent_at >= since {
                self.enter(Hint::Refuted { until });
            }
        }
    }

    /// How many times slower the server counts.
    pub(crate) fn slowness(self, now: Millis) -> f64 {
        match self.at(now) {
            Hint::Trouble { slower_until, .. } if now < slower_until => HINTED_SLOWNESS,
            _ => 1.0,
        }
    }

    /// The hint as of now.
    fn at(self, now: Millis) -> Hint {
        match self {
            Hint::Trouble { until, .. } | Hint::Refuted { until } if now >= until => Hint::None,
            hint => hint,
        }
    }

    /// The one place where the hint changes.
    fn enter(&mut self, hint: Hint) {
        *self = hint;
    }
}

#[cfg(test)]
mod tests;
