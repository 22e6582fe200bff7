//! A snapshot on its way to another member, in parts that fit a message: both ends, without the chain around them.
//!
//! The receiver asks for each part by saying how many bytes it holds, so a part that was lost, doubled or overtaken
//! changes nothing, and after a broken connection both go on where they were. Nothing that was received counts before
//! the whole has the checksum that the sender gave.

use crate::disk::SavedSnapshot;
use crate::identity::MemberId;
use crate::log::{Payload, Position};
use crate::timing::{Millis, MOST_SNAPSHOT_BYTES, SNAPSHOT_PART_BYTES, TRANSFER_LASTS};
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Which snapshot it is, and what it has to come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotLabel {
    pub position: Position,
    pub length: u64,
    /// xxh3 of all bytes.
    pub checksum: u64,
}

impl SnapshotLabel {
    pub fn of(snapshot: &SavedSnapshot) -> SnapshotLabel {
        let bytes = snapshot.bytes.bytes();
        SnapshotLabel {
            position: snapshot.position,
            length: bytes.len() as u64,
            checksum: xxh3_64(bytes),
        }
    }
}

/// Bytes of a snapshot from an offset on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    pub label: SnapshotLabel,
    pub offset: u64,
    pub bytes: Payload,
}

/// What the receiver says to a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotProgress {
    pub label: SnapshotLabel,
    /// Bytes that it holds, from the first on.
    pub held: u64,
    /// It doesn't take this snapshot.
    pub refused: bool,
}

/// Why a part, or a snapshot, was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SnapshotRefusal {
    /// The snapshot is larger than [`MOST_SNAPSHOT_BYTES`].
    TooLarge,
    /// The part has no bytes, too many, or goes beyond the snapshot's end.
    PartOutOfBounds,
    /// The whole doesn't have its checksum.
    Checksum,
}

impl fmt::Display for SnapshotRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            SnapshotRefusal::TooLarge => "a snapshot beyond the largest that is taken",
            SnapshotRefusal::PartOutOfBounds => "a part that doesn't fit its snapshot",
            SnapshotRefusal::Checksum => "a snapshot whose bytes don't have its checksum",
        })
    }
}

/// How often each happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotRefusals {
    pub too_large: u64,
    pub part_out_of_bounds: u64,
    pub checksum: u64,
}

impl SnapshotRefusals {
    pub(super) fn count(&mut self, refusal: SnapshotRefusal) {
        match refusal {
            SnapshotRefusal::TooLarge => self.too_large += 1,
            SnapshotRefusal::PartOutOfBounds => self.part_out_of_bounds += 1,
            SnapshotRefusal::Checksum => self.checksum += 1,
        }
    }

    fn of(&self, refusal: SnapshotRefusal) -> u64 {
        match refusal {
            SnapshotRefusal::TooLarge => self.too_large,
            SnapshotRefusal::PartOutOfBounds => self.part_out_of_bounds,
            SnapshotRefusal::Checksum => self.checksum,
        }
    }

    /// Reasons that there were none of before.
    pub fn first_since(&self, before: &SnapshotRefusals) -> Vec<SnapshotRefusal> {
        let all = [
            SnapshotRefusal::TooLarge,
            SnapshotRefusal::PartOutOfBounds,
            SnapshotRefusal::Checksum,
        ];
        all.into_iter()
            .filter(|refusal| before.of(*refusal) == 0 && self.of(*refusal) > 0)
            .collect()
    }

    pub fn total(&self) -> u64 {
        self.too_large + self.part_out_of_bounds + self.checksum
    }
}

/// A snapshot that goes to another member.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    pub(super) to: MemberId,
    label: SnapshotLabel,
    snapshot: SavedSnapshot,
    /// What the receiver has said that it holds.
    held: u64,
    /// When it said something new.
    moved_at: Millis,
    pub(super) sent_at: Millis,
}

impl Transfer {
    pub(super) fn new(to: MemberId, snapshot: SavedSnapshot, now: Millis) -> Transfer {
        let label = SnapshotLabel::of(&snapshot);
        Transfer {
            to,
            label,
            snapshot,
            held: 0,
            moved_at: now,
            sent_at: now,
        }
    }

    /// The same snapshot for another member: its bytes are shared.
    pub(super) fn shared_with(&self, to: MemberId, now: Millis) -> Transfer {
        Transfer {
            to,
            held: 0,
            moved_at: now,
            sent_at: now,
            ..self.clone()
        }
    }

    pub(super) fn position(&self) -> Position {
        self.label.position
    }

    pub(super) fn label(&self) -> SnapshotLabel {
        self.label
    }

    /// The part that the receiver lacks next.
    pub(super) fn next_part(&mut self, now: Millis) -> SnapshotPart {
        self.sent_at = now;
        let bytes = self.snapshot.bytes.bytes();
        let from = (self.held as usize).min(bytes.len());
        let to = (from + SNAPSHOT_PART_BYTES).min(bytes.len());
        SnapshotPart {
            label: self.label,
            offset: self.held,
            bytes: Payload::from(&bytes[from..to]),
        }
    }

    /// Notes what the receiver holds; says whether that is all.
    pub(super) fn progressed(&mut self, held: u64, now: Millis) -> bool {
        if held != self.held {
            self.moved_at = now;
        }
        self.held = held.min(self.label.length);
        self.held == self.label.length
    }

    /// The receiver hasn't said anything new for long.
    pub(super) fn is_given_up(&self, now: Millis) -> bool {
        now >= self.moved_at + TRANSFER_LASTS
    }
}

/// What became of a part at its receiver.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Taken {
    /// So many bytes are held now.
    Held(u64),
    Whole(SavedSnapshot),
    Refused(SnapshotRefusal),
}

/// A snapshot that comes in.
#[derive(Clone, Debug)]
pub(super) struct Incoming {
    label: SnapshotLabel,
    bytes: Vec<u8>,
}

impl Incoming {
    /// Takes a part into what has come so far. Nothing of an earlier snapshot is mixed with it.
    pub(super) fn take(
        incoming: &mut Option<Incoming>,
        part: SnapshotPart,
        check_whole: bool,
    ) -> Taken {
        let label = part.label;
        if label.length > MOST_SNAPSHOT_BYTES {
            return Taken::Refused(SnapshotRefusal::TooLarge);
        }
        let end = part.offset.checked_add(part.bytes.len() as u64);
        let empty = part.bytes.is_empty() && label.length > 0;
        if empty
            || part.bytes.len() > SNAPSHOT_PART_BYTES
            || end.is_none_or(|end| end > label.length)
        {
            return Taken::Refused(SnapshotRefusal::PartOutOfBounds);
        }
        if incoming
            .as_ref()
            .is_none_or(|incoming| incoming.label != label)
        {
            *incoming = Some(Incoming {
                label,
                bytes: Vec::new(),
            });
        }
        let Some(current) = incoming else {
            return Taken::Held(0);
        };
        if part.offset == current.bytes.len() as u64 {
            current.bytes.extend_from_slice(part.bytes.bytes());
        }
        if (current.bytes.len() as u64) < label.length {
            return Taken::Held(current.bytes.len() as u64);
        }
        let bytes = incoming
            .take()
            .map(|incoming| incoming.bytes)
            .unwrap_or_default();
        if check_whole && xxh3_64(&bytes) != label.checksum {
            return Taken::Refused(SnapshotRefusal::Checksum);
        }
        Taken::Whole(SavedSnapshot {
            position: label.position,
            bytes: Payload::from(bytes),
        })
    }
}
