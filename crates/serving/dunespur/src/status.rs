//! What a process says of itself when it is asked over the internal link, and `dunespur status`, which asks.
//!
//! The answer is JSON: a newer `dunespur status` reads what an older process says, and the other way round.

mod ask;
mod gather;
mod own;
pub mod report;
mod table;

pub use ask::{run, StatusQuery};
pub use gather::{basics, GatewayStatus};
pub use report::{
    BudgetStatus, CoreStatus, DiskStatus, LeaseStatus, LinkStatus, Status, TurnsStatus,
};
