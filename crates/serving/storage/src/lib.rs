//! Databases of the serving tier's processes, on `redb`. Every acknowledged write has been synced to the disk.
//!
//! [`core::CoreDisk`] stores the log, snapshot and votes of a core member, [`turns::TurnDisk`] the turns of a turn
//! store. All calls block, so callers run them on a separate thread. Files are opened through [`recovery`], which sets
//! unreadable files aside.

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
pub use identity::{DiskIdentity, OpenedDisk};
