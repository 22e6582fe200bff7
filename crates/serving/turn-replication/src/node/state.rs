//! The state of a store node, and the functions that issue requests, disk jobs and replies.

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

/// Time without a reply after which a request to another store has failed, in milliseconds.
pub const PEER_REQUEST_TIMEOUT_MS: u64 = 800;
/// Minimum time from the start of a store with a new disk to the beginning of the anti-entropy pass that makes the
/// disk complete, in milliseconds. By then every writer that relied on the old disk has ended, so that the pass lists
/// the turns that such a writer stored elsewhere.
pub const BOOTSTRAP_GRACE_MS: u64 = WRITE_DEADLINE_MS + 300;
/// Interval between removals of expired turns, in milliseconds.
pub const EXPIRY_SWEEP_MS: u64 = 5_000;

/// State machine of one store machine.
#[derive(Debug)]
pub struct StoreNode {
    pub(super) settings: StoreSettings,
    pub(super) safeguards: Safeguards,
    /// Identifies the contents of the disk.
    pub(super) disk: u64,
    /// Whether the core has registered this incarnation of the process and its disk.
    pub(super) is_registered: bool,
    /// A new disk becomes complete by an anti-entropy pass that begins at this time or later.
    pub(super) grace_ends_at_ms: u64,
    pub(super) bootstrap: BootstrapPhase,
    pub(super) lifecycle: Lifecycle,
    pub(super) index: Index,
    pub(super) commits: CommitQueue,
    pub(super) completions: ChainCompletions,
    pub(super) anti_entropy: AntiEntropy,
    pub(super) handoffs: HandoffQueue,
    /// The latest membership; empty until the first membership arrives.
    pub(super) stores: Vec<StoreEntry>,
    /// For each absent store of the membership: since when it has been absent.
    pub(super) absent_since_ms: BTreeMap<String, u64>,
    /// Stores that turns may be placed on, without stores that have been absent for `absent_repair_ms`.
    pub(super) candidates: Vec<Candidate>,
    /// Stores that sent requests but are not in the membership yet.
    pub(super) unlisted_stores: BTreeSet<String>,
    /// Other stores that know this store, because they have replied to its listing requests.
    pub(super) known_to: BTreeSet<String>,
    pub(super) requests: BTreeMap<PeerRequestId, PendingRequest>,
    pub(super) jobs: BTreeMap<JobId, JobPurpose>,
    /// The latest number given to a request or a disk job.
    pub(super) last_id: u64,
    /// Total bytes of the turns that the disk is reading for callers.
    pub(super) read_bytes_in_flight: u64,
    pub(super) next_sweep_at_ms: u64,
    pub(super) effects: VecDeque<Effect>,
}

impl StoreNode {
    /// Creates the node of a store that starts at `wall_ms` by the wall clock and `now_ms` by the steady clock.
    #[must_use]
    pub fn new(settings: StoreSettings, disk: DiskState, wall_ms: u64, now_ms: u64) -> Self {
        Self::start(settings, disk, wall_ms, now_ms, Safeguards::default())
    }

    /// Like [`StoreNode::new`], with the given safeguards in place; for tests only.
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

    /// Returns the next effect to be carried out.
    pub fn poll(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Whether all turns that the store should hold are on its disk.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.bootstrap == BootstrapPhase::Complete
    }

    /// Number of turns that the store is known to lack or is fetching.
    #[must_use]
    pub fn missing_turns(&self) -> usize {
        self.anti_entropy.missing_turns()
    }

    /// Whether the store has been drained.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        matches!(
            self.lifecycle,
            Lifecycle::Drained { .. } | Lifecycle::Retired
        )
    }

    /// The membership epoch in which the store declared that it is drained; `None` once the core has agreed or another
    /// epoch has begun.
    #[must_use]
    pub fn drained_in_epoch(&self) -> Option<u64> {
        match self.lifecycle {
            Lifecycle::Drained { epoch } => Some(epoch),
            Lifecycle::Active | Lifecycle::Draining { .. } | Lifecycle::Retired => None,
        }
    }

    /// Replaces the incarnation under which the process is reported to the core.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.settings.incarnation = incarnation;
    }

    /// Index of the stored turns.
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

    pub(super) fn submit_job(&mut self, purpose: JobPurpose, work: DiskWork) {
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
