//! One store machine as a state machine: requests, the list of stores, answers of other stores, completions of
//! the disk and the time go in; [`Effect`]s come out. The process around it owns sockets, disk and clock.
//!
//! After every call take all effects with [`StoreNode::poll`], and call [`StoreNode::tick`] when
//! [`StoreNode::next_due`] says so. Disk work is to be done in the order in which it comes.

mod commits;
mod deliveries;
mod interface;
mod list;
mod pulls;
mod requests;
mod service;
mod wholeness;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::commit::CommitQueue;
use crate::complete::Completions;
use crate::guards::Guards;
use crate::handoff::Deliveries;
use crate::index::Index;
use crate::message::{StoreReply, StoreRequest};
use crate::repair::Repair;
use crate::roster::{Candidate, Store};
use crate::write::WRITE_DEADLINE_MS;
pub use interface::{
    AskId, CallerId, Declaration, DiskOutcome, DiskState, DiskWork, Effect, JobId, Settings,
};
use list::{peers, places_differ};
use service::Service;
use wholeness::Wholeness;

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
    Chain {
        caller: CallerId,
        bytes: u64,
        missing: Option<String>,
        more: bool,
    },
    Fetch {
        caller: CallerId,
        bytes: u64,
    },
    Delivery {
        serial: u64,
    },
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
        let wholeness = if disk.fresh {
            Wholeness::Joining
        } else {
            Wholeness::Whole
        };
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
        self.guests
            .retain(|guest| !stores.iter().any(|store| store.name == *guest));
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
            StoreRequest::List {
                home,
                candidates,
                copies,
                after,
            } => {
                self.meet(&home);
                let page =
                    self.index
                        .missing_at(&home, &candidates, copies, after.as_deref(), now_ms);
                self.reply(
                    caller,
                    StoreReply::Listed {
                        turns: page.turns,
                        next: page.next,
                    },
                );
            }
            StoreRequest::Fetch {
                ids,
                with_ancestors,
            } => self.fetch(caller, &ids, with_ancestors, now_ms),
            StoreRequest::Offer { ids } => {
                let lacking = ids
                    .into_iter()
                    .filter(|id| !self.index.contains(id))
                    .collect();
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
            JobPurpose::Chain {
                caller,
                bytes,
                missing,
                more,
            } => {
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
        let placed = |name: &str| {
            self.candidates
                .iter()
                .any(|candidate| candidate.name == name)
        };
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

/// What follows from each change.
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

    fn ask(&mut self, store: String, purpose: AskPurpose, request: StoreRequest, now_ms: u64) {
        let ask = self.number();
        let give_up_at_ms = now_ms.saturating_add(ASK_TIMEOUT_MS);
        self.asks.insert(
            ask,
            OpenAsk {
                purpose,
                store: store.clone(),
                give_up_at_ms,
            },
        );
        self.effects.push_back(Effect::Ask {
            ask,
            store,
            request,
        });
    }

    fn end_late_asks(&mut self, now_ms: u64) {
        let late: Vec<AskId> = self
            .asks
            .iter()
            .filter(|(_, open)| open.give_up_at_ms <= now_ms)
            .map(|(ask, _)| *ask)
            .collect();
        for ask in late {
            self.peer_answered(ask, None, now_ms);
        }
    }

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
}
