//! Anti-entropy passes: which stores are pulled from at what time, and that each missing turn is fetched once.

mod common;

use common::harness::retained;
use common::turn;
use dunespur_turn_replication::anti_entropy::{AntiEntropy, PullRequest, PULL_RETRY_MS};
use dunespur_turn_replication::index::Index;
use dunespur_turn_replication::message::ListedTurn;
use dunespur_turn_replication::turn::RetainedTurn;

/// Size of a turn that takes half a page: two of them fit in one message.
const HALF_PAGE_BYTES: u64 = 256 << 10;

fn listed(ids: &[&str]) -> Vec<ListedTurn> {
    let turns = ids.iter().map(|id| ListedTurn {
        id: (*id).to_owned(),
        size: HALF_PAGE_BYTES,
    });
    turns.collect()
}

fn turns(ids: &[&str]) -> Vec<RetainedTurn> {
    ids.iter().map(|id| retained(&turn(id, None))).collect()
}

/// Begins a pass over these stores; returns the pass and its first listing requests as serial number and store.
fn begin_pass(stores: &[&str]) -> (AntiEntropy, Vec<(u64, String)>) {
    let mut pass = AntiEntropy::default();
    pass.begin(stores.iter().map(|store| (*store).to_owned()), 0);
    let mut listings = Vec::new();
    while let Some((serial, request)) = pass.next_request(&Index::default(), 0) {
        let PullRequest::List { peer, after: None } = request else {
            panic!("{request:?}");
        };
        listings.push((serial, peer));
    }
    (pass, listings)
}

/// The next request, which has to be a fetch, as serial number, store and ids.
fn next_fetch(pass: &mut AntiEntropy, index: &Index, now_ms: u64) -> (u64, String, Vec<String>) {
    match pass.next_request(index, now_ms) {
        Some((serial, PullRequest::Fetch { peer, ids })) => (serial, peer, ids),
        other => panic!("{other:?}"),
    }
}

fn insert(index: &mut Index, ids: &[&str]) {
    for id in ids {
        index.insert(&turn(id, None).header(), 60_000);
    }
}

#[test]
fn three_stores_are_pulled_from_at_the_same_time_and_the_fourth_after_one_pull_ended() {
    let (mut pass, listings) = begin_pass(&["a", "b", "c", "d"]);
    let listed_stores: Vec<&str> = listings.iter().map(|(_, store)| store.as_str()).collect();
    assert_eq!(listed_stores, ["a", "b", "c"]);
    pass.listed(listings[1].0, Vec::new(), None);
    let next = pass.next_request(&Index::default(), 0);
    assert!(
        matches!(&next, Some((_, PullRequest::List { peer, .. })) if peer == "d"),
        "{next:?}"
    );
    assert!(!pass.is_done());
}

#[test]
fn a_turn_that_several_stores_list_is_fetched_from_one_of_them() {
    let (mut pass, listings) = begin_pass(&["a", "b"]);
    let mut index = Index::default();
    for (serial, _) in &listings {
        pass.listed(*serial, listed(&["1", "2", "3", "4"]), None);
    }
    let (first, from_a, ids) = next_fetch(&mut pass, &index, 0);
    assert_eq!(
        (from_a.as_str(), ids),
        ("a", vec!["1".to_owned(), "2".to_owned()])
    );
    let (second, from_b, ids) = next_fetch(&mut pass, &index, 0);
    assert_eq!(
        (from_b.as_str(), ids),
        ("b", vec!["3".to_owned(), "4".to_owned()])
    );
    assert_eq!(
        pass.next_request(&index, 0),
        None,
        "all turns are being fetched"
    );
    assert!(pass.missing_turns() >= 4);
    for (serial, ids) in [(first, ["1", "2"]), (second, ["3", "4"])] {
        assert_eq!(pass.fetched(serial, turns(&ids)).len(), 2);
        assert_eq!(
            pass.next_request(&index, 0),
            None,
            "the turns are being written"
        );
        insert(&mut index, &ids);
        pass.committed(serial);
    }
    assert_eq!(pass.next_request(&index, 0), None);
    assert!(pass.is_done() && !pass.is_pulling());
    assert_eq!(pass.missing_turns(), 0);
}

#[test]
fn turns_of_a_failed_pull_are_fetched_from_another_store() {
    let (mut pass, listings) = begin_pass(&["a", "b"]);
    let index = Index::default();
    for (serial, _) in &listings {
        pass.listed(*serial, listed(&["1"]), None);
    }
    let (failed, from, _) = next_fetch(&mut pass, &index, 0);
    assert_eq!(from, "a");
    assert_eq!(
        pass.next_request(&index, 0),
        None,
        "the other pull waits for the turn"
    );
    pass.failed(failed, 10);
    let (_, from, ids) = next_fetch(&mut pass, &index, 10);
    assert_eq!((from.as_str(), ids), ("b", vec!["1".to_owned()]));
    assert!(
        pass.fetched(failed, turns(&["1"])).is_empty(),
        "the pull has failed before"
    );
    assert_eq!(pass.next_due(), Some(10 + PULL_RETRY_MS));
}

#[test]
fn a_turn_that_a_store_no_longer_has_is_fetched_from_another_store() {
    let (mut pass, listings) = begin_pass(&["a", "b"]);
    let index = Index::default();
    for (serial, _) in &listings {
        pass.listed(*serial, listed(&["1"]), None);
    }
    let (serial, _, _) = next_fetch(&mut pass, &index, 0);
    assert!(pass.fetched(serial, Vec::new()).is_empty());
    let (_, from, _) = next_fetch(&mut pass, &index, 0);
    assert_eq!(from, "b");
}

#[test]
fn pages_in_flight_are_limited_over_all_pulls() {
    let (mut pass, listings) = begin_pass(&["a", "b", "c"]);
    let index = Index::default();
    let names: Vec<String> = (0..30).map(|number| format!("{number:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    for (number, (serial, _)) in listings.iter().enumerate() {
        pass.listed(*serial, listed(&names[number * 10..][..10]), None);
    }
    let mut pages_in_flight = 0;
    // Each page arrives immediately, but no page is ever written.
    while let Some((serial, request)) = pass.next_request(&index, 0) {
        let PullRequest::Fetch { ids, .. } = request else {
            panic!("{request:?}");
        };
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        assert!(!pass.fetched(serial, turns(&ids)).is_empty());
        pages_in_flight += 1;
    }
    assert_eq!(pages_in_flight, 4);
}

#[test]
fn a_pull_ends_when_its_store_leaves() {
    let (mut pass, listings) = begin_pass(&["a", "b"]);
    let index = Index::default();
    for (serial, _) in &listings {
        pass.listed(*serial, listed(&["1"]), None);
    }
    let (serial, _, _) = next_fetch(&mut pass, &index, 0);
    pass.remove("a");
    let (_, from, _) = next_fetch(&mut pass, &index, 0);
    assert_eq!(from, "b");
    assert!(pass.fetched(serial, turns(&["1"])).is_empty());
    assert!(!pass.is_done());
}
