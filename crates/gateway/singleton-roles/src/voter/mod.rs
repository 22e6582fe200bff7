//! One voter: its part in the log, and, while it leads, who is registered and who holds what. It must never
//! send what says that something is on its disk before it is, never renew a lease before a majority confirmed
//! that it leads, and never vote with a disk that may have forgotten a vote.
//!
//! - `disk_check`: forming the group, a lost disk, an older disk put back.
//! - `writes`: what waits for the disk.
//! - `replication`: the consensus library's input and output, and applying the log.
//! - `renewals`: the leader's answers to clients.
//! - `leadership`: what a leader knows beside the log, and how it assigns slots.

mod disk_check;
mod leadership;
mod renewals;
mod replication;
mod writes;

use crate::memory_log::MemoryLog;
use crate::message::{report, KnownLeader};
use crate::raft_types::RaftMessage;
use crate::records::{DiskMeta, DiskProgress, DiskState, WriteBatch};
use crate::table::RoleTable;
use crate::{Message, Name, Output, Settings, Severity};
use leadership::Leadership;
use raft::{Config, RawNode, StateRole};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use writes::PendingWrite;
use xxhash_rust::xxh3::xxh3_64;

/// Ticks without a word of the leader after which a voter may stand for election; up to twice as many.
const ELECTION_TICKS: usize = 10;
/// Ticks between a leader's heartbeats.
const HEARTBEAT_TICKS: usize = 2;
/// Bytes of entries in one message, and messages on their way to one voter.
const MAX_MESSAGE_BYTES: u64 = 64 * 1024;
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// Ticks between two hellos of a voter that may not vote yet.
const HELLO_TICKS: f64 = 5.0;

/// Why a voter can't go on with what its disk holds.
#[derive(Debug, thiserror::Error)]
pub enum VoterError {
    /// Entries are missing.
    #[error("the voter's store has a gap in its log; move it away")]
    LogGap,
    /// The snapshot is of no known form.
    #[error("the voter's snapshot can't be read ({source}); move the store away")]
    Snapshot {
        /// What the decoder says.
        source: postcard::Error,
    },
    /// The settings have other roles than the store was made for.
    #[error(
        "the store has {stored} slots, fleet.duties {configured}: duties can't be changed yet"
    )]
    SlotsChanged {
        /// Slots of the store.
        stored: usize,
        /// Slots of the settings.
        configured: usize,
    },
    /// The consensus library refuses the log.
    #[error("the voter's log: {source}")]
    Raft {
        /// What the library says.
        source: raft::Error,
    },
}

/// How far a voter is from having a vote.
enum Phase {
    /// No group yet: what others said of their disks.
    Forming {
        disks: BTreeMap<Name, u64>,
    },
    /// A group, but whether this disk is the newest of its voter has to be heard from others.
    VerifyingDisk {
        confirmed_by: BTreeSet<u64>,
        leader: KnownLeader,
        since: f64,
    },
    /// This disk has no vote; the leader may admit it.
    NonVoting,
    Voting,
}

impl Phase {
    fn forming() -> Self {
        Phase::Forming {
            disks: BTreeMap::new(),
        }
    }
}

/// A snapshot that is under way to the disk.
#[derive(Clone, Copy)]
struct PendingSnapshot {
    /// The library's number for what it came with.
    ready: u64,
    /// Its last entry.
    index: u64,
}

/// A voter's state machine. Times are seconds on its own clock.
pub struct Voter {
    settings: Settings,
    name: Name,
    rng: Xoshiro256PlusPlus,
    meta: DiskMeta,
    phase: Phase,
    raft: Option<RawNode<MemoryLog>>,
    table: RoleTable,
    /// The last entry that the table has.
    applied: u64,
    last_write: u64,
    /// The last write that an answer to a heartbeat waits for: it changed the term, the vote or the disk itself.
    last_binding_write: u64,
    /// What was known of the others' disks when it was last written.
    written_peers: BTreeMap<u64, DiskProgress>,
    /// Written, not yet on the disk.
    pending_writes: VecDeque<PendingWrite>,
    /// What goes into the next write.
    batch: WriteBatch,
    leadership: Option<Leadership>,
    next_tick: f64,
    next_hello: f64,
    /// Number of the last proposal or question to the majority; begins at the seed.
    last_number: u64,
    /// Tells this start from any other with the same disk.
    nonce: u64,
    /// The voters changed since the last snapshot.
    voters_changed: bool,
    pending_snapshot: Option<PendingSnapshot>,
    now: f64,
}

impl Voter {
    /// Starts with what the disk held. Writes that it started before it says anything.
    ///
    /// # Errors
    /// What the disk held can't be used.
    pub fn new(
        settings: Settings,
        name: Name,
        disk: DiskState,
        seed: u64,
        now: f64,
        out: &mut Vec<Output>,
    ) -> Result<Self, VoterError> {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut meta = disk.meta.clone();
        let log = MemoryLog::new(&disk).ok_or(VoterError::LogGap)?;
        if meta.disk == 0 {
            meta.disk = rng.random_range(1..u64::MAX);
            let text = format!("an empty disk: voter {name} has no vote until it is admitted");
            report(out, Severity::Warning, text);
        }
        meta.starts += 1;
        let nonce = rng.random();
        let batch = WriteBatch {
            meta: Some(meta.clone()),
            ..Default::default()
        };
        let mut voter = Voter {
            settings,
            name,
            rng,
            phase: Phase::forming(),
            raft: None,
            table: RoleTable::default(),
            applied: 0,
            last_write: 0,
            last_binding_write: 0,
            written_peers: BTreeMap::new(),
            pending_writes: VecDeque::new(),
            batch,
            leadership: None,
            next_tick: now,
            next_hello: now,
            last_number: seed,
            nonce,
            voters_changed: false,
            pending_snapshot: None,
            now,
            meta,
        };
        if voter.meta.group.is_some() {
            voter.start_raft(log)?;
            voter.phase = Phase::VerifyingDisk {
                confirmed_by: BTreeSet::new(),
                leader: KnownLeader::default(),
                since: now,
            };
        }
        voter.write_binding(0, Vec::new(), out);
        Ok(voter)
    }

    fn start_raft(&mut self, log: MemoryLog) -> Result<(), VoterError> {
        let group = self.meta.group.clone().unwrap_or_default();
        let data = &log.snapshot().data;
        self.table = if data.is_empty() {
            RoleTable::new(&self.settings, &group)
        } else {
            postcard::from_bytes(data).map_err(|source| VoterError::Snapshot { source })?
        };
        let (stored, configured) = (self.table.slots.len(), self.settings.slots() as usize);
        if stored != configured {
            return Err(VoterError::SlotsChanged { stored, configured });
        }
        self.applied = log.snapshot().index;
        let config = Config {
            id: self.meta.disk,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            // Drawn anew from the seed in `tick`, before the library looks at it.
            min_election_tick: ELECTION_TICKS,
            max_election_tick: 2 * ELECTION_TICKS,
            applied: self.applied,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            check_quorum: true,
            pre_vote: true,
            ..Default::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raft = RawNode::new(&config, log, &logger);
        self.raft = Some(raft.map_err(|source| VoterError::Raft { source })?);
        Ok(())
    }

    /// A group's number, from who formed it; 0 for none.
    fn group_number(&self) -> u64 {
        let Some(group) = &self.meta.group else {
            return 0;
        };
        let members = postcard::to_stdvec(group).unwrap_or_default();
        xxh3_64(&members) ^ xxh3_64(self.settings.fleet.as_bytes())
    }

    /// The replicated state as far as this voter has applied the log.
    #[must_use]
    pub fn table(&self) -> &RoleTable {
        &self.table
    }

    /// When [`Voter::tick`] is due.
    #[must_use]
    pub fn next_due(&self) -> f64 {
        self.next_tick
    }

    /// Whether it leads, as it believes.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.leadership.as_ref().is_some_and(Leadership::is_ready)
    }

    /// Whether it has a vote.
    #[must_use]
    pub fn is_voting(&self) -> bool {
        matches!(self.phase, Phase::Voting)
    }

    /// The latest term it has seen.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.raft.as_ref().map_or(0, |raft| raft.raft.term)
    }

    /// The identity of its disk; 0 once it has failed.
    #[must_use]
    pub fn disk(&self) -> u64 {
        self.meta.disk
    }

    /// The disk can't be written: it says nothing more.
    pub fn disk_failed(&mut self, out: &mut Vec<Output>) {
        self.raft = None;
        self.leadership = None;
        self.pending_writes.clear();
        self.phase = Phase::NonVoting;
        self.meta.disk = 0;
        let name = &self.name;
        let text = format!("voter {name} can't write its disk and has stopped voting");
        report(out, Severity::Warning, text);
    }

    /// Does what is due by the voters' time step.
    pub fn tick(&mut self, now: f64, out: &mut Vec<Output>) {
        self.now = now;
        if now < self.next_tick || self.meta.disk == 0 {
            return;
        }
        let tick = self.settings.tick_interval;
        // Half more or less by chance, so that voters which started together don't stand for election together.
        self.next_tick = now + tick * (0.5 + self.rng.random::<f64>());
        if !self.is_voting() {
            if now >= self.next_hello {
                self.next_hello = now + tick * HELLO_TICKS * (0.5 + self.rng.random::<f64>());
                self.send_hello(out);
            }
            return;
        }
        if let Some(raft) = &mut self.raft {
            if raft.raft.election_elapsed == 0 && raft.raft.state != StateRole::Leader {
                let ticks = self.rng.random_range(ELECTION_TICKS..2 * ELECTION_TICKS);
                raft.raft.set_randomized_election_timeout(ticks);
            }
            raft.tick();
        }
        self.process_ready(out);
        self.maintain(out);
        self.confirm_leadership();
        self.process_ready(out);
    }

    /// Takes a message of another limiter or of this one's own client.
    pub fn receive(&mut self, from: &str, message: Message, now: f64, out: &mut Vec<Output>) {
        self.now = now;
        if self.meta.disk == 0 {
            return;
        }
        match message {
            Message::Raft { group, message } => self.receive_raft(group, message, out),
            Message::Hello(hello) => self.receive_hello(from, hello, out),
            Message::HelloResponse {
                disk,
                nonce,
                response,
            } if disk == self.meta.disk && nonce == self.nonce => {
                self.receive_hello_response(from, response, out);
            }
            Message::Renew(request) => self.receive_renewal(request, out),
            _ => {}
        }
        self.process_ready(out);
    }
}
