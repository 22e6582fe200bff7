//! Transfers to other stores: turns accepted for a replica that did not reply (hinted handoff), and all turns of a
//! draining store. A transfer offers ids, reads the turns that the other store lacks from disk, and sends them.

mod drain;
mod hints;
mod queue;
mod transfer;

pub use drain::DRAIN_DELAY_MS;
pub use hints::{HintTableFull, HINT_DELAY_MS};
pub use queue::{HandoffQueue, HandoffStep, PlacementParameters, HANDOFF_RETRY_MS};
