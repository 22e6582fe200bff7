//! Agent programs: the BUDGET of tokens, and turns LOST.

use super::rule::{Rule, Violation};
use super::settings::JudgeSettings;
use super::view::View;
use crate::record::AttemptRecord;
use std::collections::HashMap;

/// Statuses for a turn that is not found.
const NO_SUCH_TURN: [u16; 2] = [404, 410];

/// Tokens that a program received, and its limits.
#[derive(Clone, Copy, Debug, Default)]
struct ReceivedTokens {
    tokens: u64,
    budget: u64,
    max_tokens: u64,
}

pub(super) fn judge(view: &View, settings: &JudgeSettings, violations: &mut Vec<Violation>) {
    budgets(view, violations);
    for attempt in &view.attempts {
        if let Some(problem) = lost(view, settings, attempt) {
            let detail = format!("{} {}: {problem}", attempt.request, attempt.target);
            violations.push(Violation {
                rule: Rule::Lost,
                detail,
            });
        }
        if let Some(problem) = invented(view, attempt) {
            let detail = format!("{} {}: {problem}", attempt.request, attempt.target);
            violations.push(Violation {
                rule: Rule::Unasked,
                detail,
            });
        }
    }
}

fn budgets(view: &View, violations: &mut Vec<Violation>) {
    let mut programs: HashMap<&str, ReceivedTokens> = HashMap::new();
    for attempt in &view.attempts {
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
            let detail = format!("program {program} received {received:?}");
            violations.push(Violation {
                rule: Rule::Budget,
                detail,
            });
        }
    }
}

/// Whether the previous turn was completed and is still to be retained, and yet is not found.
fn lost(view: &View, settings: &JudgeSettings, attempt: &AttemptRecord) -> Option<String> {
    let answered = attempt.answered()?;
    if !NO_SUCH_TURN.contains(&answered.status) {
        return None;
    }
    let previous = view.attempt_of(attempt.program.as_ref()?.previous?)?;
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
    ((age_ms as f64) < retention_s * 1_000.0)
        .then(|| format!("{} was answered {age_ms} ms before", previous.request))
}

/// A turn that ran although its previous one does not exist.
fn invented(view: &View, attempt: &AttemptRecord) -> Option<String> {
    let previous = attempt.program.as_ref()?.previous?;
    let known = view.attempt_of(previous).is_some();
    let ran = view.runs_of(attempt.request).next().is_some();
    (ran && !known).then(|| format!("it ran, though there is no turn {previous}"))
}
