//! The status of a core member.

use super::Coordinator;
use crate::status::CoreStatus;
use dunespur_budget::Counters;

/// Usage of one program's budget, by this member's counter.
#[derive(Clone, Copy, Debug)]
pub struct BudgetUsage {
    /// Tokens reported as used.
    pub used: u64,
    /// Tokens leased to limiters.
    pub leased: u64,
}

impl Coordinator {
    /// The status of this member, with at most `max_leases` leases.
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

    /// Usage of a program's budget, by this member's counter.
    pub fn budget_usage(&self, program: &str) -> BudgetUsage {
        let replica = self.replica.borrow();
        let counters = replica.state().counters();
        BudgetUsage {
            used: counters.used(program),
            leased: counters.leased(program),
        }
    }
}
