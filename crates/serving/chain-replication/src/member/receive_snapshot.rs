//! Receiving a snapshot, as the log here ends before that of the sender begins.

use super::state::replication::Stage;
use super::state::snapshots::Snapshots;
use super::{Member, Output};
use crate::durable::{Snapshot, Write};
use crate::identity::MemberId;
use crate::log::Position;
use crate::message::Message;
use crate::safeguards::Safeguard;
use crate::snapshot_transfer::{
    IncomingSnapshot, Received, SnapshotChunk, SnapshotProgress, Verification,
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
        if self.reaches(descriptor.position) {
            // The sender goes on from there: it may know neither the end of the log here nor what is committed here.
            return self.send(from, Message::SnapshotProgress { view, progress });
        }
        let mut complete = None;
        let verification = self.verification();
        match IncomingSnapshot::receive(&mut self.snapshots.incoming, chunk, verification) {
            Ok(Received::Partial(received)) => progress.received = received,
            Ok(Received::Complete(snapshot)) => complete = Some(snapshot),
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

    /// From a member of an earlier version, which sends it in one message.
    pub(super) fn on_unchunked_snapshot(
        &mut self,
        from: &MemberId,
        view: ViewNumber,
        snapshot: Snapshot,
    ) {
        if self.accepts_snapshots_of(from, view) && !self.reaches(snapshot.position) {
            self.install_snapshot(snapshot);
        }
    }

    /// Whether this member takes snapshots from `from` in this view: from the predecessor in the chain, from the tail out
    /// of it.
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

    /// Whether the log here is like the sender's up to a position that is committed there.
    fn reaches(&self, position: Position) -> bool {
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
        // The log lacked what was committed, so it was no log to go on from; until it has caught up it is none.
        self.synced_view = 0;
        self.write_queue.truncate(0);
        self.write_queue.write(Write::Truncate { index: 0 });
        self.write_queue.write(Write::Synced { view: 0 });
        self.outputs.push(Output::InstallSnapshot {
            index: position.index,
            bytes: snapshot.bytes.to_vec(),
        });
        let rejections = self.snapshots.rejections;
        self.snapshots = Snapshots::from(Some(&snapshot));
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
