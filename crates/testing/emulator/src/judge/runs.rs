//! What ran at servers: UNASKED, TWICE, REFUSED, ROUTE and the BUDGET of servers for an attempt.

use super::rule::{Rule, Violation};
use super::settings::JudgeSettings;
use super::view::View;
use crate::record::{AttemptRecord, Fate, Observation};
use std::collections::{HashMap, HashSet};

/// Attempts that may run on more servers than their route allows.
const ATTEMPTS_OVER_RETRIES: usize = 3;

pub(super) fn judge(view: &View, settings: &JudgeSettings, violations: &mut Vec<Violation>) {
    for observation in view
        .observations
        .iter()
        .filter(|observation| observation.fate == Fate::Run)
    {
        if let Some(problem) = unasked(view, observation) {
            let detail = format!(
                "{:?} at {}: {problem}",
                observation.request, observation.instance
            );
            violations.push(Violation {
                rule: Rule::Unasked,
                detail,
            });
        }
        if let Some(problem) = misrouted(view, settings, observation) {
            let detail = format!(
                "{:?} at {}: {problem}",
                observation.request, observation.instance
            );
            violations.push(Violation {
                rule: Rule::Route,
                detail,
            });
        }
    }
    for attempt in &view.attempts {
        let runs = view.runs_of(attempt.request).count();
        if runs > 1 && !attempt.idempotent {
            let detail = format!("{} {} ran {runs} times", attempt.request, attempt.target);
            violations.push(Violation {
                rule: Rule::Twice,
                detail,
            });
        }
        if runs > 0 && ran_despite_rejection(attempt) {
            let detail = format!("{} {} was refused and ran", attempt.request, attempt.target);
            violations.push(Violation {
                rule: Rule::Refused,
                detail,
            });
        }
    }
    operation_ran_twice(view, violations);
    exceeded_retries(view, settings, violations);
}

fn unasked(view: &View, observation: &Observation) -> Option<String> {
    let Some(request) = observation.request else {
        return Some("no id".to_owned());
    };
    let Some(attempt) = view.attempt_of(request) else {
        return Some("no client sent it".to_owned());
    };
    if observation.method != attempt.method || observation.target != attempt.target {
        return Some(format!(
            "{} {} became {} {}",
            attempt.method, attempt.target, observation.method, observation.target
        ));
    }
    let expected = attempt.expected?;
    (observation.digest != expected).then(|| {
        format!(
            "a body of {:?} where {:?} was to be",
            observation.digest, expected
        )
    })
}

fn misrouted(view: &View, settings: &JudgeSettings, observation: &Observation) -> Option<String> {
    let attempt = view.attempt_of(observation.request?)?;
    let allowed = settings
        .routes_for(&attempt.host, &attempt.target)
        .flat_map(|route| route.backends.iter())
        .any(|candidate| candidate.backend == observation.backend && candidate.weight > 0);
    (!allowed).then(|| {
        format!(
            "no route of {} leads to {}",
            attempt.target, observation.backend
        )
    })
}

/// Whether the system itself responded that the request has not run.
fn ran_despite_rejection(attempt: &AttemptRecord) -> bool {
    let Some(answered) = attempt.answered() else {
        return false;
    };
    let promises_no_run = matches!(answered.status, 402 | 408 | 421 | 429 | 503);
    promises_no_run && answered.stamp.is_none() && !attempt.idempotent
}

/// An operation that ran in two attempts, though it is not idempotent.
fn operation_ran_twice(view: &View, violations: &mut Vec<Violation>) {
    let mut ran: HashMap<u64, HashSet<usize>> = HashMap::new();
    for attempt in view.attempts.iter().filter(|attempt| !attempt.idempotent) {
        if view.runs_of(attempt.request).next().is_some() {
            ran.entry(attempt.operation)
                .or_default()
                .insert(attempt.number);
        }
    }
    for attempts in ran.values().filter(|attempts| attempts.len() > 1) {
        let names: Vec<String> = attempts
            .iter()
            .map(|number| view.attempts[*number].request.to_string())
            .collect();
        let detail = format!("one operation ran in the attempts {}", names.join(" and "));
        violations.push(Violation {
            rule: Rule::Twice,
            detail,
        });
    }
}

fn exceeded_retries(view: &View, settings: &JudgeSettings, violations: &mut Vec<Violation>) {
    let over_limit: Vec<&AttemptRecord> = view
        .attempts
        .iter()
        .filter(|attempt| exceeds_retries(view, settings, attempt))
        .collect();
    if over_limit.len() > ATTEMPTS_OVER_RETRIES {
        let detail = format!(
            "{} attempts ran on more servers than their route allows",
            over_limit.len()
        );
        violations.push(Violation {
            rule: Rule::Budget,
            detail,
        });
    }
}

fn exceeds_retries(view: &View, settings: &JudgeSettings, attempt: &AttemptRecord) -> bool {
    let allowed = settings
        .routes_for(&attempt.host, &attempt.target)
        .map(|route| route.retries)
        .max();
    let servers: HashSet<&str> = view
        .runs_of(attempt.request)
        .map(|observation| observation.instance.as_str())
        .collect();
    allowed.is_some_and(|allowed| servers.len() > allowed.max(1) as usize)
}
