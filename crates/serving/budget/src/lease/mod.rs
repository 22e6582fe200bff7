//! The limiter side: a limiter's leases and the turns that it admits from them.

mod admission;
mod cached_rejections;
mod demand;
mod program_lease;
mod request_retry;
mod schedule;
mod settings;
mod table;

pub use admission::{Admission, Rejection, TurnOutcome};
pub use settings::LeaseSettings;
pub use table::LeaseTable;
