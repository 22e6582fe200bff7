//! A member of the core: runs the chain's state machine with its disk and its links, applies what is committed
//! to the control state, and answers gateways and stores.

mod applied;
mod changes;
mod coordinator;
mod disk;
mod executing;
mod expiry;

pub use coordinator::{Coordinator, CoreIdentity};
