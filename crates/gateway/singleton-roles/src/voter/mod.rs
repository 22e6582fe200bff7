//! One voter: it replicates the log and, while it leads, registers limiters, renews leases and assigns slots.
//!
//! A voter must never send a message that promises data on its disk before the data is written, never renew a
//! lease before a majority confirmed that it leads, and never vote with a disk that may have lost a vote.
//!
//! - `disk_check`: forming the group, admitting a new disk, detecting a restored older disk.
//! - `writes`: pending disk writes and the messages that wait for them.
//! - `replication`: the consensus library's input and output, and applying the log.
//! - `renewals`: the leader's responses to clients.
//! - `leadership`: the leader's state outside the log, and the assignment of slots.

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

/// Minimum election timeout in ticks; each timeout is drawn from this up to twice as many.
const ELECTION_TICKS: usize = 10;
/// Ticks between a leader's heartbeats.
const HEARTBEAT_TICKS: usize = 2;
/// Maximum bytes of entries in one message.
const MAX_MESSAGE_BYTES: u64 = 64 * 1024;
/// Maximum number of unacknowledged append messages to one voter.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// Average ticks between two hellos of a voter that may not vote yet.
const HELLO_TICKS: f64 = 5.0;

/// Why a voter can't start with the contents of its disk.
#[derive(Debug, thiserror::Error)]
pub enum VoterError {
    /// Log entries are missing.
    #[error("the voter's store lacks log entries; move the store away to start with an empty one")]
    LogGap,
    /// The snapshot can't be decoded.
    #[error(
        "the snapshot in the voter's store can't be decoded ({source}); move the store away to \
         start with an empty one"
    )]
    Snapshot {
        /// The decoder's error.
        source: postcard::Error,
    },
    /// The store was created for another number of slots than the settings have.
    #[error(
        "the voter's store has {stored} slots, fleet.duties gives {configured}: duties can't be \
         changed yet; restore the old fleet.duties"
    )]
    SlotsChanged {
        /// Number of slots in the store.
        stored: usize,
        /// Number of slots in the settings.
        configured: usize,
    },
    /// The consensus library rejects the log.
    #[error("the consensus library rejects the log in the voter's store: {source}")]
    Raft {
        /// The library's error.
        source: raft::Error,
    },
}

/// A voter's progress towards having a vote.
enum Phase {
    /// The voter belongs to no group yet.
    Forming {
        /// The empty disks of other voters, by voter name.
        disks: BTreeMap<Name, u64>,
    },
    /// The disk belongs to a group, but other voters must confirm that it is not an older copy.
    VerifyingDisk {
        /// Disks of the voters that confirmed it.
        confirmed_by: BTreeSet<u64>,
        /// The latest leader that these voters know.
        leader: KnownLeader,
        /// When the voter started to wait for confirmations.
        since: f64,
    },
    /// The disk has no vote; the leader may admit it.
    NonVoting,
    /// The disk has a vote.
    Voting,
}

impl Phase {
    fn forming() -> Self {
        Phase::Forming {
            disks: BTreeMap::new(),
        }
    }
}

/// A snapshot that is being written to the disk.
#[derive(Clone, Copy)]
struct PendingSnapshot {
    /// The number of the library's `Ready` that contained the snapshot.
    ready: u64,
    /// Index of the last entry that the snapshot covers.
    index: u64,
}

/// A voter's state machine. Times are seconds on the voter's own clock.
pub struct Voter {
    settings: Settings,
    name: Name,
    rng: Xoshiro256PlusPlus,
    meta: DiskMeta,
    phase: Phase,
    raft: Option<RawNode<MemoryLog>>,
    table: RoleTable,
    /// Index of the last entry applied to the table.
    applied: u64,
    /// Number of the last write.
    last_write: u64,
    /// Number of the last barrier write, which changed the term, the vote or the disk's identity. Responses to
    /// heartbeats wait for barrier writes.
    last_barrier_write: u64,
    /// The progress of other voters' disks as last submitted for writing.
    written_peers: BTreeMap<u64, DiskProgress>,
    /// Writes that the disk has not completed yet.
    pending_writes: VecDeque<PendingWrite>,
    /// The contents of the next write.
    batch: WriteBatch,
    /// The leader's state, while this voter leads.
    leadership: Option<Leadership>,
    next_tick: f64,
    next_hello: f64,
    /// Number of the last proposal or read-index request; starts at the seed.
    last_request_number: u64,
    /// Distinguishes this start from any other start with the same disk.
    nonce: u64,
    /// The voters changed since the last snapshot.
    voters_changed: bool,
    pending_snapshot: Option<PendingSnapshot>,
    now: f64,
}

impl Voter {
    /// Starts a voter with the contents of its disk. The start is written to disk before any message is sent.
    ///
    /// # Errors
    /// The contents of the disk can't be used.
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
            let text = format!(
                "voter {name}: the disk is empty; no vote until a group is formed or the leader \
                 admits the disk"
            );
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
            last_barrier_write: 0,
            written_peers: BTreeMap::new(),
            pending_writes: VecDeque::new(),
            batch,
            leadership: None,
            next_tick: now,
            next_hello: now,
            last_request_number: seed,
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
        voter.write_barrier(0, Vec::new(), out);
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
            // `tick` replaces the drawn timeout by one from the seeded generator before the library uses it.
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

    /// A number that identifies the group, derived from its original members and the fleet's name; 0 without a
    /// group.
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

    /// Whether this voter believes that it leads and its table is up to date.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.leadership.as_ref().is_some_and(Leadership::is_ready)
    }

    /// Whether this voter's disk has a vote.
    #[must_use]
    pub fn is_voting(&self) -> bool {
        matches!(self.phase, Phase::Voting)
    }

    /// The latest term that this voter has seen.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.raft.as_ref().map_or(0, |raft| raft.raft.term)
    }

    /// The identity of the voter's disk; 0 after the disk has failed.
    #[must_use]
    pub fn disk(&self) -> u64 {
        self.meta.disk
    }

    /// Stops the voter after a failed disk write; it sends no more messages.
    pub fn disk_failed(&mut self, out: &mut Vec<Output>) {
        self.raft = None;
        self.leadership = None;
        self.pending_writes.clear();
        self.phase = Phase::NonVoting;
        self.meta.disk = 0;
        let name = &self.name;
        let text =
            format!("voter {name}: a disk write failed; it stops voting until it is restarted");
        report(out, Severity::Warning, text);
    }

    /// Advances the voter by one time step if the step is due: timeouts, hellos, and the leader's maintenance.
    pub fn tick(&mut self, now: f64, out: &mut Vec<Output>) {
        self.now = now;
        if now < self.next_tick || self.meta.disk == 0 {
            return;
        }
        let tick = self.settings.tick_interval;
        // Steps vary randomly by up to half, so that voters started together don't start elections together.
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

    /// Handles a message from another limiter or from this limiter's own client.
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
