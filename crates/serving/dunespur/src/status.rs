//! The status of a process, and `dunespur status`, which queries it over the internal address.
//!
//! A status is sent as JSON, so that older and newer versions of `dunespur status` and of the processes can be mixed.

mod query;

pub mod report;
mod table;

pub use query::{run, StatusQuery};
pub use report::{
    BudgetStatus, CoreStatus, DiskStatus, LeaseStatus, LinkStatus, Status, TurnsStatus,
};
