//! The index of one store: chains, expiry on the steady clock, listings.

mod common;

use common::{stores, turn, PROGRAM};
use dunespur_turn_replication::index::{Index, MAX_CLOCK_STEP_MS, MIN_RETENTION_AFTER_START_MS};
use dunespur_turn_replication::membership::Candidate;
use dunespur_turn_replication::message::PAGE_IDS;
use dunespur_turn_replication::placement;
use dunespur_turn_replication::turn::{TurnHeader, RETENTION_MARGIN_MS};

const RETENTION_MS: u64 = 20_000;

fn header(id: &str, previous: Option<&str>) -> TurnHeader {
    turn(id, previous).header()
}

fn ids(index: &Index, id: &str) -> Option<Vec<String>> {
    let chain = index.chain(id, u64::MAX, 0)?;
    Some(chain.ids.iter().map(|id| id.to_string()).collect())
}

#[test]
fn ancestors_are_retained_as_long_as_their_youngest_descendant() {
    let mut index = Index::default();
    index.insert(&header("a", None), 100);
    index.insert(&header("b", Some("a")), 200);
    index.insert(&header("c", Some("b")), 900);
    index.insert(&header("d", Some("a")), 300);
    assert_eq!(index.remove_expired(300), ["d"]);
    assert_eq!(ids(&index, "c").unwrap(), ["c", "b", "a"]);
    assert_eq!(index.remove_expired(899), Vec::<String>::new());
    assert_eq!(index.remove_expired(900), ["a", "b", "c"]);
    assert!(index.is_empty());
    assert_eq!(index.bytes(), 0);
}

#[test]
fn an_ancestor_that_arrives_late_is_retained_for_its_descendants() {
    let mut index = Index::default();
    index.insert(&header("c", Some("b")), 900);
    assert_eq!(index.first_missing("c"), Some("b".to_owned()));
    assert_eq!(index.dangling().collect::<Vec<_>>(), ["b"]);
    index.insert(&header("b", Some("a")), 100);
    index.insert(&header("a", None), 50);
    assert!(!index.has_dangling());
    assert_eq!(index.first_missing("c"), None);
    assert_eq!(index.remove_expired(899), Vec::<String>::new());
}

#[test]
fn a_chain_ends_where_the_next_turn_is_missing_or_exceeds_the_limit() {
    let mut index = Index::default();
    index.insert(&header("b", Some("a")), 900);
    index.insert(&header("c", Some("b")), 900);
    let stored = index.chain("c", u64::MAX, 0).unwrap();
    assert_eq!(
        (stored.missing.as_deref(), stored.has_more),
        (Some("a"), false)
    );
    let page = index.chain("c", 1, 0).unwrap();
    assert_eq!(page.ids.len(), 1, "a page contains at least one turn");
    assert_eq!((page.missing.as_deref(), page.has_more), (Some("b"), true));
}

#[test]
fn an_expired_turn_is_unknown_before_it_is_deleted() {
    let mut index = Index::default();
    index.insert(&header("a", None), 100);
    assert!(index.chain("a", u64::MAX, 99).is_some());
    assert!(index.chain("a", u64::MAX, 100).is_none());
}

#[test]
fn inserting_a_turn_again_only_extends_its_retention() {
    let mut index = Index::default();
    index.insert(&header("a", None), 100);
    let bytes = index.bytes();
    index.insert(&header("a", None), 50);
    assert_eq!(index.remaining_ms("a", 0), Some(100));
    index.insert(&header("a", None), 500);
    assert_eq!(index.remaining_ms("a", 0), Some(500));
    assert_eq!((index.len(), index.bytes()), (1, bytes));
}

#[test]
fn a_wall_clock_that_steps_ahead_deletes_nothing_at_a_start() {
    let headers = vec![header("a", None)];
    let day_ms = 86_400_000;
    let index = Index::load(headers, 1_000_000 + day_ms, 5_000);
    assert_eq!(
        index.remaining_ms("a", 5_000),
        Some(MIN_RETENTION_AFTER_START_MS)
    );
}

#[test]
fn a_wall_clock_that_steps_back_does_not_retain_turns_for_ever() {
    let headers = vec![header("a", None)];
    let index = Index::load(headers, 0, 5_000);
    assert_eq!(
        index.remaining_ms("a", 5_000),
        Some(RETENTION_MS + RETENTION_MARGIN_MS)
    );
}

#[test]
fn a_start_within_the_retention_retains_at_least_the_rest_of_it() {
    for step_ms in [0, 60_000, MAX_CLOCK_STEP_MS] {
        let headers = vec![header("a", None), header("b", Some("a"))];
        let index = Index::load(headers, 1_000_000 + 5_000 + step_ms, 0);
        assert!(index.remaining_ms("a", 0).unwrap() >= RETENTION_MS - 5_000 + RETENTION_MARGIN_MS);
    }
}

#[test]
fn long_expired_turns_are_deleted_soon_after_a_start() {
    let old_ms = RETENTION_MS + RETENTION_MARGIN_MS + MAX_CLOCK_STEP_MS;
    let index = Index::load(vec![header("a", None)], 1_000_000 + old_ms, 0);
    assert_eq!(
        index.remaining_ms("a", 0),
        Some(MIN_RETENTION_AFTER_START_MS)
    );
}

#[test]
fn pages_for_a_replica_list_exactly_its_turns() {
    let stores = stores(3);
    let candidates: Vec<Candidate> = stores.iter().map(Candidate::from).collect();
    let mut index = Index::default();
    let count = PAGE_IDS * 4;
    for number in 0..count {
        let mut header = header(&format!("turn-{number:06}"), None);
        header.program = format!("program-{}", number % 100);
        index.insert(&header, 1_000);
    }
    let mut listed = Vec::new();
    let mut after = None;
    loop {
        let page = index.page_for_replica("storage-1", &candidates, 2, after.as_deref(), 0);
        assert!(page.turns.len() <= PAGE_IDS);
        listed.extend(page.turns.into_iter().map(|turn| turn.id));
        after = page.next;
        if after.is_none() {
            break;
        }
    }
    let expected: Vec<String> = (0..count)
        .filter(|number| {
            let program = format!("program-{}", number % 100);
            placement::replica_set(&program, &stores, 2)
                .iter()
                .any(|replica| replica.name == "storage-1")
        })
        .map(|number| format!("turn-{number:06}"))
        .collect();
    assert_eq!(listed, expected);
}

#[test]
fn the_same_id_with_other_contents_is_another_turn() {
    let mut index = Index::default();
    index.insert(&header("a", None), 100);
    assert!(index.contains_same_turn(&header("a", None)));
    assert!(!index.contains_same_turn(&header("a", Some("z"))));
    let mut other = turn("a", None);
    other.program = format!("{PROGRAM}x");
    assert!(!index.contains_same_turn(&other.header()));
}
