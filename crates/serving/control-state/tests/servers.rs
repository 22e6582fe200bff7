//! Servers: reordered reports, reused addresses, and departures that late reports do not undo.

mod common;

use common::{address, draining, server, Harness};
use dunespur_control_state::{Change, Operation, ServerReport, ServerState};

fn left(id: &str) -> Operation {
    Operation::ServerLeft { id: id.to_owned() }
}

fn expired(id: &str, last_sequence: u64) -> Operation {
    Operation::ServerExpired {
        id: id.to_owned(),
        last_sequence,
    }
}

fn removed(id: &str) -> Change {
    Change::ServerRemoved { id: id.to_owned() }
}

fn state_of(harness: &Harness, id: &str) -> Option<ServerState> {
    harness.state.server(id).map(|server| server.state)
}

#[test]
fn a_new_server_is_published_and_an_unchanged_report_is_not() {
    let mut harness = Harness::default();
    assert_eq!(
        harness.server(server("a", 1, 1)),
        [Change::Server(server("a", 1, 1))]
    );
    assert_eq!(harness.server(server("a", 1, 2)), []);
    assert_eq!(harness.server(server("a", 1, 2)), []);
    assert_eq!(harness.state.server("a").expect("a server").sequence, 2);
}

#[test]
fn a_report_that_was_overtaken_changes_nothing() {
    let mut harness = Harness::default();
    let newer = ServerReport {
        slots: 9,
        ..server("a", 1, 5)
    };
    harness.server(newer.clone());
    assert_eq!(harness.server(server("a", 1, 4)), []);
    assert_eq!(harness.server(server("a", 1, 5)), []);
    assert_eq!(harness.state.server("a"), Some(&newer));
    assert_eq!(
        harness.server(server("a", 1, 6)),
        [Change::Server(server("a", 1, 6))]
    );
}

#[test]
fn draining_never_becomes_ready_again() {
    let mut harness = Harness::default();
    harness.server(server("a", 1, 1));
    assert_eq!(
        harness.server(draining("a", 1, 2)),
        [Change::Server(draining("a", 1, 2))]
    );
    assert_eq!(harness.server(server("a", 1, 3)), []);
    assert_eq!(harness.server(server("a", 1, 1)), []);
    assert_eq!(state_of(&harness, "a"), Some(ServerState::Draining));
}

#[test]
fn draining_counts_even_if_it_was_overtaken() {
    let mut harness = Harness::default();
    harness.server(server("a", 1, 9));
    assert_eq!(
        harness.server(draining("a", 1, 8)),
        [Change::Server(draining("a", 1, 9))]
    );
    assert_eq!(state_of(&harness, "a"), Some(ServerState::Draining));
}

#[test]
fn a_server_that_left_never_comes_back() {
    let mut harness = Harness::default();
    harness.server(server("a", 1, 1));
    assert_eq!(harness.changes(&left("a")), [removed("a")]);
    assert_eq!(harness.changes(&left("a")), []);
    assert_eq!(harness.server(server("a", 1, 99)), []);
    assert_eq!(harness.changes(&expired("a", 100)), []);
    assert_eq!(harness.server(server("a", 1, 101)), []);
    assert_eq!(harness.ids(), [""; 0]);
}

#[test]
fn a_leave_that_overtakes_the_first_report_is_final() {
    let mut harness = Harness::default();
    assert_eq!(harness.changes(&left("a")), []);
    assert_eq!(harness.server(server("a", 1, 1)), []);
    assert_eq!(harness.ids(), [""; 0]);
}

#[test]
fn an_expired_server_comes_back_with_a_newer_report_only() {
    let mut harness = Harness::default();
    harness.server(server("a", 1, 5));
    assert_eq!(harness.changes(&expired("a", 5)), [removed("a")]);
    assert_eq!(harness.server(server("a", 1, 4)), []);
    assert_eq!(harness.server(server("a", 1, 5)), []);
    assert_eq!(
        harness.server(server("a", 1, 6)),
        [Change::Server(server("a", 1, 6))]
    );
}

#[test]
fn an_expiry_has_no_effect_after_a_newer_report() {
    let mut harness = Harness::default();
    harness.server(server("a", 1, 6));
    assert_eq!(harness.changes(&expired("a", 5)), []);
    assert_eq!(harness.ids(), ["a"]);
    assert_eq!(harness.changes(&expired("nobody", 5)), []);
    assert_eq!(harness.server(server("nobody", 2, 1)).len(), 1);
}

#[test]
fn an_expiry_covers_reports_that_the_core_did_not_receive() {
    let mut harness = Harness::default();
    harness.server(server("a", 1, 1));
    harness.changes(&expired("a", 40));
    assert_eq!(harness.server(server("a", 1, 40)), []);
    assert_eq!(harness.server(server("a", 1, 41)).len(), 1);
}

#[test]
fn an_expired_server_that_was_draining_comes_back_draining() {
    let mut harness = Harness::default();
    harness.server(draining("a", 1, 5));
    harness.changes(&expired("a", 5));
    assert_eq!(
        harness.server(server("a", 1, 6)),
        [Change::Server(draining("a", 1, 6))]
    );

    harness.server(server("b", 2, 5));
    harness.changes(&expired("b", 5));
    assert_eq!(harness.server(draining("b", 2, 4)), []);
    assert_eq!(
        harness.server(server("b", 2, 6)),
        [Change::Server(draining("b", 2, 6))]
    );
}

#[test]
fn a_server_that_expired_may_still_leave() {
    let mut harness = Harness::default();
    harness.server(server("a", 1, 5));
    harness.changes(&expired("a", 5));
    harness.changes(&left("a"));
    assert_eq!(harness.server(server("a", 1, 6)), []);
}

#[test]
fn a_new_server_takes_the_address_of_an_older_one() {
    let mut harness = Harness::default();
    harness.server(server("a", 1, 5));
    let newer = ServerReport {
        backend: "other".to_owned(),
        ..server("b", 1, 1)
    };
    assert_eq!(
        harness.server(newer.clone()),
        [removed("a"), Change::Server(newer)]
    );
    assert_eq!(
        harness.server(server("a", 1, 5)),
        [],
        "a late report of the replaced server has no effect"
    );
    assert_eq!(harness.ids(), ["b"]);
}

#[test]
fn a_server_takes_its_address_back_from_a_late_report_of_another() {
    let mut harness = Harness::default();
    harness.server(server("new", 1, 3));
    assert_eq!(
        harness.server(server("old", 1, 80)).len(),
        2,
        "a late report of the old server takes the address"
    );
    let back = server("new", 1, 4);
    assert_eq!(
        harness.server(back.clone()),
        [removed("old"), Change::Server(back)]
    );
    assert_eq!(harness.server(server("old", 1, 80)), []);
    assert_eq!(harness.ids(), ["new"]);
}

#[test]
fn a_server_that_moves_takes_the_address_there() {
    let mut harness = Harness::default();
    harness.server(server("a", 1, 1));
    harness.server(server("b", 2, 1));
    assert_eq!(
        harness.server(server("a", 2, 2)),
        [removed("b"), Change::Server(server("a", 2, 2))]
    );
    assert_eq!(
        harness.server(server("c", 1, 1)),
        [Change::Server(server("c", 1, 1))]
    );
    assert_eq!(
        harness.state.server("a").expect("a server").address,
        address(2)
    );
}

#[test]
fn a_departed_server_leaves_its_address_free() {
    let mut harness = Harness::default();
    harness.server(server("a", 1, 1));
    harness.changes(&left("a"));
    assert_eq!(
        harness.server(server("b", 1, 1)),
        [Change::Server(server("b", 1, 1))]
    );
}

#[test]
fn departed_servers_are_recorded_up_to_a_bound() {
    let mut harness = Harness::default();
    for number in 0..5_000 {
        harness.changes(&left(&format!("s{number}")));
    }
    assert_eq!(harness.server(server("s4999", 1, 1)), []);
    assert_eq!(harness.server(server("s2000", 1, 1)), []);
    assert_eq!(
        harness.server(server("s0", 1, 1)).len(),
        1,
        "the oldest departure is no longer recorded"
    );
}

#[test]
fn registered_servers_are_bounded() {
    let mut harness = Harness::default();
    for number in 0..8_300_u32 {
        let [_, _, high, low] = number.to_be_bytes();
        let mut report = server(&format!("s{number}"), 1, 1);
        report.address.set_ip([10, 1, high, low].into());
        harness.server(report);
    }
    assert_eq!(harness.state.servers().count(), 8_192);
}
