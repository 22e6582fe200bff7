//! A voter's durable state on `redb`: one file, each batch complete or not at all, synced before it returns.
//!
//! The file is never opened for another fleet, another voter or by a program older than its format, and nothing is
//! reported as written when the sync failed. Calls block: they belong on a thread of their own.

mod error;
mod records;
mod storage;

pub use error::{FileOwner, OpenError, VoterStorageError};
pub use storage::{OpenedVoter, VoterStorage};
