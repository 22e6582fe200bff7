//! Files of the system on redb: what is acknowledged has been synced.

pub mod core;
mod file;
pub mod recovery;
pub mod turns;
