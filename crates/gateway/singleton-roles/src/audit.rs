//! The role `audit`: compares a counter's total for each name with the sum of what all limiters added to it.
//! It reports drift by name and corrects nothing. No I/O, no clock.
//!
//! Usage reports are cumulative for each limiter and run, so they may arrive late, twice and out of order. A
//! call with an unknown outcome must never count as certain, and two runs of a limiter must never be merged.

use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A name is forgotten this many seconds after its last change; names end with their rate-limit window.
const NAME_RETENTION: f64 = 60.0;

/// Settings of the audit, from the operators' file. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The counter's total for a name is read once nothing was added to the name for this long.
    pub quiet_period: f64,
    /// Maximum number of names that a limiter or an auditor tracks at a time.
    pub max_names: usize,
    /// Drift up to this many units is ignored.
    pub tolerance: f64,
}

/// A setting of the audit is out of range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error(
    "fleet.audit: quiet {quiet}, names {names}, units {units}; quiet must be over 0 and under \
     30 s, names at least 1, units at least 0"
)]
pub struct SettingsError {
    quiet: f64,
    names: usize,
    units: f64,
}

impl Settings {
    /// Checks that every setting is in its range.
    ///
    /// # Errors
    /// A setting is out of range.
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

/// What one limiter has added to one counter name since its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The counter's name.
    pub name: u64,
    /// Number of calls that the counter answered.
    pub calls: u64,
    /// Units added by the answered calls.
    pub units: f64,
    /// Lower bound of the units added by calls with an unknown outcome.
    pub least_unknown: f64,
    /// Upper bound of the units added by calls with an unknown outcome.
    pub most_unknown: f64,
}

/// A message from a limiter to the auditor of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// What a limiter has added so far.
    Usages {
        /// The run (process start) of the limiter.
        run: u64,
        /// Cumulative usage since the start of the run.
        usages: Vec<Usage>,
    },
}

/// The outcome of a call to the counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The counter answered: its total includes the units.
    Answered,
    /// The outcome is unknown: the counter's total may or may not include the units.
    Unknown,
}

struct LocalUsage {
    usage: Usage,
    last_add: f64,
    /// Time of the first add that is not reported yet.
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

/// The limiter's side of the audit: what it added, by name.
#[derive(Default)]
pub struct UsageTally {
    names: BTreeMap<u64, LocalUsage>,
    /// Calls that were not counted because too many names were tracked.
    pub dropped: u64,
}

impl UsageTally {
    /// Records a finished call that adds units to a name.
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

    /// Returns the usages with adds that have been unreported for half of the quiet period, even if more adds
    /// arrive: before the auditor reads a name, it must have a report from every limiter that still adds to it.
    pub fn take_due(&mut self, now: f64, settings: &Settings) -> Vec<Usage> {
        let mut usages = Vec::new();
        let is_due = |local: &&mut LocalUsage| {
            !local.reported && now > local.unreported_since + settings.quiet_period / 2.0
        };
        for local in self.names.values_mut().filter(is_due) {
            local.reported = true;
            usages.push(local.usage.clone());
        }
        self.names
            .retain(|_, local| !local.reported || now < local.last_add + NAME_RETENTION);
        usages
    }

    /// Marks reports that no auditor received as due again.
    pub fn mark_unreported(&mut self, names: impl Iterator<Item = u64>) {
        for name in names {
            if let Some(local) = self.names.get_mut(&name) {
                local.reported = false;
            }
        }
    }
}

/// How a counter's total compares with what the fleet added.
#[derive(Clone, Debug, PartialEq)]
pub enum AuditResult {
    /// The total is within the tolerance.
    Agrees,
    /// The total is this many units below the least that was added: the counter lost updates.
    Lost(f64),
    /// The total is this many units above the most that was reported: a limiter died before it reported its
    /// adds.
    Surplus(f64),
}

#[derive(Default)]
struct FleetUsage {
    by_run: BTreeMap<(Name, u64), Usage>,
    last_change: f64,
    /// The counter's total was requested after the last change.
    total_requested: bool,
}

/// The auditor's side, run by the limiter that owns the shard.
#[derive(Default)]
pub struct Auditor {
    names: BTreeMap<u64, FleetUsage>,
    /// Usages that were rejected because of invalid amounts or too many names.
    pub dropped: u64,
}

impl Auditor {
    /// Takes a limiter's report.
    pub fn receive(&mut self, from: &str, message: Message, now: f64, settings: &Settings) {
        let Message::Usages { run, usages } = message;
        for usage in usages {
            let full =
                !self.names.contains_key(&usage.name) && self.names.len() >= settings.max_names;
            if !has_valid_amounts(&usage) || full {
                self.dropped += 1;
                continue;
            }
            let fleet = self.names.entry(usage.name).or_insert_with(|| FleetUsage {
                last_change: now,
                ..FleetUsage::default()
            });
            let key = (from.to_owned(), run);
            // Call counts and unknown amounts only grow, so an older report that arrives late is ignored.
            let progress = |usage: &Usage| (usage.calls, usage.most_unknown - usage.least_unknown);
            let known = fleet.by_run.get(&key);
            if known.is_none_or(|known| progress(known) < progress(&usage)) {
                fleet.by_run.insert(key, usage);
                (fleet.last_change, fleet.total_requested) = (now, false);
            }
        }
    }

    /// Returns the names that were quiet for the quiet period; the caller reads their totals from the counter.
    pub fn take_due(&mut self, now: f64, settings: &Settings) -> Vec<u64> {
        let mut names = Vec::new();
        for (name, fleet) in &mut self.names {
            if !fleet.total_requested && now > fleet.last_change + settings.quiet_period {
                fleet.total_requested = true;
                names.push(*name);
            }
        }
        self.names
            .retain(|_, fleet| now < fleet.last_change + NAME_RETENTION);
        names
    }

    /// Compares the counter's total for a name, just read, with what the fleet added. Returns None for a name
    /// that was not due or has changed since.
    #[must_use]
    pub fn compare(&self, name: u64, total: f64, settings: &Settings) -> Option<AuditResult> {
        let fleet = self
            .names
            .get(&name)
            .filter(|fleet| fleet.total_requested)?;
        let usages = || fleet.by_run.values();
        let certain: f64 = usages().map(|usage| usage.units).sum();
        let least = certain + usages().map(|usage| usage.least_unknown).sum::<f64>();
        let most = certain + usages().map(|usage| usage.most_unknown).sum::<f64>();
        Some(if total < least - settings.tolerance {
            AuditResult::Lost(least - total)
        } else if total > most + settings.tolerance {
            AuditResult::Surplus(total - most)
        } else {
            AuditResult::Agrees
        })
    }

    /// Forgets all reports after this limiter lost the role; the next owner collects its own.
    pub fn clear(&mut self) {
        self.names.clear();
    }
}

/// Whether all amounts are finite and the unknown bounds include 0.
fn has_valid_amounts(usage: &Usage) -> bool {
    let amounts = [usage.units, usage.least_unknown, usage.most_unknown];
    amounts.iter().all(|amount| amount.is_finite())
        && usage.least_unknown <= 0.0
        && usage.most_unknown >= 0.0
}
