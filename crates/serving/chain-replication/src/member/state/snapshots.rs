//! The newest snapshot on disk, the reasons to take another one, and the transfers of snapshots.

use crate::durable::Snapshot;
use crate::identity::MemberId;
use crate::limits::{MAX_COMPACTION_BYTES, MIN_COMPACTION_BYTES};
use crate::log::LogIndex;
use crate::snapshot_transfer::{IncomingSnapshot, OutgoingSnapshot, SnapshotRejections};
use crate::timing::{Millis, SNAPSHOT_TRANSFER_GAP, TAKE_SNAPSHOT_RETRY};

/// The receiver and the end time of a finished or rejected transfer.
#[derive(Clone, Debug)]
struct EndedTransfer {
    to: MemberId,
    ended_at: Millis,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotState {
    /// Index of the last entry that the newest snapshot on disk includes.
    pub(crate) on_disk_index: LogIndex,
    /// Bytes of the newest snapshot on disk.
    pub(crate) on_disk_bytes: usize,
    /// Approximate bytes of all entries committed since the newest snapshot on disk.
    pub(crate) committed_bytes: usize,
    /// A new snapshot is wanted to compact the log.
    pub(crate) wanted_for_compaction: bool,
    /// Members that need a snapshot which isn't taken yet.
    pub(crate) needed_by: Vec<MemberId>,
    pub(crate) outgoing: Vec<OutgoingSnapshot>,
    ended: Vec<EndedTransfer>,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) rejections: SnapshotRejections,
    /// When the caller was last asked to take a snapshot; `None` once the caller has replied.
    pub(crate) requested_at: Option<Millis>,
}

impl From<Option<&Snapshot>> for SnapshotState {
    fn from(on_disk: Option<&Snapshot>) -> SnapshotState {
        SnapshotState {
            on_disk_index: on_disk.map_or(0, |snapshot| snapshot.position.index),
            on_disk_bytes: on_disk.map_or(0, |snapshot| snapshot.bytes.len()),
            ..SnapshotState::default()
        }
    }
}

impl SnapshotState {
    /// Whether a snapshot is to be taken for the member or is in transfer to it.
    pub(crate) fn is_needed_by(&self, member: &MemberId) -> bool {
        self.needed_by.contains(member)
            || self.outgoing.iter().any(|outgoing| outgoing.to == *member)
    }

    /// Ends requests and transfers for a member that needs no snapshot any more.
    pub(crate) fn cancel_for(&mut self, member: &MemberId) {
        self.needed_by.retain(|other| other != member);
        self.outgoing.retain(|outgoing| outgoing.to != *member);
    }

    /// Discards which members need a snapshot, because these may be others in a new view. Transfers under way are kept,
    /// and continue when the receiver requests a snapshot again.
    pub(crate) fn forget_requests(&mut self) {
        self.needed_by.clear();
        self.ended.clear();
    }

    /// Whether the log is to be compacted. A snapshot is due once the entries committed since the last snapshot have as
    /// many bytes as that snapshot. Snapshots then write no more bytes than entries do, unless the upper bound of the log
    /// is reached first.
    pub(crate) fn is_compaction_due(&self) -> bool {
        let threshold = self
            .on_disk_bytes
            .clamp(MIN_COMPACTION_BYTES, MAX_COMPACTION_BYTES);
        self.committed_bytes >= threshold
    }

    pub(crate) fn ended_recently(&self, to: &MemberId, now: Millis) -> bool {
        let is_recent =
            |ended: &EndedTransfer| ended.to == *to && now < ended.ended_at + SNAPSHOT_TRANSFER_GAP;
        self.ended.iter().any(is_recent)
    }

    pub(crate) fn outgoing_to(&mut self, to: &MemberId) -> Option<&mut OutgoingSnapshot> {
        self.outgoing.iter_mut().find(|outgoing| outgoing.to == *to)
    }

    pub(crate) fn end_transfer(&mut self, to: &MemberId, now: Millis) {
        self.cancel_for(to);
        self.ended.retain(|ended| ended.to != *to);
        self.ended.push(EndedTransfer {
            to: to.clone(),
            ended_at: now,
        });
    }

    /// When to ask the caller for a snapshot again.
    pub(crate) fn next_request(&self) -> Option<Millis> {
        let is_wanted = self.wanted_for_compaction || !self.needed_by.is_empty();
        self.requested_at
            .filter(|_| is_wanted)
            .map(|at| at + TAKE_SNAPSHOT_RETRY)
    }
}
