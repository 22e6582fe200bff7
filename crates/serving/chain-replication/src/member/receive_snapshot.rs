//! Receiving a snapshot, when this member's log ends before the sender's begins.

use super::state::replication::Stage;
use super::state::snapshots::SnapshotState;
use super::{Member, Output};
use crate::durable::{Snapshot, Write};
use crate::identity::MemberId;
use crate::log::Position;
use crate::message::Message;
use crate::safeguards::Safeguard;
use crate::snapshot_transfer::{
    IncomingSnapshot, ReceiveOutcome, SnapshotChunk, SnapshotProgress, Verification,
};
use crate::view::ViewNumber;
use crate::write_queue::Completion;

impl Member {
    pub(super) fn on_snapshot_chunk(
        &mut self,
        from: &MemberId,
        view: ViewNumber,
        chunk: &SnapshotChunk,
    ) {
        if !self.accepts_snapshots_of(from, view) {
            return;
        }
        self.upstream.snapshot_received(self.now);
        let descriptor = chunk.descriptor;
        let mut progress = SnapshotProgress {
            descriptor,
            received: descriptor.length,
            rejected: false,
        };
        if self.log_includes(descriptor.position) {
            // The snapshot is acknowledged as complete, so that the sender continues with the entries after it. Otherwise the
            // sender, whose log is compacted, might find no common position with this log.
            return self.send(from, Message::SnapshotProgress { view, progress });
        }
        let mut complete = None;
        let verification = self.verification();
        match IncomingSnapshot::receive(&mut self.snapshots.incoming, chunk, verification) {
            Ok(ReceiveOutcome::Partial(received)) => progress.received = received,
            Ok(ReceiveOutcome::Complete(snapshot)) => complete = Some(snapshot),
            Err(rejection) => {
                self.snapshots.rejections.count(rejection);
                progress.received = 0;
                progress.rejected = true;
            }
        }
        self.send(from, Message::SnapshotProgress { view, progress });
        if let Some(snapshot) = complete {
            self.install_snapshot(snapshot);
        }
    }

    /// Handles a snapshot in one message, as members of an earlier version send it.
    pub(super) fn on_unchunked_snapshot(
        &mut self,
        from: &MemberId,
        view: ViewNumber,
        snapshot: Snapshot,
    ) {
        if self.accepts_snapshots_of(from, view) && !self.log_includes(snapshot.position) {
            self.install_snapshot(snapshot);
        }
    }

    /// Whether this member accepts snapshots from `from` in this view. The sender is the predecessor for a member of the
    /// chain, and the tail for a learner.
    fn accepts_snapshots_of(&self, from: &MemberId, view: ViewNumber) -> bool {
        let is_behind = matches!(self.stage, Stage::CatchingUp | Stage::OutOfChain);
        let source = self.view().and_then(|view| {
            if view.in_chain(&self.me.id) {
                view.predecessor(&self.me.id)
            } else {
                view.tail()
            }
        });
        view == self.view_number() && source == Some(from) && is_behind
    }

    /// Whether this log already includes everything up to a position that is committed at the sender.
    fn log_includes(&self, position: Position) -> bool {
        position.index <= self.commit_index || self.log.matches(position)
    }

    fn verification(&self) -> Verification {
        if self.safeguards.has(Safeguard::VerifySnapshots) {
            Verification::Checksum
        } else {
            Verification::Skipped
        }
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let position = snapshot.position;
        // The log lacked commits, so it counts as complete in no view until it has caught up.
        self.synced_view = 0;
        self.write_queue.limit_persisted_index(0);
        self.write_queue.write(Write::Truncate { index: 0 });
        self.write_queue.write(Write::Synced { view: 0 });
        self.outputs.push(Output::InstallSnapshot {
            index: position.index,
            bytes: snapshot.bytes.to_vec(),
        });
        let rejections = self.snapshots.rejections;
        self.snapshots = SnapshotState::from(Some(&snapshot));
        self.snapshots.rejections = rejections;
        self.write_queue.write(Write::Snapshot { snapshot });
        let index = position.index;
        self.write_queue
            .when_persisted(Completion::LogPersisted { index });
        self.log.reset(position);
        self.persisted_index = 0;
        self.commit_index = index;
        self.notify_ready_reads();
        self.fetch_committed_now();
    }
}
