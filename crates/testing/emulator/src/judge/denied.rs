//! DENIED: too many proper requests end with a 3xx or 4xx of the system's own.

use super::rule::{Rule, Violation};
use super::view::View;

/// Requests that may end with a 4xx of the system's own, though they are proper: so many, and one in so many more.
const DENIED_FREE: usize = 5;
const DENIED_ONE_IN: usize = 500;

/// Proper requests that ended with a 3xx or 4xx of the system's own.
pub(super) fn judge(view: &View, violations: &mut Vec<Violation>) {
    let denied = view.attempts.iter().filter(|attempt| {
        let Some(answered) = attempt.answered() else {
            return false;
        };
        let own = answered.stamp.is_none() && !answered.not_executed;
        let owed = !matches!(answered.status, 402 | 404 | 408 | 421 | 429);
        own && owed && (300..500).contains(&answered.status)
    });
    let count = denied.count();
    if count > DENIED_FREE + view.attempts.len() / DENIED_ONE_IN {
        let detail = format!(
            "{count} proper requests of {} were denied",
            view.attempts.len()
        );
        violations.push(Violation {
            rule: Rule::Denied,
            detail,
        });
    }
}
