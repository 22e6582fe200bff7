//! The state of a store node, and how it issues requests, disk work and replies.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::interface::{DiskState, DiskWork, Effect, StoreSettings};
use super::phases::{BootstrapPhase, Lifecycle};
use super::purposes::{JobPurpose, PendingRequest, RequestPurpose};
use crate::anti_entropy::AntiEntropy;
use crate::chain_completion::ChainCompletions;
use crate::commit_queue::CommitQueue;
use crate::handoff::HandoffQueue;
use crate::ids::{CallerId, JobId, PeerRequestId};
use crate::index::Index;
use crate::membership::{Candidate, StoreEntry};
use crate::message::{StoreReply, StoreRequest};
use crate::safeguards::{Safeguard, Safeguards};
use crate::write_coordinator::WRITE_DEADLINE_MS;

/// A request to another store that was not replied to after this long has failed, in milliseconds.
pub const PEER_REQUEST_TIMEOUT_MS: u64 = 800;
/// A store with a new disk is not complete before an anti-entropy pass that began this long after its start has
/// ended, in milliseconds. By then every writer that still counted on the old disk has ended, and what it wrote
/// elsewhere is listed.
pub const BOOTSTRAP_GRACE_MS: u64 = WRITE_DEADLINE_MS + 300;
/// How often expired turns are looked for, in milliseconds.
pub const EXPIRY_SWEEP_MS: u64 = 5_000;

/// One store machine.
#[derive(Debug)]
pub struct StoreNode {
    pub(super) settings: StoreSettings,
    pub(super) safeguards: Safeguards,
    /// Identifies the contents of the disk.
    pub(super) disk: u64,
    /// The core has registered this incarnation of the process and its disk.
    pub(super) is_registered: bool,
    /// A pass that began after this makes a new disk complete.
    pub(super) grace_ends_at_ms: u64,
    pub(super) bootstrap: BootstrapPhase,
    pub(super) lifecycle: Lifecycle,
    pub(super) index: Index,
    pub(super) commits: CommitQueue,
    pub(super) completions: ChainCompletions,
    pub(super) anti_entropy: AntiEntropy,
    pub(super) handoffs: HandoffQueue,
    /// The membership as it came last; empty before the first.
    pub(super) stores: Vec<StoreEntry>,
    /// Since when a store of the membership is absent.
    pub(super) absent_since_ms: BTreeMap<String, u64>,
    /// Stores that turns are placed on, without those that have been absent for long.
    pub(super) candidates: Vec<Candidate>,
    /// Stores that sent requests but are not in the membership yet.
    pub(super) unlisted_stores: BTreeSet<String>,
    /// Stores that know of this one.
    pub(super) known_to: BTreeSet<String>,
    pub(super) requests: BTreeMap<PeerRequestId, PendingRequest>,
    pub(super) jobs: BTreeMap<JobId, JobPurpose>,
    /// The last number given to a request or a piece of disk work.
    pub(super) last_id: u64,
    /// Bytes of turns that the disk is reading for callers.
    pub(super) read_bytes_in_flight: u64,
    pub(super) next_sweep_at_ms: u64,
    pub(super) effects: VecDeque<Effect>,
}

impl StoreNode {
    /// A store that has just started, at `wall_ms` by the wall clock and `now_ms` by the steady one.
    #[must_use]
    pub fn new(settings: StoreSettings, disk: DiskState, wall_ms: u64, now_ms: u64) -> Self {
        Self::start(settings, disk, wall_ms, now_ms, Safeguards::default())
    }

    /// As [`StoreNode::new`], with single safeguards taken out; for tests only.
    #[cfg(feature = "removable-safeguards")]
    #[must_use]
    pub fn with_safeguards(
        settings: StoreSettings,
        disk: DiskState,
        wall_ms: u64,
        now_ms: u64,
        safeguards: Safeguards,
    ) -> Self {
        Self::start(settings, disk, wall_ms, now_ms, safeguards)
    }

    fn start(
        settings: StoreSettings,
        disk: DiskState,
        wall_ms: u64,
        now_ms: u64,
        safeguards: Safeguards,
    ) -> Self {
        let bootstrap = if disk.fresh {
            BootstrapPhase::Joining
        } else {
            BootstrapPhase::Complete
        };
        Self {
            settings,
            safeguards,
            disk: disk.disk,
            is_registered: !safeguards.has(Safeguard::IncarnationRegistered),
            grace_ends_at_ms: now_ms.saturating_add(BOOTSTRAP_GRACE_MS),
            bootstrap,
            lifecycle: Lifecycle::Active,
            index: Index::load(disk.headers, wall_ms, now_ms),
            commits: CommitQueue::default(),
            completions: ChainCompletions::default(),
            anti_entropy: AntiEntropy::default(),
            handoffs: HandoffQueue::default(),
            stores: Vec::new(),
            absent_since_ms: BTreeMap::new(),
            candidates: Vec::new(),
            unlisted_stores: BTreeSet::new(),
            known_to: BTreeSet::new(),
            requests: BTreeMap::new(),
            jobs: BTreeMap::new(),
            last_id: 0,
            read_bytes_in_flight: 0,
            next_sweep_at_ms: now_ms.saturating_add(EXPIRY_SWEEP_MS),
            effects: VecDeque::new(),
        }
    }

    /// The next thing to be done.
    pub fn poll(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Whether everything that it should hold is on its disk.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.bootstrap == BootstrapPhase::Complete
    }

    /// Turns that it should hold, is known to lack and is fetching.
    #[must_use]
    pub fn missing_turns(&self) -> usize {
        self.anti_entropy.missing_turns()
    }

    /// Whether its machine may be taken away.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        matches!(
            self.lifecycle,
            Lifecycle::Drained { .. } | Lifecycle::Retired
        )
    }

    /// The membership epoch in which it found that it is drained, until the core has agreed or another epoch has
    /// begun.
    #[must_use]
    pub fn drained_in_epoch(&self) -> Option<u64> {
        match self.lifecycle {
            Lifecycle::Drained { epoch } => Some(epoch),
            Lifecycle::Active | Lifecycle::Draining { .. } | Lifecycle::Retired => None,
        }
    }

    /// The process is reported under another incarnation from now on.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.settings.incarnation = incarnation;
    }

    /// What it holds.
    #[must_use]
    pub fn index(&self) -> &Index {
        &self.index
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    pub(super) fn reply(&mut self, caller: CallerId, reply: StoreReply) {
        self.effects.push_back(Effect::Reply { caller, reply });
    }

    pub(super) fn submit(&mut self, purpose: JobPurpose, work: DiskWork) {
        let job = JobId(self.next_id());
        self.jobs.insert(job, purpose);
        self.effects.push_back(Effect::Disk { job, work });
    }

    pub(super) fn send(
        &mut self,
        store: String,
        purpose: RequestPurpose,
        request: StoreRequest,
        now_ms: u64,
    ) {
        let request_id = PeerRequestId(self.next_id());
        let pending = PendingRequest {
            purpose,
            store: store.clone(),
            deadline_ms: now_ms.saturating_add(PEER_REQUEST_TIMEOUT_MS),
        };
        self.requests.insert(request_id, pending);
        self.effects.push_back(Effect::SendRequest {
            request_id,
            store,
            request,
        });
    }
}
