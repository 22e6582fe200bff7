//! What makes a line of the bench's protocol unusable. Names of fields are the protocol's.

use std::io;

/// A line can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    #[error("{0} is missing")]
    Missing(&'static str),
    #[error("{field} '{text}' is not a number")]
    NotANumber { field: &'static str, text: String },
    #[error("{field} '{text}' is not a whole number")]
    NotAnInteger { field: &'static str, text: String },
    #[error("{field} '{name}' is not in the settings")]
    NotInSettings { field: &'static str, name: String },
    #[error("{field} '{text}' is unknown")]
    Unknown { field: &'static str, text: String },
    #[error("list {list} lacks {left} entries")]
    ListIncomplete { list: u64, left: usize },
    #[error("list {0} was never given")]
    UnknownList(u64),
    #[error("a batch starts inside another")]
    NestedBatch,
    #[error("'{0}' stands outside a batch")]
    OutsideBatch(String),
    #[error("instance '{0}' was never started")]
    NeverStarted(String),
    #[error(transparent)]
    Settings(#[from] dunespur_settings::SettingsError),
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A line can't be used, and which one it is.
#[derive(Debug, thiserror::Error)]
#[error("line {number}: {source}")]
pub struct LineError {
    /// From 1.
    pub number: u64,
    pub source: ProtocolError,
}
