//! One store as a state machine: what it acknowledges, when it is whole, what it says to readers, what it hands
//! over and what it asks for.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use common::{order, store, stores, turn, PROGRAM};
use dunespur_turn_replication::guards::Guards;
use dunespur_turn_replication::message::{Refusal, StoreReply, StoreRequest};
use dunespur_turn_replication::node::{
    Declaration, DiskOutcome, DiskState, DiskWork, Effect, Settings, StoreNode, EXPIRY_SWEEP_MS,
    SETTLE_MS,
};
use dunespur_turn_replication::roster::Store;
use dunespur_turn_replication::turn::{HeldTurn, Turn, RETENTION_MARGIN_MS};
use dunespur_turn_replication::write::WRITE_DEADLINE_MS;

const WALL_MS: u64 = 1_000_000;
const RETENTION_MS: u64 = 20_000;

/// A question of the node to another store.
#[derive(Debug)]
struct Asked {
    ask: u64,
    store: String,
    request: StoreRequest,
}

/// The node with a disk whose work is done when the test says so.
struct Bench {
    node: StoreNode,
    disk: BTreeMap<String, Turn>,
    jobs: Vec<(u64, DiskWork)>,
    replies: BTreeMap<u64, StoreReply>,
    asked: Vec<Asked>,
    declared: Vec<Declaration>,
    now_ms: u64,
    last_caller: u64,
}

impl Bench {
    fn new(name: &str, fresh: bool, held: &[Turn]) -> Self {
        Self::with_guards(name, fresh, held, Guards::default())
    }

    fn with_guards(name: &str, fresh: bool, held: &[Turn], guards: Guards) -> Self {
        let settings = Settings {
            name: name.to_owned(),
            incarnation: 1,
            copies: 2,
            capacity_bytes: 1_000_000,
            capacity_turns: 1_000,
            absent_repair_ms: 1_000,
        };
        let entries = held.iter().map(Turn::header).collect();
        let disk = DiskState {
            disk: 1,
            fresh,
            entries,
        };
        let node = StoreNode::with_guards(settings, disk, WALL_MS, 0, guards);
        Bench {
            node,
            disk: held
                .iter()
                .map(|turn| (turn.id.clone(), turn.clone()))
                .collect(),
            jobs: Vec::new(),
            replies: BTreeMap::new(),
            asked: Vec::new(),
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
                Effect::Ask {
                    ask,
                    store,
                    request,
                } => self.asked.push(Asked {
                    ask,
                    store,
                    request,
                }),
                Effect::Disk { job, work } => self.jobs.push((job, work)),
                Effect::Declare(declaration) => self.declared.push(declaration),
            }
        }
    }

    fn list(&mut self, stores: &[Store]) {
        self.node.list_changed(stores.to_vec(), self.now_ms);
        self.take_effects();
    }

    /// Sends a request; gives the number of the caller.
    fn send(&mut self, request: StoreRequest) -> u64 {
        self.last_caller += 1;
        self.node.request(self.last_caller, request, self.now_ms);
        self.take_effects();
        self.last_caller
    }

    fn put(&mut self, turn: &Turn, hint: Option<&str>) -> u64 {
        self.send(StoreRequest::Put {
            turn: turn.clone(),
            hint: hint.map(str::to_owned),
        })
    }

    /// Sends a request that is answered once the disk has done its work.
    fn call(&mut self, request: StoreRequest) -> StoreReply {
        let caller = self.send(request);
        self.work();
        self.replies.remove(&caller).expect("an answer")
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

    /// The oldest question under way.
    fn next_asked(&mut self) -> Asked {
        self.asked.remove(0)
    }

    fn answer(&mut self, asked: &Asked, reply: StoreReply) {
        self.node.peer_answered(asked.ask, Some(reply), self.now_ms);
        self.take_effects();
    }

    /// Answers all listings with nothing, so that pulls end.
    fn answer_listings(&mut self) {
        while let Some(position) = self
            .asked
            .iter()
            .position(|asked| matches!(asked.request, StoreRequest::List { .. }))
        {
            let asked = self.asked.remove(position);
            self.answer(
                &asked,
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

/// A store that is whole, of three that are all present.
fn calm(held: &[Turn]) -> Bench {
    calm_with(held, Guards::default())
}

fn calm_with(held: &[Turn], guards: Guards) -> Bench {
    let mut bench = Bench::with_guards("storage-0", false, held, guards);
    bench.list(&stores(3));
    bench.answer_listings();
    bench
}

fn held(turn: &Turn) -> HeldTurn {
    HeldTurn {
        turn: turn.clone(),
        remaining_ms: 30_000,
    }
}

fn found(turns: &[Turn]) -> StoreReply {
    StoreReply::Found {
        turns: turns.to_vec(),
        missing: None,
        more: false,
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
    let mut bench = calm(&[]);
    let caller = bench.put(&turn("a", None), None);
    assert!(!bench.replies.contains_key(&caller));
    bench.work();
    assert_eq!(bench.replies[&caller], StoreReply::Kept);
    assert_eq!(bench.call(chain_of("a")), found(&[turn("a", None)]));
}

#[test]
fn puts_that_come_during_a_commit_share_the_next() {
    let mut bench = calm(&[]);
    let callers: Vec<u64> = ["a", "b", "c"]
        .map(|id| bench.put(&turn(id, None), None))
        .to_vec();
    assert_eq!(bench.jobs.len(), 1);
    bench.work_once(DiskOutcome::Done);
    assert!(
        matches!(&bench.jobs[..], [(_, DiskWork::Put(turns))] if turns.len() == 2),
        "{:?}",
        bench.jobs
    );
    bench.work();
    assert!(callers
        .iter()
        .all(|caller| bench.replies[caller] == StoreReply::Kept));
}

#[test]
fn a_commit_that_fails_is_refused() {
    let mut bench = calm(&[]);
    let caller = bench.put(&turn("a", None), None);
    bench.work_once(DiskOutcome::Failed);
    assert_eq!(bench.replies[&caller], StoreReply::Refused(Refusal::Disk));
    assert!(matches!(
        bench.call(chain_of("a")),
        StoreReply::Unknown { .. }
    ));
    assert_eq!(
        bench.call(StoreRequest::Put {
            turn: turn("a", None),
            hint: None
        }),
        StoreReply::Kept
    );
}

#[test]
fn a_put_again_is_acknowledged_and_another_turn_under_its_id_is_not() {
    let mut bench = calm(&[turn("a", None)]);
    assert_eq!(
        bench.call(StoreRequest::Put {
            turn: turn("a", None),
            hint: None
        }),
        StoreReply::Kept
    );
    let mut other = turn("a", None);
    other.input = Bytes::from_static(b"something else");
    let reply = bench.call(StoreRequest::Put {
        turn: other,
        hint: None,
    });
    assert_eq!(reply, StoreReply::Refused(Refusal::Conflict));
}

#[test]
fn a_turn_is_acknowledged_only_with_its_whole_chain() {
    let turns = chain();
    let mut bench = calm(&[]);
    let caller = bench.put(&turns[2], None);
    bench.work();
    assert!(
        !bench.replies.contains_key(&caller),
        "acknowledged without its chain"
    );
    let asked = bench.next_asked();
    let wanted = StoreRequest::Fetch {
        ids: vec!["b".to_owned()],
        with_ancestors: true,
    };
    assert_eq!(asked.request, wanted);
    bench.answer(
        &asked,
        StoreReply::Fetched {
            turns: vec![held(&turns[1]), held(&turns[0])],
        },
    );
    bench.work();
    assert_eq!(bench.replies[&caller], StoreReply::Kept);
    assert_eq!(bench.call(chain_of("c")), found(&turns));
}

#[test]
fn a_turn_whose_chain_nobody_has_is_refused() {
    let mut bench = calm(&[]);
    let caller = bench.put(&turn("c", Some("b")), None);
    for _ in 0..2 {
        let asked = bench.next_asked();
        bench.answer(&asked, StoreReply::Fetched { turns: Vec::new() });
    }
    assert_eq!(
        bench.replies[&caller],
        StoreReply::Refused(Refusal::Incomplete)
    );
    assert!(bench.asked.is_empty());
}

#[test]
fn a_chain_that_is_on_its_way_to_the_disk_is_waited_for() {
    let mut bench = calm(&[]);
    let turns = chain();
    let callers: Vec<u64> = turns.iter().map(|turn| bench.put(turn, None)).collect();
    assert!(bench.asked.is_empty(), "{:?}", bench.asked);
    bench.work();
    assert!(callers
        .iter()
        .all(|caller| bench.replies[caller] == StoreReply::Kept));
}

#[test]
fn a_full_store_refuses_and_says_so() {
    let mut bench = calm(&[]);
    let mut large = turn("a", None);
    large.input = Bytes::from(vec![0; 1_000_000]);
    let reply = bench.call(StoreRequest::Put {
        turn: large,
        hint: None,
    });
    assert_eq!(reply, StoreReply::Refused(Refusal::Full));
}

#[test]
fn a_new_disk_is_whole_after_a_pass_that_began_when_old_writers_had_ended() {
    let mut bench = Bench::new("storage-0", true, &[]);
    bench.list(&stores(3));
    bench.answer_listings();
    bench.work();
    assert!(matches!(
        bench.call(chain_of("a")),
        StoreReply::Unknown { whole: false, .. }
    ));
    bench.at(WRITE_DEADLINE_MS);
    assert!(bench.asked.is_empty() && bench.declared.is_empty());
    assert_eq!(bench.node.next_due(), SETTLE_MS);
    bench.at(SETTLE_MS);
    assert_eq!(bench.asked.len(), 1, "the second pass");
    bench.answer_listings();
    assert!(
        bench.declared.is_empty(),
        "told before the disk remembers it"
    );
    assert!(matches!(&bench.jobs[..], [(_, DiskWork::MarkWhole)]));
    bench.work();
    assert_eq!(bench.declared, [Declaration::Whole]);
    assert!(matches!(
        bench.call(chain_of("a")),
        StoreReply::Unknown { whole: true, .. }
    ));
}

#[test]
fn a_new_disk_with_no_other_store_is_whole_when_old_writers_have_ended() {
    let mut bench = Bench::new("storage-0", true, &[]);
    bench.list(&stores(1));
    assert_eq!(bench.node.next_due(), SETTLE_MS);
    bench.at(SETTLE_MS);
    assert!(
        bench.node.next_due() > SETTLE_MS,
        "it wants to be called at once again"
    );
    bench.work();
    assert_eq!(bench.declared, [Declaration::Whole]);
}

#[test]
fn a_new_disk_fetches_what_it_should_hold_before_it_is_whole() {
    let turns = chain();
    let mut bench = Bench::new("storage-0", true, &[]);
    bench.list(&stores(2));
    let listed = |turn: &Turn| dunespur_turn_replication::message::ListedTurn {
        id: turn.id.clone(),
        size: turn.size(),
    };
    let asked = bench.next_asked();
    let page = StoreReply::Listed {
        turns: turns.iter().map(listed).collect(),
        next: None,
    };
    bench.answer(&asked, page.clone());
    let asked = bench.next_asked();
    let ids: Vec<String> = turns.iter().map(|turn| turn.id.clone()).collect();
    assert_eq!(
        asked.request,
        StoreRequest::Fetch {
            ids,
            with_ancestors: false
        }
    );
    bench.answer(
        &asked,
        StoreReply::Fetched {
            turns: turns.iter().map(held).collect(),
        },
    );
    bench.work();
    assert!(!bench.node.is_whole());
    bench.at(SETTLE_MS);
    // Everything is here now: the second pass asks for nothing.
    while let Some(asked) = bench.asked.pop() {
        assert!(
            matches!(asked.request, StoreRequest::List { .. }),
            "{asked:?}"
        );
        bench.answer(&asked, page.clone());
        bench.work();
    }
    assert!(bench.node.is_whole());
    assert_eq!(bench.call(chain_of("c")), found(&turns));
}

#[test]
fn a_new_store_takes_turns_only_once_all_present_stores_have_heard_of_it() {
    let mut bench = Bench::new("storage-0", true, &[]);
    let put = || StoreRequest::Put {
        turn: turn("a", None),
        hint: None,
    };
    assert_eq!(
        bench.call(put()),
        StoreReply::Refused(Refusal::Joining),
        "it has no list"
    );
    let mut list = stores(4);
    list[3].present = false;
    bench.list(&list);
    let asked = bench.next_asked();
    bench.answer(
        &asked,
        StoreReply::Listed {
            turns: Vec::new(),
            next: None,
        },
    );
    assert_eq!(
        bench.call(put()),
        StoreReply::Refused(Refusal::Joining),
        "one store has not heard of it"
    );
    bench.answer_listings();
    assert_eq!(bench.call(put()), StoreReply::Kept);
}

#[test]
fn a_store_names_those_that_it_has_heard_of_beside_its_list() {
    let mut bench = calm(&[]);
    let listing = StoreRequest::List {
        home: "storage-new".to_owned(),
        candidates: Vec::new(),
        copies: 2,
        after: None,
    };
    bench.call(listing);
    let StoreReply::Unknown { knows, .. } = bench.call(chain_of("z")) else {
        panic!("a turn that never was");
    };
    assert_eq!(
        knows,
        ["storage-0", "storage-1", "storage-2", "storage-new"]
    );
    let mut list = stores(3);
    list.push(store("storage-new", "zone-new"));
    bench.list(&list);
    list.pop();
    bench.list(&list);
    let StoreReply::Unknown { knows, .. } = bench.call(chain_of("z")) else {
        panic!("a turn that never was");
    };
    assert_eq!(
        knows,
        ["storage-0", "storage-1", "storage-2"],
        "the list knows better by now"
    );
}

#[test]
fn a_store_pulls_from_all_when_another_has_lost_its_disk() {
    let mut bench = calm(&[]);
    let mut list = stores(3);
    list[1].whole = false;
    bench.list(&list);
    assert!(bench.asked.is_empty(), "only another mark has changed");
    list[1].disk = 2;
    bench.list(&list);
    let asked = bench.next_asked();
    assert!(matches!(asked.request, StoreRequest::List { .. }));
}

#[test]
fn a_store_pulls_from_one_that_has_come_back() {
    let mut bench = calm(&[]);
    let mut list = stores(3);
    list[2].present = false;
    bench.list(&list);
    assert!(bench.asked.is_empty());
    list[2].present = true;
    bench.list(&list);
    let asked = bench.next_asked();
    assert_eq!((asked.store.as_str(), bench.asked.len()), ("storage-2", 0));
}

#[test]
fn a_store_that_stays_away_is_replaced() {
    let mut bench = calm(&[]);
    let mut list = stores(3);
    list[2].present = false;
    bench.list(&list);
    assert_eq!(bench.node.next_due(), 1_000);
    bench.at(999);
    assert!(bench.asked.is_empty());
    bench.at(1_000);
    let StoreRequest::List { candidates, .. } = bench.next_asked().request else {
        panic!("a listing is asked for");
    };
    assert_eq!(candidates.len(), 2);
}

#[test]
fn a_hint_is_delivered_to_a_home_that_lacks_the_turn() {
    let mut bench = calm(&[]);
    let kept = turn("a", None);
    bench.put(&kept, Some("storage-1"));
    bench.work();
    let due_ms = bench.node.next_due();
    bench.at(due_ms);
    let asked = bench.next_asked();
    assert_eq!(asked.store, "storage-1");
    assert_eq!(
        asked.request,
        StoreRequest::Offer {
            ids: vec!["a".to_owned()]
        }
    );
    bench.answer(
        &asked,
        StoreReply::Lacks {
            ids: vec!["a".to_owned()],
        },
    );
    bench.work();
    let asked = bench.next_asked();
    let StoreRequest::Handoff { turns } = &asked.request else {
        panic!("{asked:?}");
    };
    assert_eq!(
        turns.iter().map(|held| &held.turn).collect::<Vec<_>>(),
        [&kept]
    );
    bench.answer(&asked, StoreReply::Kept);
    bench.at(EXPIRY_SWEEP_MS * 2);
    assert!(bench.asked.is_empty(), "delivered once: {:?}", bench.asked);
}

#[test]
fn a_hint_waits_for_its_home() {
    let mut bench = calm(&[]);
    let mut list = stores(3);
    list[1].present = false;
    bench.list(&list);
    bench.put(&turn("a", None), Some("storage-1"));
    bench.work();
    bench.at(20_000);
    bench.answer_listings();
    assert!(bench.asked.is_empty());
    list[1].present = true;
    bench.list(&list);
    let offered = |asked: &Asked| matches!(asked.request, StoreRequest::Offer { .. });
    assert!(bench.asked.iter().any(offered));
}

#[test]
fn a_turn_that_is_read_stays_for_whoever_goes_on_from_it() {
    let mut bench = calm(&[]);
    bench.put(&turn("a", None), None);
    bench.work();
    let late_ms = RETENTION_MS + RETENTION_MARGIN_MS - 1;
    bench.at(late_ms);
    assert_eq!(bench.call(chain_of("a")), found(&[turn("a", None)]));
    bench.at(late_ms + 29_000);
    bench.work();
    assert_eq!(
        bench.call(StoreRequest::Put {
            turn: turn("b", Some("a")),
            hint: None
        }),
        StoreReply::Kept
    );
}

#[test]
fn a_turn_is_known_for_seconds_beyond_its_retention() {
    // The store counts from the put, the client from the end of the answer, and the question takes its time.
    let seconds_ms = 10_000;
    let mut bench = calm(&[]);
    bench.put(&turn("a", None), None);
    bench.work();
    bench.at(RETENTION_MS + seconds_ms);
    assert_eq!(bench.call(chain_of("a")), found(&[turn("a", None)]));
}

#[test]
fn what_is_past_its_time_is_deleted_from_the_disk() {
    let mut bench = calm(&[]);
    bench.put(&turn("a", None), None);
    bench.work();
    bench.at(RETENTION_MS + RETENTION_MARGIN_MS - 1);
    bench.work();
    assert_eq!(bench.disk.len(), 1);
    bench.at(RETENTION_MS + RETENTION_MARGIN_MS + EXPIRY_SWEEP_MS);
    bench.work();
    assert!(bench.disk.is_empty());
    assert!(matches!(
        bench.call(chain_of("a")),
        StoreReply::Unknown { whole: true, .. }
    ));
}

/// Stores of which the first is told to leave; the two that are then the homes.
fn leaving() -> (Vec<Store>, Vec<String>) {
    let mut list = stores(4);
    list[0].retiring = true;
    let homes = order(PROGRAM, &list)[..2].to_vec();
    (list, homes)
}

#[test]
fn a_store_is_emptied_when_all_new_homes_have_acknowledged_all_it_holds() {
    let turns = chain();
    let mut bench = calm(&turns);
    let (list, homes) = leaving();
    bench.list(&list);
    bench.answer_listings();
    let mut handed_over: BTreeMap<String, usize> = BTreeMap::new();
    bench.at(bench.now_ms + 1_000);
    while !bench.asked.is_empty() {
        assert!(bench.declared.is_empty(), "before all have acknowledged");
        let asked = bench.next_asked();
        let reply = match &asked.request {
            StoreRequest::Offer { ids } => StoreReply::Lacks { ids: ids.clone() },
            StoreRequest::Handoff { turns } => {
                *handed_over.entry(asked.store.clone()).or_default() += turns.len();
                StoreReply::Kept
            }
            other => panic!("{other:?}"),
        };
        bench.answer(&asked, reply);
        bench.work();
    }
    assert_eq!(bench.declared, [Declaration::Emptied { round: 0 }]);
    assert_eq!(handed_over.keys().collect::<Vec<_>>(), {
        let mut sorted: Vec<&String> = homes.iter().collect();
        sorted.sort();
        sorted
    });
    assert!(handed_over.values().all(|count| *count == turns.len()));
    let refused = bench.call(StoreRequest::Put {
        turn: turn("d", None),
        hint: None,
    });
    assert_eq!(refused, StoreReply::Refused(Refusal::Retiring));
}

/// Answers everything that is asked as homes do that lack whatever is offered; gives the ids that each was handed.
fn empty_into_homes(bench: &mut Bench) -> BTreeMap<String, BTreeSet<String>> {
    let mut handed_over: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    while !bench.asked.is_empty() {
        let asked = bench.next_asked();
        let reply = match &asked.request {
            StoreRequest::Offer { ids } => StoreReply::Lacks { ids: ids.clone() },
            StoreRequest::Handoff { turns } => {
                let ids = turns.iter().map(|held| held.turn.id.clone());
                handed_over
                    .entry(asked.store.clone())
                    .or_default()
                    .extend(ids);
                StoreReply::Kept
            }
            StoreRequest::List { .. } => StoreReply::Listed {
                turns: Vec::new(),
                next: None,
            },
            other => panic!("{other:?}"),
        };
        bench.answer(&asked, reply);
        bench.work();
    }
    handed_over
}

#[test]
fn a_store_that_is_being_emptied_takes_turns_and_is_not_empty_before_they_are_elsewhere() {
    let mut bench = calm(&chain());
    let (list, homes) = leaving();
    bench.list(&list);
    bench.answer_listings();
    assert_eq!(
        bench.call(StoreRequest::Put {
            turn: turn("d", None),
            hint: None
        }),
        StoreReply::Kept
    );
    bench.at(400);
    empty_into_homes(&mut bench);
    assert_eq!(
        bench.call(StoreRequest::Put {
            turn: turn("e", None),
            hint: None
        }),
        StoreReply::Kept
    );
    assert!(
        bench.declared.is_empty(),
        "the last turn came after the homes had all that was there before"
    );
    bench.at(3_000);
    let handed_over = empty_into_homes(&mut bench);
    assert_eq!(bench.declared, [Declaration::Emptied { round: 0 }]);
    for home in homes {
        assert!(handed_over[&home].contains("e"), "{home}: {handed_over:?}");
    }
}

#[test]
fn a_store_that_has_said_it_is_empty_takes_turns_again_only_in_another_round() {
    let mut bench = calm(&chain());
    let (mut list, _) = leaving();
    list[0].round = 7;
    bench.list(&list);
    bench.at(1_000);
    empty_into_homes(&mut bench);
    assert_eq!(bench.declared, [Declaration::Emptied { round: 7 }]);
    assert_eq!(bench.node.emptied_in(), Some(7));
    bench.list(&list);
    assert_eq!(bench.node.emptied_in(), Some(7), "nothing has changed");
    let put = StoreRequest::Put {
        turn: turn("d", None),
        hint: None,
    };
    assert_eq!(
        bench.call(put.clone()),
        StoreReply::Refused(Refusal::Retiring)
    );
    list[0].round = 8;
    list[1].disk = 9;
    bench.list(&list);
    assert_eq!(bench.node.emptied_in(), None, "what it has said is void");
    assert_eq!(bench.call(put), StoreReply::Kept);
    bench.at(3_000);
    let handed_over = empty_into_homes(&mut bench);
    assert_eq!(
        bench.declared.last(),
        Some(&Declaration::Emptied { round: 8 })
    );
    assert!(
        handed_over.values().all(|ids| ids.len() == 4),
        "all is offered anew: {handed_over:?}"
    );
}

/// Whether a store says that it is empty though one of its homes is away, or its disk is still being filled.
fn is_emptied_beside(change: fn(&mut Store), guards: Guards) -> bool {
    let mut bench = calm_with(&chain(), guards);
    let (mut list, homes) = leaving();
    let home = list
        .iter()
        .position(|store| store.name == homes[1])
        .unwrap();
    change(&mut list[home]);
    bench.list(&list);
    bench.at(400);
    empty_into_homes(&mut bench);
    let emptied = !bench.declared.is_empty();
    list[home] = Store {
        present: true,
        whole: true,
        ..list[home].clone()
    };
    bench.list(&list);
    bench.at(2_000);
    empty_into_homes(&mut bench);
    assert_eq!(bench.declared.len(), 1, "at last it is");
    emptied
}

#[test]
fn a_store_is_not_empty_while_a_home_is_away_or_not_whole() {
    let changes: [fn(&mut Store); 2] = [|home| home.present = false, |home| home.whole = false];
    for change in changes {
        assert!(!is_emptied_beside(change, Guards::default()));
        let without = Guards {
            homes_present_and_whole: false,
            ..Guards::default()
        };
        assert!(is_emptied_beside(change, without), "the counterexample");
    }
}

#[test]
fn a_statement_must_fall_with_its_round() {
    let still_says_so = |guards| {
        let mut bench = calm_with(&chain(), guards);
        let (mut list, homes) = leaving();
        bench.list(&list);
        bench.at(1_000);
        empty_into_homes(&mut bench);
        list[0].round = 1;
        // A home has lost its disk after it was asked.
        list.iter_mut()
            .find(|store| store.name == homes[0])
            .unwrap()
            .disk = 9;
        bench.list(&list);
        bench.node.emptied_in().is_some()
    };
    assert!(!still_says_so(Guards::default()));
    assert!(
        still_says_so(Guards {
            rounds_checked: false,
            ..Guards::default()
        }),
        "the counterexample"
    );
}

/// A store says that it is empty and starts again; the core hears the statement before the new life. Whether a turn
/// that the new life has acknowledged is taken away with the machine.
fn late_statement_takes_a_turn_away(guards: Guards) -> bool {
    let (mut list, _) = leaving();
    let mut new_life = Bench::with_guards("storage-0", false, &chain(), guards);
    list[0].incarnation = 0;
    new_life.list(&list);
    let acknowledged = new_life.call(StoreRequest::Put {
        turn: turn("d", None),
        hint: None,
    }) == StoreReply::Kept;
    // The core knows of the earlier life only, and agrees to what that one said.
    list[0] = Store {
        retiring: false,
        retired: true,
        ..list[0].clone()
    };
    new_life.list(&list);
    acknowledged && new_life.node.is_emptied()
}

#[test]
fn a_late_statement_of_an_earlier_life_takes_nothing_away() {
    assert!(!late_statement_takes_a_turn_away(Guards::default()));
    let without = Guards {
        life_registered: false,
        ..Guards::default()
    };
    assert!(
        late_statement_takes_a_turn_away(without),
        "the counterexample"
    );
}

#[test]
fn turns_are_taken_only_in_a_life_that_the_core_knows() {
    let mut bench = Bench::new("storage-0", false, &[]);
    let put = StoreRequest::Put {
        turn: turn("d", None),
        hint: None,
    };
    assert_eq!(
        bench.call(put.clone()),
        StoreReply::Refused(Refusal::Joining),
        "before the first list"
    );
    let mut list = stores(3);
    list[0].incarnation = 0;
    bench.list(&list);
    assert_eq!(
        bench.call(put.clone()),
        StoreReply::Refused(Refusal::Joining),
        "an earlier life"
    );
    list[0].incarnation = 1;
    list[0].disk = 9;
    bench.list(&list);
    assert_eq!(
        bench.call(put.clone()),
        StoreReply::Refused(Refusal::Joining),
        "another disk"
    );
    list[0].disk = 1;
    bench.list(&list);
    assert_eq!(bench.call(put), StoreReply::Kept);
}

#[test]
fn a_home_that_refuses_what_is_handed_over_is_asked_again() {
    let mut bench = calm(&chain());
    let (list, _) = leaving();
    bench.list(&list);
    bench.answer_listings();
    bench.at(1_000);
    let asked = bench.next_asked();
    let StoreRequest::Offer { ids } = &asked.request else {
        panic!("{asked:?}");
    };
    bench.answer(&asked, StoreReply::Lacks { ids: ids.clone() });
    bench.work();
    let handoff = bench.next_asked();
    bench.answer(&handoff, StoreReply::Refused(Refusal::Disk));
    for _ in 0..20 {
        bench.at(bench.node.next_due());
        bench.work();
        bench.asked.retain(|asked| asked.store != handoff.store);
        while let Some(asked) = bench.asked.pop() {
            bench.answer(&asked, StoreReply::Lacks { ids: Vec::new() });
        }
    }
    assert!(bench.declared.is_empty());
}

#[test]
fn a_new_home_that_loses_its_disk_gets_everything_again() {
    let mut bench = calm(&chain());
    let (mut list, _) = leaving();
    bench.list(&list);
    bench.answer_listings();
    bench.at(1_000);
    let first = bench.next_asked();
    list.iter_mut()
        .find(|store| store.name == first.store)
        .unwrap()
        .disk = 9;
    bench.list(&list);
    bench.answer(&first, StoreReply::Lacks { ids: Vec::new() });
    bench.answer_listings();
    bench.at(2_000);
    let offered_again = bench.asked.iter().any(|asked| asked.store == first.store);
    assert!(offered_again, "{:?}", bench.asked);
    assert!(bench.declared.is_empty());
}

#[test]
fn with_too_few_others_nothing_is_declared() {
    let mut bench = calm(&chain());
    let mut list = stores(2);
    list[0].retiring = true;
    bench.list(&list);
    bench.answer_listings();
    for now_ms in (1_000..20_000).step_by(500) {
        bench.at(now_ms);
        bench.work();
        while let Some(asked) = bench.asked.pop() {
            bench.answer(&asked, StoreReply::Lacks { ids: Vec::new() });
        }
    }
    assert!(bench.declared.is_empty());
}
