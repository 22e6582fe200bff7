//! Errors of opening, reading and writing a database file.

use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a database can't be opened, read or written. Underlying errors are available through
/// [`source`](std::error::Error::source).
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum StorageError {
    /// The database library returned an error.
    #[error(transparent)]
    Database(Box<redb::Error>),
    /// A file-system call failed.
    #[error("{operation} {}", path.display())]
    File {
        /// The operation that failed.
        operation: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// This program does not support the file's format. The file may be intact: it belongs to another version of the
    /// program.
    #[error("file format {found:?} is not supported: this program reads format {known}")]
    UnknownFormat {
        /// The format that the file records, if any.
        found: Option<u64>,
        /// The format that this program reads and writes.
        known: u64,
    },
    /// A required record is missing.
    #[error("the file has no {record}")]
    Missing {
        /// The missing record.
        record: String,
    },
    /// The stored bytes of a record can't be decoded.
    #[error("{record} can't be decoded")]
    Decode {
        /// The record that was read.
        record: String,
        /// The decoder's error.
        source: postcard::Error,
    },
    /// A value can't be encoded as a record.
    #[error("{record} can't be encoded")]
    Encode {
        /// The record that was to be written.
        record: String,
        /// The encoder's error.
        source: postcard::Error,
    },
    /// The length of a turn's stored body differs from the length in the turn's header.
    #[error(
        "the body of turn {id} has {bytes} bytes, which is not the length that its header records"
    )]
    BodyLength {
        /// Id of the turn.
        id: String,
        /// Length of the stored body.
        bytes: usize,
    },
    /// The database library panicked, as it does on some corrupt files.
    #[error("the database library panicked, the file is probably corrupt: {panic}")]
    Panicked {
        /// Message of the panic.
        panic: String,
    },
    /// An operation on a database file failed.
    #[error("{operation} {}", path.display())]
    Operation {
        /// The operation that failed.
        operation: &'static str,
        /// The database file.
        path: PathBuf,
        /// Why the operation failed.
        source: Box<StorageError>,
    },
    /// The database could not be reopened after an earlier error.
    #[error("reopening the database after an error")]
    Reopen {
        /// Why the reopening failed.
        source: Box<StorageError>,
    },
}

/// The result type of this package.
pub(crate) type Result<T> = std::result::Result<T, StorageError>;

/// Converts the library's error types, one for each operation: all of them convert to [`redb::Error`].
impl<E: Into<redb::Error>> From<E> for StorageError {
    fn from(error: E) -> StorageError {
        StorageError::Database(Box::new(error.into()))
    }
}

impl StorageError {
    /// For `map_err` on file-system calls: adds the operation and the path.
    pub(crate) fn file<'a>(
        operation: &'static str,
        path: &'a Path,
    ) -> impl FnOnce(io::Error) -> StorageError + 'a {
        move |source| StorageError::File {
            operation,
            path: path.to_owned(),
            source,
        }
    }

    /// For `map_err` on database calls: adds the operation and the file.
    pub(crate) fn operation<'a>(
        operation: &'static str,
        path: &'a Path,
    ) -> impl FnOnce(StorageError) -> StorageError + 'a {
        move |source| StorageError::Operation {
            operation,
            path: path.to_owned(),
            source: Box::new(source),
        }
    }

    /// Whether the file's contents caused the error. Missing permissions, a full disk, a file that is open in another
    /// process and an unknown format are not such causes.
    pub(crate) fn is_unreadable(&self) -> bool {
        match self {
            StorageError::Operation { source, .. } | StorageError::Reopen { source } => {
                source.is_unreadable()
            }
            StorageError::UnknownFormat { .. } => false,
            StorageError::Database(error) => match error.as_ref() {
                redb::Error::DatabaseAlreadyOpen | redb::Error::UpgradeRequired(_) => false,
                redb::Error::Io(error) => is_unreadable_content(error),
                _ => true,
            },
            StorageError::File { source, .. } => is_unreadable_content(source),
            StorageError::Missing { .. }
            | StorageError::Decode { .. }
            | StorageError::Encode { .. }
            | StorageError::BodyLength { .. }
            | StorageError::Panicked { .. } => true,
        }
    }

    /// The error and its chain of causes on one line.
    #[must_use]
    pub fn with_causes(&self) -> String {
        let mut text = self.to_string();
        let mut cause = std::error::Error::source(self);
        while let Some(error) = cause {
            text = format!("{text}: {error}");
            cause = error.source();
        }
        text
    }
}

fn is_unreadable_content(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::InvalidData | ErrorKind::UnexpectedEof
    )
}
