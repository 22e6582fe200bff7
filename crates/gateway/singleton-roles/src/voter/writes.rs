//! Pending writes to the voter's disk. Messages that promise written data are sent only after the write.

use super::{RaftMessage, Voter};
use crate::Output;

/// A write that the disk has not completed yet.
pub(super) struct PendingWrite {
    number: u64,
    /// The number of the library's `Ready` that caused the write, or 0.
    pub(super) ready: u64,
    /// Messages to send once the write is on the disk.
    pub(super) messages: Vec<RaftMessage>,
}

impl PendingWrite {
    /// Drops the messages and the `Ready` number, which belong to a discarded instance of the library.
    pub(super) fn discard_messages(&mut self) {
        self.ready = 0;
        self.messages.clear();
    }
}

impl Voter {
    /// Submits the batch as a barrier write, which responses to heartbeats wait for.
    pub(super) fn write_barrier(
        &mut self,
        ready: u64,
        messages: Vec<RaftMessage>,
        out: &mut Vec<Output>,
    ) {
        self.last_barrier_write = self.last_write + 1;
        self.write(ready, messages, out);
    }

    /// Submits the batch to the disk; `messages` are sent after the write.
    pub(super) fn write(&mut self, ready: u64, messages: Vec<RaftMessage>, out: &mut Vec<Output>) {
        self.last_write += 1;
        let number = self.last_write;
        let mut batch = std::mem::take(&mut self.batch);
        batch.number = number;
        if let Some(meta) = &batch.meta {
            self.written_peers = meta.peers.clone();
        }
        self.pending_writes.push_back(PendingWrite {
            number,
            ready,
            messages,
        });
        out.push(Output::Write(batch));
    }

    /// The messages of the last pending write, while a barrier write is pending. Responses to heartbeats are
    /// queued there; they don't wait for writes of mere entries, because they say only that this voter follows
    /// the leader of the term. So a stalled disk delays new grants, but costs no lease that is held.
    pub(super) fn messages_after_barrier(&mut self) -> Option<&mut Vec<RaftMessage>> {
        let first = self.pending_writes.front()?.number;
        let last = self.pending_writes.back_mut()?;
        (first <= self.last_barrier_write).then_some(&mut last.messages)
    }

    /// Handles the completion of all writes up to `number`.
    pub fn written(&mut self, number: u64, now: f64, out: &mut Vec<Output>) {
        self.now = now;
        while let Some(write) = self.pending_writes.pop_front_if(|w| w.number <= number) {
            let ready = write.ready;
            if let Some(raft) = self.raft.as_mut().filter(|_| ready > 0) {
                raft.on_persist_ready(ready);
                // A snapshot counts as applied only after it is on the disk.
                let snapshot = self.pending_snapshot.filter(|s| s.ready <= ready);
                if let Some(snapshot) = snapshot {
                    self.pending_snapshot = None;
                    raft.advance_apply_to(snapshot.index);
                }
            }
            self.send_raft(write.messages, out);
        }
        self.process_ready(out);
    }
}
