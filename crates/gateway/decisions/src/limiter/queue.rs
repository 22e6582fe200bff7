//! The queue of admitted invocations that wait for a server, dearer operations first.

use super::Limiter;
use crate::types::{Action, Invocation};

/// Where an invocation comes into the queue among those of equal value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Entry {
    /// Behind them.
    First,
    /// Ahead of them: it was sent before.
    Again,
}

impl Limiter {
    /// How many are ahead in the queue, whatever their plans.
    pub(super) fn queue_position(&self, invocation: &Invocation, entry: Entry) -> usize {
        let value = self.operations[invocation.operation].billed_value;
        let behind_equals = entry == Entry::First;
        self.queue
            .partition_point(|&(other, _)| other > value || (other == value && behind_equals))
    }

    /// Puts an invocation into the queue; returns how many are ahead.
    pub(super) fn enqueue(&mut self, invocation: &Invocation, entry: Entry) -> usize {
        let ahead = self.queue_position(invocation, entry);
        let value = self.operations[invocation.operation].billed_value;
        self.queue.insert(ahead, (value, invocation.num));
        ahead
    }

    /// Asks the owner to place the head of the queue again.
    pub(super) fn reconsider_head(&mut self) {
        self.actions
            .extend(self.queue.front().map(|&(_, num)| Action::Ask(num)));
    }
}
