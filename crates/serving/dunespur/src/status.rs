//! What a process says of itself when it is asked over the internal link, and `dunespur status`, which asks.
//!
//! The answer is JSON: a newer `dunespur status` reads what an older process says, and the other way round.

mod gather;
mod process;
mod query;

pub mod report;
mod table;

pub use gather::{basics, GatewayStatus};
pub use query::{run, StatusQuery};
pub use report::{
    BudgetStatus, CoreStatus, DiskStatus, LeaseStatus, LinkStatus, Status, TurnsStatus,
};
