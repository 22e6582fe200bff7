//! The transfer of a snapshot to another member, in chunks that fit a message: both ends, without the chain around them.
//!
//! The receiver asks for each chunk by acknowledging how many bytes it has, so a chunk that was lost, duplicated or
//! reordered changes nothing, and after a broken connection both ends go on where they were. Nothing that was received
//! counts before all of it together has the checksum that the sender gave.

use crate::durable::Snapshot;
use crate::identity::MemberId;
use crate::limits::{MAX_SNAPSHOT_BYTES, SNAPSHOT_CHUNK_BYTES};
use crate::log::Position;
use crate::payload::Payload;
use crate::timing::{Millis, SNAPSHOT_CHUNK_RETRY, SNAPSHOT_TRANSFER_TIMEOUT};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Which snapshot it is, and what all its chunks together have to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotDescriptor {
    /// The last entry that the snapshot includes.
    pub position: Position,
    /// Bytes of the snapshot.
    pub length: u64,
    /// xxh3 (64 bit) of all bytes.
    pub checksum: u64,
}

impl SnapshotDescriptor {
    /// The descriptor of a snapshot in memory.
    #[must_use]
    pub fn of(snapshot: &Snapshot) -> SnapshotDescriptor {
        let bytes = snapshot.bytes.bytes();
        SnapshotDescriptor {
            position: snapshot.position,
            length: bytes.len() as u64,
            checksum: xxh3_64(bytes),
        }
    }
}

/// Bytes of a snapshot from an offset on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The snapshot.
    pub descriptor: SnapshotDescriptor,
    /// Bytes of the snapshot before this chunk.
    pub offset: u64,
    /// The bytes.
    pub bytes: Payload,
}

/// What the receiver replies to a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotProgress {
    /// The snapshot.
    pub descriptor: SnapshotDescriptor,
    /// Bytes that were received, without gaps from the first on.
    pub received: u64,
    /// The receiver doesn't accept this snapshot.
    pub rejected: bool,
}

/// Why a chunk, or a snapshot, was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum SnapshotRejection {
    /// The snapshot is larger than [`MAX_SNAPSHOT_BYTES`].
    #[error("a snapshot larger than the largest that is accepted")]
    TooLarge,
    /// The chunk has no bytes, too many, or goes beyond the snapshot's end.
    #[error("a chunk that doesn't fit its snapshot")]
    ChunkOutOfBounds,
    /// All bytes together don't have the checksum of the descriptor.
    #[error("a snapshot whose bytes don't have its checksum")]
    ChecksumMismatch,
}

impl SnapshotRejection {
    const ALL: [SnapshotRejection; 3] = [
        SnapshotRejection::TooLarge,
        SnapshotRejection::ChunkOutOfBounds,
        SnapshotRejection::ChecksumMismatch,
    ];
}

/// How often each rejection happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotRejections {
    /// Count of [`SnapshotRejection::TooLarge`].
    pub too_large: u64,
    /// Count of [`SnapshotRejection::ChunkOutOfBounds`].
    pub chunk_out_of_bounds: u64,
    /// Count of [`SnapshotRejection::ChecksumMismatch`].
    pub checksum_mismatch: u64,
}

impl SnapshotRejections {
    pub(crate) fn count(&mut self, rejection: SnapshotRejection) {
        match rejection {
            SnapshotRejection::TooLarge => self.too_large += 1,
            SnapshotRejection::ChunkOutOfBounds => self.chunk_out_of_bounds += 1,
            SnapshotRejection::ChecksumMismatch => self.checksum_mismatch += 1,
        }
    }

    fn of(&self, rejection: SnapshotRejection) -> u64 {
        match rejection {
            SnapshotRejection::TooLarge => self.too_large,
            SnapshotRejection::ChunkOutOfBounds => self.chunk_out_of_bounds,
            SnapshotRejection::ChecksumMismatch => self.checksum_mismatch,
        }
    }

    /// Reasons that had not occurred `before`.
    #[must_use]
    pub fn first_since(&self, before: &SnapshotRejections) -> Vec<SnapshotRejection> {
        let is_first =
            |rejection: &SnapshotRejection| before.of(*rejection) == 0 && self.of(*rejection) > 0;
        SnapshotRejection::ALL
            .into_iter()
            .filter(is_first)
            .collect()
    }

    /// All rejections.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.too_large + self.chunk_out_of_bounds + self.checksum_mismatch
    }
}

/// Whether the receiver has all of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransferState {
    InProgress,
    Complete,
}

/// The sending end.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingSnapshot {
    pub(crate) to: MemberId,
    descriptor: SnapshotDescriptor,
    snapshot: Snapshot,
    /// Bytes that the receiver has acknowledged.
    acknowledged: u64,
    /// When it last acknowledged another number of bytes.
    progressed_at: Millis,
    last_sent_at: Millis,
}

impl OutgoingSnapshot {
    pub(crate) fn new(to: MemberId, snapshot: Snapshot, now: Millis) -> OutgoingSnapshot {
        OutgoingSnapshot {
            to,
            descriptor: SnapshotDescriptor::of(&snapshot),
            snapshot,
            acknowledged: 0,
            progressed_at: now,
            last_sent_at: now,
        }
    }

    /// The same snapshot for another member: its bytes are shared.
    pub(crate) fn shared_with(&self, to: MemberId, now: Millis) -> OutgoingSnapshot {
        OutgoingSnapshot {
            to,
            acknowledged: 0,
            progressed_at: now,
            last_sent_at: now,
            ..self.clone()
        }
    }

    pub(crate) fn position(&self) -> Position {
        self.descriptor.position
    }

    pub(crate) fn descriptor(&self) -> SnapshotDescriptor {
        self.descriptor
    }

    /// The first chunk that the receiver hasn't acknowledged.
    pub(crate) fn next_chunk(&mut self, now: Millis) -> SnapshotChunk {
        self.last_sent_at = now;
        let bytes = self.snapshot.bytes.bytes();
        let from = (self.acknowledged as usize).min(bytes.len());
        let to = (from + SNAPSHOT_CHUNK_BYTES).min(bytes.len());
        SnapshotChunk {
            descriptor: self.descriptor,
            offset: self.acknowledged,
            bytes: Payload::from(&bytes[from..to]),
        }
    }

    /// The receiver has acknowledged so many bytes.
    pub(crate) fn acknowledge(&mut self, received: u64, now: Millis) -> TransferState {
        if received != self.acknowledged {
            self.progressed_at = now;
        }
        self.acknowledged = received.min(self.descriptor.length);
        if self.acknowledged == self.descriptor.length {
            TransferState::Complete
        } else {
            TransferState::InProgress
        }
    }

    /// When the chunk in flight is to be sent again.
    pub(crate) fn retry_at(&self) -> Millis {
        self.last_sent_at + SNAPSHOT_CHUNK_RETRY
    }

    /// The receiver has made no progress for long.
    pub(crate) fn is_abandoned(&self, now: Millis) -> bool {
        now >= self.progressed_at + SNAPSHOT_TRANSFER_TIMEOUT
    }
}

/// What the receiving end has after a chunk.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Received {
    /// So many bytes, and not all yet.
    Partial(u64),
    Complete(Snapshot),
}

/// Whether the checksum of all bytes counts; it always does but in tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verification {
    Checksum,
    Skipped,
}

/// The receiving end.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    descriptor: SnapshotDescriptor,
    bytes: Vec<u8>,
}

impl IncomingSnapshot {
    /// Adds a chunk to what was received so far. Nothing of an earlier snapshot is mixed with it.
    pub(crate) fn receive(
        incoming: &mut Option<IncomingSnapshot>,
        chunk: &SnapshotChunk,
        verification: Verification,
    ) -> Result<Received, SnapshotRejection> {
        check_bounds(chunk)?;
        let descriptor = chunk.descriptor;
        if incoming
            .as_ref()
            .is_none_or(|current| current.descriptor != descriptor)
        {
            *incoming = None;
        }
        let current = incoming.get_or_insert_with(|| IncomingSnapshot {
            descriptor,
            bytes: Vec::new(),
        });
        if chunk.offset == current.bytes.len() as u64 {
            current.bytes.extend_from_slice(chunk.bytes.bytes());
        }
        if (current.bytes.len() as u64) < descriptor.length {
            return Ok(Received::Partial(current.bytes.len() as u64));
        }
        let bytes = std::mem::take(&mut current.bytes);
        *incoming = None;
        if verification == Verification::Checksum && xxh3_64(&bytes) != descriptor.checksum {
            return Err(SnapshotRejection::ChecksumMismatch);
        }
        Ok(Received::Complete(Snapshot {
            position: descriptor.position,
            bytes: Payload::from(bytes),
        }))
    }
}

fn check_bounds(chunk: &SnapshotChunk) -> Result<(), SnapshotRejection> {
    let length = chunk.descriptor.length;
    if length > MAX_SNAPSHOT_BYTES {
        return Err(SnapshotRejection::TooLarge);
    }
    let end = chunk.offset.checked_add(chunk.bytes.len() as u64);
    let beyond_end = end.is_none_or(|end| end > length);
    let empty = chunk.bytes.is_empty() && length > 0;
    if empty || beyond_end || chunk.bytes.len() > SNAPSHOT_CHUNK_BYTES {
        return Err(SnapshotRejection::ChunkOutOfBounds);
    }
    Ok(())
}
