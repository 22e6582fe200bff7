//! Transfers a snapshot to another member in chunks that fit into a message. This module has the state of the sender and
//! of the receiver, and does not depend on the chain.
//!
//! The receiver requests each chunk by acknowledging how many bytes it has. So lost, duplicated and reordered chunks do no
//! harm, and after a broken connection the transfer resumes where it was. The receiver uses a snapshot only when it is
//! complete and has the sender's checksum.

use crate::durable::Snapshot;
use crate::identity::MemberId;
use crate::limits::{MAX_SNAPSHOT_BYTES, SNAPSHOT_CHUNK_BYTES};
use crate::log::Position;
use crate::payload::Payload;
use crate::timing::{Millis, SNAPSHOT_CHUNK_RETRY, SNAPSHOT_TRANSFER_TIMEOUT};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a snapshot, with the length and checksum that its assembled chunks must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotDescriptor {
    /// The last entry that the snapshot includes.
    pub position: Position,
    /// Length of the snapshot in bytes.
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

/// A part of a snapshot's bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The snapshot that the chunk belongs to.
    pub descriptor: SnapshotDescriptor,
    /// Offset of the chunk in the snapshot, in bytes.
    pub offset: u64,
    /// The chunk's bytes.
    pub bytes: Payload,
}

/// The receiver's reply to a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotProgress {
    /// The snapshot that the chunk belongs to.
    pub descriptor: SnapshotDescriptor,
    /// Bytes received without gaps from the beginning.
    pub received: u64,
    /// The receiver doesn't accept this snapshot.
    pub rejected: bool,
}

/// Why a chunk or a snapshot was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum SnapshotRejection {
    /// The snapshot is larger than [`MAX_SNAPSHOT_BYTES`].
    #[error("the snapshot is larger than {MAX_SNAPSHOT_BYTES} bytes")]
    TooLarge,
    /// The chunk is larger than [`SNAPSHOT_CHUNK_BYTES`], goes beyond the end of the snapshot, or is empty although the
    /// snapshot is not.
    #[error("the chunk is empty, larger than {SNAPSHOT_CHUNK_BYTES} bytes, or beyond the end of its snapshot")]
    ChunkOutOfBounds,
    /// The assembled bytes don't have the checksum of the descriptor.
    #[error("the snapshot does not match its checksum")]
    ChecksumMismatch,
}

impl SnapshotRejection {
    const ALL: [SnapshotRejection; 3] = [
        SnapshotRejection::TooLarge,
        SnapshotRejection::ChunkOutOfBounds,
        SnapshotRejection::ChecksumMismatch,
    ];
}

/// Counts of rejections by reason.
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

    /// The reasons for which rejections have occurred now, but had not in `before`.
    #[must_use]
    pub fn first_since(&self, before: &SnapshotRejections) -> Vec<SnapshotRejection> {
        let is_first =
            |rejection: &SnapshotRejection| before.of(*rejection) == 0 && self.of(*rejection) > 0;
        SnapshotRejection::ALL
            .into_iter()
            .filter(is_first)
            .collect()
    }

    /// The number of rejections for any reason.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.too_large + self.chunk_out_of_bounds + self.checksum_mismatch
    }
}

/// Whether the receiver has acknowledged the whole snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransferState {
    InProgress,
    Complete,
}

/// The sender's side of a transfer.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingSnapshot {
    pub(crate) to: MemberId,
    descriptor: SnapshotDescriptor,
    snapshot: Snapshot,
    /// Bytes that the receiver has acknowledged.
    acknowledged: u64,
    /// When the number of acknowledged bytes last changed.
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

    /// Records that the receiver has acknowledged `received` bytes. Every change of this number counts as progress, also a
    /// decrease: a receiver that discards its bytes and starts again is still active.
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

    /// When to send the chunk in flight again.
    pub(crate) fn retry_at(&self) -> Millis {
        self.last_sent_at + SNAPSHOT_CHUNK_RETRY
    }

    /// Whether the receiver has made no progress for [`SNAPSHOT_TRANSFER_TIMEOUT`].
    pub(crate) fn is_abandoned(&self, now: Millis) -> bool {
        now >= self.progressed_at + SNAPSHOT_TRANSFER_TIMEOUT
    }
}

/// The receiver's state after a chunk.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReceiveOutcome {
    /// The number of bytes received so far; the snapshot is incomplete.
    Partial(u64),
    Complete(Snapshot),
}

/// Whether to verify a snapshot's checksum; only tests skip it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verification {
    Checksum,
    Skipped,
}

/// The receiver's side of a transfer.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    descriptor: SnapshotDescriptor,
    bytes: Vec<u8>,
}

impl IncomingSnapshot {
    /// Adds a chunk to the bytes received so far. A chunk of another snapshot discards them and starts anew.
    pub(crate) fn receive(
        incoming: &mut Option<IncomingSnapshot>,
        chunk: &SnapshotChunk,
        verification: Verification,
    ) -> Result<ReceiveOutcome, SnapshotRejection> {
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
            return Ok(ReceiveOutcome::Partial(current.bytes.len() as u64));
        }
        let bytes = std::mem::take(&mut current.bytes);
        *incoming = None;
        if verification == Verification::Checksum && xxh3_64(&bytes) != descriptor.checksum {
            return Err(SnapshotRejection::ChecksumMismatch);
        }
        Ok(ReceiveOutcome::Complete(Snapshot {
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
