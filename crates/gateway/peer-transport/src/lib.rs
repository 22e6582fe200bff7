//! Transport between the limiters of a fleet over IPv4: UDP for gossip, TCP for all other messages.
//!
//! Queues and connections are bounded by [`Limits`]. Sending never blocks: frames beyond a limit are dropped and
//! counted. Received bytes never end the process. Frames are neither encrypted nor authenticated: any sender that
//! can reach the address is trusted.

pub mod frame;
mod incoming;
mod limits;
mod outgoing;
mod statistics;
mod transport;

pub use frame::{Frame, FrameError, Kind, VERSION};
pub use incoming::ReceivedFrame;
pub use limits::Limits;
pub use statistics::Statistics;
pub use transport::Transport;
