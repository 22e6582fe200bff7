//! CONFIG: a request is handled in a way that only a superseded version of the configuration allows.

use super::indexed_record::IndexedRecord;
use super::rule::{Rule, Violation};
use super::settings::JudgeSettings;
use crate::configuration::{ConfigurationPlan, RoutePlan};
use crate::record::{Acknowledged, AttemptRecord, Observation};

/// Stands for the time before any version has to be in force.
const NO_VERSION: u64 = 0;

pub(super) fn judge(
    record: &IndexedRecord,
    settings: &JudgeSettings,
    violations: &mut Vec<Violation>,
) {
    for attempt in record
        .attempts
        .iter()
        .filter(|attempt| settings.is_undisturbed(attempt.sent_ms))
    {
        let newest = newest_in_force(record, settings, attempt.sent_ms);
        if newest == NO_VERSION {
            continue;
        }
        let allowed_routes: Vec<Option<&RoutePlan>> = settings
            .versions
            .iter()
            .filter(|version| version.generation >= newest)
            .map(|version| version.route(&attempt.host, &attempt.target))
            .collect();
        if let Some(problem) = problem(record, attempt, &allowed_routes) {
            let detail = format!(
                "{} {} with version {newest} in force: {problem}",
                attempt.request, attempt.target
            );
            violations.push(Violation {
                rule: Rule::Config,
                detail,
            });
        }
    }
}

/// The newest version that has to be in force at `at_ms`.
fn newest_in_force(record: &IndexedRecord, settings: &JudgeSettings, at_ms: u64) -> u64 {
    let in_force =
        record
            .acknowledgements
            .iter()
            .filter_map(|acknowledgement| match acknowledgement.event {
                Acknowledged::Configuration { generation } => {
                    (acknowledgement.at_ms + settings.config_apply_ms < at_ms).then_some(generation)
                }
                _ => None,
            });
    in_force.max().unwrap_or(NO_VERSION)
}

/// How the request was handled in a way that none of the versions still allowed permits. `routes` holds the request's
/// route in each of these versions.
fn problem(
    record: &IndexedRecord,
    attempt: &AttemptRecord,
    routes: &[Option<&RoutePlan>],
) -> Option<String> {
    let ran = record
        .runs_of(attempt.request)
        .find(|run| !routes.iter().any(|route| allows(*route, run)));
    if let Some(run) = ran {
        return Some(format!("it ran at service {}", run.backend));
    }
    let answered = attempt.answered()?;
    let names_turn = attempt
        .program
        .as_ref()
        .is_some_and(|program| program.previous.is_some());
    let no_route = answered.status == 404 && answered.stamp.is_none() && !names_turn;
    (no_route && !routes.is_empty() && routes.iter().all(Option::is_some))
        .then(|| "it was answered with 404".to_owned())
}

fn allows(route: Option<&RoutePlan>, run: &Observation) -> bool {
    let Some(route) = route else { return false };
    route
        .backends
        .iter()
        .any(|candidate| candidate.backend == run.backend && candidate.weight > 0)
}

impl ConfigurationPlan {
    /// The route of a request: among the routes that match it, the one with the longest path prefix.
    pub(super) fn route(&self, host: &str, target: &str) -> Option<&RoutePlan> {
        let path = target.split('?').next().unwrap_or_default();
        let routes = self.routes.iter().filter(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix)
        });
        routes.max_by_key(|route| route.path_prefix.len())
    }
}
