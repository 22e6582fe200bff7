//! The consensus library's input and output: passes messages of other voters to the library, writes and sends
//! the library's output, and has_committed committed entries to the role table.

use super::{PendingSnapshot, Phase, Voter};
use crate::memory_log::MemoryLog;
use crate::message::report;
use crate::raft_types::{Entry, HardState, RaftMessage, Snapshot, VoterConfig};
use crate::table::Command;
use crate::{Message, Name, Output, Severity};
use protobuf::Message as _;
use raft::eraftpb::{self as pb, ConfChangeV2, EntryType, MessageType};
use raft::{RawNode, Ready, StateRole, Storage};

/// Number of applied entries after the last snapshot that triggers the next snapshot.
const COMPACTION_ENTRIES: u64 = 2_000;

/// Whether one `Ready` of the library needs a disk write.
#[derive(Default)]
struct RequiredWrite {
    /// A write is needed.
    needed: bool,
    /// The write is a barrier: responses to heartbeats wait for it.
    barrier: bool,
}

impl Voter {
    pub(super) fn receive_raft(&mut self, group: u64, message: RaftMessage, out: &mut Vec<Output>) {
        let listens = matches!(self.phase, Phase::Voting | Phase::NonVoting);
        if !listens || group != self.group_number() || message.to != self.meta.disk {
            return;
        }
        let Some(parsed) = message.to_raft() else {
            return;
        };
        self.record_peer_progress(&message);
        // A leader's heartbeat never carries a greater commit index than this disk has acknowledged to it.
        let is_behind = |raft: &RawNode<MemoryLog>| {
            message.term >= raft.raft.term && message.commit > raft.store().last_log_index()
        };
        let is_heartbeat = message.is(MessageType::MsgHeartbeat);
        if is_heartbeat && self.raft.as_ref().is_some_and(is_behind) && self.is_voting() {
            let name = &self.name;
            let text = format!(
                "voter {name}: the disk lacks entries that it acknowledged; starting over with an \
                 empty disk"
            );
            report(out, Severity::Warning, text);
            self.start_empty(out);
            return;
        }
        if let Some(raft) = &mut self.raft {
            // The library rejects only outdated messages; their sender catches up by itself.
            let _ = raft.step(parsed);
        }
    }

    /// Records what a message proves about its sender's disk. The sender wrote its term and any acknowledged
    /// entry before it sent the message, and a leader announces no commit index beyond its own written log.
    fn record_peer_progress(&mut self, message: &RaftMessage) {
        let is_pre_vote = message.is(MessageType::MsgRequestPreVote)
            || message.is(MessageType::MsgRequestPreVoteResponse);
        if is_pre_vote {
            return;
        }
        let last_index = if message.is(MessageType::MsgAppendResponse) && !message.reject {
            message.index
        } else if message.is(MessageType::MsgAppend) {
            message.commit
        } else {
            0
        };
        let known = self.meta.peers.entry(message.from).or_default();
        if message.term > known.term {
            (known.term, known.last_index) = (message.term, last_index);
        } else if message.term == known.term {
            known.last_index = known.last_index.max(last_index);
        }
    }

    pub(super) fn send_raft(&self, messages: Vec<RaftMessage>, out: &mut Vec<Output>) {
        let group = self.group_number();
        for message in messages {
            if let Some(to) = self.voter_name(message.to) {
                let message = Message::Raft { group, message };
                out.push(Output::Send { to, message });
            }
        }
    }

    /// The name of the voter with this disk, from the table or else from the group's original members.
    fn voter_name(&self, disk: u64) -> Option<Name> {
        let name = self.table.voters.get(&disk).cloned();
        name.or_else(|| {
            let mut members = self.meta.group.iter().flatten();
            let member = members.find(|member| member.disk == disk);
            member.map(|member| member.name.clone())
        })
    }

    /// Processes the library's output until it has no more.
    pub(super) fn process_ready(&mut self, out: &mut Vec<Output>) {
        while let Some(raft) = self.raft.as_mut().filter(|raft| raft.has_ready()) {
            let ready = raft.ready();
            self.handle_ready(ready, out);
        }
    }

    fn handle_ready(&mut self, mut ready: Ready, out: &mut Vec<Output>) {
        let mut messages = self.immediate_messages(&mut ready);
        let persisted = ready.take_persisted_messages();
        let (heartbeat_responses, after_write): (Vec<_>, Vec<_>) = persisted
            .iter()
            .map(RaftMessage::from)
            .partition(|message| message.is(MessageType::MsgHeartbeatResponse));
        let read_states = ready.take_read_states();
        let committed = ready.take_committed_entries();
        // New progress of other voters' disks is written too, but no message waits for that write.
        let peers_changed = self.meta.peers != self.written_peers;
        let mut write = RequiredWrite {
            needed: !after_write.is_empty() || (!heartbeat_responses.is_empty() && peers_changed),
            barrier: false,
        };
        self.stage_writes(&ready, &mut write);
        let number = ready.number();
        if let Some(raft) = &mut self.raft {
            raft.advance_append_async(ready);
        }
        self.submit_writes(number, after_write, &write, out);
        match self.messages_after_barrier() {
            Some(waiting) => waiting.extend(heartbeat_responses),
            None => messages.extend(heartbeat_responses),
        }
        self.send_raft(messages, out);
        self.update_leadership(out);
        let has_committed = !committed.is_empty();
        for entry in committed {
            self.apply(&entry, out);
        }
        if let Some(raft) = self.raft.as_mut().filter(|_| has_committed) {
            raft.advance_apply_to(self.applied);
        }
        for read in read_states {
            self.leadership_confirmed(&read.request_ctx, out);
        }
        self.compact();
    }

    /// Messages that may be sent before the next write.
    fn immediate_messages(&self, ready: &mut Ready) -> Vec<RaftMessage> {
        let messages = ready.take_messages();
        let mut messages: Vec<_> = messages.iter().map(RaftMessage::from).collect();
        // Other voters take a leader's commit index as proof of what its own disk holds.
        let on_disk = self.raft.as_ref();
        let on_disk = on_disk.map_or(0, |raft| raft.raft.raft_log.persisted);
        messages
            .iter_mut()
            .for_each(|message| message.limit_commit(on_disk));
        messages
    }

    /// Adds the snapshot, entries and hard state to the log in memory and to the next write.
    fn stage_writes(&mut self, ready: &Ready, write: &mut RequiredWrite) {
        let Some(raft) = &mut self.raft else { return };
        if !ready.snapshot().is_empty() {
            let snapshot = Snapshot::from(ready.snapshot());
            if let Ok(table) = postcard::from_bytes(&snapshot.data) {
                self.table = table;
            }
            let admitted = self.table.voters.contains_key(&self.meta.disk);
            if matches!(self.phase, Phase::NonVoting) && admitted {
                self.phase = Phase::Voting;
            }
            self.applied = snapshot.index;
            self.pending_snapshot = Some(PendingSnapshot {
                ready: ready.number(),
                index: snapshot.index,
            });
            let log = raft.mut_store();
            log.config = snapshot.config.clone();
            log.compact(snapshot.clone());
            self.batch.snapshot = Some(snapshot);
            (write.needed, write.barrier) = (true, true);
        }
        if !ready.entries().is_empty() {
            raft.mut_store().append(ready.entries());
            self.batch.entries = ready.entries().iter().map(Entry::from).collect();
            write.needed = true;
        }
        if let Some(changed) = ready.hs() {
            let hard_state = HardState {
                term: changed.term,
                vote: changed.vote,
                commit: changed.commit,
            };
            let previous = std::mem::replace(&mut raft.mut_store().hard_state, hard_state);
            self.batch.hard_state = Some(hard_state);
            let term_or_vote_changed =
                (hard_state.term, hard_state.vote) != (previous.term, previous.vote);
            write.barrier |= term_or_vote_changed;
        }
        write.needed |= ready.must_sync();
    }

    /// Submits the staged write if one is needed; `after_write` are the messages that wait for it.
    fn submit_writes(
        &mut self,
        number: u64,
        after_write: Vec<RaftMessage>,
        write: &RequiredWrite,
        out: &mut Vec<Output>,
    ) {
        if write.needed {
            self.batch.meta = Some(self.meta.clone());
            if write.barrier {
                self.write_barrier(number, after_write, out);
            } else {
                self.write(number, after_write, out);
            }
        } else if let Some(last) = self.pending_writes.back_mut() {
            // Without a write of its own, this `Ready` is persisted when the pending writes are.
            last.ready = number;
        } else if let Some(raft) = &mut self.raft {
            raft.on_persist_ready(number);
        }
    }

    fn update_leadership(&mut self, out: &mut Vec<Output>) {
        let Some(raft) = &self.raft else { return };
        let (is_leader, term) = (raft.raft.state == StateRole::Leader, raft.raft.term);
        if !is_leader {
            self.leadership = None;
        } else if self.leadership.as_ref().is_none_or(|l| l.term() != term) {
            let text = format!("voter {} leads in term {term}", self.name);
            report(out, Severity::Info, text);
            let leadership = super::Leadership::new(&self.settings, term, self.now);
            self.leadership = Some(leadership);
        }
    }

    fn apply(&mut self, entry: &pb::Entry, out: &mut Vec<Output>) {
        self.applied = entry.index;
        match entry.get_entry_type() {
            EntryType::EntryConfChangeV2 => self.apply_voter_change(entry, out),
            _ if entry.get_data().is_empty() => {
                // The empty entry that begins a leader's term: the table is now up to date.
                if let Some(leadership) = &mut self.leadership {
                    leadership.term_began(entry.term, &self.table, self.now);
                }
            }
            _ => self.apply_commands(entry, out),
        }
    }

    fn apply_voter_change(&mut self, entry: &pb::Entry, out: &mut Vec<Output>) {
        let Ok(change) = ConfChangeV2::parse_from_bytes(entry.get_data()) else {
            return;
        };
        if let Some(raft) = &mut self.raft {
            if let Ok(config) = raft.apply_conf_change(&change) {
                raft.mut_store().config = VoterConfig::from(&config);
            }
        }
        self.voters_changed = true;
        let admitted = postcard::from_bytes::<(Name, u64)>(entry.get_context());
        if let Ok((name, disk)) = admitted {
            self.table.voters.retain(|_, voter| *voter != name);
            self.table.voters.insert(disk, name);
        }
        let has_vote = self.table.voters.contains_key(&self.meta.disk);
        if matches!(self.phase, Phase::NonVoting) && has_vote {
            self.phase = Phase::Voting;
            let text = format!("voter {}: the new disk is admitted; it votes", self.name);
            report(out, Severity::Warning, text);
        }
    }

    fn apply_commands(&mut self, entry: &pb::Entry, out: &mut Vec<Output>) {
        let decoded = postcard::from_bytes::<(u64, Vec<Command>)>(entry.get_data());
        let Ok((number, commands)) = decoded else {
            let text = format!("log entry {} can't be decoded; it is skipped", entry.index);
            report(out, Severity::Warning, text);
            return;
        };
        for command in &commands {
            let changed = self.table.apply(entry.index, command);
            let Some(leadership) = &mut self.leadership else {
                continue;
            };
            leadership.applied(command, changed, &self.table, self.now);
            if let Command::MarkDuplicate { name } = command {
                let text = format!(
                    "two running processes use the name {name}: neither may hold slots; stop one \
                     of them"
                );
                report(out, Severity::Warning, text);
            }
        }
        let leadership = self.leadership.as_mut();
        if leadership.is_some_and(|l| l.proposal_applied(number)) {
            self.maintain(out);
        }
    }

    /// Replaces the applied entries by a snapshot of the table, once there are many or the voters changed.
    fn compact(&mut self) {
        let applied = self.applied;
        // A newly admitted voter needs a snapshot whose configuration includes it.
        let voters_changed = std::mem::take(&mut self.voters_changed);
        let Some(raft) = self.raft.as_mut() else {
            return;
        };
        let log = raft.mut_store();
        let is_early = applied < log.first_log_index() + COMPACTION_ENTRIES && !voters_changed;
        if is_early || applied < log.first_log_index() || applied > log.last_log_index() {
            return;
        }
        let (Ok(term), Ok(data)) = (log.term(applied), postcard::to_stdvec(&self.table)) else {
            return;
        };
        let snapshot = Snapshot {
            index: applied,
            term,
            config: log.config.clone(),
            data,
        };
        log.compact(snapshot.clone());
        self.batch.snapshot = Some(snapshot);
    }
}
