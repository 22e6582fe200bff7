//! ORDER: a stream misses an event, repeats one, or mixes the events of two runs.

use super::indexed_record::IndexedRecord;
use super::rule::{Rule, Violation};
use crate::record::{Answered, AttemptRecord};

pub(super) fn judge(record: &IndexedRecord, violations: &mut Vec<Violation>) {
    for attempt in &record.attempts {
        let Some(received) = attempt.received() else {
            continue;
        };
        if let Some(problem) = problem(record, attempt, received) {
            let detail = format!("{} {}: {problem}", attempt.request, attempt.target);
            violations.push(Violation {
                rule: Rule::Order,
                detail,
            });
        }
    }
}

/// The problem with the events that an attempt received, if any.
fn problem(record: &IndexedRecord, attempt: &AttemptRecord, received: &Answered) -> Option<String> {
    if received.garbled_events > 0 {
        return Some("the stream contains a malformed event".to_owned());
    }
    let increasing = received
        .events
        .windows(2)
        .all(|pair| pair[0].id < pair[1].id);
    if !increasing {
        return Some("the ids of the events do not increase".to_owned());
    }
    if received.events.is_empty() {
        return None;
    }
    let mut runs = record
        .runs_of(attempt.request)
        .filter(|run| run.events.starts_with(&received.events));
    if runs.next().is_none() && !attempt.idempotent {
        return Some("the events are not the beginning of any single run's events".to_owned());
    }
    None
}
