//! What ran at servers: UNASKED, TWICE, REFUSED, ROUTE and the BUDGET of servers a try.

use super::view::View;
use super::{Rule, Terms, Violation};
use crate::record::{Fate, Sighting, Try};
use std::collections::{HashMap, HashSet};

/// Tries that may run on more servers than their route allows.
const TRIES_OVER_RETRIES: usize = 3;

pub(super) fn judge(view: &View, terms: &Terms, violations: &mut Vec<Violation>) {
    for sighting in view
        .sightings
        .iter()
        .filter(|sighting| sighting.fate == Fate::Run)
    {
        if let Some(problem) = unasked(view, sighting) {
            let detail = format!("{:?} at {}: {problem}", sighting.request, sighting.instance);
            violations.push(Violation {
                rule: Rule::Unasked,
                detail,
            });
        }
        if let Some(problem) = misrouted(view, terms, sighting) {
            let detail = format!("{:?} at {}: {problem}", sighting.request, sighting.instance);
            violations.push(Violation {
                rule: Rule::Route,
                detail,
            });
        }
    }
    for attempt in &view.tries {
        let runs = view.runs_of(attempt.request).count();
        if runs > 1 && !attempt.repeatable {
            let detail = format!("{} {} ran {runs} times", attempt.request, attempt.target);
            violations.push(Violation {
                rule: Rule::Twice,
                detail,
            });
        }
        if runs > 0 && broken_promise(attempt) {
            let detail = format!("{} {} was refused and ran", attempt.request, attempt.target);
            violations.push(Violation {
                rule: Rule::Refused,
                detail,
            });
        }
    }
    wanted_twice(view, violations);
    over_retries(view, terms, violations);
}

fn unasked(view: &View, sighting: &Sighting) -> Option<String> {
    let Some(request) = sighting.request else {
        return Some("no id".to_owned());
    };
    let Some(attempt) = view.try_of(request) else {
        return Some("no client sent it".to_owned());
    };
    if sighting.method != attempt.method || sighting.target != attempt.target {
        return Some(format!(
            "{} {} became {} {}",
            attempt.method, attempt.target, sighting.method, sighting.target
        ));
    }
    let expected = attempt.expected?;
    (sighting.digest != expected).then(|| {
        format!(
            "a body of {:?} where {:?} was to be",
            sighting.digest, expected
        )
    })
}

fn misrouted(view: &View, terms: &Terms, sighting: &Sighting) -> Option<String> {
    let attempt = view.try_of(sighting.request?)?;
    let allowed = terms
        .routes_for(&attempt.host, &attempt.target)
        .flat_map(|route| route.backends.iter())
        .any(|share| share.backend == sighting.backend && share.weight > 0);
    (!allowed).then(|| {
        format!(
            "no route of {} leads to {}",
            attempt.target, sighting.backend
        )
    })
}

/// An answer that promises that the request has not run, given by the system itself.
fn broken_promise(attempt: &Try) -> bool {
    let Some(answered) = attempt.answered() else {
        return false;
    };
    let promise = matches!(answered.status, 402 | 408 | 421 | 429 | 503);
    promise && answered.stamp.is_none() && !attempt.repeatable
}

/// A thing wanted once that ran in two tries, though none of them may be repeated.
fn wanted_twice(view: &View, violations: &mut Vec<Violation>) {
    let mut ran: HashMap<u64, HashSet<usize>> = HashMap::new();
    for attempt in view.tries.iter().filter(|attempt| !attempt.repeatable) {
        if view.runs_of(attempt.request).next().is_some() {
            ran.entry(attempt.wanted)
                .or_default()
                .insert(attempt.number);
        }
    }
    for tries in ran.values().filter(|tries| tries.len() > 1) {
        let names: Vec<String> = tries
            .iter()
            .map(|number| view.tries[*number].request.to_string())
            .collect();
        let detail = format!("one thing wanted ran in the tries {}", names.join(" and "));
        violations.push(Violation {
            rule: Rule::Twice,
            detail,
        });
    }
}

fn over_retries(view: &View, terms: &Terms, violations: &mut Vec<Violation>) {
    let over: Vec<&Try> = view
        .tries
        .iter()
        .filter(|attempt| is_over_retries(view, terms, attempt))
        .collect();
    if over.len() > TRIES_OVER_RETRIES {
        let detail = format!(
            "{} tries ran on more servers than their route allows",
            over.len()
        );
        violations.push(Violation {
            rule: Rule::Budget,
            detail,
        });
    }
}

fn is_over_retries(view: &View, terms: &Terms, attempt: &Try) -> bool {
    let allowed = terms
        .routes_for(&attempt.host, &attempt.target)
        .map(|route| route.retries)
        .max();
    let servers: HashSet<&str> = view
        .runs_of(attempt.request)
        .map(|sighting| sighting.instance.as_str())
        .collect();
    allowed.is_some_and(|allowed| servers.len() > allowed.max(1) as usize)
}
