//! Receive: a message arrives and is dispatched to its handler.

use super::Member;
use crate::durable::Snapshot;
use crate::identity::MemberId;
use crate::message::Message;

impl Member {
    pub(super) fn receive(&mut self, from: MemberId, message: Message) {
        let was_disconnected = self.failure_detector.is_disconnected(&from);
        self.failure_detector.message_received(&from, self.now);
        if was_disconnected {
            self.on_reconnected(&from);
        }
        self.handle(from, message);
    }

    pub(super) fn handle(&mut self, from: MemberId, message: Message) {
        match message {
            Message::Bootstrap { view } => self.bootstrap(view),
            Message::Join { joiner } => self.on_join(joiner),
            Message::Decided { decided } => self.on_decided(decided),
            Message::Ping(ping) => self.on_ping(from, ping),
            Message::Prepare {
                proposal_number,
                decided,
            } => self.on_prepare(from, proposal_number, decided),
            Message::Promise(promise) => self.on_promise(from, promise),
            Message::Reject { view, promised } => self.on_reject(view, &promised),
            Message::Accept {
                proposal_number,
                proposal,
            } => self.on_accept(from, proposal_number, proposal),
            Message::Accepted {
                view,
                proposal_number,
            } => self.on_accepted(from, view, &proposal_number),
            Message::Append(append) => self.on_append(&from, append),
            Message::Resume(resume) => self.on_resume(from, &resume),
            Message::FetchCommitted(resume) => self.on_fetch_committed(from, &resume),
            Message::CommittedEntries(append) => self.on_committed_entries(&from, append),
            Message::UnchunkedSnapshot {
                view,
                position,
                bytes,
            } => self.on_unchunked_snapshot(&from, view, Snapshot { position, bytes }),
            Message::Committed { view, index } => self.on_committed(&from, view, index),
            Message::Submit {
                view,
                origin,
                payload,
            } => self.on_submit(from, view, origin, payload),
            Message::Overloaded { origin } => self.on_overloaded(origin),
            Message::ReadIndex(request) => self.on_read_index(&from, request),
            Message::ReadIndexReply { request, index } => {
                self.on_read_index_reply(request, index);
            }
            Message::SnapshotChunk { view, chunk } => self.on_snapshot_chunk(&from, view, &chunk),
            Message::SnapshotProgress { view, progress } => {
                self.on_snapshot_progress(&from, view, progress);
            }
        }
    }

    /// The connection to `peer` works again; messages that were in flight are lost and have to be sent again.
    fn on_reconnected(&mut self, peer: &MemberId) {
        self.replication_reconnected(peer);
        // The snapshot chunk in flight is lost: it is sent again without waiting for the retry.
        self.send_chunk(peer);
        if self.view().is_some_and(|view| view.is_head(peer)) {
            self.send_submissions();
        }
    }
}
