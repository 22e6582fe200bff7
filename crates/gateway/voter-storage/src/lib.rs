//! Durable state of a voter of the singleton roles' log, in one `redb` file. Each batch of writes is atomic and is
//! synced before the call returns; a failed sync is reported as an error.
//!
//! A file is refused if it belongs to another fleet or voter, or if its format is newer than this program. All calls
//! block, so callers run them on a separate thread.

mod error;
mod records;
mod storage;

pub use error::{FileOwner, OpenError, VoterStorageError};
pub use storage::{OpenedVoter, VoterStorage};
