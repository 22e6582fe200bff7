//! Plain forms of the consensus library's values: messages between voters, and what goes to disk. Nothing of
//! the library's own decoder reads bytes from outside. The encoding goes by position and order: fields keep
//! theirs.

use protobuf::SingularPtrField;
use raft::eraftpb as pb;
use serde::{Deserialize, Serialize};

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// 0 an ordinary one, 2 a change of the voters.
    pub kind: u8,
    /// The term in which it was proposed.
    pub term: u64,
    /// Its position in the log.
    pub index: u64,
    /// Encoded commands, or the change of the voters.
    pub data: Vec<u8>,
    /// With a change of the voters, the name and disk that come in.
    pub context: Vec<u8>,
}

/// Who votes; the configuration of Raft's joint consensus. All are disks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VoterConfig {
    /// The voters.
    pub voters: Vec<u64>,
    /// During a change, the voters before it.
    pub outgoing: Vec<u64>,
    /// Those that follow without a vote.
    pub learners: Vec<u64>,
    /// During a change, those that will follow without a vote.
    pub learners_next: Vec<u64>,
    /// The change ends by itself once it is committed.
    pub auto_leave: bool,
}

/// Stands for all entries up to its own.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it stands for.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// Who votes as of that entry.
    pub config: VoterConfig,
    /// The encoded role table.
    pub data: Vec<u8>,
}

/// What a voter may not forget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term it has seen.
    pub term: u64,
    /// The disk it voted for in that term, or 0.
    pub vote: u64,
    /// The last entry known to be committed.
    pub commit: u64,
}

/// One message between voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RaftMessage {
    /// The library's number for its type.
    pub kind: u8,
    /// The receiver's disk.
    pub to: u64,
    /// The sender's disk.
    pub from: u64,
    /// The sender's term.
    pub term: u64,
    /// The term of the entry at `index`.
    pub log_term: u64,
    /// What it means goes by the type: the entry before the first one here, or the last that was taken.
    pub index: u64,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// The last entry that the sender knows to be committed.
    pub commit: u64,
    /// That entry's term.
    pub commit_term: u64,
    /// A snapshot to restore from.
    pub snapshot: Option<Snapshot>,
    /// The entry from which on a follower wants a snapshot.
    pub request_snapshot: u64,
    /// The receiver's request was rejected.
    pub reject: bool,
    /// Where a follower's log may fit the leader's.
    pub reject_hint: u64,
    /// Comes back unchanged with the answer.
    pub context: Vec<u8>,
}

/// A changed configuration's encoding is a few dozen bytes; nothing longer is decoded.
const MAX_CHANGE_BYTES: usize = 256;

impl From<&pb::Entry> for Entry {
    fn from(entry: &pb::Entry) -> Self {
        Entry {
            kind: entry.get_entry_type() as u8,
            term: entry.term,
            index: entry.index,
            data: entry.get_data().to_vec(),
            context: entry.get_context().to_vec(),
        }
    }
}

impl Entry {
    /// The library's form; none for kinds that are not known.
    #[must_use]
    pub fn to_raft(&self) -> Option<pb::Entry> {
        let kind = match self.kind {
            0 => pb::EntryType::EntryNormal,
            2 if self.data.len() <= MAX_CHANGE_BYTES => pb::EntryType::EntryConfChangeV2,
            _ => return None,
        };
        let mut entry = pb::Entry {
            term: self.term,
            index: self.index,
            ..Default::default()
        };
        entry.set_entry_type(kind);
        entry.set_data(self.data.clone().into());
        entry.set_context(self.context.clone().into());
        Some(entry)
    }
}

impl VoterConfig {
    /// Just these voters, with no change under way.
    #[must_use]
    pub fn of(voters: Vec<u64>) -> Self {
        VoterConfig {
            voters,
            ..Default::default()
        }
    }

    /// The library's form.
    #[must_use]
    pub fn to_raft(&self) -> pb::ConfState {
        let mut config = pb::ConfState::default();
        config.set_voters(self.voters.clone());
        config.set_voters_outgoing(self.outgoing.clone());
        config.set_learners(self.learners.clone());
        config.set_learners_next(self.learners_next.clone());
        config.set_auto_leave(self.auto_leave);
        config
    }
}

impl From<&pb::ConfState> for VoterConfig {
    fn from(config: &pb::ConfState) -> Self {
        VoterConfig {
            voters: config.voters.clone(),
            outgoing: config.voters_outgoing.clone(),
            learners: config.learners.clone(),
            learners_next: config.learners_next.clone(),
            auto_leave: config.auto_leave,
        }
    }
}

impl From<&pb::Snapshot> for Snapshot {
    fn from(snapshot: &pb::Snapshot) -> Self {
        let metadata = snapshot.get_metadata();
        Snapshot {
            index: metadata.index,
            term: metadata.term,
            config: VoterConfig::from(metadata.get_conf_state()),
            data: snapshot.get_data().to_vec(),
        }
    }
}

impl Snapshot {
    /// The library's form.
    #[must_use]
    pub fn to_raft(&self) -> pb::Snapshot {
        let mut snapshot = pb::Snapshot::default();
        snapshot.set_data(self.data.clone().into());
        let metadata = snapshot.mut_metadata();
        metadata.index = self.index;
        metadata.term = self.term;
        metadata.set_conf_state(self.config.to_raft());
        snapshot
    }
}

impl From<&pb::Message> for RaftMessage {
    fn from(message: &pb::Message) -> Self {
        let snapshot = message.snapshot.as_ref();
        let snapshot = snapshot.filter(|s| s.get_metadata().index > 0);
        RaftMessage {
            kind: message.get_msg_type() as u8,
            to: message.to,
            from: message.from,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.entries.iter().map(Entry::from).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot: snapshot.map(Snapshot::from),
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
        }
    }
}

impl RaftMessage {
    /// Whether it is of this type.
    #[must_use]
    pub fn is(&self, kind: pb::MessageType) -> bool {
        self.kind == kind as u8
    }

    /// An append says at most of this many entries that they are committed; heartbeats tell of the rest.
    pub fn limit_commit(&mut self, index: u64) {
        if self.is(pb::MessageType::MsgAppend) {
            self.commit = self.commit.min(index);
        }
    }

    /// The library's form; none for types that only ever stand inside one process or are not known.
    #[must_use]
    pub fn to_raft(&self) -> Option<pb::Message> {
        use protobuf::ProtobufEnum;
        let kind = pb::MessageType::from_i32(i32::from(self.kind))?;
        let proposal = matches!(
            kind,
            pb::MessageType::MsgPropose | pb::MessageType::MsgReadIndex
        );
        if raft::raw_node::is_local_msg(kind) || proposal {
            return None;
        }
        let mut message = pb::Message {
            to: self.to,
            from: self.from,
            term: self.term,
            log_term: self.log_term,
            index: self.index,
            commit: self.commit,
            commit_term: self.commit_term,
            request_snapshot: self.request_snapshot,
            reject: self.reject,
            reject_hint: self.reject_hint,
            ..Default::default()
        };
        message.set_msg_type(kind);
        let entries = self.entries.iter().map(Entry::to_raft);
        message.set_entries(entries.collect::<Option<Vec<_>>>()?.into());
        message.set_context(self.context.clone().into());
        let snapshot = self.snapshot.as_ref().map(Snapshot::to_raft);
        message.snapshot = SingularPtrField::from_option(snapshot);
        Some(message)
    }
}
