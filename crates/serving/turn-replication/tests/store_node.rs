//! One store as a state machine: what it acknowledges, when it is complete, what it replies to readers, what it hands
//! over and what it requests.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use common::{ranked_stores, store, stores, turn, PROGRAM};
use dunespur_turn_replication::ids::{CallerId, JobId, PeerRequestId};
use dunespur_turn_replication::membership::StoreEntry;
use dunespur_turn_replication::message::{Rejection, StoreReply, StoreRequest};
use dunespur_turn_replication::node::{
    Declaration, DiskOutcome, DiskState, DiskWork, Effect, StoreNode, StoreSettings,
    BOOTSTRAP_GRACE_MS, EXPIRY_SWEEP_MS,
};
use dunespur_turn_replication::safeguards::{Safeguard, Safeguards};
use dunespur_turn_replication::turn::{RetainedTurn, Turn, RETENTION_MARGIN_MS};
use dunespur_turn_replication::write_coordinator::WRITE_DEADLINE_MS;

const WALL_MS: u64 = 1_000_000;
const RETENTION_MS: u64 = 20_000;

/// A request of the node to another store.
#[derive(Debug)]
struct OutgoingRequest {
    request_id: PeerRequestId,
    store: String,
    request: StoreRequest,
}

/// The node with a disk whose work is done when the test says so.
struct Harness {
    node: StoreNode,
    disk: BTreeMap<String, Turn>,
    jobs: Vec<(JobId, DiskWork)>,
    replies: BTreeMap<CallerId, StoreReply>,
    outgoing: Vec<OutgoingRequest>,
    declared: Vec<Declaration>,
    now_ms: u64,
    last_caller: u64,
}

impl Harness {
    fn new(name: &str, fresh: bool, stored: &[Turn]) -> Self {
        Self::with_safeguards(name, fresh, stored, Safeguards::default())
    }

    fn with_safeguards(name: &str, fresh: bool, stored: &[Turn], safeguards: Safeguards) -> Self {
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

    fn change_membership(&mut self, stores: &[StoreEntry]) {
        self.node.membership_changed(stores.to_vec(), self.now_ms);
        self.take_effects();
    }

    /// Sends a request; returns its caller.
    fn send(&mut self, request: StoreRequest) -> CallerId {
        self.last_caller += 1;
        let caller = CallerId(self.last_caller);
        self.node.request(caller, request, self.now_ms);
        self.take_effects();
        caller
    }

    fn put(&mut self, turn: &Turn, hint: Option<&str>) -> CallerId {
        self.send(StoreRequest::Put {
            turn: turn.clone(),
            hint: hint.map(str::to_owned),
        })
    }

    /// Sends a request that is replied to once the disk has done its work.
    fn call(&mut self, request: StoreRequest) -> StoreReply {
        let caller = self.send(request);
        self.work();
        self.replies.remove(&caller).expect("a reply")
    }

    /// Does all disk work.
    fn work(&mut self) {
        while !self.jobs.is_empty() {
            self.work_once(DiskOutcome::Done);
        }
    }

    /// Does the first piece of disk work; `outcome` of anything but reads.
    fn work_once(&mut self, outcome: DiskOutcome) {
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
    fn next_request(&mut self) -> OutgoingRequest {
        self.outgoing.remove(0)
    }

    fn reply(&mut self, outgoing: &OutgoingRequest, reply: StoreReply) {
        self.node
            .peer_replied(outgoing.request_id, Some(reply), self.now_ms);
        self.take_effects();
    }

    /// Replies to all listings with nothing, so that pulls end.
    fn reply_to_listings(&mut self) {
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

    fn at(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
        self.node.tick(now_ms);
        self.take_effects();
    }
}

/// A complete store of three that are all present.
fn complete_store(stored: &[Turn]) -> Harness {
    complete_store_with(stored, Safeguards::default())
}

fn complete_store_with(stored: &[Turn], safeguards: Safeguards) -> Harness {
    let mut harness = Harness::with_safeguards("storage-0", false, stored, safeguards);
    harness.change_membership(&stores(3));
    harness.reply_to_listings();
    harness
}

fn retained(turn: &Turn) -> RetainedTurn {
    RetainedTurn {
        turn: turn.clone(),
        remaining_ms: 30_000,
    }
}

fn found(turns: &[Turn]) -> StoreReply {
    StoreReply::Found {
        turns: turns.to_vec(),
        missing: None,
        has_more: false,
    }
}

fn chain_of(id: &str) -> StoreRequest {
    StoreRequest::Chain { id: id.to_owned() }
}

fn chain() -> Vec<Turn> {
    vec![turn("a", None), turn("b", Some("a")), turn("c", Some("b"))]
}

#[test]
fn a_put_is_acknowledged_when_the_disk_has_it_and_not_before() {
    let mut harness = complete_store(&[]);
    let caller = harness.put(&turn("a", None), None);
    assert!(!harness.replies.contains_key(&caller));
    harness.work();
    assert_eq!(harness.replies[&caller], StoreReply::Stored);
    assert_eq!(harness.call(chain_of("a")), found(&[turn("a", None)]));
}

#[test]
fn puts_that_come_during_a_commit_share_the_next() {
    let mut harness = complete_store(&[]);
    let callers: Vec<CallerId> = ["a", "b", "c"]
        .map(|id| harness.put(&turn(id, None), None))
        .to_vec();
    assert_eq!(harness.jobs.len(), 1);
    harness.work_once(DiskOutcome::Done);
    assert!(
        matches!(&harness.jobs[..], [(_, DiskWork::Put(turns))] if turns.len() == 2),
        "{:?}",
        harness.jobs
    );
    harness.work();
    assert!(callers
        .iter()
        .all(|caller| harness.replies[caller] == StoreReply::Stored));
}

#[test]
fn a_put_whose_commit_fails_is_rejected() {
    let mut harness = complete_store(&[]);
    let caller = harness.put(&turn("a", None), None);
    harness.work_once(DiskOutcome::Failed);
    assert_eq!(
        harness.replies[&caller],
        StoreReply::Rejected(Rejection::Disk)
    );
    assert!(matches!(
        harness.call(chain_of("a")),
        StoreReply::Unknown { .. }
    ));
    assert_eq!(
        harness.call(StoreRequest::Put {
            turn: turn("a", None),
            hint: None
        }),
        StoreReply::Stored
    );
}

#[test]
fn a_repeated_put_is_acknowledged_and_another_turn_with_its_id_is_not() {
    let mut harness = complete_store(&[turn("a", None)]);
    assert_eq!(
        harness.call(StoreRequest::Put {
            turn: turn("a", None),
            hint: None
        }),
        StoreReply::Stored
    );
    let mut other = turn("a", None);
    other.input = Bytes::from_static(b"something else");
    let reply = harness.call(StoreRequest::Put {
        turn: other,
        hint: None,
    });
    assert_eq!(reply, StoreReply::Rejected(Rejection::Conflict));
}

#[test]
fn a_turn_is_acknowledged_only_with_its_complete_chain() {
    let turns = chain();
    let mut harness = complete_store(&[]);
    let caller = harness.put(&turns[2], None);
    harness.work();
    assert!(
        !harness.replies.contains_key(&caller),
        "acknowledged without its chain"
    );
    let outgoing = harness.next_request();
    let wanted = StoreRequest::Fetch {
        ids: vec!["b".to_owned()],
        with_ancestors: true,
    };
    assert_eq!(outgoing.request, wanted);
    harness.reply(
        &outgoing,
        StoreReply::Fetched {
            turns: vec![retained(&turns[1]), retained(&turns[0])],
        },
    );
    harness.work();
    assert_eq!(harness.replies[&caller], StoreReply::Stored);
    assert_eq!(harness.call(chain_of("c")), found(&turns));
}

#[test]
fn a_turn_whose_chain_nobody_has_is_rejected() {
    let mut harness = complete_store(&[]);
    let caller = harness.put(&turn("c", Some("b")), None);
    for _ in 0..2 {
        let outgoing = harness.next_request();
        harness.reply(&outgoing, StoreReply::Fetched { turns: Vec::new() });
    }
    assert_eq!(
        harness.replies[&caller],
        StoreReply::Rejected(Rejection::Incomplete)
    );
    assert!(harness.outgoing.is_empty());
}

#[test]
fn a_chain_that_is_on_its_way_to_the_disk_is_waited_for() {
    let mut harness = complete_store(&[]);
    let turns = chain();
    let callers: Vec<CallerId> = turns.iter().map(|turn| harness.put(turn, None)).collect();
    assert!(harness.outgoing.is_empty(), "{:?}", harness.outgoing);
    harness.work();
    assert!(callers
        .iter()
        .all(|caller| harness.replies[caller] == StoreReply::Stored));
}

#[test]
fn a_full_store_rejects_with_that_reason() {
    let mut harness = complete_store(&[]);
    let mut large = turn("a", None);
    large.input = Bytes::from(vec![0; 1_000_000]);
    let reply = harness.call(StoreRequest::Put {
        turn: large,
        hint: None,
    });
    assert_eq!(reply, StoreReply::Rejected(Rejection::Full));
}

#[test]
fn a_new_disk_is_complete_after_a_pass_that_began_when_old_writers_had_ended() {
    let mut harness = Harness::new("storage-0", true, &[]);
    harness.change_membership(&stores(3));
    harness.reply_to_listings();
    harness.work();
    assert!(matches!(
        harness.call(chain_of("a")),
        StoreReply::Unknown {
            complete: false,
            ..
        }
    ));
    harness.at(WRITE_DEADLINE_MS);
    assert!(harness.outgoing.is_empty() && harness.declared.is_empty());
    assert_eq!(harness.node.next_due(), BOOTSTRAP_GRACE_MS);
    harness.at(BOOTSTRAP_GRACE_MS);
    assert_eq!(harness.outgoing.len(), 1, "the second pass");
    harness.reply_to_listings();
    assert!(
        harness.declared.is_empty(),
        "declared before the disk has recorded it"
    );
    assert!(matches!(&harness.jobs[..], [(_, DiskWork::MarkComplete)]));
    harness.work();
    assert_eq!(harness.declared, [Declaration::Complete]);
    assert!(matches!(
        harness.call(chain_of("a")),
        StoreReply::Unknown { complete: true, .. }
    ));
}

#[test]
fn a_new_disk_with_no_other_store_is_complete_when_old_writers_have_ended() {
    let mut harness = Harness::new("storage-0", true, &[]);
    harness.change_membership(&stores(1));
    assert_eq!(harness.node.next_due(), BOOTSTRAP_GRACE_MS);
    harness.at(BOOTSTRAP_GRACE_MS);
    assert!(
        harness.node.next_due() > BOOTSTRAP_GRACE_MS,
        "it wants to be called at once again"
    );
    harness.work();
    assert_eq!(harness.declared, [Declaration::Complete]);
}

#[test]
fn a_new_disk_fetches_what_it_should_hold_before_it_is_complete() {
    let turns = chain();
    let mut harness = Harness::new("storage-0", true, &[]);
    harness.change_membership(&stores(2));
    let listed = |turn: &Turn| dunespur_turn_replication::message::ListedTurn {
        id: turn.id.clone(),
        size: turn.size(),
    };
    let outgoing = harness.next_request();
    let page = StoreReply::Listed {
        turns: turns.iter().map(listed).collect(),
        next: None,
    };
    harness.reply(&outgoing, page.clone());
    let outgoing = harness.next_request();
    let ids: Vec<String> = turns.iter().map(|turn| turn.id.clone()).collect();
    assert_eq!(
        outgoing.request,
        StoreRequest::Fetch {
            ids,
            with_ancestors: false
        }
    );
    harness.reply(
        &outgoing,
        StoreReply::Fetched {
            turns: turns.iter().map(retained).collect(),
        },
    );
    harness.work();
    assert!(!harness.node.is_complete());
    harness.at(BOOTSTRAP_GRACE_MS);
    // Everything is here now: the second pass fetches nothing.
    while let Some(outgoing) = harness.outgoing.pop() {
        assert!(
            matches!(outgoing.request, StoreRequest::List { .. }),
            "{outgoing:?}"
        );
        harness.reply(&outgoing, page.clone());
        harness.work();
    }
    assert!(harness.node.is_complete());
    assert_eq!(harness.call(chain_of("c")), found(&turns));
}

#[test]
fn a_new_store_accepts_turns_only_once_all_present_stores_know_of_it() {
    let mut harness = Harness::new("storage-0", true, &[]);
    let put = || StoreRequest::Put {
        turn: turn("a", None),
        hint: None,
    };
    assert_eq!(
        harness.call(put()),
        StoreReply::Rejected(Rejection::Joining),
        "it has no membership"
    );
    let mut stores = stores(4);
    stores[3].present = false;
    harness.change_membership(&stores);
    let outgoing = harness.next_request();
    harness.reply(
        &outgoing,
        StoreReply::Listed {
            turns: Vec::new(),
            next: None,
        },
    );
    assert_eq!(
        harness.call(put()),
        StoreReply::Rejected(Rejection::Joining),
        "one store does not know of it"
    );
    harness.reply_to_listings();
    assert_eq!(harness.call(put()), StoreReply::Stored);
}

#[test]
fn a_store_names_unlisted_stores_that_have_asked_it() {
    let mut harness = complete_store(&[]);
    let listing = StoreRequest::List {
        replica: "storage-new".to_owned(),
        candidates: Vec::new(),
        replication_factor: 2,
        after: None,
    };
    harness.call(listing);
    let StoreReply::Unknown { known_stores, .. } = harness.call(chain_of("z")) else {
        panic!("a turn that never was");
    };
    assert_eq!(
        known_stores,
        ["storage-0", "storage-1", "storage-2", "storage-new"]
    );
    let mut stores = stores(3);
    stores.push(store("storage-new", "zone-new"));
    harness.change_membership(&stores);
    stores.pop();
    harness.change_membership(&stores);
    let StoreReply::Unknown { known_stores, .. } = harness.call(chain_of("z")) else {
        panic!("a turn that never was");
    };
    assert_eq!(
        known_stores,
        ["storage-0", "storage-1", "storage-2"],
        "the membership is newer by now"
    );
}

#[test]
fn a_store_pulls_from_all_when_another_has_lost_its_disk() {
    let mut harness = complete_store(&[]);
    let mut stores = stores(3);
    stores[1].complete = false;
    harness.change_membership(&stores);
    assert!(
        harness.outgoing.is_empty(),
        "only whether it is complete has changed"
    );
    stores[1].disk = 2;
    harness.change_membership(&stores);
    let outgoing = harness.next_request();
    assert!(matches!(outgoing.request, StoreRequest::List { .. }));
}

#[test]
fn a_store_pulls_from_one_that_has_returned() {
    let mut harness = complete_store(&[]);
    let mut stores = stores(3);
    stores[2].present = false;
    harness.change_membership(&stores);
    assert!(harness.outgoing.is_empty());
    stores[2].present = true;
    harness.change_membership(&stores);
    let outgoing = harness.next_request();
    assert_eq!(
        (outgoing.store.as_str(), harness.outgoing.len()),
        ("storage-2", 0)
    );
}

#[test]
fn a_store_that_stays_absent_is_replaced() {
    let mut harness = complete_store(&[]);
    let mut stores = stores(3);
    stores[2].present = false;
    harness.change_membership(&stores);
    assert_eq!(harness.node.next_due(), 1_000);
    harness.at(999);
    assert!(harness.outgoing.is_empty());
    harness.at(1_000);
    let StoreRequest::List { candidates, .. } = harness.next_request().request else {
        panic!("a listing is requested");
    };
    assert_eq!(candidates.len(), 2);
}

#[test]
fn a_hinted_turn_is_handed_to_a_replica_that_lacks_it() {
    let mut harness = complete_store(&[]);
    let hinted = turn("a", None);
    harness.put(&hinted, Some("storage-1"));
    harness.work();
    let due_ms = harness.node.next_due();
    harness.at(due_ms);
    let outgoing = harness.next_request();
    assert_eq!(outgoing.store, "storage-1");
    assert_eq!(
        outgoing.request,
        StoreRequest::Offer {
            ids: vec!["a".to_owned()]
        }
    );
    harness.reply(
        &outgoing,
        StoreReply::Missing {
            ids: vec!["a".to_owned()],
        },
    );
    harness.work();
    let outgoing = harness.next_request();
    let StoreRequest::Handoff { turns } = &outgoing.request else {
        panic!("{outgoing:?}");
    };
    assert_eq!(
        turns.iter().map(|stored| &stored.turn).collect::<Vec<_>>(),
        [&hinted]
    );
    harness.reply(&outgoing, StoreReply::Stored);
    harness.at(EXPIRY_SWEEP_MS * 2);
    assert!(
        harness.outgoing.is_empty(),
        "handed over once: {:?}",
        harness.outgoing
    );
}

#[test]
fn a_hint_waits_for_its_replica() {
    let mut harness = complete_store(&[]);
    let mut stores = stores(3);
    stores[1].present = false;
    harness.change_membership(&stores);
    harness.put(&turn("a", None), Some("storage-1"));
    harness.work();
    harness.at(20_000);
    harness.reply_to_listings();
    assert!(harness.outgoing.is_empty());
    stores[1].present = true;
    harness.change_membership(&stores);
    let offered =
        |outgoing: &OutgoingRequest| matches!(outgoing.request, StoreRequest::Offer { .. });
    assert!(harness.outgoing.iter().any(offered));
}

#[test]
fn a_turn_that_is_read_is_retained_for_its_continuation() {
    let mut harness = complete_store(&[]);
    harness.put(&turn("a", None), None);
    harness.work();
    let late_ms = RETENTION_MS + RETENTION_MARGIN_MS - 1;
    harness.at(late_ms);
    assert_eq!(harness.call(chain_of("a")), found(&[turn("a", None)]));
    harness.at(late_ms + 29_000);
    harness.work();
    assert_eq!(
        harness.call(StoreRequest::Put {
            turn: turn("b", Some("a")),
            hint: None
        }),
        StoreReply::Stored
    );
}

#[test]
fn a_turn_is_found_for_seconds_beyond_its_retention() {
    // The store counts from the put, the client from the end of the answer, and the request takes its time.
    let seconds_ms = 10_000;
    let mut harness = complete_store(&[]);
    harness.put(&turn("a", None), None);
    harness.work();
    harness.at(RETENTION_MS + seconds_ms);
    assert_eq!(harness.call(chain_of("a")), found(&[turn("a", None)]));
}

#[test]
fn expired_turns_are_deleted_from_the_disk() {
    let mut harness = complete_store(&[]);
    harness.put(&turn("a", None), None);
    harness.work();
    harness.at(RETENTION_MS + RETENTION_MARGIN_MS - 1);
    harness.work();
    assert_eq!(harness.disk.len(), 1);
    harness.at(RETENTION_MS + RETENTION_MARGIN_MS + EXPIRY_SWEEP_MS);
    harness.work();
    assert!(harness.disk.is_empty());
    assert!(matches!(
        harness.call(chain_of("a")),
        StoreReply::Unknown { complete: true, .. }
    ));
}

/// A membership in which the first store drains, and the two stores that are then the replicas.
fn draining() -> (Vec<StoreEntry>, Vec<String>) {
    let mut stores = stores(4);
    stores[0].retiring = true;
    let replicas = ranked_stores(PROGRAM, &stores)[..2].to_vec();
    (stores, replicas)
}

#[test]
fn a_store_is_drained_when_all_new_replicas_have_acknowledged_all_it_holds() {
    let turns = chain();
    let mut harness = complete_store(&turns);
    let (stores, replicas) = draining();
    harness.change_membership(&stores);
    harness.reply_to_listings();
    let mut transferred: BTreeMap<String, usize> = BTreeMap::new();
    harness.at(harness.now_ms + 1_000);
    while !harness.outgoing.is_empty() {
        assert!(harness.declared.is_empty(), "before all have acknowledged");
        let outgoing = harness.next_request();
        let reply = match &outgoing.request {
            StoreRequest::Offer { ids } => StoreReply::Missing { ids: ids.clone() },
            StoreRequest::Handoff { turns } => {
                *transferred.entry(outgoing.store.clone()).or_default() += turns.len();
                StoreReply::Stored
            }
            other => panic!("{other:?}"),
        };
        harness.reply(&outgoing, reply);
        harness.work();
    }
    assert_eq!(harness.declared, [Declaration::Drained { epoch: 0 }]);
    assert_eq!(transferred.keys().collect::<Vec<_>>(), {
        let mut sorted: Vec<&String> = replicas.iter().collect();
        sorted.sort();
        sorted
    });
    assert!(transferred.values().all(|count| *count == turns.len()));
    let rejected = harness.call(StoreRequest::Put {
        turn: turn("d", None),
        hint: None,
    });
    assert_eq!(rejected, StoreReply::Rejected(Rejection::Retiring));
}

/// Replies to all requests as replicas that hold nothing; returns the ids that each was handed.
fn drain_into_replicas(harness: &mut Harness) -> BTreeMap<String, BTreeSet<String>> {
    let mut transferred: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    while !harness.outgoing.is_empty() {
        let outgoing = harness.next_request();
        let reply = match &outgoing.request {
            StoreRequest::Offer { ids } => StoreReply::Missing { ids: ids.clone() },
            StoreRequest::Handoff { turns } => {
                let ids = turns.iter().map(|stored| stored.turn.id.clone());
                transferred
                    .entry(outgoing.store.clone())
                    .or_default()
                    .extend(ids);
                StoreReply::Stored
            }
            StoreRequest::List { .. } => StoreReply::Listed {
                turns: Vec::new(),
                next: None,
            },
            other => panic!("{other:?}"),
        };
        harness.reply(&outgoing, reply);
        harness.work();
    }
    transferred
}

#[test]
fn a_draining_store_accepts_turns_and_is_not_drained_before_they_are_elsewhere() {
    let mut harness = complete_store(&chain());
    let (stores, replicas) = draining();
    harness.change_membership(&stores);
    harness.reply_to_listings();
    assert_eq!(
        harness.call(StoreRequest::Put {
            turn: turn("d", None),
            hint: None
        }),
        StoreReply::Stored
    );
    harness.at(400);
    drain_into_replicas(&mut harness);
    assert_eq!(
        harness.call(StoreRequest::Put {
            turn: turn("e", None),
            hint: None
        }),
        StoreReply::Stored
    );
    assert!(
        harness.declared.is_empty(),
        "the last turn came after the replicas had all that was there before"
    );
    harness.at(3_000);
    let transferred = drain_into_replicas(&mut harness);
    assert_eq!(harness.declared, [Declaration::Drained { epoch: 0 }]);
    for replica in replicas {
        assert!(
            transferred[&replica].contains("e"),
            "{replica}: {transferred:?}"
        );
    }
}

#[test]
fn a_drained_store_accepts_turns_again_only_in_another_epoch() {
    let mut harness = complete_store(&chain());
    let (mut stores, _) = draining();
    stores[0].epoch = 7;
    harness.change_membership(&stores);
    harness.at(1_000);
    drain_into_replicas(&mut harness);
    assert_eq!(harness.declared, [Declaration::Drained { epoch: 7 }]);
    assert_eq!(harness.node.drained_in_epoch(), Some(7));
    harness.change_membership(&stores);
    assert_eq!(
        harness.node.drained_in_epoch(),
        Some(7),
        "nothing has changed"
    );
    let put = StoreRequest::Put {
        turn: turn("d", None),
        hint: None,
    };
    assert_eq!(
        harness.call(put.clone()),
        StoreReply::Rejected(Rejection::Retiring)
    );
    stores[0].epoch = 8;
    stores[1].disk = 9;
    harness.change_membership(&stores);
    assert_eq!(
        harness.node.drained_in_epoch(),
        None,
        "what it has declared is void"
    );
    assert_eq!(harness.call(put), StoreReply::Stored);
    harness.at(3_000);
    let transferred = drain_into_replicas(&mut harness);
    assert_eq!(
        harness.declared.last(),
        Some(&Declaration::Drained { epoch: 8 })
    );
    assert!(
        transferred.values().all(|ids| ids.len() == 4),
        "all is offered anew: {transferred:?}"
    );
}

/// Whether a store declares that it is drained though `change` was made to one of its replicas.
fn is_drained_beside(change: fn(&mut StoreEntry), safeguards: Safeguards) -> bool {
    let mut harness = complete_store_with(&chain(), safeguards);
    let (mut stores, replicas) = draining();
    let replica = stores
        .iter()
        .position(|store| store.name == replicas[1])
        .unwrap();
    change(&mut stores[replica]);
    harness.change_membership(&stores);
    harness.at(400);
    drain_into_replicas(&mut harness);
    let emptied = !harness.declared.is_empty();
    stores[replica] = StoreEntry {
        present: true,
        complete: true,
        ..stores[replica].clone()
    };
    harness.change_membership(&stores);
    harness.at(2_000);
    drain_into_replicas(&mut harness);
    assert_eq!(harness.declared.len(), 1, "at last it is");
    emptied
}

#[test]
fn a_store_is_not_drained_while_a_replica_is_absent_or_incomplete() {
    let changes: [fn(&mut StoreEntry); 2] = [
        |replica| replica.present = false,
        |replica| replica.complete = false,
    ];
    for change in changes {
        assert!(!is_drained_beside(change, Safeguards::default()));
        let without = Safeguards::without(Safeguard::ReplicasPresentAndComplete);
        assert!(is_drained_beside(change, without), "the counterexample");
    }
}

#[test]
fn a_declaration_is_void_in_another_epoch() {
    let still_says_so = |safeguards| {
        let mut harness = complete_store_with(&chain(), safeguards);
        let (mut stores, replicas) = draining();
        harness.change_membership(&stores);
        harness.at(1_000);
        drain_into_replicas(&mut harness);
        stores[0].epoch = 1;
        // A replica has lost its disk after it acknowledged.
        stores
            .iter_mut()
            .find(|store| store.name == replicas[0])
            .unwrap()
            .disk = 9;
        harness.change_membership(&stores);
        harness.node.drained_in_epoch().is_some()
    };
    assert!(!still_says_so(Safeguards::default()));
    assert!(
        still_says_so(Safeguards::without(Safeguard::EpochsChecked)),
        "the counterexample"
    );
}

/// A store declares that it is drained and starts again; the core gets the declaration before it registers the new
/// incarnation. Whether a turn that the new incarnation has acknowledged is taken away with the machine.
fn late_declaration_loses_a_turn(safeguards: Safeguards) -> bool {
    let (mut stores, _) = draining();
    let mut new_incarnation = Harness::with_safeguards("storage-0", false, &chain(), safeguards);
    stores[0].incarnation = 0;
    new_incarnation.change_membership(&stores);
    let acknowledged = new_incarnation.call(StoreRequest::Put {
        turn: turn("d", None),
        hint: None,
    }) == StoreReply::Stored;
    // The core knows only the earlier incarnation, and agrees to what that one declared.
    stores[0] = StoreEntry {
        retiring: false,
        retired: true,
        ..stores[0].clone()
    };
    new_incarnation.change_membership(&stores);
    acknowledged && new_incarnation.node.is_drained()
}

#[test]
fn a_late_declaration_of_an_earlier_incarnation_loses_nothing() {
    assert!(!late_declaration_loses_a_turn(Safeguards::default()));
    let without = Safeguards::without(Safeguard::IncarnationRegistered);
    assert!(late_declaration_loses_a_turn(without), "the counterexample");
}

#[test]
fn turns_are_accepted_only_in_a_registered_incarnation() {
    let mut harness = Harness::new("storage-0", false, &[]);
    let put = StoreRequest::Put {
        turn: turn("d", None),
        hint: None,
    };
    assert_eq!(
        harness.call(put.clone()),
        StoreReply::Rejected(Rejection::Joining),
        "before the first membership"
    );
    let mut stores = stores(3);
    stores[0].incarnation = 0;
    harness.change_membership(&stores);
    assert_eq!(
        harness.call(put.clone()),
        StoreReply::Rejected(Rejection::Joining),
        "an earlier incarnation"
    );
    stores[0].incarnation = 1;
    stores[0].disk = 9;
    harness.change_membership(&stores);
    assert_eq!(
        harness.call(put.clone()),
        StoreReply::Rejected(Rejection::Joining),
        "another disk"
    );
    stores[0].disk = 1;
    harness.change_membership(&stores);
    assert_eq!(harness.call(put), StoreReply::Stored);
}

#[test]
fn a_replica_that_rejects_a_handoff_is_asked_again() {
    let mut harness = complete_store(&chain());
    let (stores, _) = draining();
    harness.change_membership(&stores);
    harness.reply_to_listings();
    harness.at(1_000);
    let outgoing = harness.next_request();
    let StoreRequest::Offer { ids } = &outgoing.request else {
        panic!("{outgoing:?}");
    };
    harness.reply(&outgoing, StoreReply::Missing { ids: ids.clone() });
    harness.work();
    let handoff = harness.next_request();
    harness.reply(&handoff, StoreReply::Rejected(Rejection::Disk));
    for _ in 0..20 {
        harness.at(harness.node.next_due());
        harness.work();
        harness
            .outgoing
            .retain(|outgoing| outgoing.store != handoff.store);
        while let Some(outgoing) = harness.outgoing.pop() {
            harness.reply(&outgoing, StoreReply::Missing { ids: Vec::new() });
        }
    }
    assert!(harness.declared.is_empty());
}

#[test]
fn a_new_replica_that_loses_its_disk_is_offered_everything_again() {
    let mut harness = complete_store(&chain());
    let (mut stores, _) = draining();
    harness.change_membership(&stores);
    harness.reply_to_listings();
    harness.at(1_000);
    let first = harness.next_request();
    stores
        .iter_mut()
        .find(|store| store.name == first.store)
        .unwrap()
        .disk = 9;
    harness.change_membership(&stores);
    harness.reply(&first, StoreReply::Missing { ids: Vec::new() });
    harness.reply_to_listings();
    harness.at(2_000);
    let offered_again = harness
        .outgoing
        .iter()
        .any(|outgoing| outgoing.store == first.store);
    assert!(offered_again, "{:?}", harness.outgoing);
    assert!(harness.declared.is_empty());
}

#[test]
fn with_too_few_others_nothing_is_declared() {
    let mut harness = complete_store(&chain());
    let mut stores = stores(2);
    stores[0].retiring = true;
    harness.change_membership(&stores);
    harness.reply_to_listings();
    for now_ms in (1_000..20_000).step_by(500) {
        harness.at(now_ms);
        harness.work();
        while let Some(outgoing) = harness.outgoing.pop() {
            harness.reply(&outgoing, StoreReply::Missing { ids: Vec::new() });
        }
    }
    assert!(harness.declared.is_empty());
}
