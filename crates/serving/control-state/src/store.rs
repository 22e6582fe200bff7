//! One store: its registration, whether it is present, and its retirement.

use crate::NodeReport;
use serde::{Deserialize, Serialize};

/// The retirement of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Retirement {
    /// The store is being emptied, or is to be once enough others remain.
    Running {
        /// How many stores may be lost at once, as the request said.
        tolerated_losses: u32,
    },
    /// The store is empty.
    Done,
}

/// A recorded store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Store {
    pub(crate) report: NodeReport,
    pub(crate) present: bool,
    pub(crate) retirement: Option<Retirement>,
}

/// What the other stores rely on in a store. If it changes, another epoch begins.
#[derive(PartialEq)]
pub(crate) struct MembershipState {
    present: bool,
    complete: bool,
    disk: u64,
    zone: String,
    retirement: Option<Retirement>,
}

impl Store {
    /// A store that registers for the first time.
    pub(crate) fn registered(report: &NodeReport) -> Store {
        Store {
            report: report.clone(),
            present: true,
            retirement: None,
        }
    }

    /// What the other stores rely on.
    pub(crate) fn membership_state(&self) -> MembershipState {
        MembershipState {
            present: self.present,
            complete: self.report.complete,
            disk: self.report.disk,
            zone: self.report.zone.clone(),
            retirement: self.retirement,
        }
    }

    /// Whether it was emptied and its machine was removed.
    pub(crate) fn is_decommissioned(&self) -> bool {
        self.retirement == Some(Retirement::Done) && !self.present
    }

    /// The losses that have to be tolerated without it, while its retirement runs.
    pub(crate) fn running_retirement(&self) -> Option<u32> {
        match self.retirement {
            Some(Retirement::Running { tolerated_losses }) => Some(tolerated_losses),
            Some(Retirement::Done) | None => None,
        }
    }

    /// The store after another report of it.
    pub(crate) fn reported(&self, report: &NodeReport) -> Store {
        let retired = self.retirement == Some(Retirement::Done);
        // A machine of that name with another disk is not the one that was decommissioned.
        let another_machine = retired && report.disk != self.report.disk;
        Store {
            report: report.clone(),
            present: true,
            retirement: self.retirement.filter(|_| !another_machine),
        }
    }
}
