//! What the rules want of what servers, clients and the operator saw. Independent of the program under test: it
//! knows only the record.

mod answers;
mod drain;
mod programs;
mod runs;
mod streams;
mod view;

use crate::configuration::{ConfigurationPlan, RoutePlan};
use crate::record::Record;
use std::fmt;
use view::View;

/// Requests that may end with a 4xx of the system's own, though they are proper: so many, and one in so many more.
const DENIED_FREE: usize = 5;
const DENIED_ONE_IN: usize = 500;

/// A rule, by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    Mixed,
    Unasked,
    Twice,
    Refused,
    Denied,
    Budget,
    Route,
    Drain,
    Lost,
    Order,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.detail)
    }
}

/// What the judge has to know of configuration and bounds.
#[derive(Clone, Debug)]
pub struct Terms {
    /// All routes that were ever sent, old forms of a route included.
    pub routes: Vec<RoutePlan>,
    pub drain_ms: u64,
}

impl Terms {
    /// The routes of `configurations`.
    pub fn of(configurations: &[&ConfigurationPlan], drain_ms: u64) -> Terms {
        let routes = configurations.iter().flat_map(|plan| plan.routes.iter().cloned()).collect();
        Terms { routes, drain_ms }
    }

    /// The routes that may take a request: those with the longest prefix in some configuration.
    fn routes_for<'a>(&'a self, host: &'a str, target: &'a str) -> impl Iterator<Item = &'a RoutePlan> {
        self.routes.iter().filter(move |route| {
            route.host.eq_ignore_ascii_case(host) && target.starts_with(&route.path_prefix)
        })
    }
}

/// All that is broken in the record.
pub fn judge(record: &Record, terms: &Terms) -> Vec<Violation> {
    let view = View::of(record);
    let mut violations = Vec::new();
    answers::judge(&view, &mut violations);
    streams::judge(&view, &mut violations);
    runs::judge(&view, terms, &mut violations);
    programs::judge(&view, terms, &mut violations);
    drain::judge(&view, terms, &mut violations);
    denied(&view, &mut violations);
    violations
}

/// Proper requests that ended with a 3xx or 4xx of the system's own.
fn denied(view: &View, violations: &mut Vec<Violation>) {
    let denied = view.tries.iter().filter(|attempt| {
        let Some(answered) = attempt.answered() else { return false };
        let own = answered.stamp.is_none() && !answered.not_executed;
        let owed = !matches!(answered.status, 402 | 404 | 408 | 421 | 429);
        own && owed && (300..500).contains(&answered.status)
    });
    let count = denied.count();
    if count > DENIED_FREE + view.tries.len() / DENIED_ONE_IN {
        let detail = format!("{count} proper requests of {} were denied", view.tries.len());
        violations.push(Violation { rule: Rule::Denied, detail });
    }
}
