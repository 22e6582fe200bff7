//! The newest snapshot on disk, what another is wanted for, and the transfers of snapshots.

use crate::durable::Snapshot;
use crate::identity::MemberId;
use crate::limits::{MAX_COMPACTION_BYTES, MIN_COMPACTION_BYTES};
use crate::log::LogIndex;
use crate::snapshot_transfer::{IncomingSnapshot, OutgoingSnapshot, SnapshotRejections};
use crate::timing::{Millis, SNAPSHOT_TRANSFER_GAP, TAKE_SNAPSHOT_RETRY};

/// Whose transfer ended, and when.
#[derive(Clone, Debug)]
struct EndedTransfer {
    to: MemberId,
    at: Millis,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshots {
    /// The newest on disk ends here.
    pub(crate) on_disk_index: LogIndex,
    /// Its size.
    pub(crate) on_disk_bytes: usize,
    /// About the bytes of all entries committed since.
    pub(crate) committed_bytes: usize,
    /// One is wanted to compact the log.
    pub(crate) wanted_for_log: bool,
    /// Members that need one which isn't taken yet.
    pub(crate) wanted_by: Vec<MemberId>,
    pub(crate) outgoing: Vec<OutgoingSnapshot>,
    ended: Vec<EndedTransfer>,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) rejections: SnapshotRejections,
    /// When the caller was requested to take one.
    pub(crate) requested_at: Option<Millis>,
}

impl From<Option<&Snapshot>> for Snapshots {
    fn from(on_disk: Option<&Snapshot>) -> Snapshots {
        Snapshots {
            on_disk_index: on_disk.map_or(0, |snapshot| snapshot.position.index),
            on_disk_bytes: on_disk.map_or(0, |snapshot| snapshot.bytes.len()),
            ..Snapshots::default()
        }
    }
}

impl Snapshots {
    /// A snapshot is to be taken for the member, or is on its way there.
    pub(crate) fn is_wanted_by(&self, member: &MemberId) -> bool {
        self.wanted_by.contains(member)
            || self.outgoing.iter().any(|outgoing| outgoing.to == *member)
    }

    /// The member goes on without one.
    pub(crate) fn cancel_for(&mut self, member: &MemberId) {
        self.wanted_by.retain(|other| other != member);
        self.outgoing.retain(|outgoing| outgoing.to != *member);
    }

    /// In another view others may need one. What is in transfer goes on if it is requested again.
    pub(crate) fn forget_requests(&mut self) {
        self.wanted_by.clear();
        self.ended.clear();
    }

    /// Whether the log is to be compacted. A new snapshot pays when as much has come to the log as the
    /// last one is large: what is written for snapshots stays within what is written for entries, up to the bound of the
    /// log.
    pub(crate) fn is_compaction_due(&self) -> bool {
        let threshold = self
            .on_disk_bytes
            .clamp(MIN_COMPACTION_BYTES, MAX_COMPACTION_BYTES);
        self.committed_bytes >= threshold
    }

    pub(crate) fn ended_just_now(&self, to: &MemberId, now: Millis) -> bool {
        let is_recent =
            |ended: &EndedTransfer| ended.to == *to && now < ended.at + SNAPSHOT_TRANSFER_GAP;
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
            at: now,
        });
    }

    /// When to request one from the caller again.
    pub(crate) fn next_request(&self) -> Option<Millis> {
        let is_wanted = self.wanted_for_log || !self.wanted_by.is_empty();
        self.requested_at
            .filter(|_| is_wanted)
            .map(|at| at + TAKE_SNAPSHOT_RETRY)
    }
}
