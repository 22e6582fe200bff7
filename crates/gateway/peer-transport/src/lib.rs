//! Links between the limiters of a fleet: UDP for gossip, TCP for all else, IPv4. Frames are checked and
//! decoded once. It must never hold more than its bounds, never end a process for what comes in, and never
//! keep a caller waiting: what does not fit is dropped and counted. Nothing is encrypted and nobody signs in:
//! whoever reaches the address is believed.

pub mod frame;
pub mod links;

pub use frame::{Frame, Kind, VERSION};
pub use links::{Bounds, Came, Counts, Links};
