//! Serializable counterparts of the consensus library's types, for messages between voters and records on
//! disk, so that the library's own decoder doesn't read bytes from outside. The encoding is positional, so the
//! order of fields must not change.

use protobuf::SingularPtrField;
use raft::eraftpb as pb;
use serde::{Deserialize, Serialize};

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The entry's type: 0 for commands, 2 for a change of the voters.
    pub kind: u8,
    /// The term in which the entry was proposed.
    pub term: u64,
    /// The entry's position in the log.
    pub index: u64,
    /// Encoded commands, or the change of the voters.
    pub data: Vec<u8>,
    /// For a change of the voters, the name and disk of the new voter.
    pub context: Vec<u8>,
}

/// The configuration of Raft's joint consensus; each member is the identity of a disk.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VoterConfig {
    /// Disks with a vote.
    pub voters: Vec<u64>,
    /// During a change, the voters of the previous configuration.
    pub outgoing: Vec<u64>,
    /// Disks that receive the log but have no vote.
    pub learners: Vec<u64>,
    /// During a change, disks that become learners at its end.
    pub learners_next: Vec<u64>,
    /// The joint configuration ends automatically once it is committed.
    pub auto_leave: bool,
}

/// The state after all entries up to `index`; replaces these entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of the entry at `index`.
    pub term: u64,
    /// The voters as of that entry.
    pub config: VoterConfig,
    /// The encoded role table.
    pub data: Vec<u8>,
}

/// State that a voter must keep on disk across restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that the voter has seen.
    pub term: u64,
    /// The disk that the voter voted for in that term, or 0.
    pub vote: u64,
    /// Index of the last entry known to be committed.
    pub commit: u64,
}

/// One message between voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RaftMessage {
    /// The library's number for the message type.
    pub kind: u8,
    /// The receiver's disk.
    pub to: u64,
    /// The sender's disk.
    pub from: u64,
    /// The sender's term.
    pub term: u64,
    /// The term of the entry at `index`.
    pub log_term: u64,
    /// Depends on the type: index of the entry before `entries`, or of the last entry that was accepted.
    pub index: u64,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// Index of the last entry that the sender knows to be committed.
    pub commit: u64,
    /// Term of the entry at `commit`.
    pub commit_term: u64,
    /// A snapshot to restore from.
    pub snapshot: Option<Snapshot>,
    /// Index of the entry from which a follower requests a snapshot.
    pub request_snapshot: u64,
    /// The receiver's request was rejected.
    pub reject: bool,
    /// Index at which a follower's log may match the leader's.
    pub reject_hint: u64,
    /// Returned unchanged with the response.
    pub context: Vec<u8>,
}

/// Maximum length of an encoded configuration change; a valid one takes a few dozen bytes.
const MAX_CONFIG_CHANGE_BYTES: usize = 256;

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
    /// Converts to the library's type; None for an unknown kind.
    #[must_use]
    pub fn to_raft(&self) -> Option<pb::Entry> {
        let kind = match self.kind {
            0 => pb::EntryType::EntryNormal,
            2 if self.data.len() <= MAX_CONFIG_CHANGE_BYTES => pb::EntryType::EntryConfChangeV2,
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
    /// A configuration of these voters, with no change in progress.
    #[must_use]
    pub fn of(voters: Vec<u64>) -> Self {
        VoterConfig {
            voters,
            ..Default::default()
        }
    }

    /// Converts to the library's type.
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
    /// Converts to the library's type.
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
    /// Whether the message has this type.
    #[must_use]
    pub fn is(&self, kind: pb::MessageType) -> bool {
        self.kind == kind as u8
    }

    /// Limits the commit index of an append message to `index`; heartbeats announce later commits.
    pub fn limit_commit(&mut self, index: u64) {
        if self.is(pb::MessageType::MsgAppend) {
            self.commit = self.commit.min(index);
        }
    }

    /// Converts to the library's type; None for unknown types and for types used only within one process.
    #[must_use]
    pub fn to_raft(&self) -> Option<pb::Message> {
        use protobuf::ProtobufEnum;
        let kind = pb::MessageType::from_i32(i32::from(self.kind))?;
        let is_proposal = matches!(
            kind,
            pb::MessageType::MsgPropose | pb::MessageType::MsgReadIndex
        );
        if raft::raw_node::is_local_msg(kind) || is_proposal {
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
