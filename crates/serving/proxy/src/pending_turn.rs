//! A turn whose response is still arriving, with limits on what can be stored.

use crate::body_memory::MemoryReservation;
use crate::client_body::TruncatedResponse;
use crate::node::CompletedTurn;
use bytes::BytesMut;

/// The most output of a turn that can be stored. The response to a turn with a longer output is truncated: a complete
/// response would promise that a later turn can continue from it.
const MAX_OUTPUT_BYTES: usize = 4 * 1024 * 1024;
/// The most input and output of a turn that can be stored: a message with it between processes has to fit into a frame of
/// 8 MiB.
const MAX_TURN_BYTES: usize = 7 * 1024 * 1024;

/// A turn that is stored once its response is complete.
pub(crate) struct PendingTurn {
    pub(crate) turn: CompletedTurn,
    pub(crate) memory: MemoryReservation,
    pub(crate) output: BytesMut,
}

impl PendingTurn {
    /// Reserves memory for further output. Protects against outputs that exceed the memory limit.
    pub(crate) fn reserve_output(&mut self, bytes: usize) -> Result<(), TruncatedResponse> {
        let output_bytes = self.output.len() + bytes;
        let turn_bytes = self.turn.input.len() + output_bytes;
        if output_bytes > MAX_OUTPUT_BYTES || turn_bytes > MAX_TURN_BYTES {
            return Err(TruncatedResponse);
        }
        self.memory.grow(bytes).map_err(|_| TruncatedResponse)
    }
}

#[cfg(test)]
mod tests;
