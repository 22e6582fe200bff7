//! The error of calls to the core.

use thiserror::Error;

/// No core member answered in time. An operation may or may not have been executed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the core did not answer in time")]
pub struct Unavailable;
