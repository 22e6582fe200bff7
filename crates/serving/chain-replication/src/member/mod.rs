//! One member: takes what comes in with the time, gives out what is to be done.

mod agreement;
mod chain;
mod follow;
mod freshness;
mod membership;
mod requests;
mod snapshots;
pub mod transfer;

use crate::agreed::DecidedView;
use crate::disk::{Saved, SavedSnapshot, Write};
use crate::guards::Guards;
use crate::identity::{MemberId, Peer, View};
use crate::journal::{Consequence, Journal};
use crate::log::Log;
use crate::message::Message;
use crate::peers::Peers;
use crate::random::Random;
use crate::timing::{Millis, OWN_GAP};
use agreement::{Acceptor, Proposer};
use chain::{Downstream, Stage, Upstream};
use follow::Following;
use freshness::Freshness;
use membership::{Joining, Newcomer};
use requests::{HeldRequests, Reads, Submissions};
use snapshots::Snapshots;
use std::net::SocketAddr;

/// Stamps are this much shorter than their type: they don't run over, and are small in messages.
const SPARE_STAMP_BITS: u32 = 16;

/// What happens to a member.
#[derive(Clone, Debug)]
pub enum Input {
    Received {
        from: MemberId,
        message: Message,
    },
    /// The connection to it was refused or reset.
    Disconnected {
        peer: MemberId,
    },
    /// Append this, at whichever member. After faults it may be committed twice.
    Submit {
        ticket: u64,
        payload: Vec<u8>,
    },
    /// Say when all that is committed now has been given out here.
    Read {
        ticket: u64,
    },
    /// All writes of the batch are on disk.
    Persisted {
        batch: u64,
    },
    /// Start with this view, on an empty disk.
    Found {
        view: View,
    },
    /// Ask to be added to the view that these know.
    Join {
        contacts: Vec<SocketAddr>,
    },
    /// Ask to be put out of the chain.
    Leave,
    /// The caller's state after the commit at `index`, answer to [`Output::WantSnapshot`].
    Snapshot {
        index: u64,
        bytes: Vec<u8>,
    },
    Tick,
}

/// What is to be done, in this order.
#[derive(Clone, Debug)]
pub enum Output {
    Send {
        to: Peer,
        message: Message,
    },
    /// To a member whose identity isn't known yet.
    SendTo {
        address: SocketAddr,
        message: Message,
    },
    /// To be answered by [`Input::Persisted`] once all are on disk; one sync for all.
    Persist {
        batch: u64,
        writes: Vec<Write>,
    },
    /// The next payload of the sequence.
    Commit {
        index: u64,
        payload: Vec<u8>,
        /// If it was submitted here.
        ticket: Option<u64>,
    },
    /// All commits that the read must see were given out before.
    ReadReady {
        ticket: u64,
    },
    /// Too much was in hand, or it took too long: the caller may try again. It may still be committed later.
    Dropped {
        ticket: u64,
    },
    /// To be answered by [`Input::Snapshot`].
    WantSnapshot,
    /// The caller's state is to be replaced by this one, which is after the commit at `index`.
    Install {
        index: u64,
        bytes: Vec<u8>,
    },
    ViewChanged {
        view: View,
        current: bool,
    },
}

/// One member of the core.
pub struct Member {
    me: Peer,
    may_found: bool,
    guards: Guards,
    random: Random,
    /// This run of the process.
    session: u64,
    journal: Journal,
    decided: Option<DecidedView>,
    /// When the view was installed here.
    decided_at: Millis,
    acceptor: Acceptor,
    proposer: Proposer,
    /// When to propose the next view, if the wish for it lasts.
    propose_at: Option<Millis>,
    peers: Peers,
    newcomers: Vec<Newcomer>,
    joining: Option<Joining>,
    leaving: bool,
    next_ping: Millis,
    /// Stamps in pings begin here. Against echoes of an earlier run, whose clock may have been ahead of this one's.
    stamps_begin: u64,
    caught_up_at: Millis,
    told_current: bool,
    log: Log,
    /// The newest view in which the log held all that it must, as it is on disk or on its way there.
    synced_view: u64,
    /// The log is on disk up to here.
    persisted: u64,
    /// Commits were given out up to here.
    committed: u64,
    stage: Stage,
    freshness: Freshness,
    upstream: Upstream,
    downstream: Downstream,
    following: Following,
    snapshots: Snapshots,
    submissions: Submissions,
    reads: Reads,
    held: HeldRequests,
    last_step: Millis,
    /// Found on disk, not yet given out.
    restored: Option<SavedSnapshot>,
    started: bool,
}

impl Member {
    /// A member that goes on with what it finds on disk. `seed` must differ between runs.
    pub fn new(
        id: MemberId,
        address: SocketAddr,
        may_found: bool,
        saved: Saved,
        seed: u64,
        now: Millis,
    ) -> Member {
        Member::with_guards(id, address, may_found, saved, seed, now, Guards::default())
    }

    /// As [`Member::new`]; tests take single guards out.
    #[doc(hidden)]
    pub fn with_guards(
        id: MemberId,
        address: SocketAddr,
        may_found: bool,
        saved: Saved,
        seed: u64,
        now: Millis,
        guards: Guards,
    ) -> Member {
        let mut random = Random::new(seed);
        let session = random.next();
        let stamps_begin = random.next() >> SPARE_STAMP_BITS;
        let start = saved
            .snapshot
            .as_ref()
            .map_or_else(Default::default, |snapshot| snapshot.position);
        let log = Log::restore(start, saved.entries);
        let mut peers = Peers::default();
        if let Some(decided) = &saved.decided {
            peers.install(None, &decided.view, &id, now);
        }
        let persisted = log.last().index;
        let mut member = Member {
            me: Peer { id, address },
            may_found,
            guards,
            reads: Reads::new(random.next()),
            random,
            session,
            journal: Journal::default(),
            decided: saved.decided,
            decided_at: now,
            acceptor: Acceptor {
                promised: saved.promised,
                accepted: saved.accepted,
            },
            proposer: Proposer::Idle,
            propose_at: None,
            peers,
            newcomers: Vec::new(),
            joining: None,
            leaving: false,
            next_ping: now,
            stamps_begin,
            caught_up_at: 0,
            told_current: false,
            log,
            synced_view: saved.synced_view,
            persisted,
            committed: start.index,
            stage: Stage::Outside,
            freshness: Freshness::begins(persisted, now),
            upstream: Upstream::default(),
            downstream: Downstream::default(),
            following: Following::default(),
            snapshots: Snapshots::from(saved.snapshot.as_ref()),
            submissions: Submissions::default(),
            held: HeldRequests::default(),
            last_step: now,
            restored: saved.snapshot,
            started: false,
        };
        member.stage = member.stage_at_start();
        member
    }

    /// Takes one input; what is to be done is added to `out`.
    pub fn step(&mut self, input: Input, now: Millis, out: &mut Vec<Output>) {
        self.start(now, out);
        self.notice_standstill(now);
        match input {
            Input::Received { from, message } => self.received(from, message, now, out),
            Input::Disconnected { peer } => self.disconnected(&peer, now, out),
            Input::Submit { ticket, payload } => self.submit(ticket, payload, now, out),
            Input::Read { ticket } => self.read(ticket, now, out),
            Input::Persisted { batch } => self.batch_persisted(batch, now, out),
            Input::Found { view } => self.found(view, now, out),
            Input::Join { contacts } => self.join(contacts, now, out),
            Input::Leave => self.leave(now, out),
            Input::Snapshot { index, bytes } => self.snapshot_given(index, bytes, now, out),
            Input::Tick => self.tick(now, out),
        }
        self.settle(now, out);
    }

    /// When [`Input::Tick`] is wanted next.
    pub fn next_tick(&self) -> Millis {
        let wishes = [
            self.next_membership_tick(),
            self.next_agreement_tick(),
            self.next_chain_tick(),
            self.next_follow_tick(),
            self.next_snapshot_tick(),
            self.next_request_tick(),
        ];
        wishes.into_iter().flatten().min().unwrap_or(Millis::MAX)
    }

    /// The newest view known here; this member need not be in it.
    pub fn view(&self) -> Option<&View> {
        self.decided.as_ref().map(|decided| &decided.view)
    }

    /// Whether a majority of the view's members has answered lately, in this view.
    pub fn current(&self, now: Millis) -> bool {
        let Some(view) = self.view() else {
            return false;
        };
        if !view.has_member(&self.me.id) {
            return false;
        }
        let answered = |id: &MemberId| match self.guards.currency_by_sending {
            true => self.peers.is_current(id, view.number, now),
            false => self.peers.is_heard_lately(id, view.number, now),
        };
        let others = view.members.iter().filter(|member| answered(&member.id));
        others.count() + 1 >= view.majority()
    }

    /// Whether what is submitted here is likely to be committed soon: this member is [`current`](Member::current) and
    /// has its place in the chain. One that was put out hears the others, but no commits.
    pub fn takes_part(&self, now: Millis) -> bool {
        // A member may be sealed before it has come up.
        self.current(now) && self.stage != Stage::Outside && self.has_come_up()
    }

    /// Whether commits come in here as they are made: this member [takes part](Member::takes_part), and lags behind its
    /// log by a moment only. One that has started again, was taken back, or is parted from the tail holds commits that
    /// it doesn't know to be some.
    pub fn follows(&self, now: Millis) -> bool {
        let fresh = self
            .freshness
            .is_fresh(self.committed, self.log.last().index, now);
        self.takes_part(now) && (fresh || !self.guards.commits_awaited)
    }

    /// The index up to which commits were given out here.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    fn number(&self) -> u64 {
        self.decided.as_ref().map_or(0, DecidedView::number)
    }

    fn start(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.started {
            return;
        }
        self.started = true;
        self.last_step = now;
        if let Some(snapshot) = self.restored.take() {
            out.push(Output::Install {
                index: snapshot.position.index,
                bytes: snapshot.bytes.to_vec(),
            });
        }
        if let Some(view) = self.view().cloned() {
            out.push(Output::ViewChanged {
                view,
                current: false,
            });
            self.resume_chain(now, out);
            self.seek_place(Vec::new(), now);
            self.ping_all(true, now, out);
        }
    }

    /// A member that stood still, or whose clock was stepped, doubts itself before others.
    fn notice_standstill(&mut self, now: Millis) {
        if now.saturating_sub(self.last_step) > OWN_GAP {
            self.peers.doubt_ourselves(now);
            self.propose_at = None;
        }
        if now < self.last_step {
            // Stamps of what was a later time would stay young for as long as the clock went back.
            self.peers.forget_echoes();
            self.stamps_begin = self.random.next() >> SPARE_STAMP_BITS;
            self.freshness = Freshness::begins(self.log.last().index, now);
        }
        self.last_step = now;
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.tick_membership(now, out);
        self.tick_chain(now, out);
        self.tick_following(now, out);
        self.tick_snapshots(now, out);
        self.tick_requests(now, out);
        self.consider_next_view(now, out);
    }

    /// What ends each step: writes go to the disk, and a change of currency is told.
    fn settle(&mut self, now: Millis, out: &mut Vec<Output>) {
        loop {
            let waiting = if self.guards.synced_before_passed_on {
                self.journal.unhindered()
            } else {
                self.journal.unsynced()
            };
            if waiting.is_empty() {
                break;
            }
            self.carry_out(waiting, now, out);
        }
        if let Some(batch) = self.journal.next_batch(now) {
            out.push(Output::Persist {
                batch: batch.number,
                writes: batch.writes,
            });
        }
        self.freshness
            .note(self.committed, self.log.last().index, now);
        let current = self.current(now);
        if let Some(view) = self.view().filter(|_| current != self.told_current) {
            out.push(Output::ViewChanged {
                view: view.clone(),
                current,
            });
            self.told_current = current;
        }
    }

    fn batch_persisted(&mut self, batch: u64, now: Millis, out: &mut Vec<Output>) {
        let consequences = self.journal.persisted(batch);
        self.carry_out(consequences, now, out);
    }

    fn carry_out(&mut self, consequences: Vec<Consequence>, now: Millis, out: &mut Vec<Output>) {
        for consequence in consequences {
            match consequence {
                Consequence::Vote { to, message } => self.send(&to, *message, now, out),
                Consequence::Founded => self.tell_first_view(out),
                Consequence::Stored { index } => self.stored(index, now, out),
                Consequence::Synced { view } => self.synced(view, now, out),
            }
        }
    }

    /// To a member of the view, or to this one itself.
    fn send(&mut self, to: &MemberId, message: Message, now: Millis, out: &mut Vec<Output>) {
        if *to == self.me.id {
            return self.handle(to.clone(), message, now, out);
        }
        if let Some(to) = self.view().and_then(|view| view.member(to)).cloned() {
            out.push(Output::Send { to, message });
        }
    }

    fn received(&mut self, from: MemberId, message: Message, now: Millis, out: &mut Vec<Output>) {
        let reconnected = self.peers.is_disconnected(&from);
        self.peers.heard(&from, now);
        if reconnected {
            self.reconnected(&from, now, out);
        }
        self.handle(from, message, now, out);
    }

    fn handle(&mut self, from: MemberId, message: Message, now: Millis, out: &mut Vec<Output>) {
        match message {
            Message::Found { view } => self.found(view, now, out),
            Message::Join { newcomer } => self.newcomer_asks(newcomer, now, out),
            Message::Decided { decided } => self.learn(decided, now, out),
            Message::Ping(ping) => self.pinged(from, ping, now, out),
            Message::Prepare { ballot, decided } => {
                self.prepare_asked(from, ballot, decided, now, out)
            }
            Message::Promise(promise) => self.promised(from, promise, now, out),
            Message::Refuse { number, promised } => self.refused(number, promised, now),
            Message::Accept { ballot, proposal } => {
                self.accept_asked(from, ballot, proposal, now, out)
            }
            Message::Accepted { number, ballot } => self.accepted(from, number, ballot, now, out),
            Message::Append(append) => self.appended(from, append, now, out),
            Message::Attach(attach) => self.attached(from, attach, now, out),
            Message::Follow(attach) => self.followed(from, attach, now, out),
            Message::Followed(append) => self.follow(from, append, now, out),
            Message::Snapshot {
                view,
                position,
                bytes,
            } => self.snapshot_received(from, view, SavedSnapshot { position, bytes }, now, out),
            Message::SnapshotPart { view, part } => {
                self.snapshot_part_received(from, view, part, now, out)
            }
            Message::SnapshotProgress { view, progress } => {
                self.snapshot_progressed(from, view, progress, now, out)
            }
            Message::Committed { view, index } => self.committed_below(from, view, index, now, out),
            Message::Submit {
                view,
                origin,
                payload,
            } => self.submission_received(from, view, origin, payload, now, out),
            Message::Overloaded { origin } => self.overloaded(origin, out),
            Message::Probe(probe) => self.probed(from, probe, now, out),
            Message::ProbeAnswer { round, index } => self.probe_answered(round, index, now, out),
        }
    }

    /// The connection to it works again; what was on its way is lost.
    fn reconnected(&mut self, peer: &MemberId, now: Millis, out: &mut Vec<Output>) {
        self.chain_reconnected(peer, now, out);
        self.snapshots_reconnected(peer, now, out);
        if self.view().is_some_and(|view| view.is_head(peer)) {
            self.send_submissions(now, out);
        }
    }
}
