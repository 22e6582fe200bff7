//! A queue of programs, ordered by the time of their next step.

use crate::Millis;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Programs ordered by due time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Schedule {
    due: BTreeSet<(Millis, Arc<str>)>,
}

impl Schedule {
    /// The earliest due time of any program.
    pub(crate) fn next(&self) -> Option<Millis> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Removes and returns a program that is due, if any.
    pub(crate) fn pop(&mut self, now: Millis) -> Option<Arc<str>> {
        if self.next()? > now {
            return None;
        }
        self.due.pop_first().map(|(_, program)| program)
    }

    /// Changes a program's due time from `previous` to `next`; `None` means that it is not scheduled.
    pub(crate) fn reschedule(
        &mut self,
        program: &Arc<str>,
        previous: Option<Millis>,
        next: Option<Millis>,
    ) {
        if previous == next {
            return;
        }
        if let Some(at) = previous {
            self.due.remove(&(at, program.clone()));
        }
        if let Some(at) = next {
            self.due.insert((at, program.clone()));
        }
    }
}
