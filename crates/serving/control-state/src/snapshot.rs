//! Snapshots: the encoded control state, for members that join or restart.
//!
//! The first byte is the format's number, so that an unknown format is not mistaken for a damaged snapshot.

use crate::ControlState;

/// The number of the format that this version reads and writes.
const FORMAT: u8 = 2;

/// The reason why bytes could not be restored as a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes are in an unknown format.
    #[error("unknown snapshot format {0}, expected {expected}", expected = FORMAT)]
    Format(u8),
    /// The bytes are truncated or do not encode a control state.
    #[error("damaged snapshot: {0}")]
    Damaged(#[source] postcard::Error),
    /// Bytes follow the control state.
    #[error("{bytes} unexpected bytes after the end of the snapshot")]
    TooLong {
        /// The number of bytes after the control state.
        bytes: usize,
    },
}

impl ControlState {
    /// Encodes the complete state.
    ///
    /// # Panics
    ///
    /// Never: encoding fails only for a failing writer or a sequence of unknown length, and there is neither.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_extend(&*self.snapshot_content(), vec![FORMAT])
            .expect("a control state is always encodable")
    }

    /// Decodes a snapshot.
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
