//! What can go wrong with a database file.

use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a database can't be opened, read or written. The causes of an error are its
/// [`source`](std::error::Error::source)s.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum StorageError {
    /// The database library refused or failed.
    #[error(transparent)]
    Database(Box<redb::Error>),
    /// The operating system refused or failed.
    #[error("{operation} {}", path.display())]
    File {
        /// What was tried.
        operation: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// Why it failed.
        source: io::Error,
    },
    /// The file's layout is one that this program doesn't know. The file may be complete: another version of the
    /// program reads it.
    #[error("format {found:?} is not {known}, the one that this program knows")]
    UnknownFormat {
        /// What the file says of itself.
        found: Option<u64>,
        /// What this program reads and writes.
        known: u64,
    },
    /// A record that has to be there is not.
    #[error("no {record}")]
    Missing {
        /// Which one.
        record: String,
    },
    /// The bytes of a record are not its encoding.
    #[error("{record} can't be decoded")]
    Decode {
        /// Which one.
        record: String,
        /// What the decoder says.
        source: postcard::Error,
    },
    /// A value can't be written as a record.
    #[error("{record} can't be encoded")]
    Encode {
        /// Which record.
        record: String,
        /// What the encoder says.
        source: postcard::Error,
    },
    /// The body of a turn has another length than its header says.
    #[error("turn {id} has {bytes} bytes, its header says otherwise")]
    BodyLength {
        /// The turn.
        id: String,
        /// How many bytes its body has.
        bytes: usize,
    },
    /// The database library panicked, as it does on some broken files.
    #[error("the file is broken: {panic}")]
    Panicked {
        /// The text of the panic.
        panic: String,
    },
    /// An operation on a database file failed.
    #[error("{operation} {}", path.display())]
    Operation {
        /// What was tried.
        operation: &'static str,
        /// The file.
        path: PathBuf,
        /// Why it failed.
        source: Box<StorageError>,
    },
    /// A database that had failed could not be opened again.
    #[error("opening the database again after an error")]
    Reopen {
        /// Why it failed.
        source: Box<StorageError>,
    },
}

/// A result of this package.
pub(crate) type Result<T> = std::result::Result<T, StorageError>;

/// The library has an error type for each operation; all of them are parts of [`redb::Error`].
impl<E: Into<redb::Error>> From<E> for StorageError {
    fn from(error: E) -> StorageError {
        StorageError::Database(Box::new(error.into()))
    }
}

impl StorageError {
    /// For `map_err` on calls of the operating system.
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

    /// For `map_err`: names the operation and the file.
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

    /// Whether the contents of the file are the cause. Rights, a full disk, another process that has the file open and
    /// another format say nothing of them.
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

    /// The error and its causes in one line.
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
