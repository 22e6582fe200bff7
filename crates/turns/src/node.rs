//! One store machine as a state machine: requests, the list of stores, answers of other stores, completions of
//! the disk and the time go in; [`Effect`]s come out. The process around it owns sockets, disk and clock.
//!
//! After every call take all effects with [`StoreNode::poll`], and call [`StoreNode::tick`] when
//! [`StoreNode::next_due`] says so. Disk work is to be done in the order in which it comes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::commit::{CommitQueue, Committed, Waiter};
use crate::complete::{Completions, ParkedPut};
use crate::guards::Guards;
use crate::handoff::{Deliveries, DeliveryStep, Placement};
use crate::index::{Index, IndexEntry, READ_HOLD_MS};
use crate::message::{Refusal, StoreReply, StoreRequest, CHAIN_PAGE_BYTES, PAGE_BYTES};
use crate::placement;
use crate::repair::{PullAsk, Repair};
use crate::roster::{Candidate, Store};
use crate::turn::{HeldTurn, Turn, TurnHeader};
use crate::write::WRITE_DEADLINE_MS;

/// Names a caller that waits for a reply; chosen by the process around the node.
pub type CallerId = u64;
/// Names a question to another store.
pub type AskId = u64;
/// Names a piece of disk work.
pub type JobId = u64;

/// A question to another store that has no answer after this long has failed.
pub const ASK_TIMEOUT_MS: u64 = 800;
/// A store with a new disk is not whole before a pass that began this long after its start has ended. By then
/// every writer that still counted on the old disk has ended, and what it wrote elsewhere is listed.
pub const SETTLE_MS: u64 = WRITE_DEADLINE_MS + 300;
/// How often turns past their time are looked for.
pub const EXPIRY_SWEEP_MS: u64 = 5_000;
/// Most turns deleted from the disk in one piece of work.
const REMOVE_BOUND: usize = 256;
/// The most that turns being read may take together. Against callers that ask faster than the disk reads.
const READING_BOUND_BYTES: u64 = 16 << 20;

/// What the node is told at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Its name in the list of stores.
    pub name: String,
    /// The life of its process, as it is reported to the core.
    pub incarnation: u64,
    /// How many stores keep each turn: as many as may be lost at one time, and one more.
    pub copies: usize,
    /// The most that its turns may take. The file of the disk may need three times as much.
    pub capacity_bytes: u64,
    /// The most turns that it takes in; each costs some 250 bytes of memory.
    pub capacity_turns: usize,
    /// A store that is absent for this long is replaced: what it held gets further copies elsewhere.
    pub absent_repair_ms: u64,
}

/// What the disk brought at the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskState {
    /// Names this life of the disk.
    pub disk: u64,
    /// It has not been whole in this life.
    pub fresh: bool,
    pub entries: Vec<IndexEntry>,
}

/// What the process around the node has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Answer a caller.
    Reply { caller: CallerId, reply: StoreReply },
    /// Ask another store; its answer goes to [`StoreNode::peer_answered`].
    Ask { ask: AskId, store: String, request: StoreRequest },
    /// Work for the disk; its completion goes to [`StoreNode::disk_done`].
    Disk { job: JobId, work: DiskWork },
    /// Tell the core.
    Declare(Declaration),
}

/// Work for the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskWork {
    /// One synced commit.
    Put(Vec<Turn>),
    /// Read these, in this order.
    Get(Vec<String>),
    Remove(Vec<String>),
    /// Remember, synced, that the disk is whole.
    MarkWhole,
}

/// How a piece of disk work ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskOutcome {
    Done,
    /// For [`DiskWork::Get`]: what was found, in the order asked for.
    Turns(Vec<Turn>),
    /// It was not done, or not surely; what waited for it is refused.
    Failed,
}

/// What the core has to hear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Declaration {
    /// Everything that this store should hold is there.
    Whole,
    /// Everything that this store held is kept by enough others, as they stand in this round: its machine may be
    /// taken away.
    Emptied { round: u64 },
}

/// How far the store is with its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wholeness {
    /// A new disk; some present store has not heard of this one yet, so no turns are taken.
    Joining,
    /// A new disk, being filled; turns are taken.
    Filling,
    /// All is there; the disk is being told.
    Marking,
    Whole,
}

/// Whether the store is used or emptied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    InUse,
    Emptying {
        round: u64,
    },
    /// It has said that it is empty and takes nothing in, until that is agreed on or void.
    Emptied {
        round: u64,
    },
    /// The core has agreed that it is empty.
    Retired,
}

impl Service {
    /// What the core's entry asks of a store.
    fn asked_by(entry: Option<&Store>) -> Service {
        match entry {
            Some(own) if own.retired => Service::Retired,
            Some(own) if own.retiring => Service::Emptying { round: own.round },
            _ => Service::InUse,
        }
    }
}

/// What the answer of another store is for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum AskPurpose {
    Pull { pass: u64 },
    Want { id: String },
    Delivery { serial: u64 },
}

#[derive(Debug)]
struct OpenAsk {
    purpose: AskPurpose,
    store: String,
    give_up_at_ms: u64,
}

/// What a piece of disk work is for.
#[derive(Debug)]
enum JobPurpose {
    Commit,
    Chain { caller: CallerId, bytes: u64, missing: Option<String>, more: bool },
    Fetch { caller: CallerId, bytes: u64 },
    Delivery { serial: u64 },
    Removal,
    MarkWhole,
}

/// One store machine.
#[derive(Debug)]
pub struct StoreNode {
    settings: Settings,
    guards: Guards,
    /// Names this life of the disk.
    disk: u64,
    /// The core has taken note of this life of the process and of its disk.
    registered: bool,
    /// A pass begun after this makes a new disk whole.
    settled_at_ms: u64,
    wholeness: Wholeness,
    service: Service,
    index: Index,
    commits: CommitQueue,
    completions: Completions,
    repair: Repair,
    deliveries: Deliveries,
    /// The list as it came last; empty before the first.
    stores: Vec<Store>,
    /// Since when a store of the list is absent.
    absent_since: BTreeMap<String, u64>,
    /// Stores that turns are placed on, those absent for long left out.
    candidates: Vec<Candidate>,
    /// Stores that asked but are not in the list yet.
    guests: BTreeSet<String>,
    /// Stores that have heard of this one.
    introduced_to: BTreeSet<String>,
    asks: BTreeMap<AskId, OpenAsk>,
    jobs: BTreeMap<JobId, JobPurpose>,
    last_number: u64,
    /// What the turns take that callers wait for the disk to read.
    reading_bytes: u64,
    sweep_at_ms: u64,
    effects: VecDeque<Effect>,
}

impl StoreNode {
    /// A store that has just started, `wall_ms` by the wall clock and `now_ms` by the steady one.
    pub fn new(settings: Settings, disk: DiskState, wall_ms: u64, now_ms: u64) -> Self {
        Self::with_guards(settings, disk, wall_ms, now_ms, Guards::default())
    }

    /// As [`StoreNode::new`]; tests take single guards out.
    pub fn with_guards(
        settings: Settings,
        disk: DiskState,
        wall_ms: u64,
        now_ms: u64,
        guards: Guards,
    ) -> Self {
        let wholeness = if disk.fresh { Wholeness::Joining } else { Wholeness::Whole };
        Self {
            settings,
            guards,
            disk: disk.disk,
            registered: !guards.life_registered,
            settled_at_ms: now_ms.saturating_add(SETTLE_MS),
            wholeness,
            service: Service::InUse,
            index: Index::load(disk.entries, wall_ms, now_ms),
            commits: CommitQueue::default(),
            completions: Completions::default(),
            repair: Repair::default(),
            deliveries: Deliveries::default(),
            stores: Vec::new(),
            absent_since: BTreeMap::new(),
            candidates: Vec::new(),
            guests: BTreeSet::new(),
            introduced_to: BTreeSet::new(),
            asks: BTreeMap::new(),
            jobs: BTreeMap::new(),
            last_number: 0,
            reading_bytes: 0,
            sweep_at_ms: now_ms.saturating_add(EXPIRY_SWEEP_MS),
            effects: VecDeque::new(),
        }
    }

    /// The next thing to be done.
    pub fn poll(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Everything that it should hold is there.
    pub fn is_whole(&self) -> bool {
        self.wholeness == Wholeness::Whole
    }

    /// Its machine may be taken away.
    pub fn is_emptied(&self) -> bool {
        matches!(self.service, Service::Emptied { .. } | Service::Retired)
    }

    /// The round in which it found that it is empty, until the core has agreed or another round has begun.
    pub fn emptied_in(&self) -> Option<u64> {
        match self.service {
            Service::Emptied { round } => Some(round),
            Service::InUse | Service::Emptying { .. } | Service::Retired => None,
        }
    }

    /// The life of the process is reported under another number from now on.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.settings.incarnation = incarnation;
    }

    /// What it holds.
    pub fn index(&self) -> &Index {
        &self.index
    }

    /// The list of stores, as the core has it now.
    pub fn list_changed(&mut self, stores: Vec<Store>, now_ms: u64) {
        let before = std::mem::replace(&mut self.stores, stores);
        self.note_absences(now_ms);
        self.note_registration();
        let stores = &self.stores;
        self.guests.retain(|guest| !stores.iter().any(|store| store.name == *guest));
        let moved = self.place_anew(now_ms) || places_differ(&before, &self.stores);
        self.note_service(now_ms);
        if moved {
            self.pull_from_all(now_ms);
            self.empty_anew(now_ms);
        } else {
            self.pull_from_returned(&before, now_ms);
        }
        self.advance(now_ms);
    }

    /// A gateway or another store asks something.
    pub fn request(&mut self, caller: CallerId, request: StoreRequest, now_ms: u64) {
        match request {
            StoreRequest::Put { turn, hint } => self.put(caller, turn, hint, now_ms),
            StoreRequest::Chain { id } => self.chain(caller, &id, now_ms),
            StoreRequest::List { home, candidates, copies, after } => {
                self.meet(&home);
                let page = self.index.missing_at(&home, &candidates, copies, after.as_deref(), now_ms);
                self.reply(caller, StoreReply::Listed { turns: page.turns, next: page.next });
            }
            StoreRequest::Fetch { ids, with_ancestors } => self.fetch(caller, &ids, with_ancestors, now_ms),
            StoreRequest::Offer { ids } => {
                let lacking = ids.into_iter().filter(|id| !self.index.contains(id)).collect();
                self.reply(caller, StoreReply::Lacks { ids: lacking });
            }
            StoreRequest::Handoff { turns } => self.take_over(caller, turns, now_ms),
        }
        self.advance(now_ms);
    }

    /// Another store answered, or could not be asked (`None`).
    pub fn peer_answered(&mut self, ask: AskId, reply: Option<StoreReply>, now_ms: u64) {
        let Some(open) = self.asks.remove(&ask) else {
            return;
        };
        match open.purpose {
            AskPurpose::Pull { pass } if pass == self.repair.pass() => {
                self.pull_answered(&open.store, reply, now_ms)
            }
            AskPurpose::Pull { .. } => {}
            AskPurpose::Want { id } => self.want_answered(id, reply, now_ms),
            AskPurpose::Delivery { serial } => self.delivery_answered(serial, reply, now_ms),
        }
        self.advance(now_ms);
    }

    /// A piece of disk work has ended.
    pub fn disk_done(&mut self, job: JobId, outcome: DiskOutcome, now_ms: u64) {
        let Some(purpose) = self.jobs.remove(&job) else {
            return;
        };
        match purpose {
            JobPurpose::Commit => self.commit_done(outcome != DiskOutcome::Failed, now_ms),
            JobPurpose::Chain { caller, bytes, missing, more } => {
                self.reading_bytes -= bytes;
                self.chain_read(caller, missing, more, outcome);
            }
            JobPurpose::Fetch { caller, bytes } => {
                self.reading_bytes -= bytes;
                self.fetch_read(caller, outcome, now_ms);
            }
            JobPurpose::Delivery { serial } => self.delivery_read(serial, outcome, now_ms),
            JobPurpose::Removal => {}
            JobPurpose::MarkWhole => self.marked(outcome != DiskOutcome::Failed, now_ms),
        }
        self.advance(now_ms);
    }

    /// Time has passed.
    pub fn tick(&mut self, now_ms: u64) {
        self.end_late_asks(now_ms);
        self.sweep(now_ms);
        if self.place_anew(now_ms) {
            self.pull_from_all(now_ms);
            self.empty_anew(now_ms);
        }
        self.advance(now_ms);
    }

    /// When [`Self::tick`] has to be called.
    pub fn next_due(&self) -> u64 {
        let settles = self.wholeness == Wholeness::Filling && self.is_filled();
        let placed = |name: &str| self.candidates.iter().any(|candidate| candidate.name == name);
        let absences = self.absent_since.iter().filter(|(name, _)| placed(name));
        self.asks
            .values()
            .map(|open| open.give_up_at_ms)
            .chain(settles.then_some(self.settled_at_ms))
            .chain(absences.map(|(_, since)| since.saturating_add(self.settings.absent_repair_ms)))
            .chain(self.repair.next_due())
            .chain(self.deliveries.next_due(|name| self.is_present(name)))
            .chain([self.sweep_at_ms])
            .min()
            .unwrap_or(self.sweep_at_ms)
    }
}

/// The list of stores.
impl StoreNode {
    fn note_absences(&mut self, now_ms: u64) {
        let absent = |store: &&Store| !store.present && store.name != self.settings.name;
        let names: Vec<String> = self.stores.iter().filter(absent).map(|store| store.name.clone()).collect();
        self.absent_since.retain(|name, _| names.contains(name));
        for name in names {
            self.absent_since.entry(name).or_insert(now_ms);
        }
    }

    /// Computes anew on which stores turns are placed; says whether that has changed.
    fn place_anew(&mut self, now_ms: u64) -> bool {
        let lasting = |store: &&Store| {
            let since = self.absent_since.get(&store.name);
            since.is_none_or(|since| now_ms < since + self.settings.absent_repair_ms)
        };
        let candidates: Vec<Candidate> = self
            .stores
            .iter()
            .filter(|store| store.takes_turns())
            .filter(lasting)
            .map(Candidate::from)
            .collect();
        let changed = candidates != self.candidates;
        self.candidates = candidates;
        changed
    }

    /// Once noted, a life stays so: the core's numbers of lives only rise.
    fn note_registration(&mut self) {
        let (incarnation, disk) = (self.settings.incarnation, self.disk);
        self.registered |= self.entry().is_some_and(|own| own.incarnation == incarnation && own.disk == disk);
    }

    fn note_service(&mut self, now_ms: u64) {
        match (self.service, Service::asked_by(self.entry())) {
            // What it has said still stands.
            (Service::Emptied { round: said }, Service::Emptying { round }) if said == round => {}
            (Service::Emptied { .. }, Service::Emptying { .. }) if !self.guards.rounds_checked => {}
            (before, asked) if before == asked => {}
            (_, asked) => self.enter_service(asked, now_ms),
        }
    }

    /// This store in the list.
    fn entry(&self) -> Option<&Store> {
        self.stores.iter().find(|store| store.name == self.settings.name)
    }

    fn enter_service(&mut self, service: Service, now_ms: u64) {
        self.service = service;
        match service {
            Service::InUse | Service::Retired => self.deliveries.stop_emptying(),
            Service::Emptying { .. } => self.empty_anew(now_ms),
            Service::Emptied { round } => {
                self.effects.push_back(Effect::Declare(Declaration::Emptied { round }));
            }
        }
    }

    fn is_emptying(&self) -> bool {
        matches!(self.service, Service::Emptying { .. })
    }

    /// Offers everything to the new homes from the start, if this store is being emptied.
    fn empty_anew(&mut self, now_ms: u64) {
        if !self.is_emptying() {
            return;
        }
        // Fewer homes than copies: nothing can be declared until another store has come.
        let homes = if self.candidates.len() < self.settings.copies { &[] } else { &self.candidates[..] };
        let names: Vec<String> = homes.iter().map(|home| home.name.clone()).collect();
        self.deliveries.begin_emptying(names, now_ms);
    }

    /// Pulls from the stores that have come back, and no more from those that have gone.
    fn pull_from_returned(&mut self, before: &[Store], now_ms: u64) {
        for peer in peers(before, &self.settings.name) {
            if !self.is_present(&peer.name) {
                self.repair.remove(&peer.name);
            }
        }
        let came: Vec<String> = peers(&self.stores, &self.settings.name)
            .filter(|peer| !before.iter().any(|old| old.name == peer.name && old.present))
            .map(|peer| peer.name.clone())
            .collect();
        for peer in came {
            self.repair.add(&peer, now_ms);
        }
    }

    fn pull_from_all(&mut self, now_ms: u64) {
        let peers: Vec<String> =
            peers(&self.stores, &self.settings.name).map(|peer| peer.name.clone()).collect();
        self.repair.begin(peers, now_ms);
    }

    fn is_present(&self, name: &str) -> bool {
        self.stores.iter().any(|store| store.name == name && store.present && !store.retired)
    }

    /// A store asks; if the list does not name it yet, it is told to readers as one that may hold turns.
    fn meet(&mut self, name: &str) {
        if name != self.settings.name && !self.stores.iter().any(|store| store.name == name) {
            self.guests.insert(name.to_owned());
        }
    }

    fn known_stores(&self) -> Vec<String> {
        let listed = self.stores.iter().filter(|store| !store.retired).map(|store| &store.name);
        let mut names: Vec<String> = listed.chain(&self.guests).cloned().collect();
        if !names.contains(&self.settings.name) {
            names.push(self.settings.name.clone());
        }
        names
    }
}

/// Requests of gateways and other stores.
impl StoreNode {
    fn reply(&mut self, caller: CallerId, reply: StoreReply) {
        self.effects.push_back(Effect::Reply { caller, reply });
    }

    fn put(&mut self, caller: CallerId, turn: Turn, hint: Option<String>, now_ms: u64) {
        let header = turn.header();
        let term = header.full_term_ms();
        let known = self.index.agrees_with(&header);
        if known && self.first_missing(Some(&header.id)).is_none() {
            self.index.extend(&header.id, now_ms.saturating_add(term));
            return self.reply(caller, StoreReply::Kept);
        }
        if let Some(refusal) = self.refusal(&turn).filter(|refusal| !known || *refusal != Refusal::Conflict) {
            return self.reply(caller, StoreReply::Refused(refusal));
        }
        let put = ParkedPut { caller, turn: HeldTurn { turn, remaining_ms: term }, hint };
        self.go_on_with(put, now_ms);
    }

    /// Why a turn is not taken, if so.
    fn refusal(&self, turn: &Turn) -> Option<Refusal> {
        let used = self.index.bytes() + self.commits.bytes() + self.completions.bytes();
        if !self.takes_turns() {
            Some(Refusal::Retiring)
        } else if self.wholeness == Wholeness::Joining || !self.registered {
            Some(Refusal::Joining)
        } else if self.index.contains(&turn.id) {
            Some(Refusal::Conflict)
        } else if used + turn.size() > self.settings.capacity_bytes
            || self.index.len() >= self.settings.capacity_turns
        {
            Some(Refusal::Full)
        } else {
            None
        }
    }

    /// A store that is being emptied goes on as a fallback until it has said that it is empty.
    fn takes_turns(&self) -> bool {
        match self.service {
            Service::InUse => true,
            Service::Emptying { .. } => self.guards.emptying_takes_turns,
            Service::Emptied { .. } | Service::Retired => false,
        }
    }

    /// Commits a put, or lets it wait for the part of its chain that is not here.
    fn go_on_with(&mut self, put: ParkedPut, now_ms: u64) {
        let Some(missing) = self.first_missing(put.turn.turn.previous.as_deref()) else {
            return self.commit_put(put, now_ms);
        };
        let sources = self.likely_holders(&put.turn.turn.program);
        if let Err(caller) = self.completions.park(&missing, sources, put) {
            self.reply(caller, StoreReply::Refused(Refusal::Busy));
        }
    }

    fn commit_put(&mut self, put: ParkedPut, now_ms: u64) {
        let waiter = Waiter::Caller { caller: put.caller, hint: put.hint };
        self.commit(vec![put.turn], waiter, now_ms);
    }

    fn commit(&mut self, turns: Vec<HeldTurn>, waiter: Waiter, now_ms: u64) {
        if let Err(refusal) = self.commits.push(turns, waiter.clone()) {
            self.commit_failed(waiter, refusal, now_ms);
        }
    }

    /// The first turn on the way to the start of the chain that is neither held nor on its way to the disk.
    fn first_missing(&self, previous: Option<&str>) -> Option<String> {
        let mut missing = self.index.first_missing(previous?)?;
        // Bounded by the commits waiting; each step is one of them.
        while let Some(previous) = self.commits.previous_of(&missing) {
            missing = self.index.first_missing(previous?)?;
        }
        Some(missing)
    }

    /// The other present stores, the program's homes first.
    fn likely_holders(&self, program: &str) -> Vec<String> {
        let peers: Vec<&Store> = peers(&self.stores, &self.settings.name).collect();
        placement::order_of(program, &peers).into_iter().map(|store| store.name.clone()).collect()
    }

    fn chain(&mut self, caller: CallerId, id: &str, now_ms: u64) {
        let Some(chain) = self.index.chain(id, CHAIN_PAGE_BYTES, now_ms) else {
            let reply = StoreReply::Unknown { whole: self.is_whole(), knows: self.known_stores() };
            return self.reply(caller, reply);
        };
        self.index.extend(id, now_ms.saturating_add(READ_HOLD_MS));
        let ids: Vec<String> = chain.ids.iter().rev().map(|id| id.to_string()).collect();
        let Some(bytes) = self.room_to_read(&ids) else {
            return self.reply(caller, StoreReply::Refused(Refusal::Busy));
        };
        let missing = chain.missing.map(|id| id.to_string());
        self.work(JobPurpose::Chain { caller, bytes, missing, more: chain.more }, DiskWork::Get(ids));
    }

    /// What these turns take, if as much may be read now.
    fn room_to_read(&mut self, ids: &[String]) -> Option<u64> {
        let bytes: u64 = ids.iter().filter_map(|id| self.index.size(id)).sum();
        if self.reading_bytes > 0 && self.reading_bytes + bytes > READING_BOUND_BYTES {
            return None;
        }
        self.reading_bytes += bytes;
        Some(bytes)
    }

    fn chain_read(&mut self, caller: CallerId, missing: Option<String>, more: bool, outcome: DiskOutcome) {
        let reply = match outcome {
            DiskOutcome::Turns(turns) if !turns.is_empty() => StoreReply::Found { turns, missing, more },
            _ => StoreReply::Refused(Refusal::Disk),
        };
        self.reply(caller, reply);
    }

    fn fetch(&mut self, caller: CallerId, ids: &[String], with_ancestors: bool, now_ms: u64) {
        let mut wanted: Vec<String> = Vec::new();
        let mut bytes = 0;
        for id in ids {
            let held = if with_ancestors {
                self.index.chain(id, PAGE_BYTES, now_ms).map(|chain| chain.ids).unwrap_or_default()
            } else {
                self.index.chain(id, 0, now_ms).map(|chain| chain.ids).unwrap_or_default()
            };
            for id in held {
                let size = self.index.size(&id).unwrap_or(0);
                if !wanted.is_empty() && bytes + size > PAGE_BYTES {
                    break;
                }
                bytes += size;
                wanted.push(id.to_string());
            }
        }
        if wanted.is_empty() {
            return self.reply(caller, StoreReply::Fetched { turns: Vec::new() });
        }
        let Some(bytes) = self.room_to_read(&wanted) else {
            return self.reply(caller, StoreReply::Refused(Refusal::Busy));
        };
        self.work(JobPurpose::Fetch { caller, bytes }, DiskWork::Get(wanted));
    }

    fn fetch_read(&mut self, caller: CallerId, outcome: DiskOutcome, now_ms: u64) {
        let reply = match outcome {
            DiskOutcome::Turns(turns) => StoreReply::Fetched { turns: self.with_time_left(turns, now_ms) },
            _ => StoreReply::Refused(Refusal::Disk),
        };
        self.reply(caller, reply);
    }

    fn with_time_left(&self, turns: Vec<Turn>, now_ms: u64) -> Vec<HeldTurn> {
        let held = turns.into_iter().filter_map(|turn| {
            let remaining_ms = self.index.remaining_ms(&turn.id, now_ms)?;
            Some(HeldTurn { turn, remaining_ms })
        });
        held.collect()
    }

    /// Another store hands turns over.
    fn take_over(&mut self, caller: CallerId, turns: Vec<HeldTurn>, now_ms: u64) {
        let refusal = turns.iter().find_map(|held| match self.refusal(&held.turn) {
            Some(Refusal::Conflict) | None => None,
            refusal => refusal,
        });
        if let Some(refusal) = refusal {
            return self.reply(caller, StoreReply::Refused(refusal));
        }
        self.commit(turns, Waiter::Caller { caller, hint: None }, now_ms);
    }
}

/// Disk work.
impl StoreNode {
    fn number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn work(&mut self, purpose: JobPurpose, work: DiskWork) {
        let job = self.number();
        self.jobs.insert(job, purpose);
        self.effects.push_back(Effect::Disk { job, work });
    }

    fn commit_done(&mut self, written: bool, now_ms: u64) {
        for entry in self.commits.finish() {
            if written {
                self.committed(entry, now_ms);
            } else {
                self.commit_failed(entry.waiter, Refusal::Disk, now_ms);
            }
        }
    }

    fn committed(&mut self, entry: Committed, now_ms: u64) {
        for turn in &entry.turns {
            self.index.insert(&turn.header, now_ms.saturating_add(turn.remaining_ms));
            self.owe(&turn.header, now_ms);
            for put in self.completions.is_here(&turn.header.id) {
                self.go_on_with(put, now_ms);
            }
        }
        match entry.waiter {
            Waiter::Caller { caller, hint } => {
                let id = entry.turns.first().map(|turn| turn.header.id.as_str());
                if let (Some(home), Some(id), true) = (hint, id, self.guards.hints) {
                    self.deliveries.hint(&home, id, now_ms);
                }
                self.reply(caller, StoreReply::Kept);
            }
            Waiter::Pull { pass } => self.repair.committed(pass),
            Waiter::Completion { .. } => {}
        }
    }

    /// What comes in while this store is being emptied has to be at its homes, too, before it is empty.
    fn owe(&mut self, turn: &TurnHeader, now_ms: u64) {
        if !self.is_emptying() || !self.guards.late_turns_owed {
            return;
        }
        let candidates: Vec<&Candidate> = self.candidates.iter().collect();
        let homes = placement::order_of(&turn.program, &candidates).into_iter().take(self.settings.copies);
        for home in homes {
            self.deliveries.owe(&home.name, &turn.id, now_ms);
        }
    }

    fn commit_failed(&mut self, waiter: Waiter, refusal: Refusal, now_ms: u64) {
        match waiter {
            Waiter::Caller { caller, .. } => self.reply(caller, StoreReply::Refused(refusal)),
            Waiter::Pull { pass } if pass == self.repair.pass() => self.repair.failed(now_ms),
            Waiter::Pull { .. } => {}
            Waiter::Completion { id } => self.completions.not_written(&id),
        }
    }

    fn marked(&mut self, written: bool, now_ms: u64) {
        if !written {
            // Not at once again: a disk that fails would be asked without end.
            self.settled_at_ms = now_ms.saturating_add(SETTLE_MS);
            return self.enter_wholeness(Wholeness::Filling);
        }
        self.enter_wholeness(Wholeness::Whole);
        self.effects.push_back(Effect::Declare(Declaration::Whole));
    }

    fn sweep(&mut self, now_ms: u64) {
        if now_ms < self.sweep_at_ms {
            return;
        }
        self.sweep_at_ms = now_ms.saturating_add(EXPIRY_SWEEP_MS);
        let expired = self.index.expire(now_ms);
        self.deliveries.forget_expired(&self.index);
        for ids in expired.chunks(REMOVE_BOUND) {
            self.work(JobPurpose::Removal, DiskWork::Remove(ids.to_vec()));
        }
    }
}

/// Questions to other stores.
impl StoreNode {
    fn ask(&mut self, store: String, purpose: AskPurpose, request: StoreRequest, now_ms: u64) {
        let ask = self.number();
        let give_up_at_ms = now_ms.saturating_add(ASK_TIMEOUT_MS);
        self.asks.insert(ask, OpenAsk { purpose, store: store.clone(), give_up_at_ms });
        self.effects.push_back(Effect::Ask { ask, store, request });
    }

    fn end_late_asks(&mut self, now_ms: u64) {
        let late: Vec<AskId> =
            self.asks.iter().filter(|(_, open)| open.give_up_at_ms <= now_ms).map(|(ask, _)| *ask).collect();
        for ask in late {
            self.peer_answered(ask, None, now_ms);
        }
    }

    fn pull_answered(&mut self, store: &str, reply: Option<StoreReply>, now_ms: u64) {
        match reply {
            Some(StoreReply::Listed { turns, next }) => {
                self.introduced_to.insert(store.to_owned());
                self.repair.listed(turns, next);
            }
            Some(StoreReply::Fetched { turns }) => {
                let turns = self.repair.fetched(turns);
                if !turns.is_empty() {
                    self.commit(turns, Waiter::Pull { pass: self.repair.pass() }, now_ms);
                }
            }
            _ => self.repair.failed(now_ms),
        }
    }

    fn want_answered(&mut self, id: String, reply: Option<StoreReply>, now_ms: u64) {
        match reply {
            Some(StoreReply::Fetched { turns }) if turns.iter().any(|held| held.turn.id == id) => {
                self.completions.found(&id);
                self.commit(turns, Waiter::Completion { id }, now_ms);
            }
            _ => self.completions.not_there(&id),
        }
    }

    fn delivery_answered(&mut self, serial: u64, reply: Option<StoreReply>, now_ms: u64) {
        match reply {
            Some(StoreReply::Lacks { ids }) => self.deliveries.lacks(serial, ids),
            Some(StoreReply::Kept) => self.deliveries.handed_over(serial),
            _ => self.deliveries.failed(serial, now_ms),
        }
    }

    fn delivery_read(&mut self, serial: u64, outcome: DiskOutcome, now_ms: u64) {
        let DiskOutcome::Turns(turns) = outcome else {
            return self.deliveries.failed(serial, now_ms);
        };
        let Some(peer) = self.deliveries.read(serial) else {
            return;
        };
        let turns = self.with_time_left(turns, now_ms);
        self.ask(peer, AskPurpose::Delivery { serial }, StoreRequest::Handoff { turns }, now_ms);
    }
}

/// What follows from each change.
impl StoreNode {
    /// Begins whatever may begin now.
    fn advance(&mut self, now_ms: u64) {
        self.complete_chains(now_ms);
        self.pull(now_ms);
        self.deliver(now_ms);
        if let Some(turns) = self.commits.begin() {
            self.work(JobPurpose::Commit, DiskWork::Put(turns));
        }
        self.judge_wholeness(now_ms);
        self.judge_emptiness(now_ms);
    }

    fn complete_chains(&mut self, now_ms: u64) {
        // A pull brings turns by id, often before their ancestors: those it may still bring are not looked for.
        if self.index.has_dangling() && !self.repair.is_pulling() {
            self.want_dangling(now_ms);
        }
        while let Some(ask) = self.completions.next_ask() {
            let request = StoreRequest::Fetch { ids: vec![ask.id.clone()], with_ancestors: true };
            self.ask(ask.store, AskPurpose::Want { id: ask.id }, request, now_ms);
        }
        while let Some(parked) = self.completions.next_given_up(now_ms) {
            for put in parked {
                self.reply(put.caller, StoreReply::Refused(Refusal::Incomplete));
            }
        }
    }

    fn want_dangling(&mut self, now_ms: u64) {
        let sources: Vec<String> =
            peers(&self.stores, &self.settings.name).map(|peer| peer.name.clone()).collect();
        if sources.is_empty() {
            return;
        }
        for id in self.index.dangling() {
            self.completions.want(id, &sources, now_ms);
        }
    }

    fn pull(&mut self, now_ms: u64) {
        while let Some(ask) = self.repair.next_ask(&self.index, now_ms) {
            let purpose = AskPurpose::Pull { pass: self.repair.pass() };
            match ask {
                PullAsk::List { peer, after } => {
                    let request = StoreRequest::List {
                        home: self.settings.name.clone(),
                        candidates: self.candidates.clone(),
                        copies: self.settings.copies,
                        after,
                    };
                    self.ask(peer, purpose, request, now_ms);
                }
                PullAsk::Fetch { peer, ids } => {
                    let request = StoreRequest::Fetch { ids, with_ancestors: false };
                    self.ask(peer, purpose, request, now_ms);
                }
            }
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        let stores = &self.stores;
        let present =
            |name: &str| stores.iter().any(|store| store.name == name && store.present && !store.retired);
        let placement = Placement { candidates: &self.candidates, copies: self.settings.copies };
        let Some(step) = self.deliveries.next_step(&self.index, placement, present, now_ms) else {
            return;
        };
        let serial = self.deliveries.serial();
        match step {
            DeliveryStep::Offer { peer, ids } => {
                self.ask(peer, AskPurpose::Delivery { serial }, StoreRequest::Offer { ids }, now_ms);
            }
            DeliveryStep::Read { ids } => self.work(JobPurpose::Delivery { serial }, DiskWork::Get(ids)),
        }
    }

    fn enter_wholeness(&mut self, wholeness: Wholeness) {
        self.wholeness = wholeness;
    }

    fn judge_wholeness(&mut self, now_ms: u64) {
        if self.wholeness == Wholeness::Joining && self.is_introduced() {
            self.enter_wholeness(Wholeness::Filling);
        }
        if self.wholeness != Wholeness::Filling || !self.is_filled() {
            return;
        }
        if now_ms >= self.settled_at_ms && self.repair.began_at_ms() < self.settled_at_ms {
            self.pull_from_all(now_ms);
            self.pull(now_ms);
        }
        // With no other store present the pass has ended as it began.
        if self.repair.began_at_ms() >= self.settled_at_ms && self.is_filled() {
            self.enter_wholeness(Wholeness::Marking);
            self.work(JobPurpose::MarkWhole, DiskWork::MarkWhole);
        }
    }

    /// Everything that the others had for this store is here.
    fn is_filled(&self) -> bool {
        self.repair.is_done() && self.completions.is_idle()
    }

    /// Every present store has heard of this one. Against readers with an old list: without it they could call
    /// a turn unknown that only stores lie on that they have never heard of.
    fn is_introduced(&self) -> bool {
        let listed = self.entry().is_some();
        listed
            && self.registered
            && peers(&self.stores, &self.settings.name).all(|peer| self.introduced_to.contains(&peer.name))
    }

    fn judge_emptiness(&mut self, now_ms: u64) {
        let Service::Emptying { round } = self.service else {
            return;
        };
        let settled = self.commits.is_idle() && self.completions.is_idle();
        if settled && self.deliveries.is_emptied() && self.homes_are_sound() {
            self.enter_service(Service::Emptied { round }, now_ms);
        }
    }

    /// All stores that turns are placed on are present and whole.
    fn homes_are_sound(&self) -> bool {
        let sound =
            |home: &Candidate| self.stores.iter().any(|store| store.name == home.name && store.is_sound());
        self.candidates.iter().all(sound) || !self.guards.homes_present_and_whole
    }
}

/// The other stores that are present.
fn peers<'a>(stores: &'a [Store], own: &'a str) -> impl Iterator<Item = &'a Store> + 'a {
    stores.iter().filter(move |store| store.name != own && store.present && !store.retired)
}

/// Whether turns are placed otherwise under the new list, or a disk was lost.
fn places_differ(before: &[Store], after: &[Store]) -> bool {
    let places = |stores: &[Store]| {
        let listed = stores.iter().filter(|store| !store.retired);
        let mut places: Vec<(String, String, u64, bool)> = listed
            .map(|store| (store.name.clone(), store.zone.clone(), store.disk, store.retiring))
            .collect();
        places.sort_unstable();
        places
    };
    places(before) != places(after)
}
