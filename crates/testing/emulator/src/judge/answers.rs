//! MIXED: a client received a response that no server sent to this request.

use super::indexed_record::IndexedRecord;
use super::rule::{Rule, Violation};
use crate::record::{Answered, AttemptOutcome, AttemptRecord, Observation};

pub(super) fn judge(record: &IndexedRecord, violations: &mut Vec<Violation>) {
    for attempt in &record.attempts {
        if let Some(problem) = problem(record, attempt) {
            let detail = format!("{} {}: {problem}", attempt.request, attempt.target);
            violations.push(Violation {
                rule: Rule::Mixed,
                detail,
            });
        }
    }
}

/// The problem with the response to an attempt, if any.
fn problem(record: &IndexedRecord, attempt: &AttemptRecord) -> Option<String> {
    if let AttemptOutcome::Garbled(reason) = &attempt.outcome {
        return Some(format!("the response is not valid HTTP: {reason}"));
    }
    let answered = attempt.answered()?;
    if answered.surplus > 0 {
        return Some(format!(
            "{} surplus bytes after the response",
            answered.surplus
        ));
    }
    if answered
        .request
        .is_some_and(|request| request != attempt.request)
    {
        return Some("the response names another request".to_owned());
    }
    let observation = observation_with_stamp(record, attempt, answered);
    if (200..300).contains(&answered.status) {
        return problem_with_success(answered, observation);
    }
    match (&answered.stamp, observation) {
        (Some(_), None) => {
            Some("the response has a stamp that no server issued for this request".to_owned())
        }
        (Some(_), Some(observation)) if observation.status != Some(answered.status) => {
            Some(format!(
                "the response has status {}, the server sent {:?} with the same stamp",
                answered.status, observation.status
            ))
        }
        _ => None,
    }
}

/// The problem with a successful response, if any.
fn problem_with_success(answered: &Answered, observation: Option<&Observation>) -> Option<String> {
    if answered.stamp.is_none() {
        return Some("a successful response without a stamp".to_owned());
    }
    let Some(observation) = observation else {
        return Some(
            "a successful response whose stamp no server issued for this request".to_owned(),
        );
    };
    if observation.status != Some(answered.status) {
        return Some(format!(
            "a successful response where the server sent status {:?}",
            observation.status
        ));
    }
    if !observation.complete {
        return Some("a complete response, though the server did not complete it".to_owned());
    }
    if answered.encoding.is_some() || observation.sent_digest != Some(answered.digest) {
        return Some(format!(
            "the response's body has {:?}, the server sent {:?}",
            answered.digest, observation.sent_digest
        ));
    }
    None
}

/// The observation whose response had the stamp that the client received.
fn observation_with_stamp<'a>(
    record: &'a IndexedRecord,
    attempt: &AttemptRecord,
    answered: &Answered,
) -> Option<&'a Observation> {
    let stamp = answered.stamp.as_ref()?;
    record
        .observations_of(attempt.request)
        .find(|observation| observation.stamp.as_ref() == Some(stamp))
}
