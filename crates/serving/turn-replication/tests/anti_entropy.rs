//! A pass over the other stores: who is asked when, and that each missing turn is fetched once.

mod common;

use common::harness::retained;
use common::turn;
use dunespur_turn_replication::anti_entropy::{AntiEntropy, PullRequest, PULL_RETRY_MS};
use dunespur_turn_replication::index::Index;
use dunespur_turn_replication::message::ListedTurn;
use dunespur_turn_replication::turn::RetainedTurn;

/// A listed turn of half a page: two fit one message.
const HALF_A_PAGE: u64 = 256 << 10;

fn listed(ids: &[&str]) -> Vec<ListedTurn> {
    let turns = ids.iter().map(|id| ListedTurn {
        id: (*id).to_owned(),
        size: HALF_A_PAGE,
    });
    turns.collect()
}

fn turns(ids: &[&str]) -> Vec<RetainedTurn> {
    ids.iter().map(|id| retained(&turn(id, None))).collect()
}

/// A pass over these stores, with the listing requests that it begins with: serial number and store.
fn begun(stores: &[&str]) -> (AntiEntropy, Vec<(u64, String)>) {
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

/// The next request, which has to be one for turns: serial number, store and ids.
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
fn three_stores_are_asked_at_the_same_time_and_the_next_one_when_one_has_ended() {
    let (mut pass, listings) = begun(&["a", "b", "c", "d"]);
    let asked: Vec<&str> = listings.iter().map(|(_, store)| store.as_str()).collect();
    assert_eq!(asked, ["a", "b", "c"]);
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
    let (mut pass, listings) = begun(&["a", "b"]);
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
    assert_eq!(pass.next_request(&index, 0), None, "all are on their way");
    assert!(pass.missing_turns() >= 4);
    for (serial, ids) in [(first, ["1", "2"]), (second, ["3", "4"])] {
        assert_eq!(pass.fetched(serial, turns(&ids)).len(), 2);
        assert_eq!(pass.next_request(&index, 0), None, "they are being written");
        insert(&mut index, &ids);
        pass.committed(serial);
    }
    assert_eq!(pass.next_request(&index, 0), None);
    assert!(pass.is_done() && !pass.is_pulling());
    assert_eq!(pass.missing_turns(), 0);
}

#[test]
fn what_a_failed_store_was_to_send_is_fetched_from_another_one() {
    let (mut pass, listings) = begun(&["a", "b"]);
    let index = Index::default();
    for (serial, _) in &listings {
        pass.listed(*serial, listed(&["1"]), None);
    }
    let (failed, from, _) = next_fetch(&mut pass, &index, 0);
    assert_eq!(from, "a");
    assert_eq!(
        pass.next_request(&index, 0),
        None,
        "the other store waits for it"
    );
    pass.failed(failed, 10);
    let (_, from, ids) = next_fetch(&mut pass, &index, 10);
    assert_eq!((from.as_str(), ids), ("b", vec!["1".to_owned()]));
    assert!(pass.fetched(failed, turns(&["1"])).is_empty(), "too late");
    assert_eq!(pass.next_due(), Some(10 + PULL_RETRY_MS));
}

#[test]
fn what_a_store_no_longer_has_is_fetched_from_another_one() {
    let (mut pass, listings) = begun(&["a", "b"]);
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
fn pages_under_way_are_limited_over_all_stores() {
    let (mut pass, listings) = begun(&["a", "b", "c"]);
    let index = Index::default();
    let names: Vec<String> = (0..30).map(|number| format!("{number:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    for (number, (serial, _)) in listings.iter().enumerate() {
        pass.listed(*serial, listed(&names[number * 10..][..10]), None);
    }
    let mut under_way = 0;
    // Each page is fetched at once and none is ever written.
    while let Some((serial, request)) = pass.next_request(&index, 0) {
        let PullRequest::Fetch { ids, .. } = request else {
            panic!("{request:?}");
        };
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        assert!(!pass.fetched(serial, turns(&ids)).is_empty());
        under_way += 1;
    }
    assert_eq!(under_way, 4);
}

#[test]
fn a_store_that_leaves_takes_its_pull_with_it() {
    let (mut pass, listings) = begun(&["a", "b"]);
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
