//! The queue of admitted invocations that wait for a server, ordered by descending billed value.

use super::Limiter;
use crate::types::{Action, Invocation};

/// Whether an invocation is queued for its first attempt or a retry, which decides its place among equal values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum QueueEntry {
    /// First attempt: behind invocations of equal value.
    FirstAttempt,
    /// Retry: ahead of invocations of equal value.
    Retry,
}

impl Limiter {
    /// Number of invocations of any plan that would be ahead in the queue.
    pub(super) fn queue_position(&self, invocation: &Invocation, entry: QueueEntry) -> usize {
        let value = self.operations[invocation.operation].billed_value;
        let behind_equals = entry == QueueEntry::FirstAttempt;
        self.queue
            .partition_point(|&(other, _)| other > value || (other == value && behind_equals))
    }

    /// Inserts an invocation into the queue; returns how many are ahead of it.
    pub(super) fn enqueue(&mut self, invocation: &Invocation, entry: QueueEntry) -> usize {
        let ahead = self.queue_position(invocation, entry);
        let value = self.operations[invocation.operation].billed_value;
        self.queue.insert(ahead, (value, invocation.id));
        ahead
    }

    /// Asks the owner to place the invocation at the head of the queue again.
    pub(super) fn place_queue_head(&mut self) {
        self.actions
            .extend(self.queue.front().map(|&(_, id)| Action::Place(id)));
    }
}
