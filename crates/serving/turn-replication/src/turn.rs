//! One finished turn of a conversation, and its header, which stores keep in memory.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Time for which a turn is kept beyond its retention, in milliseconds. The margin covers wall clocks that differ by
/// seconds or step, and a new turn that refers to this one in time but runs for seconds before its own write begins.
pub const RETENTION_MARGIN_MS: u64 = 15_000;

/// Bytes that a turn takes in addition to its strings and bodies.
const OVERHEAD_BYTES: u64 = 64;

/// One finished turn. Turns are immutable: an id always identifies the same bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// The `X-Dunespur-Request-Id` of the request that produced the turn.
    pub id: String,
    /// Id of the turn that this turn continues; `None` at the start of a conversation.
    pub previous: Option<String>,
    /// The program that the turn belongs to; placement depends on it.
    pub program: String,
    /// The new input, as the client sent it.
    pub input: Bytes,
    /// The data of each event followed by a line feed.
    pub output: Bytes,
    /// When the answer ended, in milliseconds since the Unix epoch by the wall clock of the gateway.
    pub ended_at_ms: u64,
    /// How long the turn and its chain are retained, in milliseconds, counted from the end of the answer.
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

    /// The header of the turn: all data except the bodies.
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

/// A turn without its bodies: the data that placement needs and that a store keeps in memory.
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
    /// Retention of a turn that has just ended, including [`RETENTION_MARGIN_MS`], in milliseconds.
    #[must_use]
    pub fn retention_with_margin_ms(&self) -> u64 {
        self.retention_ms.saturating_add(RETENTION_MARGIN_MS)
    }
}

/// Bytes that a turn with these strings and `body_bytes` bytes of input and output takes.
#[must_use]
pub fn size_of_turn(id: &str, previous: Option<&str>, program: &str, body_bytes: u64) -> u64 {
    let strings = id.len() + previous.map_or(0, str::len) + program.len();
    OVERHEAD_BYTES + strings as u64 + body_bytes
}

/// A turn in a transfer between stores, with its remaining retention. The retention is a duration rather than a date,
/// so that the clocks of the stores need not agree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedTurn {
    /// The transferred turn.
    pub turn: Turn,
    /// Remaining retention of the turn, in milliseconds.
    pub remaining_ms: u64,
}
