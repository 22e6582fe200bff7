//! Requests to one store: acknowledgements of puts, replies to readers, handoff of hinted turns and deletion of expired
//! turns.

mod common;

use bytes::Bytes;
use common::harness::{
    chain, chain_of, complete_store, found, retained, OutgoingRequest, RETENTION_MS,
};
use common::{stores, turn};
use dunespur_turn_replication::ids::CallerId;
use dunespur_turn_replication::message::{Rejection, StoreReply, StoreRequest};
use dunespur_turn_replication::node::{DiskOutcome, DiskWork, EXPIRY_SWEEP_MS};
use dunespur_turn_replication::turn::RETENTION_MARGIN_MS;

#[test]
fn a_put_is_acknowledged_only_after_its_commit() {
    let mut harness = complete_store(&[]);
    let caller = harness.put(&turn("a", None), None);
    assert!(!harness.replies.contains_key(&caller));
    harness.run_disk_jobs();
    assert_eq!(harness.replies[&caller], StoreReply::Stored);
    assert_eq!(harness.call(chain_of("a")), found(&[turn("a", None)]));
}

#[test]
fn puts_that_arrive_during_a_commit_are_committed_together() {
    let mut harness = complete_store(&[]);
    let callers: Vec<CallerId> = ["a", "b", "c"]
        .map(|id| harness.put(&turn(id, None), None))
        .to_vec();
    assert_eq!(harness.jobs.len(), 1);
    harness.run_next_disk_job(DiskOutcome::Done);
    assert!(
        matches!(&harness.jobs[..], [(_, DiskWork::Put(turns))] if turns.len() == 2),
        "{:?}",
        harness.jobs
    );
    harness.run_disk_jobs();
    assert!(callers
        .iter()
        .all(|caller| harness.replies[caller] == StoreReply::Stored));
}

#[test]
fn a_put_whose_commit_fails_is_rejected() {
    let mut harness = complete_store(&[]);
    let caller = harness.put(&turn("a", None), None);
    harness.run_next_disk_job(DiskOutcome::Failed);
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
fn a_repeated_put_is_acknowledged_and_a_different_turn_with_the_same_id_is_rejected() {
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
    harness.run_disk_jobs();
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
    harness.run_disk_jobs();
    assert_eq!(harness.replies[&caller], StoreReply::Stored);
    assert_eq!(harness.call(chain_of("c")), found(&turns));
}

#[test]
fn a_turn_whose_chain_is_on_no_store_is_rejected() {
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
fn a_put_waits_for_ancestors_that_are_being_committed() {
    let mut harness = complete_store(&[]);
    let turns = chain();
    let callers: Vec<CallerId> = turns.iter().map(|turn| harness.put(turn, None)).collect();
    assert!(harness.outgoing.is_empty(), "{:?}", harness.outgoing);
    harness.run_disk_jobs();
    assert!(callers
        .iter()
        .all(|caller| harness.replies[caller] == StoreReply::Stored));
}

#[test]
fn a_full_store_rejects_turns_as_full() {
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
fn a_hinted_turn_is_handed_to_a_replica_that_lacks_it() {
    let mut harness = complete_store(&[]);
    let hinted = turn("a", None);
    harness.put(&hinted, Some("storage-1"));
    harness.run_disk_jobs();
    let due_ms = harness.node.next_due();
    harness.advance_to(due_ms);
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
    harness.run_disk_jobs();
    let outgoing = harness.next_request();
    let StoreRequest::Handoff { turns } = &outgoing.request else {
        panic!("{outgoing:?}");
    };
    assert_eq!(
        turns.iter().map(|stored| &stored.turn).collect::<Vec<_>>(),
        [&hinted]
    );
    harness.reply(&outgoing, StoreReply::Stored);
    harness.advance_to(EXPIRY_SWEEP_MS * 2);
    assert!(
        harness.outgoing.is_empty(),
        "the turn is handed over only once: {:?}",
        harness.outgoing
    );
}

#[test]
fn a_hint_is_kept_until_its_replica_returns() {
    let mut harness = complete_store(&[]);
    let mut stores = stores(3);
    stores[1].present = false;
    harness.change_membership(&stores);
    harness.put(&turn("a", None), Some("storage-1"));
    harness.run_disk_jobs();
    harness.advance_to(20_000);
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
    harness.run_disk_jobs();
    let late_ms = RETENTION_MS + RETENTION_MARGIN_MS - 1;
    harness.advance_to(late_ms);
    assert_eq!(harness.call(chain_of("a")), found(&[turn("a", None)]));
    harness.advance_to(late_ms + 29_000);
    harness.run_disk_jobs();
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
    // The store counts the retention from the put, the client from the end of the answer, and a request takes time.
    let beyond_retention_ms = 10_000;
    let mut harness = complete_store(&[]);
    harness.put(&turn("a", None), None);
    harness.run_disk_jobs();
    harness.advance_to(RETENTION_MS + beyond_retention_ms);
    assert_eq!(harness.call(chain_of("a")), found(&[turn("a", None)]));
}

#[test]
fn expired_turns_are_deleted_from_the_disk() {
    let mut harness = complete_store(&[]);
    harness.put(&turn("a", None), None);
    harness.run_disk_jobs();
    harness.advance_to(RETENTION_MS + RETENTION_MARGIN_MS - 1);
    harness.run_disk_jobs();
    assert_eq!(harness.disk.len(), 1);
    harness.advance_to(RETENTION_MS + RETENTION_MARGIN_MS + EXPIRY_SWEEP_MS);
    harness.run_disk_jobs();
    assert!(harness.disk.is_empty());
    assert!(matches!(
        harness.call(chain_of("a")),
        StoreReply::Unknown { complete: true, .. }
    ));
}
