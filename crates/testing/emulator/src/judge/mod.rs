//! What the rules want of what servers, clients and the operator saw. Independent of the program under test: it
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

/// The usual bounds of draining and of bringing a version into force.
pub const DRAIN_MS: u64 = 2_000;
/// Time within which an acknowledged configuration is in force everywhere, in milliseconds.
pub const CONFIG_APPLY_MS: u64 = 2_000;
/// Requests that may end with a 4xx of the system's own, though they are proper: so many, and one in so many more.
const DENIED_FREE: usize = 5;
const DENIED_ONE_IN: usize = 500;

/// A rule, by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// An answer is not the server's, or not this request's.
    Mixed,
    /// A server ran what no client sent.
    Unasked,
    /// A request that may run once ran again.
    Twice,
    /// An answer says that the request did not run, and it did.
    Refused,
    /// Too many proper requests ended with a 3xx or 4xx of the system's own.
    Denied,
    /// A program's tokens, or the servers that one attempt reached, exceed what is allowed.
    Budget,
    /// A request ran at a server that no version of its route names.
    Route,
    /// A request reached a server long after its draining was acknowledged.
    Drain,
    /// A request was handled as only a version allows that is no longer the newest.
    Config,
    /// A turn is gone, or a machine that was asked to leave dropped a request that it had read.
    Lost,
    /// A stream misses a piece, has one twice, or joins pieces of two runs.
    Order,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// What was seen, for the reader of the test.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.detail)
    }
}

/// What the judge has to know of configurations and bounds.
#[derive(Clone, Debug)]
pub struct Terms {
    /// All configurations that were ever sent and may be in force.
    pub versions: Vec<ConfigurationPlan>,
    /// Time from an acknowledged draining until no request comes, in milliseconds.
    pub drain_ms: u64,
    /// Time until an acknowledged configuration is in force, in milliseconds.
    pub config_apply_ms: u64,
    /// When machines were not in touch through unplanned trouble: rules with a bound in time do not hold then.
    pub unrest: Vec<Span>,
}

/// A stretch of time, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Its beginning, in milliseconds of the shared clock.
    pub from_ms: u64,
    /// Its end, in milliseconds of the shared clock.
    pub to_ms: u64,
}

impl Span {
    fn contains(self, at_ms: u64) -> bool {
        (self.from_ms..=self.to_ms).contains(&at_ms)
    }
}

impl Terms {
    /// Terms of these versions with the usual bounds, in calm times.
    #[must_use]
    pub fn of(versions: Vec<ConfigurationPlan>) -> Terms {
        Terms {
            versions,
            drain_ms: DRAIN_MS,
            config_apply_ms: CONFIG_APPLY_MS,
            unrest: Vec::new(),
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

    fn calm_during(&self, from_ms: u64, to_ms: u64) -> bool {
        !self
            .unrest
            .iter()
            .any(|span| span.from_ms <= to_ms && from_ms <= span.to_ms)
    }

    fn calm(&self, at_ms: u64) -> bool {
        !self.unrest.iter().any(|span| span.contains(at_ms))
    }
}

/// All that is broken in the record.
#[must_use]
pub fn judge(record: &Record, terms: &Terms) -> Vec<Violation> {
    let view = View::of(record);
    let mut violations = Vec::new();
    answers::judge(&view, &mut violations);
    streams::judge(&view, &mut violations);
    runs::judge(&view, terms, &mut violations);
    programs::judge(&view, terms, &mut violations);
    drain::judge(&view, terms, &mut violations);
    config::judge(&view, terms, &mut violations);
    planned::judge(&view, terms, &mut violations);
    denied(&view, &mut violations);
    violations
}

/// Proper requests that ended with a 3xx or 4xx of the system's own.
fn denied(view: &View, violations: &mut Vec<Violation>) {
    let denied = view.tries.iter().filter(|attempt| {
        let Some(answered) = attempt.answered() else {
            return false;
        };
        let own = answered.stamp.is_none() && !answered.not_executed;
        let owed = !matches!(answered.status, 402 | 404 | 408 | 421 | 429);
        own && owed && (300..500).contains(&answered.status)
    });
    let count = denied.count();
    if count > DENIED_FREE + view.tries.len() / DENIED_ONE_IN {
        let detail = format!(
            "{count} proper requests of {} were denied",
            view.tries.len()
        );
        violations.push(Violation {
            rule: Rule::Denied,
            detail,
        });
    }
}
