//! The choice of a server as callers see it.

mod common;

use common::*;
use dunespur_routing::{Choice, Chooser, LoadReport, Outcome, Part, Ticket};

fn sent(choice: Choice) -> Ticket {
    match choice {
        Choice::Send(ticket) => ticket,
        other => panic!("expected a server, got {other:?}"),
    }
}

#[test]
fn an_unknown_service_has_no_server() {
    let mut chooser = Chooser::new("a".into(), 1);
    assert!(matches!(chooser.choose(&plain_ask(), 0), Choice::NoServer));
}

#[test]
fn draining_tried_and_moved_servers_are_never_chosen() {
    let mut chooser = Chooser::new("a".into(), 1);
    let mut servers: Vec<_> = (0..4).map(|number| plain_server(number, "a")).collect();
    servers[0].draining = true;
    chooser.set_servers(servers.clone(), 0);
    let tried = [servers[1].id.clone()];
    for now in 0..50 {
        let mut ask = plain_ask();
        ask.tried = &tried;
        let ticket = sent(chooser.choose(&ask, now));
        assert!(ticket.server.id == servers[2].id || ticket.server.id == servers[3].id);
        let outcome = if ticket.server.id == servers[2].id {
            Outcome::Moved
        } else {
            Outcome::Served { tokens_out: 0 }
        };
        chooser.finished(ticket.key, outcome, now);
        if outcome == Outcome::Moved {
            let next = sent(chooser.choose(&ask, now));
            assert_eq!(next.server.id, servers[3].id);
            chooser.finished(next.key, Outcome::Served { tokens_out: 0 }, now);
        }
    }
    let all: Vec<_> = servers.iter().map(|server| server.id.clone()).collect();
    let mut ask = plain_ask();
    ask.tried = &all;
    assert!(matches!(chooser.choose(&ask, 60), Choice::NoServer));
}

#[test]
fn a_moved_server_stays_gone_while_it_is_listed() {
    let mut chooser = Chooser::new("a".into(), 1);
    chooser.set_servers(vec![plain_server(0, "a")], 0);
    let ticket = sent(chooser.choose(&plain_ask(), 0));
    chooser.finished(ticket.key, Outcome::Moved, 1);
    chooser.set_servers(vec![plain_server(0, "a")], 2);
    assert!(matches!(
        chooser.choose(&plain_ask(), 100_000),
        Choice::NoServer
    ));
}

#[test]
fn plain_requests_go_to_the_least_loaded_server() {
    let mut chooser = Chooser::new("a".into(), 1);
    let servers: Vec<_> = (0..5).map(|number| plain_server(number, "a")).collect();
    chooser.set_servers(servers.clone(), 0);
    let mut counts = vec![0; 5];
    for _ in 0..30 {
        let ticket = sent(chooser.choose(&plain_ask(), 0));
        let index = servers
            .iter()
            .position(|server| server.id == ticket.server.id)
            .unwrap();
        counts[index] += 1;
    }
    assert_eq!(counts, vec![6; 5]);
}

#[test]
fn the_own_zone_comes_first_until_it_is_busier() {
    let mut chooser = Chooser::new("a".into(), 1);
    let servers = vec![plain_server(0, "a"), plain_server(1, "b")];
    chooser.set_servers(servers, 0);
    let first = sent(chooser.choose(&plain_ask(), 0));
    assert_eq!(&*first.server.zone, "a");
    let zones: Vec<_> = (0..8)
        .map(|_| sent(chooser.choose(&plain_ask(), 0)).server.zone.clone())
        .collect();
    assert!(zones.iter().any(|zone| &**zone == "b"));
}

#[test]
fn what_other_gateways_have_in_flight_counts_until_it_is_old() {
    let mut chooser = Chooser::new("a".into(), 1);
    let servers = vec![plain_server(0, "a"), plain_server(1, "a")];
    chooser.set_servers(servers.clone(), 0);
    let report = LoadReport {
        server: servers[0].id.clone(),
        in_flight: 5,
        waiting_tokens: 0,
    };
    chooser.other_load(&[report], "gateway-2", 0);
    for _ in 0..5 {
        assert_eq!(
            sent(chooser.choose(&plain_ask(), 100)).server.id,
            servers[1].id
        );
    }
    let later = (0..4).map(|_| sent(chooser.choose(&plain_ask(), 60_000)).server.id.clone());
    assert!(later.into_iter().all(|id| id == servers[0].id));
}

#[test]
fn a_report_takes_the_place_of_the_last_one_where_places_are_counted() {
    let mut chooser = Chooser::new("a".into(), 1);
    let server = engine_server(0, "a");
    chooser.set_servers(vec![server.clone()], 0);
    let prefix = [
        Part { id: 1, tokens: 500 },
        Part {
            id: 77,
            tokens: 300,
        },
    ];
    let crowd = LoadReport {
        server: server.id,
        in_flight: 400,
        waiting_tokens: 400_000,
    };
    chooser.other_load(&[crowd], "gateway-2", 0);
    assert!(matches!(
        chooser.choose(&engine_ask("program", &prefix), 1),
        Choice::Refuse { .. }
    ));
    chooser.other_load(&[], "gateway-2", 2);
    let _kept = sent(chooser.choose(&engine_ask("program", &prefix), 3));
}

#[test]
fn reports_of_nothing_in_flight_make_servers_equal_again() {
    let mut chooser = Chooser::new("a".into(), 1);
    let servers = vec![plain_server(0, "a"), plain_server(1, "a")];
    chooser.set_servers(servers.clone(), 0);
    let report = LoadReport {
        server: servers[0].id.clone(),
        in_flight: 5,
        waiting_tokens: 0,
    };
    chooser.other_load(&[report], "gateway-2", 0);
    for now in 1..=4 {
        chooser.other_load(&[], "gateway-2", now);
    }
    let first = sent(chooser.choose(&plain_ask(), 5));
    let second = sent(chooser.choose(&plain_ask(), 5));
    assert_ne!(first.server.id, second.server.id);
}

#[test]
fn own_load_is_reported_and_given_back() {
    let mut chooser = Chooser::new("a".into(), 1);
    chooser.set_servers(vec![engine_server(0, "a")], 0);
    let prefix = [Part { id: 1, tokens: 800 }, Part { id: 2, tokens: 200 }];
    let ticket = sent(chooser.choose(&engine_ask("program", &prefix), 0));
    let reports = chooser.load_reports();
    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].in_flight, 1);
    assert!(reports[0].waiting_tokens > 0 && reports[0].waiting_tokens <= 1_000);
    chooser.first_event(ticket.key, 50);
    assert_eq!(chooser.load_reports()[0].waiting_tokens, 0);
    chooser.finished(ticket.key, Outcome::Served { tokens_out: 30 }, 300);
    assert!(chooser.load_reports().is_empty());
    assert_eq!(chooser.in_flight(), 0);
}

#[test]
fn a_request_that_outlives_its_server_leaves_no_trace_on_the_next_of_that_id() {
    let mut chooser = Chooser::new("a".into(), 1);
    chooser.set_servers(vec![plain_server(0, "a")], 0);
    let old = sent(chooser.choose(&plain_ask(), 0));
    chooser.set_servers(vec![], 1);
    chooser.set_servers(vec![plain_server(0, "a")], 2);
    let _new = sent(chooser.choose(&plain_ask(), 3));
    chooser.finished(old.key, Outcome::Failed, 4);
    assert_eq!(chooser.load_reports()[0].in_flight, 1);
}

#[test]
fn all_gateways_of_a_zone_send_a_program_to_the_same_engine() {
    let prefix = [Part { id: 1, tokens: 800 }, Part { id: 2, tokens: 200 }];
    let servers: Vec<_> = (0..12)
        .map(|number| engine_server(number, ["a", "b", "c"][number % 3]))
        .collect();
    let mut homes = std::collections::BTreeSet::new();
    for program in 0..40 {
        let name = format!("program-{program}");
        let first = home_by(&servers, 1, &name, &prefix);
        let mut reversed = servers.clone();
        reversed.reverse();
        assert_eq!(first, home_by(&reversed, 2, &name, &prefix));
        homes.insert(first);
    }
    assert!(homes.len() >= 3, "{homes:?}");
}

fn home_by(
    servers: &[dunespur_routing::Server],
    seed: u64,
    program: &str,
    prefix: &[Part],
) -> String {
    let mut chooser = Chooser::new("a".into(), seed);
    chooser.set_servers(servers.to_vec(), 0);
    let ticket = sent(chooser.choose(&engine_ask(program, prefix), 0));
    ticket.server.id.to_string()
}

#[test]
fn a_session_stays_where_its_context_is_held() {
    let mut chooser = Chooser::new("a".into(), 1);
    let servers: Vec<_> = (0..6).map(|number| engine_server(number, "a")).collect();
    chooser.set_servers(servers, 0);
    let mut tokens = 300;
    let mut home = None;
    for turn in 0..6 {
        let prefix = [
            Part {
                id: 1,
                tokens: 2_560,
            },
            Part { id: 77, tokens },
        ];
        let now = turn * 1_000;
        let ticket = sent(chooser.choose(&engine_ask("program", &prefix), now));
        let first = home.get_or_insert(ticket.server.id.clone());
        assert_eq!(*first, ticket.server.id);
        chooser.first_event(ticket.key, now + 40);
        chooser.finished(ticket.key, Outcome::Served { tokens_out: 33 }, now + 300);
        tokens += 300;
    }
}

#[test]
fn a_crowded_home_is_left() {
    let mut chooser = Chooser::new("a".into(), 1);
    let servers: Vec<_> = (0..3).map(|number| engine_server(number, "a")).collect();
    chooser.set_servers(servers, 0);
    let prefix = [
        Part {
            id: 1,
            tokens: 2_560,
        },
        Part {
            id: 77,
            tokens: 300,
        },
    ];
    let home = sent(chooser.choose(&engine_ask("program", &prefix), 0))
        .server
        .id
        .clone();
    let report = LoadReport {
        server: home.clone(),
        in_flight: 30,
        waiting_tokens: 60_000,
    };
    chooser.other_load(&[report], "gateway-2", 10);
    let next = sent(chooser.choose(&engine_ask("program", &prefix), 20))
        .server
        .id
        .clone();
    assert_ne!(home, next);
}

#[test]
fn a_program_under_way_goes_before_a_new_one() {
    let mut chooser = Chooser::new("a".into(), 1);
    chooser.set_servers(vec![engine_server(0, "a")], 0);
    let prefix = [
        Part { id: 1, tokens: 500 },
        Part {
            id: 77,
            tokens: 300,
        },
    ];
    let new = sent(chooser.choose(&engine_ask("program", &prefix), 0))
        .engine_priority
        .unwrap();
    let under_way = sent(chooser.choose(&engine_ask("program", &prefix), 10))
        .engine_priority
        .unwrap();
    assert!(under_way < new);
    assert!(new <= 9);
}

#[test]
fn a_request_is_refused_only_when_every_place_is_taken_and_time_is_short() {
    let mut chooser = Chooser::new("a".into(), 1);
    let servers: Vec<_> = (0..2).map(|number| engine_server(number, "a")).collect();
    chooser.set_servers(servers.clone(), 0);
    let prefix = [
        Part { id: 1, tokens: 500 },
        Part {
            id: 77,
            tokens: 300,
        },
    ];
    let crowd = |number: usize, in_flight| LoadReport {
        server: servers[number].id.clone(),
        in_flight,
        waiting_tokens: 400_000,
    };
    chooser.other_load(&[crowd(0, 400), crowd(1, 20)], "gateway-2", 0);
    let _kept = sent(chooser.choose(&engine_ask("program", &prefix), 1));
    chooser.other_load(&[crowd(0, 400), crowd(1, 400)], "gateway-2", 2);
    match chooser.choose(&engine_ask("program", &prefix), 3) {
        Choice::Refuse { retry_after_ms } => assert!((50..=1_667).contains(&retry_after_ms)),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn failing_servers_are_avoided_but_half_stay_in_use() {
    let mut chooser = Chooser::new("a".into(), 1);
    let servers: Vec<_> = (0..4).map(|number| plain_server(number, "a")).collect();
    chooser.set_servers(servers.clone(), 0);
    for now in 0..200 {
        let ticket = sent(chooser.choose(&plain_ask(), now));
        chooser.finished(ticket.key, Outcome::Failed, now);
    }
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..20 {
        used.insert(sent(chooser.choose(&plain_ask(), 200)).server.id.clone());
    }
    assert!(used.len() >= 2);
}

#[test]
fn an_unreachable_server_is_avoided_at_once_and_returns() {
    let mut chooser = Chooser::new("a".into(), 1);
    let servers: Vec<_> = (0..3).map(|number| plain_server(number, "a")).collect();
    chooser.set_servers(servers, 0);
    let bad = sent(chooser.choose(&plain_ask(), 0));
    chooser.finished(bad.key, Outcome::Unreachable, 1);
    for now in 2..100 {
        let ticket = sent(chooser.choose(&plain_ask(), now));
        assert_ne!(ticket.server.id, bad.server.id);
        chooser.finished(ticket.key, Outcome::Served { tokens_out: 0 }, now);
    }
    let returned =
        (0..30).any(|_| sent(chooser.choose(&plain_ask(), 60_000)).server.id == bad.server.id);
    assert!(returned);
}
