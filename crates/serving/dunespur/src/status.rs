//! What a process reports of itself over the internal link, and `dunespur status`, which queries it.
//!
//! The answer is JSON: a newer `dunespur status` reads the answer of an older process, and the other way round.

mod query;

pub mod report;
mod table;

pub use query::{run, StatusQuery};
pub use report::{
    BudgetStatus, CoreStatus, DiskStatus, LeaseStatus, LinkStatus, Status, TurnsStatus,
};
