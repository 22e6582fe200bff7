//! Checks a test's record against the rules of the protocol. The checks use nothing but the record, so that they are
//! independent of the program under test.

mod answers;
mod config;
mod denied;
mod drain;
mod indexed_record;
mod planned_shutdown;
mod programs;
mod rule;
mod runs;
mod settings;
mod streams;

pub use rule::{Rule, Violation};
pub use settings::{JudgeSettings, Span, CONFIG_APPLY_MS, DRAIN_MS};

use crate::record::Record;
use indexed_record::IndexedRecord;

/// Returns all violations of the rules in `record`.
#[must_use]
pub fn judge(record: &Record, settings: &JudgeSettings) -> Vec<Violation> {
    let indexed_record = IndexedRecord::of(record);
    let mut violations = Vec::new();
    answers::judge(&indexed_record, &mut violations);
    streams::judge(&indexed_record, &mut violations);
    runs::judge(&indexed_record, settings, &mut violations);
    programs::judge(&indexed_record, settings, &mut violations);
    drain::judge(&indexed_record, settings, &mut violations);
    config::judge(&indexed_record, settings, &mut violations);
    planned_shutdown::judge(&indexed_record, settings, &mut violations);
    denied::judge(&indexed_record, &mut violations);
    violations
}
