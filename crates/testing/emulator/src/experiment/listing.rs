//! A table of all attempts for other tools, with one line for each attempt.

use dunespur_emulator::record::{AttemptOutcome, AttemptRecord, Fate, Observation};
use dunespur_emulator::scene::Scene;
use dunespur_emulator::RequestId;
use std::collections::HashMap;
use std::fmt::Write;

/// Names of the columns, separated by tabs.
const HEADER: &str =
    "sent_ms\tended_ms\tfront\ttarget\trequest\tprogram\toutcome\tfirst_ms\tserver\tserver_first_ms\n";

/// The table of all attempts, each with its last run at a server.
pub fn attempts(scene: &Scene) -> String {
    let observations = scene.record.observations();
    let mut last_runs: HashMap<RequestId, &Observation> = HashMap::new();
    for observation in observations
        .iter()
        .filter(|observation| observation.fate == Fate::Run)
    {
        if let Some(request) = observation.request {
            last_runs.insert(request, observation);
        }
    }
    let mut text = HEADER.to_owned();
    for attempt in scene.record.attempts() {
        write_row(
            &mut text,
            &attempt,
            last_runs.get(&attempt.request).copied(),
        );
    }
    text
}

fn write_row(text: &mut String, attempt: &AttemptRecord, run: Option<&Observation>) {
    let program = attempt
        .program
        .as_ref()
        .map_or("", |program| program.program.as_str());
    let first = milliseconds(attempt.timings.to_first_us());
    let server = run.map_or("", |run| run.instance.as_str());
    let server_first = milliseconds(run.and_then(|run| run.timings.to_first_us()));
    let (sent, ended, front) = (attempt.sent_ms, attempt.ended_ms, attempt.front);
    let (target, request, outcome) = (&attempt.target, attempt.request, outcome(&attempt.outcome));
    let _ = writeln!(
        text,
        "{sent}\t{ended}\t{front}\t{target}\t{request}\t{program}\t{outcome}\t{first}\t{server}\t{server_first}"
    );
}

/// Short name of an attempt's outcome: the status of a complete response, or how the attempt failed.
pub fn outcome(outcome: &AttemptOutcome) -> String {
    match outcome {
        AttemptOutcome::Answered(answered) => answered.status.to_string(),
        AttemptOutcome::BrokenOff(_) => "broken off".to_owned(),
        AttemptOutcome::Closed => "closed".to_owned(),
        AttemptOutcome::NotSent => "not sent".to_owned(),
        AttemptOutcome::GivenUp => "given up".to_owned(),
        AttemptOutcome::Garbled(_) => "garbled".to_owned(),
    }
}

fn milliseconds(us: Option<u64>) -> String {
    us.map_or(String::new(), |us| format!("{:.1}", us as f64 / 1_000.0))
}
