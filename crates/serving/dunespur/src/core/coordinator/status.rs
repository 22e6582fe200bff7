//! What a core member says of itself.

use super::Coordinator;
use crate::status::CoreStatus;
use dunespur_budget::Counters;

/// What the counter of this member says of one program.
#[derive(Clone, Copy, Debug)]
pub struct CountedBudget {
    /// Tokens that were reported as used.
    pub used: u64,
    /// Tokens that limiters lease.
    pub leased: u64,
}

impl Coordinator {
    /// The status of this member, with so many leases at most.
    pub fn status(&self, max_leases: usize) -> CoreStatus {
        let now = self.clock.now();
        let replica = self.replica.borrow();
        CoreStatus {
            current: replica.is_current(now),
            follows: replica.serves_reads(now),
            committed: replica.committed(),
            waiting: self.operations.borrow().len(),
            refused_snapshots: replica.rejected_snapshots(),
            programs: replica.state().counters().programs(),
            counter_bytes: replica.state().counters().bytes(),
            max_counter_bytes: Counters::max_bytes(),
            disk: self.disk.status(),
            leases: self
                .leases
                .borrow()
                .status(replica.state(), max_leases, now),
        }
    }

    /// A program's budget by the counter of this member.
    pub fn budget_of(&self, program: &str) -> CountedBudget {
        let replica = self.replica.borrow();
        let counters = replica.state().counters();
        CountedBudget {
            used: counters.used(program),
            leased: counters.leased(program),
        }
    }
}
