//! What waits for the voter's disk: messages that promise something go out only once it is written.

use super::{RaftMessage, Voter};
use crate::Output;

/// A write that is under way to the disk.
pub(super) struct PendingWrite {
    number: u64,
    /// The library's number for what it came with; 0 where it came from none.
    pub(super) ready: u64,
    /// What may be sent once it is on the disk.
    pub(super) messages: Vec<RaftMessage>,
}

impl PendingWrite {
    /// The library that waits for it is gone, and so is what it wanted sent.
    pub(super) fn detach(&mut self) {
        self.ready = 0;
        self.messages.clear();
    }
}

impl Voter {
    /// A write that answers to heartbeats wait for.
    pub(super) fn write_binding(
        &mut self,
        ready: u64,
        messages: Vec<RaftMessage>,
        out: &mut Vec<Output>,
    ) {
        self.last_binding_write = self.last_write + 1;
        self.write(ready, messages, out);
    }

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

    /// What may be sent after the last write, while one is under way that answers to heartbeats wait for. Entries
    /// are none: such an answer says only that this voter follows the leader of the term. So a disk that stalls
    /// costs no lease that is held, only new grants.
    pub(super) fn messages_after_binding_write(&mut self) -> Option<&mut Vec<RaftMessage>> {
        let first = self.pending_writes.front()?.number;
        let last = self.pending_writes.back_mut()?;
        (first <= self.last_binding_write).then_some(&mut last.messages)
    }

    /// All writes up to this one are on the disk.
    pub fn written(&mut self, number: u64, now: f64, out: &mut Vec<Output>) {
        self.now = now;
        while let Some(write) = self.pending_writes.pop_front_if(|w| w.number <= number) {
            let ready = write.ready;
            if let Some(raft) = self.raft.as_mut().filter(|_| ready > 0) {
                raft.on_persist_ready(ready);
                // Only on the disk does a snapshot count as applied.
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
