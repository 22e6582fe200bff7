//! A store under membership changes: when a new disk is complete, when turns are accepted, and which turns are pulled
//! when other stores join, leave or return.

mod common;

use common::harness::{chain, chain_of, complete_store, found, retained, Harness};
use common::{store, stores, turn};
use dunespur_turn_replication::message::{Rejection, StoreReply, StoreRequest};
use dunespur_turn_replication::node::{Declaration, DiskWork, BOOTSTRAP_GRACE_MS};
use dunespur_turn_replication::turn::Turn;
use dunespur_turn_replication::write_coordinator::WRITE_DEADLINE_MS;

#[test]
fn a_new_disk_is_complete_after_a_pass_that_began_when_old_writers_had_ended() {
    let mut harness = Harness::new("storage-0", true, &[]);
    harness.change_membership(&stores(3));
    harness.reply_to_listings();
    harness.run_disk_jobs();
    assert!(matches!(
        harness.call(chain_of("a")),
        StoreReply::Unknown {
            complete: false,
            ..
        }
    ));
    harness.advance_to(WRITE_DEADLINE_MS);
    assert!(harness.outgoing.is_empty() && harness.declared.is_empty());
    assert_eq!(harness.node.next_due(), BOOTSTRAP_GRACE_MS);
    harness.advance_to(BOOTSTRAP_GRACE_MS);
    assert_eq!(
        harness.outgoing.len(),
        2,
        "the second pass, over both stores"
    );
    harness.reply_to_listings();
    assert!(
        harness.declared.is_empty(),
        "declared before the disk has recorded the completeness"
    );
    assert!(matches!(&harness.jobs[..], [(_, DiskWork::MarkComplete)]));
    harness.run_disk_jobs();
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
    harness.advance_to(BOOTSTRAP_GRACE_MS);
    assert!(
        harness.node.next_due() > BOOTSTRAP_GRACE_MS,
        "the next tick is due immediately again"
    );
    harness.run_disk_jobs();
    assert_eq!(harness.declared, [Declaration::Complete]);
}

#[test]
fn a_new_disk_fetches_everything_before_it_is_complete() {
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
    harness.run_disk_jobs();
    assert!(!harness.node.is_complete());
    harness.advance_to(BOOTSTRAP_GRACE_MS);
    // All turns are stored now, so the second pass fetches nothing.
    while let Some(outgoing) = harness.outgoing.pop() {
        assert!(
            matches!(outgoing.request, StoreRequest::List { .. }),
            "{outgoing:?}"
        );
        harness.reply(&outgoing, page.clone());
        harness.run_disk_jobs();
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
        "the store has no membership"
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
        "one store does not know the new store"
    );
    harness.reply_to_listings();
    assert_eq!(harness.call(put()), StoreReply::Stored);
}

#[test]
fn a_store_names_unlisted_stores_that_sent_it_requests() {
    let mut harness = complete_store(&[]);
    let listing = StoreRequest::List {
        replica: "storage-new".to_owned(),
        candidates: Vec::new(),
        replication_factor: 2,
        after: None,
    };
    harness.call(listing);
    let StoreReply::Unknown { known_stores, .. } = harness.call(chain_of("z")) else {
        panic!("the reply for a turn that was never written is not Unknown");
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
        panic!("the reply for a turn that was never written is not Unknown");
    };
    assert_eq!(
        known_stores,
        ["storage-0", "storage-1", "storage-2"],
        "the membership has listed and removed the new store"
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
        "only the completeness of a store has changed"
    );
    stores[1].disk = 2;
    harness.change_membership(&stores);
    let outgoing = harness.next_request();
    assert!(matches!(outgoing.request, StoreRequest::List { .. }));
}

#[test]
fn a_store_pulls_from_a_store_that_has_returned() {
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
    harness.advance_to(999);
    assert!(harness.outgoing.is_empty());
    harness.advance_to(1_000);
    let StoreRequest::List { candidates, .. } = harness.next_request().request else {
        panic!("the next request is not a listing");
    };
    assert_eq!(candidates.len(), 2);
}
