//! Rule `Lost` for planned shutdowns: a machine that was sent SIGTERM must not close a connection on which it has read
//! a request until the response is complete.

use super::indexed_record::IndexedRecord;
use super::rule::{Rule, Violation};
use super::settings::JudgeSettings;
use crate::record::{Acknowledged, AttemptOutcome, AttemptRecord};
use std::net::SocketAddr;

/// The platform kills a process this long after SIGTERM.
const GRACE_MS: u64 = 8_000;
/// A request that ends within this time after the grace period still counts as affected by the shutdown.
const SHUTDOWN_MARGIN_MS: u64 = 1_000;
/// If the connection closes within this time after the request was sent, it is possible that the machine has not read
/// the request.
const UNREAD_LIMIT_MS: u64 = 200;

/// A machine that was sent SIGTERM, and when.
struct TerminatedMachine {
    /// The machine's address for clients, set by `listen.front`.
    front: SocketAddr,
    at_ms: u64,
}

pub(super) fn judge(
    record: &IndexedRecord,
    settings: &JudgeSettings,
    violations: &mut Vec<Violation>,
) {
    let terminated_machines: Vec<TerminatedMachine> = record
        .acknowledgements
        .iter()
        .filter_map(|acknowledgement| match acknowledgement.event {
            Acknowledged::Terminated { front } => Some(TerminatedMachine {
                front,
                at_ms: acknowledgement.at_ms,
            }),
            _ => None,
        })
        .collect();
    for attempt in &record.attempts {
        let Some(machine) = terminated_machines
            .iter()
            .find(|machine| ended_during_shutdown(machine, attempt))
        else {
            continue;
        };
        if closed_early(record, attempt)
            && settings.is_undisturbed_during(attempt.sent_ms, attempt.ended_ms)
        {
            let elapsed_ms = attempt.ended_ms.saturating_sub(machine.at_ms);
            let detail = format!(
                "request {} {}: the connection was closed {elapsed_ms} ms after SIGTERM",
                attempt.request, attempt.target
            );
            violations.push(Violation {
                rule: Rule::Lost,
                detail,
            });
        }
    }
}

/// Whether the attempt was sent to this machine and ended during the machine's shutdown.
fn ended_during_shutdown(machine: &TerminatedMachine, attempt: &AttemptRecord) -> bool {
    let until_ms = machine.at_ms + GRACE_MS + SHUTDOWN_MARGIN_MS;
    attempt.front == machine.front && (machine.at_ms..=until_ms).contains(&attempt.ended_ms)
}

/// Whether the system closed the connection of a request that it had read, without a complete response and without
/// an injected server fault.
fn closed_early(record: &IndexedRecord, attempt: &AttemptRecord) -> bool {
    if !matches!(
        attempt.outcome,
        AttemptOutcome::Closed | AttemptOutcome::BrokenOff(_)
    ) {
        return false;
    }
    let mut observations = record.observations_of(attempt.request).peekable();
    let at_server = observations.peek().is_some();
    let faulted = observations.any(|observation| observation.faulted);
    let took_ms = attempt.ended_ms.saturating_sub(attempt.sent_ms);
    !faulted && (at_server || took_ms > UNREAD_LIMIT_MS)
}
