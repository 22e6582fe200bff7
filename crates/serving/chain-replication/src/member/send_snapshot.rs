//! Sending snapshots to members that need entries which this member has already compacted.

use super::Member;
use crate::durable::Snapshot;
use crate::identity::MemberId;
use crate::message::Message;
use crate::snapshot_transfer::{OutgoingSnapshot, SnapshotProgress, TransferState};
use crate::timing::Millis;
use crate::view::ViewNumber;

impl Member {
    /// Provides a snapshot to a member whose log ends before this one begins: shares one in transfer, or requests a new one
    /// from the caller.
    pub(super) fn provide_snapshot_to(&mut self, member: MemberId) {
        self.drop_obsolete_transfers();
        let now = self.now;
        if let Some(outgoing) = self.snapshots.outgoing_to(&member) {
            if now >= outgoing.retry_at() {
                self.send_chunk(&member);
            }
            return;
        }
        if self.snapshots.ended_recently(&member, now) || self.snapshots.is_needed_by(&member) {
            return;
        }
        let in_transfer = self.snapshots.outgoing.first();
        match in_transfer.map(|other| other.shared_with(member.clone(), now)) {
            Some(outgoing) => {
                self.snapshots.outgoing.push(outgoing);
                self.send_chunk(&member);
            }
            None => {
                self.snapshots.needed_by.push(member);
                self.request_snapshot();
            }
        }
    }

    /// Drops transfers of snapshots whose end the log no longer includes: entries couldn't continue from there.
    fn drop_obsolete_transfers(&mut self) {
        let log = &self.log;
        self.snapshots
            .outgoing
            .retain(|outgoing| log.matches(outgoing.position()));
    }

    /// Starts to send a newly taken snapshot to all members that need one.
    pub(super) fn begin_transfers(&mut self, snapshot: &Snapshot) {
        for member in std::mem::take(&mut self.snapshots.needed_by) {
            let outgoing = OutgoingSnapshot::new(member.clone(), snapshot.clone(), self.now);
            self.snapshots.outgoing.push(outgoing);
            self.send_chunk(&member);
        }
    }

    /// Sends the next chunk, if a snapshot is in transfer to the member.
    pub(super) fn send_chunk(&mut self, to: &MemberId) {
        if !self.is_synced() {
            return;
        }
        let (view, now) = (self.view_number(), self.now);
        let Some(outgoing) = self.snapshots.outgoing_to(to) else {
            return;
        };
        let chunk = outgoing.next_chunk(now);
        self.send(to, Message::SnapshotChunk { view, chunk });
    }

    /// Handles a receiver's acknowledgement: sends the next chunk, or entries once the snapshot is complete.
    pub(super) fn on_snapshot_progress(
        &mut self,
        from: &MemberId,
        view: ViewNumber,
        progress: SnapshotProgress,
    ) {
        if view != self.view_number() || !self.is_synced() {
            return;
        }
        let now = self.now;
        let outgoing = self.snapshots.outgoing_to(from);
        let Some(outgoing) = outgoing.filter(|to| to.descriptor() == progress.descriptor) else {
            return;
        };
        let position = outgoing.position();
        if progress.rejected {
            return self.snapshots.end_transfer(from, now);
        }
        if outgoing.acknowledge(progress.received, now) == TransferState::InProgress {
            return self.send_chunk(from);
        }
        self.snapshots.end_transfer(from, now);
        if self.successor().as_ref() == Some(from) {
            self.downstream.resume_after_snapshot(position.index, now);
            self.resume_forwarding();
        } else {
            self.send_committed_entries(from, position);
        }
    }

    pub(super) fn tick_snapshots(&mut self) {
        let now = self.now;
        if self.snapshots.next_request().is_some_and(|at| now >= at) {
            self.request_snapshot();
        }
        self.snapshots
            .outgoing
            .retain(|outgoing| !outgoing.is_abandoned(now));
        let unacknowledged = self
            .snapshots
            .outgoing
            .iter()
            .filter(|to| now >= to.retry_at());
        let receivers: Vec<MemberId> = unacknowledged.map(|to| to.to.clone()).collect();
        for member in receivers {
            self.send_chunk(&member);
        }
    }

    pub(super) fn next_snapshot_tick(&self) -> Option<Millis> {
        let retries = self
            .snapshots
            .outgoing
            .iter()
            .map(OutgoingSnapshot::retry_at);
        let retry = retries.filter(|_| self.is_synced()).min();
        [self.snapshots.next_request(), retry]
            .into_iter()
            .flatten()
            .min()
    }
}
