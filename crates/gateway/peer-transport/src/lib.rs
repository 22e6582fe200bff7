//! Transport between the limiters of a fleet: UDP for gossip, TCP for all else, IPv4.
//!
//! Frames are checked and decoded once. The transport never has more pending than its [`Limits`], never ends the
//! process on account of what it receives, and never lets a caller wait: what does not fit is dropped and counted.
//! Nothing is encrypted and nobody is authenticated: whoever reaches the address is believed.

pub mod frame;
mod incoming;
mod limits;
mod outgoing;
mod statistics;
mod transport;

pub use frame::{Frame, FrameError, Kind, VERSION};
pub use incoming::Received;
pub use limits::Limits;
pub use statistics::Statistics;
pub use transport::Transport;
