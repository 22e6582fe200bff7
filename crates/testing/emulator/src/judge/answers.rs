//! MIXED: a response that is not the server's, or not this request's.

use super::rule::{Rule, Violation};
use super::view::View;
use crate::record::{Answered, AttemptOutcome, AttemptRecord, Observation};

pub(super) fn judge(view: &View, violations: &mut Vec<Violation>) {
    for attempt in &view.attempts {
        if let Some(problem) = problem(view, attempt) {
            let detail = format!("{} {}: {problem}", attempt.request, attempt.target);
            violations.push(Violation {
                rule: Rule::Mixed,
                detail,
            });
        }
    }
}

fn problem(view: &View, attempt: &AttemptRecord) -> Option<String> {
    if let AttemptOutcome::Garbled(reason) = &attempt.outcome {
        return Some(format!("bytes that are no answer: {reason}"));
    }
    let answered = attempt.answered()?;
    if answered.surplus > 0 {
        return Some(format!("{} bytes behind the answer", answered.surplus));
    }
    if answered
        .request
        .is_some_and(|request| request != attempt.request)
    {
        return Some("the answer to another request".to_owned());
    }
    let source = source(view, attempt, answered);
    if (200..300).contains(&answered.status) {
        return success(answered, source);
    }
    match (&answered.stamp, source) {
        (Some(_), None) => Some("a stamp that no server gave to this request".to_owned()),
        (Some(_), Some(source)) if source.status != Some(answered.status) => Some(format!(
            "a failure {} under the stamp of {:?}",
            answered.status, source.status
        )),
        _ => None,
    }
}

/// What is wrong with a success.
fn success(answered: &Answered, source: Option<&Observation>) -> Option<String> {
    if answered.stamp.is_none() {
        return Some("a success without a stamp".to_owned());
    }
    let Some(source) = source else {
        return Some("a success that no server gave to this request".to_owned());
    };
    if source.status != Some(answered.status) {
        return Some(format!(
            "a success where the server answered {:?}",
            source.status
        ));
    }
    if !source.complete {
        return Some("complete, though the server's response was not".to_owned());
    }
    if answered.encoding.is_some() || source.sent_digest != Some(answered.digest) {
        return Some(format!(
            "a body of {:?}, the server sent {:?}",
            answered.digest, source.sent_digest
        ));
    }
    None
}

fn source<'a>(
    view: &'a View,
    attempt: &AttemptRecord,
    answered: &Answered,
) -> Option<&'a Observation> {
    let stamp = answered.stamp.as_ref()?;
    view.observations_of(attempt.request)
        .find(|observation| observation.stamp.as_ref() == Some(stamp))
}
