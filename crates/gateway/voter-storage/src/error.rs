//! What can go wrong with a voter's file.

use std::fmt;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a voter's file can't be opened: the file, the cause and, where there is one, the remedy.
#[derive(Debug, Error)]
#[error("{}: {cause}", path.display())]
pub struct OpenError {
    /// The file.
    pub path: PathBuf,
    /// Why it can't be opened.
    #[source]
    pub cause: VoterStorageError,
}

/// Whose file it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileOwner {
    /// The fleet that the voter belongs to.
    pub fleet: String,
    /// The voter's name.
    pub name: String,
}

impl fmt::Display for FileOwner {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} in fleet {}", self.name, self.fleet)
    }
}

/// Why a voter's file can't be read or written.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum VoterStorageError {
    /// The database library refused or failed.
    #[error(transparent)]
    Database(Box<redb::Error>),
    /// The folder of the file can't be made.
    #[error(transparent)]
    Folder(io::Error),
    /// The bytes of a record are not its encoding.
    #[error("{record} can't be read ({source}); move the file away")]
    Decode {
        /// Which record.
        record: &'static str,
        /// What the decoder says.
        source: postcard::Error,
    },
    /// A value can't be written as a record.
    #[error(transparent)]
    Encode(postcard::Error),
    /// A newer version of the program wrote the file.
    #[error("of format {found}, this program knows {known}; use the newer one")]
    NewerFormat {
        /// That of the file.
        found: u32,
        /// The newest one that this program reads.
        known: u32,
    },
    /// The file belongs to another voter or to one of another fleet.
    #[error("is the store of {found}, not of {} in {}", expected.name, expected.fleet)]
    OtherOwner {
        /// Whose it is.
        found: FileOwner,
        /// Whose it should be.
        expected: FileOwner,
    },
    /// An entry of the log is stored under the index of another one.
    #[error("entry {entry} stands at {index}; move the file away")]
    MisplacedEntry {
        /// The entry's own index.
        entry: u64,
        /// Where it was found.
        index: u64,
    },
}

/// The library has an error type for each operation; all of them are parts of [`redb::Error`].
impl<E: Into<redb::Error>> From<E> for VoterStorageError {
    fn from(error: E) -> VoterStorageError {
        VoterStorageError::Database(Box::new(error.into()))
    }
}
