//! Requests that ran at servers: UNASKED, TWICE, REFUSED, ROUTE, and the BUDGET of servers for one attempt.

use super::indexed_record::IndexedRecord;
use super::rule::{Rule, Violation};
use super::settings::JudgeSettings;
use crate::record::{AttemptRecord, Fate, Observation};
use std::collections::{HashMap, HashSet};

/// Number of attempts that may run on more servers than their route allows.
const ALLOWED_ATTEMPTS_OVER_RETRIES: usize = 3;

pub(super) fn judge(
    record: &IndexedRecord,
    settings: &JudgeSettings,
    violations: &mut Vec<Violation>,
) {
    for observation in record
        .observations
        .iter()
        .filter(|observation| observation.fate == Fate::Run)
    {
        if let Some(problem) = unasked(record, observation) {
            let detail = format!(
                "{:?} at {}: {problem}",
                observation.request, observation.instance
            );
            violations.push(Violation {
                rule: Rule::Unasked,
                detail,
            });
        }
        if let Some(problem) = misrouted(record, settings, observation) {
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
    for attempt in &record.attempts {
        let runs = record.runs_of(attempt.request).count();
        if runs > 1 && !attempt.idempotent {
            let detail = format!("{} {} ran {runs} times", attempt.request, attempt.target);
            violations.push(Violation {
                rule: Rule::Twice,
                detail,
            });
        }
        if runs > 0 && ran_despite_rejection(attempt) {
            let detail = format!(
                "{} {} was rejected as not run, but ran",
                attempt.request, attempt.target
            );
            violations.push(Violation {
                rule: Rule::Refused,
                detail,
            });
        }
    }
    check_operations_run_once(record, violations);
    check_retries(record, settings, violations);
}

/// The problem where no client sent the request as the server received it.
fn unasked(record: &IndexedRecord, observation: &Observation) -> Option<String> {
    let Some(request) = observation.request else {
        return Some("the request has no id".to_owned());
    };
    let Some(attempt) = record.attempt_of(request) else {
        return Some("no client sent this request".to_owned());
    };
    if observation.method != attempt.method || observation.target != attempt.target {
        return Some(format!(
            "the client sent {} {}, the server received {} {}",
            attempt.method, attempt.target, observation.method, observation.target
        ));
    }
    let expected = attempt.expected?;
    (observation.digest != expected).then(|| {
        format!(
            "the server received a body of {:?} instead of {:?}",
            observation.digest, expected
        )
    })
}

/// The problem where no version of the configuration routes the request to the service that ran it.
fn misrouted(
    record: &IndexedRecord,
    settings: &JudgeSettings,
    observation: &Observation,
) -> Option<String> {
    let attempt = record.attempt_of(observation.request?)?;
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

/// Whether the system itself rejected an attempt as not run, with a status and no server's stamp.
fn ran_despite_rejection(attempt: &AttemptRecord) -> bool {
    let Some(answered) = attempt.answered() else {
        return false;
    };
    let promises_no_run = matches!(answered.status, 402 | 408 | 421 | 429 | 503);
    promises_no_run && answered.stamp.is_none() && !attempt.idempotent
}

/// Finds operations that ran in more than one attempt, though they are not idempotent.
fn check_operations_run_once(record: &IndexedRecord, violations: &mut Vec<Violation>) {
    let mut ran: HashMap<u64, HashSet<usize>> = HashMap::new();
    for attempt in record.attempts.iter().filter(|attempt| !attempt.idempotent) {
        if record.runs_of(attempt.request).next().is_some() {
            ran.entry(attempt.operation)
                .or_default()
                .insert(attempt.number);
        }
    }
    for attempts in ran.values().filter(|attempts| attempts.len() > 1) {
        let request_ids: Vec<String> = attempts
            .iter()
            .map(|number| record.attempts[*number].request.to_string())
            .collect();
        let detail = format!(
            "one operation ran in the attempts {}",
            request_ids.join(" and ")
        );
        violations.push(Violation {
            rule: Rule::Twice,
            detail,
        });
    }
}

fn check_retries(
    record: &IndexedRecord,
    settings: &JudgeSettings,
    violations: &mut Vec<Violation>,
) {
    let over_limit: Vec<&AttemptRecord> = record
        .attempts
        .iter()
        .filter(|attempt| exceeds_retries(record, settings, attempt))
        .collect();
    if over_limit.len() > ALLOWED_ATTEMPTS_OVER_RETRIES {
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

/// Whether an attempt ran on more servers than its route allows.
fn exceeds_retries(
    record: &IndexedRecord,
    settings: &JudgeSettings,
    attempt: &AttemptRecord,
) -> bool {
    let allowed = settings
        .routes_for(&attempt.host, &attempt.target)
        .map(|route| route.retries)
        .max();
    let servers: HashSet<&str> = record
        .runs_of(attempt.request)
        .map(|observation| observation.instance.as_str())
        .collect();
    allowed.is_some_and(|allowed| servers.len() > allowed.max(1) as usize)
}
