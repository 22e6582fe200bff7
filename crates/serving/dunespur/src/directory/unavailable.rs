//! The error of calls to the core.

use thiserror::Error;

/// No core member has answered in time: the operation may or may not be executed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the core did not answer in time")]
pub struct Unavailable;
