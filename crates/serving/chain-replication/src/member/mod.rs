//! The state machine of one member: each step takes an input and the time, and emits outputs for the caller to carry out.
//!
//! The modules in the order in which a write passes them:
//!
//! 1. `receive`: a message arrives and is dispatched to its handler;
//! 2. `propose`: a submission of the caller is sent to the head, which appends it;
//! 3. `replicate`: entries travel down the chain;
//! 4. `persist`: writes go to the disk in batches, and their completions run afterwards;
//! 5. `commit`: entries on the tail's disk are committed, and the commit index travels back up;
//! 6. `apply`: committed entries are emitted to the caller, in order;
//! 7. `notify`: the caller is notified of ended submissions and reads, of views and of quorum changes.
//!
//! The other modules: `stage` (the role in the chain), `reads` (linearizable reads), `learn` (members out of the chain),
//! `compact`, `send_snapshot` and `receive_snapshot` (snapshots), `ping` (heartbeats), `join` (bootstrap, joining,
//! leaving), `install` (a new view takes effect), `observe` (the desired view, from observations), `proposer` and
//! `acceptor` (Paxos on the next view).

mod acceptor;
mod apply;
mod commit;
mod compact;
mod install;
mod io;
mod join;
mod learn;
mod notify;
mod observe;
mod persist;
mod ping;
mod propose;
mod proposer;
mod reads;
mod receive;
mod receive_snapshot;
mod replicate;
mod send_snapshot;
mod stage;
mod state;

pub use io::{Input, Output};

use crate::agreement::DecidedView;
use crate::durable::{DurableState, Snapshot};
use crate::failure_detector::FailureDetector;
use crate::identity::{Incarnation, MemberId, Peer};
use crate::log::{Log, LogIndex};
use crate::random::Random;
use crate::safeguards::{Safeguard, Safeguards};
use crate::snapshot_transfer::SnapshotRejections;
use crate::timing::{Millis, SUSPENSION_GAP};
use crate::view::{View, ViewNumber};
use crate::write_queue::WriteQueue;
use state::agreement::{Acceptor, Proposer};
use state::freshness::Freshness;
use state::joining::{JoinAttempt, Joiner};
use state::learner::Learner;
use state::replication::{Downstream, Stage, Upstream};
use state::requests::{DeferredRequests, PendingReads, PendingSubmissions};
use state::snapshots::SnapshotState;

/// Upper bits of a ping timestamp's random start that are zero, so that timestamps don't overflow and encode shorter.
const SPARE_TIMESTAMP_BITS: u32 = 16;

/// A member's identity, and the settings of its process.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// The member's identity and address.
    pub peer: Peer,
    /// Whether the member may install a first view while its disk is empty.
    pub may_bootstrap: bool,
    /// Seed of random waits and numbers; must differ between runs of the process.
    pub seed: u64,
}

/// One member of the core: a state machine without I/O.
pub struct Member {
    me: Peer,
    may_bootstrap: bool,
    safeguards: Safeguards,
    random: Random,
    /// This run of the process.
    incarnation: Incarnation,
    /// The time of the last step.
    now: Millis,
    /// Outputs of the present step so far.
    outputs: Vec<Output>,
    started: bool,
    write_queue: WriteQueue,

    /// The newest view known here.
    decided: Option<DecidedView>,
    installed_at: Millis,
    acceptor: Acceptor,
    proposer: Proposer,
    /// When to propose the next view, if a change of view is still wanted then.
    propose_at: Option<Millis>,

    failure_detector: FailureDetector,
    joiners: Vec<Joiner>,
    join_attempt: Option<JoinAttempt>,
    leaving: bool,
    next_ping_at: Millis,
    /// Random start of the timestamps in pings, so that echoes of an earlier run, whose clock may have been ahead, are not
    /// taken for echoes of this run.
    timestamp_base: u64,
    view_requested_at: Millis,
    notified_quorum: bool,

    log: Log,
    /// The newest view as of which the log was complete; on disk, or in a write under way.
    synced_view: ViewNumber,
    /// Index up to which the log is on disk.
    persisted_index: LogIndex,
    /// Index up to which commits were emitted to the caller.
    commit_index: LogIndex,
    stage: Stage,
    freshness: Freshness,
    upstream: Upstream,
    downstream: Downstream,
    learner: Learner,

    snapshots: SnapshotState,
    /// The snapshot found on disk, until the first step emits it.
    restored_snapshot: Option<Snapshot>,

    submissions: PendingSubmissions,
    reads: PendingReads,
    deferred: DeferredRequests,
}

impl Member {
    /// A member that resumes from the state found on its disk.
    #[must_use]
    pub fn new(config: MemberConfig, durable: DurableState, now: Millis) -> Member {
        Member::build(config, durable, now, Safeguards::default())
    }

    /// As [`Member::new`], with the given safeguards: for tests that remove one.
    #[cfg(feature = "removable-safeguards")]
    #[must_use]
    pub fn with_safeguards(
        config: MemberConfig,
        durable: DurableState,
        now: Millis,
        safeguards: Safeguards,
    ) -> Member {
        Member::build(config, durable, now, safeguards)
    }

    fn build(
        config: MemberConfig,
        durable: DurableState,
        now: Millis,
        safeguards: Safeguards,
    ) -> Member {
        let mut random = Random::new(config.seed);
        let incarnation = random.next();
        let timestamp_base = draw_timestamp_base(&mut random);
        let last_read_request = random.next();
        let start = durable.snapshot_position();
        let installed = durable.decided.as_ref().map(|decided| &decided.view);
        let failure_detector = FailureDetector::new(installed, &config.peer.id, now);
        let log = Log::restore(start, durable.entries);
        let persisted_index = log.last().index;
        let mut member = Member {
            me: config.peer,
            may_bootstrap: config.may_bootstrap,
            safeguards,
            random,
            incarnation,
            now,
            outputs: Vec::new(),
            started: false,
            write_queue: WriteQueue::default(),
            decided: durable.decided,
            installed_at: now,
            acceptor: Acceptor {
                promised: durable.promised,
                accepted: durable.accepted,
            },
            proposer: Proposer::Idle,
            propose_at: None,
            failure_detector,
            joiners: Vec::new(),
            join_attempt: None,
            leaving: false,
            next_ping_at: now,
            timestamp_base,
            view_requested_at: 0,
            notified_quorum: false,
            log,
            synced_view: durable.synced_view,
            persisted_index,
            commit_index: start.index,
            stage: Stage::OutOfChain,
            freshness: Freshness::starting(persisted_index, now),
            upstream: Upstream::default(),
            downstream: Downstream::default(),
            learner: Learner::default(),
            snapshots: SnapshotState::from(durable.snapshot.as_ref()),
            restored_snapshot: durable.snapshot,
            submissions: PendingSubmissions::default(),
            reads: PendingReads::new(last_read_request),
            deferred: DeferredRequests::default(),
        };
        member.stage = member.initial_stage();
        member
    }

    /// Handles one input and adds to `outputs` what the caller has to do, in this order. `now` should not go back; if it
    /// does, the member discards the echoes on which its quorum is based.
    pub fn step(&mut self, input: Input, now: Millis, outputs: &mut Vec<Output>) {
        let previous_step = if self.started { self.now } else { now };
        self.now = now;
        self.start();
        self.detect_own_suspension(previous_step);
        match input {
            Input::Received { from, message } => self.receive(from, message),
            Input::Disconnected { peer } => self.on_disconnected(&peer),
            Input::Submit { ticket, payload } => self.submit(ticket, payload),
            Input::Read { ticket } => self.read(ticket),
            Input::Persisted { batch } => self.on_batch_persisted(batch),
            Input::Bootstrap { view } => self.bootstrap(view),
            Input::Join { contacts } => self.join(contacts),
            Input::Leave => self.leave(),
            Input::SnapshotTaken { index, bytes } => self.on_snapshot_taken(index, bytes),
            Input::Compact => self.compact(),
            Input::Tick => self.tick(),
        }
        self.persist();
        self.freshness
            .update(self.commit_index, self.log.last().index, now);
        self.notify_quorum_change();
        outputs.append(&mut self.outputs);
    }

    /// The time at which the next [`Input::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        let wanted = [
            self.next_ping_tick(),
            self.next_join_tick(),
            self.next_agreement_tick(),
            self.next_replication_tick(),
            self.next_learner_tick(),
            self.next_snapshot_tick(),
            self.next_submission_tick(),
            self.next_read_tick(),
        ];
        wanted.into_iter().flatten().min().unwrap_or(Millis::MAX)
    }

    /// The newest view that this member knows; it need not be a member of that view.
    #[must_use]
    pub fn view(&self) -> Option<&View> {
        self.decided.as_ref().map(|decided| &decided.view)
    }

    /// Whether a majority of the view's members, including this one, has recently replied in this view.
    #[must_use]
    pub fn has_quorum(&self, now: Millis) -> bool {
        let Some(view) = self.view().filter(|view| view.has_member(&self.me.id)) else {
            return false;
        };
        let by_send_time = self.safeguards.has(Safeguard::QuorumBySendTime);
        let has_replied = |id: &MemberId| {
            if by_send_time {
                self.failure_detector
                    .has_replied_recently(id, view.number, now)
            } else {
                self.failure_detector
                    .was_received_recently(id, view.number, now)
            }
        };
        let others = view.members.iter().filter(|member| has_replied(&member.id));
        others.count() + 1 >= view.majority()
    }

    /// Whether a submission here is likely to be committed soon: this member [has a quorum](Member::has_quorum) and is
    /// synced in the chain. A member that was removed from the chain still receives pings, but no commits.
    #[must_use]
    pub fn can_commit(&self, now: Millis) -> bool {
        // A member may be sealed before it has caught up.
        self.has_quorum(now) && self.stage != Stage::OutOfChain && self.has_caught_up()
    }

    /// Whether commits are applied here as they are made: this member [can commit](Member::can_commit), and has applied
    /// all commits except possibly the newest ones, see [`FRESHNESS_TIMEOUT`](crate::timing::FRESHNESS_TIMEOUT). A member that has restarted, was readmitted or is partitioned from the tail may
    /// have entries in its log without knowing that they are committed.
    #[must_use]
    pub fn is_up_to_date(&self, now: Millis) -> bool {
        let is_fresh = self
            .freshness
            .is_fresh(self.commit_index, self.log.last().index, now);
        self.can_commit(now) && (is_fresh || !self.safeguards.has(Safeguard::AwaitKnownCommits))
    }

    /// The index up to which this member has emitted commits to its caller.
    #[must_use]
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Counts of the chunks and snapshots that this member rejected.
    #[must_use]
    pub fn snapshot_rejections(&self) -> SnapshotRejections {
        self.snapshots.rejections
    }

    fn view_number(&self) -> ViewNumber {
        self.decided.as_ref().map_or(0, DecidedView::number)
    }

    fn is_member(&self) -> bool {
        self.view().is_some_and(|view| view.has_member(&self.me.id))
    }

    /// In the first step: resumes from the state found on disk.
    fn start(&mut self) {
        if self.started {
            return;
        }
        self.started = true;
        if let Some(snapshot) = self.restored_snapshot.take() {
            self.outputs.push(Output::InstallSnapshot {
                index: snapshot.position.index,
                bytes: snapshot.bytes.to_vec(),
            });
        }
        if let Some(view) = self.view().cloned() {
            let has_quorum = false;
            self.outputs.push(Output::ViewChanged { view, has_quorum });
            self.resume_stage();
            self.seek_membership(Vec::new());
            self.ping_all_for_reply();
        }
    }

    /// After a suspension of its process or a step of its clock, a member discards its own observations rather than
    /// suspecting the others.
    fn detect_own_suspension(&mut self, previous_step: Millis) {
        if self.now.saturating_sub(previous_step) > SUSPENSION_GAP {
            self.failure_detector.grant_grace_period(self.now);
            self.propose_at = None;
        }
        if self.now < previous_step {
            // Echoes of timestamps from before the step would count as recent for as long as the clock went back.
            self.failure_detector.forget_echoes();
            self.timestamp_base = draw_timestamp_base(&mut self.random);
            self.freshness = Freshness::starting(self.log.last().index, self.now);
        }
    }

    fn tick(&mut self) {
        self.tick_pings();
        self.tick_join();
        self.tick_replication();
        self.tick_learner();
        self.tick_snapshots();
        self.tick_requests();
        self.drive_proposer();
    }

    /// Sends a message to a member of the view. A message to this member itself is handled at once.
    fn send(&mut self, to: &MemberId, message: crate::message::Message) {
        if *to == self.me.id {
            return self.handle(to.clone(), message);
        }
        if let Some(to) = self.view().and_then(|view| view.member(to)).cloned() {
            self.outputs.push(Output::Send { to, message });
        }
    }
}

fn draw_timestamp_base(random: &mut Random) -> u64 {
    random.next() >> SPARE_TIMESTAMP_BITS
}
