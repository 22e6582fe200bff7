//! ORDER: a stream misses an event, repeats one, or mixes events of two runs.

use super::rule::{Rule, Violation};
use super::view::View;
use crate::record::{Answered, AttemptRecord};

pub(super) fn judge(view: &View, violations: &mut Vec<Violation>) {
    for attempt in &view.attempts {
        let Some(received) = attempt.received() else {
            continue;
        };
        if let Some(problem) = problem(view, attempt, received) {
            let detail = format!("{} {}: {problem}", attempt.request, attempt.target);
            violations.push(Violation {
                rule: Rule::Order,
                detail,
            });
        }
    }
}

fn problem(view: &View, attempt: &AttemptRecord, received: &Answered) -> Option<String> {
    if received.garbled_events > 0 {
        return Some("a block that is no event".to_owned());
    }
    let rising = received
        .events
        .windows(2)
        .all(|pair| pair[0].id < pair[1].id);
    if !rising {
        return Some("ids that do not rise".to_owned());
    }
    if received.events.is_empty() {
        return None;
    }
    let mut runs = view
        .runs_of(attempt.request)
        .filter(|run| run.events.starts_with(&received.events));
    if runs.next().is_none() && !attempt.idempotent {
        return Some("pieces that are not the beginning of one run".to_owned());
    }
    None
}
