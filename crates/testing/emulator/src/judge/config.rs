//! CONFIG: a request is handled as only a version allows that is no longer the newest.

use super::rule::{Rule, Violation};
use super::settings::JudgeSettings;
use super::view::View;
use crate::configuration::{ConfigurationPlan, RoutePlan};
use crate::record::{Acknowledged, AttemptRecord, Observation};

/// No version has to be in force.
const NONE_YET: u64 = 0;

pub(super) fn judge(view: &View, settings: &JudgeSettings, violations: &mut Vec<Violation>) {
    for attempt in view
        .attempts
        .iter()
        .filter(|attempt| settings.is_undisturbed(attempt.sent_ms))
    {
        let newest = newest(view, settings, attempt.sent_ms);
        if newest == NONE_YET {
            continue;
        }
        let newer: Vec<Option<&RoutePlan>> = settings
            .versions
            .iter()
            .filter(|version| version.generation >= newest)
            .map(|version| version.route(&attempt.host, &attempt.target))
            .collect();
        if let Some(problem) = problem(view, attempt, &newer) {
            let detail = format!(
                "{} {} under {newest}: {problem}",
                attempt.request, attempt.target
            );
            violations.push(Violation {
                rule: Rule::Config,
                detail,
            });
        }
    }
}

/// The newest version that has to be in force by then.
fn newest(view: &View, settings: &JudgeSettings, at_ms: u64) -> u64 {
    let in_force = view
        .acknowledgements
        .iter()
        .filter_map(|acknowledgement| match acknowledgement.event {
            Acknowledged::Configuration { generation } => {
                (acknowledgement.at_ms + settings.config_apply_ms < at_ms).then_some(generation)
            }
            _ => None,
        });
    in_force.max().unwrap_or(NONE_YET)
}

/// What no version of `newer` allows; each gives the route of the request, if it has one.
fn problem(view: &View, attempt: &AttemptRecord, newer: &[Option<&RoutePlan>]) -> Option<String> {
    let ran = view
        .runs_of(attempt.request)
        .find(|run| !newer.iter().any(|route| allows(*route, run)));
    if let Some(run) = ran {
        return Some(format!("it ran at {}", run.backend));
    }
    let answered = attempt.answered()?;
    let names_turn = attempt
        .program
        .as_ref()
        .is_some_and(|program| program.previous.is_some());
    let no_route = answered.status == 404 && answered.stamp.is_none() && !names_turn;
    (no_route && !newer.is_empty() && newer.iter().all(Option::is_some)).then(|| "404".to_owned())
}

fn allows(route: Option<&RoutePlan>, run: &Observation) -> bool {
    let Some(route) = route else { return false };
    route
        .backends
        .iter()
        .any(|candidate| candidate.backend == run.backend && candidate.weight > 0)
}

impl ConfigurationPlan {
    /// The route of a request: the one with the longest prefix.
    pub(super) fn route(&self, host: &str, target: &str) -> Option<&RoutePlan> {
        let path = target.split('?').next().unwrap_or_default();
        let routes = self.routes.iter().filter(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix)
        });
        routes.max_by_key(|route| route.path_prefix.len())
    }
}
