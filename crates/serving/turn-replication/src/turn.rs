//! One finished turn of a program, and the part of it that is kept in memory.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// How much longer than its retention a turn is kept, in milliseconds. Against wall clocks that differ by
/// seconds or step, and against a turn that is named in time and goes on for seconds before it is kept itself.
pub const RETENTION_MARGIN_MS: u64 = 15_000;

/// One finished turn. Immutable: an id names the same bytes for ever.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// The `X-Dunespur-Request-Id` under which it was answered.
    pub id: String,
    /// The turn it goes on from; none at the start of a program.
    pub previous: Option<String>,
    /// The program that it belongs to; it decides on which stores the turn is placed.
    pub program: String,
    /// The new input, as the client sent it.
    pub input: Bytes,
    /// The data of each event followed by a line feed.
    pub output: Bytes,
    /// When the answer ended, by the wall clock of the gateway.
    pub ended_at_ms: u64,
    /// How long it is kept, with its chain, from the end of its answer on.
    pub retention_ms: u64,
}

impl Turn {
    /// Bytes of input and output.
    pub fn body_bytes(&self) -> u64 {
        self.input.len() as u64 + self.output.len() as u64
    }

    /// What the turn takes in a message, in memory or on a disk.
    pub fn size(&self) -> u64 {
        size_of(
            &self.id,
            self.previous.as_deref(),
            &self.program,
            self.body_bytes(),
        )
    }

    /// Everything but the bodies.
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

/// A turn without its bodies: what a writer places by, and what a store remembers of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnHeader {
    pub id: String,
    pub previous: Option<String>,
    pub program: String,
    pub ended_at_ms: u64,
    pub retention_ms: u64,
    /// What the turn takes, see [`Turn::size`].
    pub size: u64,
}

/// What a turn takes beside its strings and bodies.
const FIXED_BYTES: u64 = 64;

/// What a turn with these strings and so many bytes of input and output takes.
pub fn size_of(id: &str, previous: Option<&str>, program: &str, body_bytes: u64) -> u64 {
    let strings = id.len() + previous.map_or(0, str::len) + program.len();
    FIXED_BYTES + strings as u64 + body_bytes
}

impl TurnHeader {
    /// How long a turn that has just ended is kept, margin included.
    pub fn full_term_ms(&self) -> u64 {
        self.retention_ms.saturating_add(RETENTION_MARGIN_MS)
    }
}

/// A turn as one store hands it to another, with the time it has left there. A span, not a date: the stores'
/// clocks need not agree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldTurn {
    pub turn: Turn,
    pub remaining_ms: u64,
}
