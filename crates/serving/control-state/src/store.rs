//! One store: its registration, presence and retirement.

use crate::NodeReport;
use serde::{Deserialize, Serialize};

/// A store's requested retirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Retirement {
    /// The store is being emptied, or will be once enough other stores remain.
    Running {
        /// The number of stores that may be lost at once, from the retirement request.
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

/// The properties of a store that the other stores rely on. A change of any of them begins a new epoch.
#[derive(PartialEq)]
pub(crate) struct MembershipState {
    present: bool,
    complete: bool,
    disk: u64,
    zone: String,
    retirement: Option<Retirement>,
}

impl Store {
    /// Creates the record of a store from its first report.
    pub(crate) fn registered(report: &NodeReport) -> Store {
        Store {
            report: report.clone(),
            present: true,
            retirement: None,
        }
    }

    /// The properties that the other stores rely on.
    pub(crate) fn membership_state(&self) -> MembershipState {
        MembershipState {
            present: self.present,
            complete: self.report.complete,
            disk: self.report.disk,
            zone: self.report.zone.clone(),
            retirement: self.retirement,
        }
    }

    /// Whether the store was emptied and its machine was removed.
    pub(crate) fn is_decommissioned(&self) -> bool {
        self.retirement == Some(Retirement::Done) && !self.present
    }

    /// The number of store losses to tolerate, if the store's retirement is running.
    pub(crate) fn running_retirement_losses(&self) -> Option<u32> {
        match self.retirement {
            Some(Retirement::Running { tolerated_losses }) => Some(tolerated_losses),
            Some(Retirement::Done) | None => None,
        }
    }

    /// The store's record after a further report.
    pub(crate) fn with_report(&self, report: &NodeReport) -> Store {
        let retired = self.retirement == Some(Retirement::Done);
        // A machine with the same name and another disk is not the decommissioned one.
        let another_machine = retired && report.disk != self.report.disk;
        Store {
            report: report.clone(),
            present: true,
            retirement: self.retirement.filter(|_| !another_machine),
        }
    }
}
