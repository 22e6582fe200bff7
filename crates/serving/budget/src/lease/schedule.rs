//! The next due time of each program.

use crate::Millis;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Programs in the order in which they are due.
#[derive(Clone, Debug, Default)]
pub(crate) struct Schedule {
    due: BTreeSet<(Millis, Arc<str>)>,
}

impl Schedule {
    /// When the first program is due.
    pub(crate) fn next(&self) -> Option<Millis> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Removes a program that is due.
    pub(crate) fn pop(&mut self, now: Millis) -> Option<Arc<str>> {
        if self.next()? > now {
            return None;
        }
        self.due.pop_first().map(|(_, program)| program)
    }

    /// Moves a program from one due time to another.
    pub(crate) fn set(&mut self, program: &Arc<str>, before: Option<Millis>, at: Option<Millis>) {
        if before == at {
            return;
        }
        if let Some(before) = before {
            self.due.remove(&(before, program.clone()));
        }
        if let Some(at) = at {
            self.due.insert((at, program.clone()));
        }
    }
}
