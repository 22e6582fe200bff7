//! The role `audit`: what each limiter added to a counter's name, summed over the fleet, against what the
//! counter says. It reports drift by name and corrects nothing. No I/O, no clock. Reports are cumulative by
//! limiter and run, so they may come late, twice and out of order. It must never count a call whose fate is
//! unknown as certain, and never take two runs of a limiter for one.

use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A name is forgotten this many seconds after its last add: names end with their windows.
const NAME_RETENTION: f64 = 60.0;

/// What the operators' file says. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// A name is read when nothing was added to it for this long.
    pub quiet_period: f64,
    /// Names remembered at once, at a limiter and at an auditor.
    pub max_names: usize,
    /// Drift up to this many units is none.
    pub tolerance: f64,
}

/// The settings can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("fleet.audit: quiet {quiet} (over 0, under 30 s), names {names} (1 or more), units {units} (0 or more)")]
pub struct SettingsError {
    quiet: f64,
    names: usize,
    units: f64,
}

impl Settings {
    /// Checks the ranges.
    ///
    /// # Errors
    /// A setting is out of its range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let quiet = self.quiet_period;
        if !(quiet > 0.0 && quiet < 30.0 && self.max_names > 0 && self.tolerance >= 0.0) {
            return Err(SettingsError {
                quiet,
                names: self.max_names,
                units: self.tolerance,
            });
        }
        Ok(())
    }
}

/// One limiter's adds to one name so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The counter's name.
    pub name: u64,
    /// Calls that were answered.
    pub calls: u64,
    /// Units of those calls.
    pub units: f64,
    /// The least that the units of calls whose fate is unknown may sum to.
    pub least_unknown: f64,
    /// The most that they may sum to.
    pub most_unknown: f64,
}

/// From limiters to the auditor of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// What a limiter added so far.
    Usages {
        /// The limiter's run.
        run: u64,
        /// Sums since that run's start.
        usages: Vec<Usage>,
    },
}

/// How a call to the counter ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The counter answered: the units are in its total.
    Answered,
    /// Nobody knows whether the units are in its total.
    Unknown,
}

struct LocalUsage {
    usage: Usage,
    last_add: f64,
    /// When the first add came that is not reported yet.
    unreported_since: f64,
    reported: bool,
}

impl LocalUsage {
    fn new(name: u64, now: f64) -> Self {
        LocalUsage {
            usage: Usage {
                name,
                ..Usage::default()
            },
            last_add: now,
            unreported_since: now,
            reported: false,
        }
    }
}

/// A limiter's side: what it added, by name.
#[derive(Default)]
pub struct UsageTally {
    names: BTreeMap<u64, LocalUsage>,
    /// Calls that were not counted because too many names were remembered.
    pub dropped: u64,
}

impl UsageTally {
    /// A call that adds units to a name has ended.
    pub fn record_call(
        &mut self,
        name: u64,
        units: f64,
        outcome: CallOutcome,
        now: f64,
        settings: &Settings,
    ) {
        if !self.names.contains_key(&name) && self.names.len() >= settings.max_names {
            self.names.retain(|_, local| !local.reported);
            if self.names.len() >= settings.max_names {
                self.dropped += 1;
                return;
            }
        }
        let local = self.names.entry(name);
        let local = local.or_insert_with(|| LocalUsage::new(name, now));
        if std::mem::take(&mut local.reported) {
            local.unreported_since = now;
        }
        local.last_add = now;
        match outcome {
            CallOutcome::Answered => {
                local.usage.calls += 1;
                local.usage.units += units;
            }
            CallOutcome::Unknown => {
                local.usage.least_unknown += units.min(0.0);
                local.usage.most_unknown += units.max(0.0);
            }
        }
    }

    /// What was not reported yet and has been for half of the quiet period, quiet or not: an auditor that
    /// reads a name has to have heard of all who still add to it.
    pub fn take_due(&mut self, now: f64, settings: &Settings) -> Vec<Usage> {
        let mut usages = Vec::new();
        let due = |local: &&mut LocalUsage| {
            !local.reported && now > local.unreported_since + settings.quiet_period / 2.0
        };
        for local in self.names.values_mut().filter(due) {
            local.reported = true;
            usages.push(local.usage.clone());
        }
        self.names
            .retain(|_, local| !local.reported || now < local.last_add + NAME_RETENTION);
        usages
    }

    /// Nobody was there to take these reports: they are due again.
    pub fn mark_unreported(&mut self, names: impl Iterator<Item = u64>) {
        for name in names {
            if let Some(local) = self.names.get_mut(&name) {
                local.reported = false;
            }
        }
    }
}

/// What the counter says against what the fleet says.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Within the tolerance.
    Agrees,
    /// The counter holds this many units fewer than were surely added: it forgot.
    Lost(f64),
    /// It holds this many more than may have been added: someone died before it reported what it added.
    Surplus(f64),
}

#[derive(Default)]
struct FleetUsage {
    by_run: BTreeMap<(Name, u64), Usage>,
    last_change: f64,
    read: bool,
}

/// The side of the role's owner.
#[derive(Default)]
pub struct Auditor {
    names: BTreeMap<u64, FleetUsage>,
    /// Reports that were not taken: amounts that are none, or too many names.
    pub dropped: u64,
}

impl Auditor {
    /// A limiter's report came.
    pub fn receive(&mut self, from: &str, message: Message, now: f64, settings: &Settings) {
        let Message::Usages { run, usages } = message;
        for usage in usages {
            let full =
                !self.names.contains_key(&usage.name) && self.names.len() >= settings.max_names;
            if !is_sound(&usage) || full {
                self.dropped += 1;
                continue;
            }
            let fleet = self.names.entry(usage.name).or_insert_with(|| FleetUsage {
                last_change: now,
                ..FleetUsage::default()
            });
            let key = (from.to_owned(), run);
            // Sums only grow in calls; an older one that comes late changes nothing.
            let progress = |u: &Usage| (u.calls, u.most_unknown - u.least_unknown);
            let known = fleet.by_run.get(&key);
            if known.is_none_or(|known| progress(known) < progress(&usage)) {
                fleet.by_run.insert(key, usage);
                (fleet.last_change, fleet.read) = (now, false);
            }
        }
    }

    /// Names that have been quiet for long enough to be read now.
    pub fn take_due(&mut self, now: f64, settings: &Settings) -> Vec<u64> {
        let mut names = Vec::new();
        for (name, fleet) in &mut self.names {
            if !fleet.read && now > fleet.last_change + settings.quiet_period {
                fleet.read = true;
                names.push(*name);
            }
        }
        self.names
            .retain(|_, fleet| now < fleet.last_change + NAME_RETENTION);
        names
    }

    /// Compares the counter's total for a name, read now, with what the fleet added. None for a name that
    /// was not due, or was added to since.
    #[must_use]
    pub fn judge(&self, name: u64, total: f64, settings: &Settings) -> Option<Verdict> {
        let fleet = self.names.get(&name).filter(|fleet| fleet.read)?;
        let usages = || fleet.by_run.values();
        let certain: f64 = usages().map(|usage| usage.units).sum();
        let least = certain + usages().map(|usage| usage.least_unknown).sum::<f64>();
        let most = certain + usages().map(|usage| usage.most_unknown).sum::<f64>();
        Some(if total < least - settings.tolerance {
            Verdict::Lost(least - total)
        } else if total > most + settings.tolerance {
            Verdict::Surplus(total - most)
        } else {
            Verdict::Agrees
        })
    }

    /// The role was lost: the next owner gathers anew.
    pub fn clear(&mut self) {
        self.names.clear();
    }
}

/// Amounts that are no numbers say nothing.
fn is_sound(usage: &Usage) -> bool {
    let amounts = [usage.units, usage.least_unknown, usage.most_unknown];
    amounts.iter().all(|amount| amount.is_finite())
        && usage.least_unknown <= 0.0
        && usage.most_unknown >= 0.0
}
