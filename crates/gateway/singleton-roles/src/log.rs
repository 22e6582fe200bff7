//! The voters' log as the consensus library reads it, the plain form of its messages, and what goes to disk.
//! Nothing of the library's own decoder reads bytes from outside: messages come as the plain values here.

use crate::book::Group;
use protobuf::SingularPtrField;
use raft::eraftpb as pb;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// 0 an ordinary one, 2 a change of the voters.
    pub kind: u8,
    pub term: u64,
    pub index: u64,
    pub data: Vec<u8>,
    pub context: Vec<u8>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Conf {
    pub voters: Vec<u64>,
    pub outgoing: Vec<u64>,
    pub learners: Vec<u64>,
    pub learners_next: Vec<u64>,
    pub auto_leave: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snap {
    pub index: u64,
    pub term: u64,
    pub conf: Conf,
    pub data: Vec<u8>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Hard {
    pub term: u64,
    pub vote: u64,
    pub commit: u64,
}

/// One message between voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub kind: u8,
    pub to: u64,
    pub from: u64,
    pub term: u64,
    pub log_term: u64,
    pub index: u64,
    pub entries: Vec<Entry>,
    pub commit: u64,
    pub commit_term: u64,
    pub snap: Option<Snap>,
    pub request_snapshot: u64,
    pub reject: bool,
    pub reject_hint: u64,
    pub context: Vec<u8>,
}

/// A changed configuration's encoding is a few dozen bytes; nothing longer is decoded.
const MOST_CHANGE: usize = 256;

impl From<&pb::Entry> for Entry {
    fn from(e: &pb::Entry) -> Self {
        let (data, context) = (e.get_data().to_vec(), e.get_context().to_vec());
        Entry {
            kind: e.get_entry_type() as u8,
            term: e.term,
            index: e.index,
            data,
            context,
        }
    }
}

impl Entry {
    pub fn to_raft(&self) -> Option<pb::Entry> {
        let kind = match self.kind {
            0 => pb::EntryType::EntryNormal,
            2 if self.data.len() <= MOST_CHANGE => pb::EntryType::EntryConfChangeV2,
            _ => return None,
        };
        let mut e = pb::Entry {
            term: self.term,
            index: self.index,
            ..Default::default()
        };
        e.set_entry_type(kind);
        e.set_data(self.data.clone().into());
        e.set_context(self.context.clone().into());
        Some(e)
    }
}

impl Conf {
    pub fn of(voters: Vec<u64>) -> Self {
        Conf {
            voters,
            ..Default::default()
        }
    }

    pub fn from_raft(c: &pb::ConfState) -> Self {
        Conf {
            voters: c.voters.clone(),
            outgoing: c.voters_outgoing.clone(),
            learners: c.learners.clone(),
            learners_next: c.learners_next.clone(),
            auto_leave: c.auto_leave,
        }
    }

    pub fn to_raft(&self) -> pb::ConfState {
        let mut c = pb::ConfState::default();
        c.set_voters(self.voters.clone());
        c.set_voters_outgoing(self.outgoing.clone());
        c.set_learners(self.learners.clone());
        c.set_learners_next(self.learners_next.clone());
        c.set_auto_leave(self.auto_leave);
        c
    }
}

impl Snap {
    pub fn from_raft(s: &pb::Snapshot) -> Self {
        let m = s.get_metadata();
        let conf = Conf::from_raft(m.get_conf_state());
        Snap {
            index: m.index,
            term: m.term,
            conf,
            data: s.get_data().to_vec(),
        }
    }

    pub fn to_raft(&self) -> pb::Snapshot {
        let mut s = pb::Snapshot::default();
        s.set_data(self.data.clone().into());
        let m = s.mut_metadata();
        m.index = self.index;
        m.term = self.term;
        m.set_conf_state(self.conf.to_raft());
        s
    }
}

impl From<&pb::Message> for Message {
    fn from(m: &pb::Message) -> Self {
        Message {
            kind: m.get_msg_type() as u8,
            to: m.to,
            from: m.from,
            term: m.term,
            log_term: m.log_term,
            index: m.index,
            entries: m.entries.iter().map(Entry::from).collect(),
            commit: m.commit,
            commit_term: m.commit_term,
            snap: m
                .snapshot
                .as_ref()
                .filter(|s| s.get_metadata().index > 0)
                .map(Snap::from_raft),
            request_snapshot: m.request_snapshot,
            reject: m.reject,
            reject_hint: m.reject_hint,
            context: m.context.to_vec(),
        }
    }
}

impl Message {
    /// Whether this is a follower's answer to a heartbeat.
    pub fn answers_heartbeat(&self) -> bool {
        self.kind == pb::MessageType::MsgHeartbeatResponse as u8
    }

    /// An append says at most of this many entries that they are settled; heartbeats tell of the rest.
    pub fn say_settled_up_to(&mut self, index: u64) {
        if self.kind == pb::MessageType::MsgAppend as u8 {
            self.commit = self.commit.min(index);
        }
    }

    /// The library's form; none for kinds that only ever stand inside one process or are not known.
    pub fn to_raft(&self) -> Option<pb::Message> {
        use protobuf::ProtobufEnum;
        let kind = pb::MessageType::from_i32(self.kind as i32)?;
        let proposal = matches!(
            kind,
            pb::MessageType::MsgPropose | pb::MessageType::MsgReadIndex
        );
        if raft::raw_node::is_local_msg(kind) || proposal {
            return None;
        }
        let mut m = pb::Message {
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
        m.set_msg_type(kind);
        m.set_entries(
            self.entries
                .iter()
                .map(Entry::to_raft)
                .collect::<Option<Vec<_>>>()?
                .into(),
        );
        m.set_context(self.context.clone().into());
        m.snapshot = SingularPtrField::from_option(self.snap.as_ref().map(Snap::to_raft));
        Some(m)
    }
}

/// What a voter knows of its disk and others'.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Meta {
    /// Drawn when the disk was first used: a vote belongs to a disk, not to a name.
    pub disk: u64,
    pub starts: u64,
    pub group: Option<Group>,
    /// Of each other voter's disk: how often it started, and how far its log was known to reach.
    pub seen: BTreeMap<u64, Seen>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    pub starts: u64,
    pub nonce: u64,
    /// The furthest entry it acknowledged, and in which term.
    pub term: u64,
    pub last: u64,
}

/// One write, all of it or nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    pub number: u64,
    /// All that was there before goes first.
    pub wipe: bool,
    pub meta: Option<Meta>,
    pub hard: Option<Hard>,
    /// Stands for all entries up to its own.
    pub snap: Option<Snap>,
    /// The first of these and all after it are replaced.
    pub entries: Vec<Entry>,
}

/// What a disk held at the start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Saved {
    pub meta: Meta,
    pub hard: Hard,
    pub snap: Snap,
    pub entries: Vec<Entry>,
}

impl Saved {
    /// What a disk holds after this write; for disks that are kept in memory.
    pub fn take(&mut self, batch: &Batch) {
        if batch.wipe {
            *self = Saved::default();
        }
        if let Some(meta) = &batch.meta {
            self.meta = meta.clone();
        }
        if let Some(hard) = batch.hard {
            self.hard = hard;
        }
        if let Some(snap) = &batch.snap {
            self.snap = snap.clone();
            self.entries.retain(|e| e.index > snap.index);
        }
        if let Some(first) = batch.entries.first() {
            self.entries.retain(|e| e.index < first.index);
            self.entries.extend(batch.entries.iter().cloned());
        }
    }
}

/// The log in memory, as far as the library may read it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    pub hard: Hard,
    pub conf: Conf,
    pub snap: Snap,
    entries: Vec<pb::Entry>,
}

impl Log {
    pub fn new(saved: &Saved) -> Option<Self> {
        let entries = saved
            .entries
            .iter()
            .map(Entry::to_raft)
            .collect::<Option<Vec<_>>>()?;
        let (hard, snap) = (saved.hard, saved.snap.clone());
        let gapless = entries
            .iter()
            .enumerate()
            .all(|(i, e)| e.index == snap.index + 1 + i as u64);
        gapless.then(|| Log {
            hard,
            conf: snap.conf.clone(),
            snap,
            entries,
        })
    }

    pub fn first(&self) -> u64 {
        self.snap.index + 1
    }

    pub fn last(&self) -> u64 {
        self.snap.index + self.entries.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.snap.term, |e| e.term)
    }

    pub fn append(&mut self, entries: &[pb::Entry]) {
        if let Some(first) = entries.first() {
            self.entries
                .truncate(first.index.saturating_sub(self.first()) as usize);
            self.entries.extend_from_slice(entries);
        }
    }

    /// A snapshot that came, or one of its own that lets the entries before it go.
    pub fn cut(&mut self, snap: Snap) {
        let gone = (snap.index + 1).saturating_sub(self.first()) as usize;
        if gone <= self.entries.len() && self.term(snap.index).is_ok_and(|t| t == snap.term) {
            self.entries.drain(..gone);
        } else {
            self.entries.clear();
        }
        self.snap = snap;
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let mut hard = pb::HardState::default();
        hard.term = self.hard.term;
        hard.vote = self.hard.vote;
        hard.commit = self.hard.commit;
        Ok(RaftState::new(hard, self.conf.to_raft()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<pb::Entry>> {
        if low < self.first() {
            return Err(StorageError::Compacted.into());
        }
        if high > self.last() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let at = |i: u64| (i - self.first()) as usize;
        let mut entries = self.entries[at(low)..at(high)].to_vec();
        raft::util::limit_size(&mut entries, most.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.snap.index {
            return Ok(self.snap.term);
        }
        if index < self.first() {
            return Err(StorageError::Compacted.into());
        }
        let entry = self.entries.get((index - self.first()) as usize);
        entry
            .map(|e| e.term)
            .ok_or(StorageError::Unavailable.into())
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, wanted: u64, _: u64) -> raft::Result<pb::Snapshot> {
        if self.snap.index < wanted {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snap.to_raft())
    }
}
