//! Agent programs: the BUDGET of tokens, LOST turns, and turns that continue an unknown turn (UNASKED).

use super::indexed_record::IndexedRecord;
use super::rule::{Rule, Violation};
use super::settings::JudgeSettings;
use crate::record::AttemptRecord;
use std::collections::HashMap;

/// Statuses that report that the previous turn does not exist.
const TURN_NOT_FOUND: [u16; 2] = [404, 410];

/// Tokens that a program received, its budget and the longest of its turns, all in tokens.
#[derive(Default)]
struct ReceivedTokens {
    tokens: u64,
    budget: u64,
    max_tokens: u64,
}

pub(super) fn judge(
    record: &IndexedRecord,
    settings: &JudgeSettings,
    violations: &mut Vec<Violation>,
) {
    check_budgets(record, violations);
    for attempt in &record.attempts {
        if let Some(problem) = lost_previous_turn(record, settings, attempt) {
            let detail = format!("{} {}: {problem}", attempt.request, attempt.target);
            violations.push(Violation {
                rule: Rule::Lost,
                detail,
            });
        }
        if let Some(problem) = unknown_previous_turn(record, attempt) {
            let detail = format!("{} {}: {problem}", attempt.request, attempt.target);
            violations.push(Violation {
                rule: Rule::Unasked,
                detail,
            });
        }
    }
}

fn check_budgets(record: &IndexedRecord, violations: &mut Vec<Violation>) {
    let mut programs: HashMap<&str, ReceivedTokens> = HashMap::new();
    for attempt in &record.attempts {
        let Some(program) = &attempt.program else {
            continue;
        };
        let Some(budget) = program.budget else {
            continue;
        };
        let received = programs.entry(&program.program).or_default();
        let events = attempt
            .received()
            .map_or(0, |received| received.events.len() as u64);
        received.tokens +=
            (events * program.chunk_tokens).min(program.max_tokens.max(program.chunk_tokens));
        received.budget = received.budget.max(budget);
        received.max_tokens = received.max_tokens.max(program.max_tokens);
    }
    for (program, received) in programs {
        if received.tokens > received.budget + received.max_tokens {
            let detail = format!(
                "program {program} received {} tokens of a budget of {}, with at most {} tokens a turn",
                received.tokens, received.budget, received.max_tokens
            );
            violations.push(Violation {
                rule: Rule::Budget,
                detail,
            });
        }
    }
}

/// The problem where the previous turn was completed and has to be retained still, but is reported as not found.
fn lost_previous_turn(
    record: &IndexedRecord,
    settings: &JudgeSettings,
    attempt: &AttemptRecord,
) -> Option<String> {
    let answered = attempt.answered()?;
    if !TURN_NOT_FOUND.contains(&answered.status) {
        return None;
    }
    let previous = record.attempt_of(attempt.program.as_ref()?.previous?)?;
    if previous
        .answered()
        .is_none_or(|answered| answered.status != 200)
    {
        return None;
    }
    let retention_s = settings
        .routes_for(&attempt.host, &attempt.target)
        .filter(|route| route.persisted)
        .map(|route| route.retention_s)
        .fold(0.0, f64::max);
    let age_ms = attempt.ended_ms.saturating_sub(previous.ended_ms);
    ((age_ms as f64) < retention_s * 1_000.0).then(|| {
        format!(
            "its previous turn {} was completed {age_ms} ms before and is not found",
            previous.request
        )
    })
}

/// The problem where a turn ran although its previous turn does not exist.
fn unknown_previous_turn(record: &IndexedRecord, attempt: &AttemptRecord) -> Option<String> {
    let previous = attempt.program.as_ref()?.previous?;
    let known = record.attempt_of(previous).is_some();
    let ran = record.runs_of(attempt.request).next().is_some();
    (ran && !known).then(|| format!("it ran, though its previous turn {previous} does not exist"))
}
