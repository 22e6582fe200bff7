//! Timers of the protocol, in the order in which they are due.

use crate::member::Member;
use foca::Timer;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Pending timers. Of two that are due at the same time the one that was added first goes first.
#[derive(Default)]
pub struct Timers {
    pending: BinaryHeap<PendingTimer>,
    added: u64,
}

struct PendingTimer {
    due: f64,
    /// Of all timers, in the order in which they were added.
    sequence: u64,
    timer: Timer<Member>,
}

impl Timers {
    /// Adds a timer.
    pub fn add(&mut self, due: f64, timer: Timer<Member>) {
        self.added += 1;
        self.pending.push(PendingTimer {
            due,
            sequence: self.added,
            timer,
        });
    }

    /// When the next timer is due; infinity if there is none.
    pub fn next_due(&self) -> f64 {
        self.pending.peek().map_or(f64::INFINITY, |next| next.due)
    }

    /// Takes the next timer that is due.
    pub fn pop_due(&mut self, now: f64) -> Option<Timer<Member>> {
        if self.next_due() > now {
            return None;
        }
        self.pending.pop().map(|next| next.timer)
    }

    /// Makes all timers due later.
    pub fn postpone(&mut self, seconds: f64) {
        let postponed = self.pending.drain().map(|pending| PendingTimer {
            due: pending.due + seconds,
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
    /// The earliest is the greatest, as the heap gives the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_time = other.due.total_cmp(&self.due);
        by_time.then(other.sequence.cmp(&self.sequence))
    }
}

impl PartialOrd for PendingTimer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
