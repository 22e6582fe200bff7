//! Files of the system on redb: what is acknowledged has been synced.

pub mod core;
pub mod turns;
