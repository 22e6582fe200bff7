//! Snapshots: the control state as bytes, for a member that joins or restarts.
//!
//! The first byte names the format, so that an unknown format is not mistaken for a damaged snapshot.

use crate::ControlState;

/// The format that is written.
const FORMAT: u8 = 2;

/// Why bytes are not a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// They are in a format that this version does not know.
    #[error("a snapshot of the unknown format {0}")]
    Format(u8),
    /// They are truncated, or encode no control state.
    #[error("a damaged snapshot: {0}")]
    Damaged(#[source] postcard::Error),
    /// Bytes follow the control state.
    #[error("{bytes} bytes behind the end of a snapshot")]
    TooLong {
        /// How many bytes are left over.
        bytes: usize,
    },
}

impl ControlState {
    /// The complete state as bytes.
    ///
    /// # Panics
    ///
    /// Never: encoding fails only for a failing writer or a sequence of unknown length, and there is neither.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_extend(&*self.for_snapshot(), vec![FORMAT])
            .expect("a control state is always encodable")
    }

    /// The state that a snapshot encodes.
    ///
    /// # Errors
    ///
    /// If the bytes are of an unknown format, damaged or too long.
    pub fn restore(bytes: &[u8]) -> Result<ControlState, SnapshotError> {
        let truncated = SnapshotError::Damaged(postcard::Error::DeserializeUnexpectedEnd);
        let (format, content) = bytes.split_first().ok_or(truncated)?;
        if *format != FORMAT {
            return Err(SnapshotError::Format(*format));
        }
        let (mut state, rest): (ControlState, &[u8]) =
            postcard::take_from_bytes(content).map_err(SnapshotError::Damaged)?;
        state.derive_retention();
        match rest.len() {
            0 => Ok(state),
            bytes => Err(SnapshotError::TooLong { bytes }),
        }
    }
}
