//! LOST around planned work: a terminating machine closes the connection of a request that it has read.

use super::rule::{Rule, Violation};
use super::settings::JudgeSettings;
use super::view::View;
use crate::record::{Acknowledged, AttemptOutcome, AttemptRecord};
use std::net::SocketAddr;

/// The platform kills a process this long after SIGTERM.
const GRACE_MS: u64 = 8_000;
/// Planned work counts for this long beyond that.
const AFTERWARDS_MS: u64 = 1_000;
/// A request closed sooner than this after it was sent may not have been read.
const SLACK_MS: u64 = 200;

/// A machine that was sent SIGTERM.
struct Leaving {
    front: SocketAddr,
    at_ms: u64,
}

pub(super) fn judge(view: &View, settings: &JudgeSettings, violations: &mut Vec<Violation>) {
    let leaving: Vec<Leaving> = view
        .acknowledgements
        .iter()
        .filter_map(|acknowledgement| match acknowledgement.event {
            Acknowledged::Terminated { front } => Some(Leaving {
                front,
                at_ms: acknowledgement.at_ms,
            }),
            _ => None,
        })
        .collect();
    for attempt in &view.attempts {
        let Some(leaving) = leaving.iter().find(|leaving| concerns(leaving, attempt)) else {
            continue;
        };
        if closed_early(view, attempt)
            && settings.is_undisturbed_during(attempt.sent_ms, attempt.ended_ms)
        {
            let after = attempt.ended_ms.saturating_sub(leaving.at_ms);
            let detail = format!(
                "{} {} was closed {after} ms after SIGTERM",
                attempt.request, attempt.target
            );
            violations.push(Violation {
                rule: Rule::Lost,
                detail,
            });
        }
    }
}

/// Whether the request ended around this machine's shutdown.
fn concerns(leaving: &Leaving, attempt: &AttemptRecord) -> bool {
    let until_ms = leaving.at_ms + GRACE_MS + AFTERWARDS_MS;
    attempt.front == leaving.front && (leaving.at_ms..=until_ms).contains(&attempt.ended_ms)
}

/// Whether the connection was closed without a complete response, though no server fault caused it.
fn closed_early(view: &View, attempt: &AttemptRecord) -> bool {
    if !matches!(
        attempt.outcome,
        AttemptOutcome::Closed | AttemptOutcome::BrokenOff(_)
    ) {
        return false;
    }
    let mut observations = view.observations_of(attempt.request).peekable();
    let at_server = observations.peek().is_some();
    let faulted = observations.any(|observation| observation.faulted);
    let took_ms = attempt.ended_ms.saturating_sub(attempt.sent_ms);
    !faulted && (at_server || took_ms > SLACK_MS)
}
