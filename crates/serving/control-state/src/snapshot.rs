//! The control state as bytes, for a member that joins or starts again.
//!
//! The first byte names the format, so that one that isn't known is told apart from one that is damaged.

use crate::ControlState;
use std::fmt;

/// The format that is written.
const FORMAT: u8 = 2;

/// Why bytes are no snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// They are in a format that isn't known here.
    Format(u8),
    /// They are cut off, or are no control state.
    Damaged(postcard::Error),
    /// They go on behind the control state.
    TooLong {
        /// How many bytes are left over.
        bytes: usize,
    },
}

impl ControlState {
    /// The whole state as bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        // Only a writer that fails, or a sequence without a length, makes this fail; neither is there.
        postcard::to_extend(&*self.to_be_saved(), vec![FORMAT])
            .expect("a control state can be written")
    }

    /// The state that a snapshot holds.
    pub fn restore(bytes: &[u8]) -> Result<ControlState, SnapshotError> {
        let cut_off = SnapshotError::Damaged(postcard::Error::DeserializeUnexpectedEnd);
        let (format, content) = bytes.split_first().ok_or(cut_off)?;
        if *format != FORMAT {
            return Err(SnapshotError::Format(*format));
        }
        let (state, rest) = postcard::take_from_bytes(content).map_err(SnapshotError::Damaged)?;
        match rest.len() {
            0 => Ok(state),
            bytes => Err(SnapshotError::TooLong { bytes }),
        }
    }
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SnapshotError::Format(format) => write!(f, "a snapshot of the unknown format {format}"),
            SnapshotError::Damaged(error) => write!(f, "a damaged snapshot: {error}"),
            SnapshotError::TooLong { bytes } => {
                write!(f, "{bytes} bytes behind the end of a snapshot")
            }
        }
    }
}

impl std::error::Error for SnapshotError {}
