//! One finished turn of a conversation, and its header, which stores hold in memory.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// How much longer than its retention a turn is retained, in milliseconds. This covers wall clocks that differ by
/// seconds or step, and a turn that is named in time and runs for seconds before its own write begins.
pub const RETENTION_MARGIN_MS: u64 = 15_000;

/// What a turn takes beside its strings and bodies, in bytes.
const OVERHEAD_BYTES: u64 = 64;

/// One finished turn. Immutable: an id names the same bytes for ever.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// The `X-Dunespur-Request-Id` under which it was answered.
    pub id: String,
    /// The turn that it continues; `None` at the start of a conversation.
    pub previous: Option<String>,
    /// The program that it belongs to; it determines on which stores the turn is placed.
    pub program: String,
    /// The new input, as the client sent it.
    pub input: Bytes,
    /// The data of each event followed by a line feed.
    pub output: Bytes,
    /// When the answer ended, in milliseconds since the Unix epoch by the wall clock of the gateway.
    pub ended_at_ms: u64,
    /// How long it is retained, with its chain, in milliseconds, counted from the end of its answer.
    pub retention_ms: u64,
}

impl Turn {
    /// Bytes of input and output.
    #[must_use]
    pub fn body_bytes(&self) -> u64 {
        self.input.len() as u64 + self.output.len() as u64
    }

    /// Bytes that the turn takes in a message, in memory or on a disk.
    #[must_use]
    pub fn size(&self) -> u64 {
        size_of_turn(
            &self.id,
            self.previous.as_deref(),
            &self.program,
            self.body_bytes(),
        )
    }

    /// Everything but the bodies.
    #[must_use]
    pub fn header(&self) -> TurnHeader {
        TurnHeader {
            id: self.id.clone(),
            previous: self.previous.clone(),
            program: self.program.clone(),
            ended_at_ms: self.ended_at_ms,
            retention_ms: self.retention_ms,
            size: self.size(),
        }
    }
}

/// A turn without its bodies: what placement needs, and what a store keeps of it in memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnHeader {
    /// See [`Turn::id`].
    pub id: String,
    /// See [`Turn::previous`].
    pub previous: Option<String>,
    /// See [`Turn::program`].
    pub program: String,
    /// See [`Turn::ended_at_ms`].
    pub ended_at_ms: u64,
    /// See [`Turn::retention_ms`].
    pub retention_ms: u64,
    /// Bytes that the turn takes, see [`Turn::size`].
    pub size: u64,
}

impl TurnHeader {
    /// How long a turn that has just ended is retained, margin included.
    #[must_use]
    pub fn retention_with_margin_ms(&self) -> u64 {
        self.retention_ms.saturating_add(RETENTION_MARGIN_MS)
    }
}

/// Bytes that a turn with these strings and so many bytes of input and output takes.
#[must_use]
pub fn size_of_turn(id: &str, previous: Option<&str>, program: &str, body_bytes: u64) -> u64 {
    let strings = id.len() + previous.map_or(0, str::len) + program.len();
    OVERHEAD_BYTES + strings as u64 + body_bytes
}

/// A turn as one store transfers it to another, with the time for which it is still retained. A duration rather
/// than a date, so that the clocks of the stores need not agree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedTurn {
    /// The turn itself.
    pub turn: Turn,
    /// How long it is still retained, in milliseconds.
    pub remaining_ms: u64,
}
