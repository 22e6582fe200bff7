//! Errors of the simulator's line protocol. Field names are those of the protocol.

use std::io;

/// Why a line can't be processed.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    #[error("field '{0}' is missing")]
    MissingField(&'static str),
    #[error("{field} '{text}' is not a number")]
    NotANumber { field: &'static str, text: String },
    #[error("{field} '{text}' is not a whole number")]
    NotAnInteger { field: &'static str, text: String },
    #[error("{field} '{name}' is not in the settings")]
    NotInSettings { field: &'static str, name: String },
    #[error("{field} '{text}' is unknown")]
    UnknownValue { field: &'static str, text: String },
    #[error("endpoint list {list} lacks {missing} ROW lines")]
    ListIncomplete { list: u64, missing: usize },
    #[error("endpoint list {0} is unknown: INVENTORY must define it before VIEW")]
    UnknownList(u64),
    #[error("MARK inside a batch: EOF_BATCH must end the previous batch first")]
    NestedBatch,
    #[error("'{0}' is outside a batch: MARK must come first")]
    OutsideBatch(String),
    #[error("instance '{0}' was never started or has been stopped")]
    NotRunning(String),
    #[error(transparent)]
    Settings(#[from] dunespur_settings::SettingsError),
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A protocol error with the number of its line.
#[derive(Debug, thiserror::Error)]
#[error("line {number}: {source}")]
pub struct LineError {
    /// Line number, from 1.
    pub number: u64,
    pub source: ProtocolError,
}
