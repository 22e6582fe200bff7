//! DENIED: the system itself answers too many valid requests with a 3xx or 4xx status.

use super::indexed_record::IndexedRecord;
use super::rule::{Rule, Violation};

/// Number of valid requests that may be denied, however few requests there are.
const ALLOWED_DENIALS: usize = 5;
/// One more request may be denied for each this many attempts.
const ATTEMPTS_PER_ALLOWED_DENIAL: usize = 500;

pub(super) fn judge(record: &IndexedRecord, violations: &mut Vec<Violation>) {
    let denied = record.attempts.iter().filter(|attempt| {
        let Some(answered) = attempt.answered() else {
            return false;
        };
        let by_system = answered.stamp.is_none() && !answered.not_executed;
        let unexpected = !matches!(answered.status, 402 | 404 | 408 | 421 | 429);
        by_system && unexpected && (300..500).contains(&answered.status)
    });
    let count = denied.count();
    if count > ALLOWED_DENIALS + record.attempts.len() / ATTEMPTS_PER_ALLOWED_DENIAL {
        let detail = format!(
            "the system denied {count} valid requests of {}",
            record.attempts.len()
        );
        violations.push(Violation {
            rule: Rule::Denied,
            detail,
        });
    }
}
