//! Transfers to other stores: turns accepted for a replica that did not answer (hinted handoff), and all turns of
//! a draining store. A transfer offers ids, reads from the disk what the other store does not hold, and sends it.

mod drain;
mod hints;
mod queue;
mod transfer;

pub use drain::DRAIN_DELAY_MS;
pub use hints::{HintTableFull, HINT_DELAY_MS};
pub use queue::{HandoffQueue, HandoffStep, Placement, HANDOFF_RETRY_MS};
