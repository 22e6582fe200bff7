//! Errors of opening, reading and writing a voter's file.

use std::fmt;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a voter's file can't be opened, with its path and, where there is one, the remedy.
#[derive(Debug, Error)]
#[error("{}: {cause}", path.display())]
pub struct OpenError {
    /// Path of the voter's file.
    pub path: PathBuf,
    /// The underlying error.
    #[source]
    pub cause: VoterStorageError,
}

/// The voter that a file belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileOwner {
    /// Name of the voter's fleet.
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
    /// The database library returned an error.
    #[error(transparent)]
    Database(Box<redb::Error>),
    /// The folder of the file can't be created.
    #[error(transparent)]
    Folder(io::Error),
    /// The stored bytes of a record can't be decoded.
    #[error("{record} can't be decoded ({source}); move the file away")]
    Decode {
        /// The record that was read.
        record: &'static str,
        /// The decoder's error.
        source: postcard::Error,
    },
    /// A value can't be encoded as a record.
    #[error(transparent)]
    Encode(postcard::Error),
    /// A newer version of the program wrote the file.
    #[error("the file has format {found}, but this program reads only formats up to {known}; use a newer program")]
    NewerFormat {
        /// Format of the file.
        found: u32,
        /// The newest format that this program reads.
        known: u32,
    },
    /// The file belongs to another voter, of the same or another fleet.
    #[error("the file belongs to {found}, not to {expected}")]
    OtherOwner {
        /// The voter that the file belongs to.
        found: FileOwner,
        /// The voter that opened the file.
        expected: FileOwner,
    },
    /// A log entry is stored under the index of another entry.
    #[error("log entry {recorded_index} is stored under index {stored_index}; move the file away")]
    MisplacedEntry {
        /// Index that the entry records.
        recorded_index: u64,
        /// Index under which the entry is stored.
        stored_index: u64,
    },
}

/// Converts the library's error types, one for each operation: all of them convert to [`redb::Error`].
impl<E: Into<redb::Error>> From<E> for VoterStorageError {
    fn from(error: E) -> VoterStorageError {
        VoterStorageError::Database(Box::new(error.into()))
    }
}
