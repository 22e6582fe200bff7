//! Queue of the protocol's timers, ordered by the time at which they are due.

use crate::member::Member;
use foca::Timer;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Pending timers. Timers that are due at the same time fire in the order in which they were added.
#[derive(Default)]
pub struct Timers {
    pending: BinaryHeap<PendingTimer>,
    /// Number of timers added so far.
    added_count: u64,
}

struct PendingTimer {
    due_at: f64,
    /// Position of the timer in the order in which all timers were added.
    sequence: u64,
    timer: Timer<Member>,
}

impl Timers {
    /// Adds a timer.
    pub fn add(&mut self, due_at: f64, timer: Timer<Member>) {
        self.added_count += 1;
        self.pending.push(PendingTimer {
            due_at,
            sequence: self.added_count,
            timer,
        });
    }

    /// Time at which the next timer is due; infinity if none is pending.
    pub fn next_due(&self) -> f64 {
        self.pending
            .peek()
            .map_or(f64::INFINITY, |next| next.due_at)
    }

    /// Removes and returns the next timer that is due at `now`.
    pub fn pop_due(&mut self, now: f64) -> Option<Timer<Member>> {
        if self.next_due() > now {
            return None;
        }
        self.pending.pop().map(|next| next.timer)
    }

    /// Postpones all timers by `seconds`.
    pub fn postpone(&mut self, seconds: f64) {
        let postponed = self.pending.drain().map(|pending| PendingTimer {
            due_at: pending.due_at + seconds,
            ..pending
        });
        self.pending = postponed.collect();
    }
}

impl PartialEq for PendingTimer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for PendingTimer {}

impl Ord for PendingTimer {
    /// Orders the earliest timer as the greatest, as the heap returns the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_time = other.due_at.total_cmp(&self.due_at);
        by_time.then(other.sequence.cmp(&self.sequence))
    }
}

impl PartialOrd for PendingTimer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
