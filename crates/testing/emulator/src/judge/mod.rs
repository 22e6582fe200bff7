//! Checks of the record against the rules of the protocol. Independent of the program under test: the judge
//! knows only the record.

mod answers;
mod config;
mod drain;
mod planned;
mod programs;
mod runs;
mod streams;
mod view;

use crate::configuration::{ConfigurationPlan, RoutePlan};
use crate::record::Record;
use std::fmt;
use view::View;

/// Time from the acknowledgement of draining to the last request, in milliseconds.
pub const DRAIN_MS: u64 = 2_000;
/// Time within which an acknowledged configuration is in force, in milliseconds.
pub const CONFIG_APPLY_MS: u64 = 2_000;
/// Requests that may end with a 4xx of the system's own, though they are proper: so many, and one in so many more.
const DENIED_FREE: usize = 5;
const DENIED_ONE_IN: usize = 500;

/// A rule, by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// A response that is not the server's, or belongs to another request.
    Mixed,
    /// A server ran what no client sent.
    Unasked,
    /// A request that must not be repeated ran twice.
    Twice,
    /// A request was rejected as not run, and ran.
    Refused,
    /// Proper requests were denied.
    Denied,
    /// More tokens or attempts than the budget allows.
    Budget,
    /// A request ran at a service that its route does not lead to.
    Route,
    /// A request reached a server long after its draining was acknowledged.
    Drain,
    /// A request was handled by a superseded configuration.
    Config,
    /// Something acknowledged is missing, or a request was closed by planned work.
    Lost,
    /// A stream with events missing, repeated or mixed.
    Order,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The broken rule.
    pub rule: Rule,
    /// What was seen, with the ids of requests and servers.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.detail)
    }
}

/// Configurations and time bounds by which the judge decides.
#[derive(Clone, Debug)]
pub struct JudgeSettings {
    /// All configurations that were ever sent and may be in force.
    pub versions: Vec<ConfigurationPlan>,
    /// Time from the acknowledgement of draining to the last request, in milliseconds.
    pub drain_ms: u64,
    /// Time from the acknowledgement of a configuration to its effect, in milliseconds.
    pub config_apply_ms: u64,
    /// When machines had no contact because of unplanned faults: rules with a time bound are not checked then.
    pub disturbances: Vec<Span>,
}

/// A stretch of time, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Beginning, in milliseconds of the shared clock.
    pub from_ms: u64,
    /// End, in milliseconds of the shared clock.
    pub to_ms: u64,
}

impl Span {
    fn contains(self, at_ms: u64) -> bool {
        (self.from_ms..=self.to_ms).contains(&at_ms)
    }
}

impl JudgeSettings {
    /// Settings for these versions with the usual bounds and no disturbances.
    #[must_use]
    pub fn of(versions: Vec<ConfigurationPlan>) -> JudgeSettings {
        JudgeSettings {
            versions,
            drain_ms: DRAIN_MS,
            config_apply_ms: CONFIG_APPLY_MS,
            disturbances: Vec::new(),
        }
    }

    /// The routes that take a request, one of each version that has one.
    fn routes_for<'a>(
        &'a self,
        host: &'a str,
        target: &'a str,
    ) -> impl Iterator<Item = &'a RoutePlan> {
        self.versions
            .iter()
            .filter_map(move |version| version.route(host, target))
    }

    fn is_undisturbed_during(&self, from_ms: u64, to_ms: u64) -> bool {
        !self
            .disturbances
            .iter()
            .any(|span| span.from_ms <= to_ms && from_ms <= span.to_ms)
    }

    fn is_undisturbed(&self, at_ms: u64) -> bool {
        !self.disturbances.iter().any(|span| span.contains(at_ms))
    }
}

/// All that is broken in the record.
#[must_use]
pub fn judge(record: &Record, settings: &JudgeSettings) -> Vec<Violation> {
    let view = View::of(record);
    let mut violations = Vec::new();
    answers::judge(&view, &mut violations);
    streams::judge(&view, &mut violations);
    runs::judge(&view, settings, &mut violations);
    programs::judge(&view, settings, &mut violations);
    drain::judge(&view, settings, &mut violations);
    config::judge(&view, settings, &mut violations);
    planned::judge(&view, settings, &mut violations);
    denied(&view, &mut violations);
    violations
}

/// Proper requests that ended with a 3xx or 4xx of the system's own.
fn denied(view: &View, violations: &mut Vec<Violation>) {
    let denied = view.attempts.iter().filter(|attempt| {
        let Some(answered) = attempt.answered() else {
            return false;
        };
        let own = answered.stamp.is_none() && !answered.not_executed;
        let owed = !matches!(answered.status, 402 | 404 | 408 | 421 | 429);
        own && owed && (300..500).contains(&answered.status)
    });
    let count = denied.count();
    if count > DENIED_FREE + view.attempts.len() / DENIED_ONE_IN {
        let detail = format!(
            "{count} proper requests of {} were denied",
            view.attempts.len()
        );
        violations.push(Violation {
            rule: Rule::Denied,
            detail,
        });
    }
}
