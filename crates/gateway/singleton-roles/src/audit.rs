//! The duty `audit`: what each limiter added to a counter's name, summed over the fleet, against what the
//! counter says. It reports drift by name and corrects nothing. No I/O, no clock. Reports are cumulative by
//! limiter and run, so they may come late, twice and out of order. It must never count a call whose fate is
//! unknown as certain, and never take two runs of a limiter for one.

use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// A name is read when nothing was added to it for this long.
    pub quiet: f64,
    /// Names remembered at once, at a limiter and at a holder.
    pub names: usize,
    /// Drift up to this many units is none.
    pub units: f64,
}

impl Settings {
    pub fn check(&self) -> Result<(), String> {
        if !(self.quiet > 0.0 && self.quiet < 30.0 && self.names > 0 && self.units >= 0.0) {
            return Err(format!(
                "fleet.audit: quiet {} (over 0, under 30 s), names {} (1 or more), units {} (0 or more)",
                self.quiet, self.names, self.units
            ));
        }
        Ok(())
    }
}

/// One limiter's adds to one name so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Use {
    pub name: u64,
    /// Calls that were answered, and their units.
    pub calls: u64,
    pub units: f64,
    /// Units of calls that may have been added: the least and the most they may sum to.
    pub least: f64,
    pub most: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    Uses { run: u64, uses: Vec<Use> },
}

struct Own {
    sum: Use,
    at: f64,
    /// When the first add came that was not said yet.
    since: f64,
    said: bool,
}

/// A limiter's side.
#[derive(Default)]
pub struct Tally {
    names: BTreeMap<u64, Own>,
    pub dropped: u64,
}

impl Tally {
    /// A call ended: answered, or nobody knows.
    pub fn call(&mut self, name: u64, add: f64, answered: bool, now: f64, settings: &Settings) {
        if !self.names.contains_key(&name) && self.names.len() >= settings.names {
            self.names.retain(|_, o| !o.said);
            if self.names.len() >= settings.names {
                self.dropped += 1;
                return;
            }
        }
        let fresh = || Own {
            sum: Use {
                name,
                ..Use::default()
            },
            at: now,
            since: now,
            said: false,
        };
        let own = self.names.entry(name).or_insert_with(fresh);
        if std::mem::take(&mut own.said) {
            own.since = now;
        }
        own.at = now;
        if answered {
            own.sum.calls += 1;
            own.sum.units += add;
        } else {
            own.sum.least += add.min(0.0);
            own.sum.most += add.max(0.0);
        }
    }

    /// What was not said yet and has been for half of the stated time, quiet or not: an auditor that reads a
    /// name has to have heard of all who still add to it.
    pub fn due(&mut self, now: f64, settings: &Settings) -> Vec<Use> {
        let mut uses = Vec::new();
        for own in self
            .names
            .values_mut()
            .filter(|o| !o.said && now > o.since + settings.quiet / 2.0)
        {
            own.said = true;
            uses.push(own.sum.clone());
        }
        // Names end with their windows; what was said long ago is over.
        self.names.retain(|_, o| !o.said || now < o.at + 60.0);
        uses
    }
}

impl Tally {
    /// Nobody was there to hear of these: they are due again.
    pub fn unsaid(&mut self, names: impl Iterator<Item = u64>) {
        for name in names {
            if let Some(own) = self.names.get_mut(&name) {
                own.said = false;
            }
        }
    }
}

/// What the counter says against what the fleet says.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Agrees,
    /// The counter holds this many units fewer than were surely added: it forgot.
    Lost(f64),
    /// It holds this many more than may have been added: someone died before it said what it added.
    Surplus(f64),
}

struct Summed {
    by: BTreeMap<(Name, u64), Use>,
    at: f64,
    asked: bool,
}

/// The holder's side.
#[derive(Default)]
pub struct Auditor {
    names: BTreeMap<u64, Summed>,
    pub dropped: u64,
}

impl Auditor {
    pub fn hear(&mut self, from: &str, msg: Msg, now: f64, settings: &Settings) {
        let Msg::Uses { run, uses } = msg;
        for u in uses {
            // Amounts that are no numbers say nothing.
            if ![u.units, u.least, u.most].iter().all(|v| v.is_finite())
                || u.least > 0.0
                || u.most < 0.0
            {
                self.dropped += 1;
                continue;
            }
            if !self.names.contains_key(&u.name) && self.names.len() >= settings.names {
                self.dropped += 1;
                continue;
            }
            let fresh = || Summed {
                by: BTreeMap::new(),
                at: now,
                asked: false,
            };
            let of = self.names.entry(u.name).or_insert_with(fresh);
            let key = (from.to_owned(), run);
            // Sums only grow in calls; an older one that comes late changes nothing.
            if of
                .by
                .get(&key)
                .is_none_or(|old| (old.calls, old.most - old.least) < (u.calls, u.most - u.least))
            {
                of.by.insert(key, u);
                (of.at, of.asked) = (now, false);
            }
        }
    }

    /// Names that have been quiet for long enough to be read now.
    pub fn due(&mut self, now: f64, settings: &Settings) -> Vec<u64> {
        let mut due = Vec::new();
        for (name, of) in self
            .names
            .iter_mut()
            .filter(|(_, o)| !o.asked && now > o.at + settings.quiet)
        {
            of.asked = true;
            due.push(*name);
        }
        self.names.retain(|_, o| now < o.at + 60.0);
        due
    }

    /// The counter's total for a name, read now.
    pub fn total(&self, name: u64, total: f64, settings: &Settings) -> Option<Verdict> {
        let of = self.names.get(&name).filter(|o| o.asked)?;
        let sum: f64 = of.by.values().map(|u| u.units).sum();
        let least: f64 = sum + of.by.values().map(|u| u.least).sum::<f64>();
        let most: f64 = sum + of.by.values().map(|u| u.most).sum::<f64>();
        Some(if total < least - settings.units {
            Verdict::Lost(least - total)
        } else if total > most + settings.units {
            Verdict::Surplus(total - most)
        } else {
            Verdict::Agrees
        })
    }

    pub fn ended(&mut self) {
        self.names.clear();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings() -> Settings {
        Settings {
            quiet: 2.0,
            names: 100,
            units: 0.01,
        }
    }

    /// Two limiters add to a name, one call's fate is unknown; reports come twice and out of order.
    fn summed() -> Auditor {
        let (s, mut a) = (settings(), Auditor::default());
        let (mut x, mut y) = (Tally::default(), Tally::default());
        x.call(7, 3.0, true, 0.0, &s);
        let early = x.due(1.5, &s);
        x.unsaid([7].into_iter());
        assert_eq!(x.due(1.5, &s), early, "said again, as nobody heard it");
        x.call(7, 2.0, true, 1.6, &s);
        x.call(7, 4.0, false, 1.7, &s);
        y.call(7, -1.0, true, 0.0, &s);
        let late = x.due(3.0, &s);
        assert_eq!(x.due(3.1, &s), [], "said once");
        let mut busy = Tally::default();
        (0..40).for_each(|n| busy.call(9, 1.0, true, n as f64 * 0.1, &s));
        assert_eq!(busy.due(4.0, &s).len(), 1, "said though it never was quiet");
        for (from, run, uses) in [
            ("x", 1, late.clone()),
            ("x", 1, early),
            ("x", 1, late),
            ("y", 1, y.due(3.0, &s)),
        ] {
            a.hear(from, Msg::Uses { run, uses }, 3.0, &s);
        }
        assert_eq!(a.due(4.0, &s), [] as [u64; 0]);
        assert_eq!(a.due(5.1, &s), [7]);
        a
    }

    #[test]
    fn what_may_have_been_added_is_not_taken_for_drift() {
        let (s, a) = (settings(), summed());
        assert_eq!(a.total(7, 4.0, &s), Some(Verdict::Agrees));
        assert_eq!(a.total(7, 8.0, &s), Some(Verdict::Agrees));
        assert_eq!(a.total(7, 1.0, &s), Some(Verdict::Lost(3.0)));
        assert_eq!(a.total(7, 10.0, &s), Some(Verdict::Surplus(2.0)));
        assert_eq!(a.total(8, 0.0, &s), None);
    }

    #[test]
    fn a_restarted_limiter_counts_beside_its_older_run_and_bad_amounts_are_dropped() {
        let (s, mut a) = (settings(), summed());
        let one = |units: f64| Use {
            name: 7,
            calls: 1,
            units,
            ..Use::default()
        };
        a.hear(
            "x",
            Msg::Uses {
                run: 2,
                uses: vec![one(5.0)],
            },
            5.2,
            &s,
        );
        a.hear(
            "z",
            Msg::Uses {
                run: 1,
                uses: vec![one(f64::INFINITY)],
            },
            5.2,
            &s,
        );
        let wrong = Use {
            least: 1.0,
            ..one(1.0)
        };
        a.hear(
            "z",
            Msg::Uses {
                run: 1,
                uses: vec![wrong],
            },
            5.2,
            &s,
        );
        assert_eq!(a.dropped, 2);
        assert_eq!(a.due(7.3, &s), [7], "it is read anew");
        assert_eq!(a.total(7, 9.0, &s), Some(Verdict::Agrees));
    }
}
