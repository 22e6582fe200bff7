//! The limiter side: the leases of a limiter and the turns that it admits out of them.

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
