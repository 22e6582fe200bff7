//! A store node with a simulated disk, to which the test sends the replies of other stores.

use std::collections::BTreeMap;

use dunespur_turn_replication::ids::{CallerId, JobId, PeerRequestId};
use dunespur_turn_replication::membership::StoreEntry;
use dunespur_turn_replication::message::{StoreReply, StoreRequest};
use dunespur_turn_replication::node::{
    Declaration, DiskOutcome, DiskState, DiskWork, Effect, StoreNode, StoreSettings,
};
use dunespur_turn_replication::safeguards::Safeguards;
use dunespur_turn_replication::turn::{RetainedTurn, Turn};

use super::{stores, turn};

/// Time by the wall clock at the start, in milliseconds.
const WALL_MS: u64 = 1_000_000;
/// Retention of the turns in these tests, in milliseconds.
pub const RETENTION_MS: u64 = 20_000;

/// A request that the node sends to another store.
#[derive(Debug)]
pub struct OutgoingRequest {
    pub request_id: PeerRequestId,
    pub store: String,
    pub request: StoreRequest,
}

/// A store node and its disk; disk jobs are done only when the test runs them.
pub struct Harness {
    pub node: StoreNode,
    pub disk: BTreeMap<String, Turn>,
    pub jobs: Vec<(JobId, DiskWork)>,
    pub replies: BTreeMap<CallerId, StoreReply>,
    pub outgoing: Vec<OutgoingRequest>,
    pub declared: Vec<Declaration>,
    pub now_ms: u64,
    pub last_caller: u64,
}

impl Harness {
    /// A store with these turns on its disk; `fresh` means that the disk has never been complete.
    pub fn new(name: &str, fresh: bool, stored: &[Turn]) -> Self {
        Self::with_safeguards(name, fresh, stored, Safeguards::default())
    }

    /// Like [`Harness::new`], with the given safeguards.
    pub fn with_safeguards(
        name: &str,
        fresh: bool,
        stored: &[Turn],
        safeguards: Safeguards,
    ) -> Self {
        let settings = StoreSettings {
            name: name.to_owned(),
            incarnation: 1,
            replication_factor: 2,
            capacity_bytes: 1_000_000,
            capacity_turns: 1_000,
            absent_repair_ms: 1_000,
        };
        let disk = DiskState {
            disk: 1,
            fresh,
            headers: stored.iter().map(Turn::header).collect(),
        };
        let node = StoreNode::with_safeguards(settings, disk, WALL_MS, 0, safeguards);
        Harness {
            node,
            disk: stored
                .iter()
                .map(|turn| (turn.id.clone(), turn.clone()))
                .collect(),
            jobs: Vec::new(),
            replies: BTreeMap::new(),
            outgoing: Vec::new(),
            declared: Vec::new(),
            now_ms: 0,
            last_caller: 0,
        }
    }

    fn take_effects(&mut self) {
        while let Some(effect) = self.node.poll() {
            match effect {
                Effect::Reply { caller, reply } => {
                    assert_eq!(self.replies.insert(caller, reply), None)
                }
                Effect::SendRequest {
                    request_id,
                    store,
                    request,
                } => self.outgoing.push(OutgoingRequest {
                    request_id,
                    store,
                    request,
                }),
                Effect::Disk { job, work } => self.jobs.push((job, work)),
                Effect::Declare(declaration) => self.declared.push(declaration),
            }
        }
    }

    /// The core publishes a membership.
    pub fn change_membership(&mut self, stores: &[StoreEntry]) {
        self.node.membership_changed(stores.to_vec(), self.now_ms);
        self.take_effects();
    }

    /// Sends a request; returns its caller.
    pub fn send(&mut self, request: StoreRequest) -> CallerId {
        self.last_caller += 1;
        let caller = CallerId(self.last_caller);
        self.node.request(caller, request, self.now_ms);
        self.take_effects();
        caller
    }

    /// Sends a put; returns its caller.
    pub fn put(&mut self, turn: &Turn, hint: Option<&str>) -> CallerId {
        self.send(StoreRequest::Put {
            turn: turn.clone(),
            hint: hint.map(str::to_owned),
        })
    }

    /// Sends a request, runs all disk jobs and returns the reply.
    pub fn call(&mut self, request: StoreRequest) -> StoreReply {
        let caller = self.send(request);
        self.run_disk_jobs();
        self.replies
            .remove(&caller)
            .expect("the node replies once all disk jobs are done")
    }

    /// Runs all disk jobs successfully.
    pub fn run_disk_jobs(&mut self) {
        while !self.jobs.is_empty() {
            self.run_next_disk_job(DiskOutcome::Done);
        }
    }

    /// Runs the first disk job. `outcome` is its result unless the job is a read.
    pub fn run_next_disk_job(&mut self, outcome: DiskOutcome) {
        let (job, work) = self.jobs.remove(0);
        let outcome = match work {
            DiskWork::Get(ids) => DiskOutcome::Turns(
                ids.iter()
                    .filter_map(|id| self.disk.get(id).cloned())
                    .collect(),
            ),
            DiskWork::Put(turns) if outcome == DiskOutcome::Done => {
                self.disk
                    .extend(turns.into_iter().map(|turn| (turn.id.clone(), turn)));
                outcome
            }
            DiskWork::Remove(ids) => {
                ids.iter().for_each(|id| drop(self.disk.remove(id)));
                outcome
            }
            _ => outcome,
        };
        self.node.disk_done(job, outcome, self.now_ms);
        self.take_effects();
    }

    /// Takes the oldest request in flight.
    pub fn next_request(&mut self) -> OutgoingRequest {
        self.outgoing.remove(0)
    }

    /// Another store replies to a request of the node.
    pub fn reply(&mut self, outgoing: &OutgoingRequest, reply: StoreReply) {
        self.node
            .peer_replied(outgoing.request_id, Some(reply), self.now_ms);
        self.take_effects();
    }

    /// Replies to all listing requests with empty pages, so that the pulls end.
    pub fn reply_to_listings(&mut self) {
        while let Some(position) = self
            .outgoing
            .iter()
            .position(|outgoing| matches!(outgoing.request, StoreRequest::List { .. }))
        {
            let outgoing = self.outgoing.remove(position);
            self.reply(
                &outgoing,
                StoreReply::Listed {
                    turns: Vec::new(),
                    next: None,
                },
            );
        }
    }

    /// Advances the time and calls the node.
    pub fn advance_to(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
        self.node.tick(now_ms);
        self.take_effects();
    }
}

/// A complete store in a membership of three present stores.
pub fn complete_store(stored: &[Turn]) -> Harness {
    complete_store_with(stored, Safeguards::default())
}

/// Like [`complete_store`], with the given safeguards.
pub fn complete_store_with(stored: &[Turn], safeguards: Safeguards) -> Harness {
    let mut harness = Harness::with_safeguards("storage-0", false, stored, safeguards);
    harness.change_membership(&stores(3));
    harness.reply_to_listings();
    harness
}

/// The turn with a remaining retention of 30 s.
pub fn retained(turn: &Turn) -> RetainedTurn {
    RetainedTurn {
        turn: turn.clone(),
        remaining_ms: 30_000,
    }
}

/// The reply that contains a complete chain.
pub fn found(turns: &[Turn]) -> StoreReply {
    StoreReply::Found {
        turns: turns.to_vec(),
        missing: None,
        has_more: false,
    }
}

/// The request for the chain that ends in a turn.
pub fn chain_of(id: &str) -> StoreRequest {
    StoreRequest::Chain { id: id.to_owned() }
}

/// A chain of three turns.
pub fn chain() -> Vec<Turn> {
    vec![turn("a", None), turn("b", Some("a")), turn("c", Some("b"))]
}
