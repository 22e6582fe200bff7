//! Checks of the record against the rules of the protocol. Independent of the program under test: the judge
//! knows only the record.

mod answers;
mod config;
mod denied;
mod drain;
mod planned;
mod programs;
mod rule;
mod runs;
mod settings;
mod streams;
mod view;

pub use rule::{Rule, Violation};
pub use settings::{JudgeSettings, Span, CONFIG_APPLY_MS, DRAIN_MS};

use crate::record::Record;
use view::View;

/// All that is broken in the record.
#[must_use]
pub fn judge(record: &Record, settings: &JudgeSettings) -> Vec<Violation> {
    let view = View::of(record);
    let mut violations = Vec::new();
    answers::judge(&view, &mut violations);
    streams::judge(&view, &mut violations);
    runs::judge(&view, settings, &mut violations);
    programs::judge(&view, settings, &mut violations);
    drain::judge(&view, settings, &mut violations);
    config::judge(&view, settings, &mut violations);
    planned::judge(&view, settings, &mut violations);
    denied::judge(&view, &mut violations);
    violations
}
