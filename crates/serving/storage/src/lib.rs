//! Databases of the serving tier's processes, on `redb`: what is acknowledged has been synced to the disk.
//!
//! [`core::CoreDisk`] keeps the log, snapshot and votes of a core member, [`turns::TurnDisk`] the turns of a store. All
//! calls block: the caller has a thread for them. Each file is opened by [`recovery`], which sets files aside that can't
//! be read.

mod bounded_file;
pub mod core;
mod database;
mod durable_length;
mod error;
mod identity;
mod integrity;
mod new_file;
pub mod recovery;
pub mod turns;

pub use error::StorageError;
pub use identity::{DiskIdentity, Opened};
