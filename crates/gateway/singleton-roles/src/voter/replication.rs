//! The consensus library's input and output: messages of other voters go in, what is ready goes to the disk
//! and to the others, committed entries are applied to the role table.

use super::{PendingSnapshot, Phase, Voter};
use crate::memory_log::MemoryLog;
use crate::message::report;
use crate::raft_types::{Entry, HardState, RaftMessage, Snapshot, VoterConfig};
use crate::table::Command;
use crate::{Message, Name, Output, Severity};
use protobuf::Message as _;
use raft::eraftpb::{self as pb, ConfChangeV2, EntryType, MessageType};
use raft::{RawNode, Ready, StateRole, Storage};

/// Entries that stay behind the snapshot until the next one is made.
const COMPACTION_ENTRIES: u64 = 2_000;

/// What a turn of the library wants written.
#[derive(Default)]
struct WriteNeed {
    /// Something has to go to the disk.
    any: bool,
    /// Answers to heartbeats wait for it.
    binding: bool,
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
        // A leader never says in a heartbeat that more is committed than this disk acknowledged to it.
        let is_behind = |raft: &RawNode<MemoryLog>| {
            message.term >= raft.raft.term && message.commit > raft.store().last()
        };
        let heartbeat = message.is(MessageType::MsgHeartbeat);
        if heartbeat && self.raft.as_ref().is_some_and(is_behind) && self.is_voting() {
            let name = &self.name;
            let text = format!(
                "voter {name} acknowledged entries that its disk does not have; it starts empty"
            );
            report(out, Severity::Warning, text);
            self.start_empty(out);
            return;
        }
        if let Some(raft) = &mut self.raft {
            // What the library refuses is out of date; its sender finds out by itself.
            let _ = raft.step(parsed);
        }
    }

    /// What a message proves of its sender's disk: its term was written before it was said, an acknowledged
    /// entry before that, and of a leader's log as much as it says is committed: no more than it has written.
    fn record_peer_progress(&mut self, message: &RaftMessage) {
        let pre_vote = message.is(MessageType::MsgRequestPreVote)
            || message.is(MessageType::MsgRequestPreVoteResponse);
        if pre_vote {
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

    /// Whose disk this is, by the table or else by the group as it was formed.
    fn voter_name(&self, disk: u64) -> Option<Name> {
        let current = self.table.voters.get(&disk).cloned();
        current.or_else(|| {
            let mut formed = self.meta.group.iter().flatten();
            let member = formed.find(|member| member.disk == disk);
            member.map(|member| member.name.clone())
        })
    }

    /// Takes what the library has ready until it has nothing more.
    pub(super) fn process_ready(&mut self, out: &mut Vec<Output>) {
        while let Some(raft) = self.raft.as_mut().filter(|raft| raft.has_ready()) {
            let ready = raft.ready();
            self.handle_ready(ready, out);
        }
    }

    fn handle_ready(&mut self, mut ready: Ready, out: &mut Vec<Output>) {
        let mut messages = self.immediate_messages(&mut ready);
        let persisted = ready.take_persisted_messages();
        let (heartbeat_answers, after_write): (Vec<_>, Vec<_>) = persisted
            .iter()
            .map(RaftMessage::from)
            .partition(|message| message.is(MessageType::MsgHeartbeatResponse));
        let read_states = ready.take_read_states();
        let committed = ready.take_committed_entries();
        // What was learnt of the others' disks is written before it is forgotten, but nothing waits for it.
        let learnt = self.meta.peers != self.written_peers;
        let mut need = WriteNeed {
            any: !after_write.is_empty() || (!heartbeat_answers.is_empty() && learnt),
            binding: false,
        };
        self.stage_writes(&ready, &mut need);
        let number = ready.number();
        if let Some(raft) = &mut self.raft {
            raft.advance_append_async(ready);
        }
        self.submit_writes(number, after_write, &need, out);
        match self.messages_after_binding_write() {
            Some(waiting) => waiting.extend(heartbeat_answers),
            None => messages.extend(heartbeat_answers),
        }
        self.send_raft(messages, out);
        self.update_leadership(out);
        let applies = !committed.is_empty();
        for entry in committed {
            self.apply(&entry, out);
        }
        if let Some(raft) = self.raft.as_mut().filter(|_| applies) {
            raft.advance_apply_to(self.applied);
        }
        for read in read_states {
            self.leadership_confirmed(&read.request_ctx, out);
        }
        self.compact();
    }

    /// Messages that wait for no write.
    fn immediate_messages(&self, ready: &mut Ready) -> Vec<RaftMessage> {
        let messages = ready.take_messages();
        let mut messages: Vec<_> = messages.iter().map(RaftMessage::from).collect();
        // Others take what a leader says is committed for what its own disk holds.
        let on_disk = self.raft.as_ref();
        let on_disk = on_disk.map_or(0, |raft| raft.raft.raft_log.persisted);
        messages
            .iter_mut()
            .for_each(|message| message.limit_commit(on_disk));
        messages
    }

    /// Takes snapshot, entries and hard state into the log in memory and into the next write.
    fn stage_writes(&mut self, ready: &Ready, need: &mut WriteNeed) {
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
            (need.any, need.binding) = (true, true);
        }
        if !ready.entries().is_empty() {
            raft.mut_store().append(ready.entries());
            self.batch.entries = ready.entries().iter().map(Entry::from).collect();
            need.any = true;
        }
        if let Some(changed) = ready.hs() {
            let hard_state = HardState {
                term: changed.term,
                vote: changed.vote,
                commit: changed.commit,
            };
            let before = std::mem::replace(&mut raft.mut_store().hard_state, hard_state);
            self.batch.hard_state = Some(hard_state);
            let voted = (hard_state.term, hard_state.vote) != (before.term, before.vote);
            need.binding |= voted;
        }
        need.any |= ready.must_sync();
    }

    fn submit_writes(
        &mut self,
        number: u64,
        after_write: Vec<RaftMessage>,
        need: &WriteNeed,
        out: &mut Vec<Output>,
    ) {
        if need.any {
            self.batch.meta = Some(self.meta.clone());
            if need.binding {
                self.write_binding(number, after_write, out);
            } else {
                self.write(number, after_write, out);
            }
        } else if let Some(last) = self.pending_writes.back_mut() {
            // Nothing of its own to write: it is done when the writes before it are.
            last.ready = number;
        } else if let Some(raft) = &mut self.raft {
            raft.on_persist_ready(number);
        }
    }

    fn update_leadership(&mut self, out: &mut Vec<Output>) {
        let Some(raft) = &self.raft else { return };
        let (leads, term) = (raft.raft.state == StateRole::Leader, raft.raft.term);
        if !leads {
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
                // The first entry of a leader's term: the table is up to date.
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
            let text = format!("voter {}: admitted anew, it votes", self.name);
            report(out, Severity::Warning, text);
        }
    }

    fn apply_commands(&mut self, entry: &pb::Entry, out: &mut Vec<Output>) {
        let decoded = postcard::from_bytes::<(u64, Vec<Command>)>(entry.get_data());
        let Ok((number, commands)) = decoded else {
            let text = format!("entry {} of the log can't be read", entry.index);
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
                let text = format!("two living processes have the name {name}: neither holds");
                report(out, Severity::Warning, text);
            }
        }
        let leadership = self.leadership.as_mut();
        if leadership.is_some_and(|l| l.proposal_applied(number)) {
            self.maintain(out);
        }
    }

    /// A snapshot of the table stands for the entries up to here, once there are many.
    fn compact(&mut self) {
        let applied = self.applied;
        // Who was just admitted takes no snapshot that does not name it.
        let voters_changed = std::mem::take(&mut self.voters_changed);
        let Some(raft) = self.raft.as_mut() else {
            return;
        };
        let log = raft.mut_store();
        let few = applied < log.first() + COMPACTION_ENTRIES && !voters_changed;
        if few || applied < log.first() || applied > log.last() {
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
