//! Hints of other gateways that a server is in trouble, as callers see them.

mod common;

use common::*;
use dunespur_routing::{Choice, Chooser, Outcome, Server, ServerId, Ticket};

const SERVERS: usize = 4;
/// Pause between two requests.
const STEP_MS: u64 = 20;
/// News of the other gateways come this often.
const NEWS_MS: u64 = 250;

fn sent(choice: Choice) -> Ticket {
    match choice {
        Choice::Send(ticket) => ticket,
        other => panic!("expected a server, got {other:?}"),
    }
}

fn servers() -> Vec<Server> {
    (0..SERVERS)
        .map(|number| plain_server(number, "a"))
        .collect()
}

/// Requests one after the other while others say that the first server is in trouble: how many went there.
fn share_of_hinted(
    chooser: &mut Chooser,
    hinted: &ServerId,
    outcome: Outcome,
    requests: u64,
) -> u64 {
    let mut there = 0;
    for step in 0..requests {
        let now = step * STEP_MS;
        if now % NEWS_MS < STEP_MS {
            chooser.hint_trouble(hinted, now);
        }
        let ticket = sent(chooser.choose(&plain_ask(), now));
        let is_hinted = ticket.server.id == *hinted;
        let result = if is_hinted {
            outcome
        } else {
            Outcome::Served { tokens_out: 0 }
        };
        there += u64::from(is_hinted);
        chooser.finished(ticket.key, result, now + 10);
    }
    there
}

#[test]
fn a_server_that_others_find_failing_gets_few_requests() {
    let mut chooser = Chooser::new("a".into(), 1);
    chooser.set_servers(servers(), 0);
    let hinted = servers()[0].id.clone();
    let there = share_of_hinted(&mut chooser, &hinted, Outcome::Failed, 500);
    assert!(
        (1..=5).contains(&there),
        "{there} of 500 requests in ten seconds"
    );
}

#[test]
fn a_gateway_that_lies_takes_no_server_out() {
    let mut chooser = Chooser::new("a".into(), 1);
    chooser.set_servers(servers(), 0);
    let hinted = servers()[0].id.clone();
    let there = share_of_hinted(
        &mut chooser,
        &hinted,
        Outcome::Served { tokens_out: 0 },
        1_000,
    );
    assert!(
        there >= 1_000 / SERVERS as u64 / 2,
        "{there} of 1000 requests in twenty seconds"
    );
}

#[test]
fn hinted_servers_are_asked_where_no_others_are_left() {
    let mut chooser = Chooser::new("a".into(), 1);
    chooser.set_servers(servers(), 0);
    for server in servers() {
        chooser.hint_trouble(&server.id, 0);
    }
    let first = sent(chooser.choose(&plain_ask(), 10));
    let tried: Vec<ServerId> = servers()
        .into_iter()
        .map(|server| server.id)
        .filter(|id| *id != first.server.id)
        .collect();
    let mut ask = plain_ask();
    ask.tried = &tried;
    assert_eq!(sent(chooser.choose(&ask, 20)).server.id, first.server.id);
}

#[test]
fn servers_that_are_avoided_for_faults_are_told_and_full_ones_are_not() {
    let mut chooser = Chooser::new("a".into(), 1);
    chooser.set_servers(servers(), 0);
    for (step, outcome) in [Outcome::Shed, Outcome::Unreachable]
        .into_iter()
        .enumerate()
    {
        let ticket = sent(chooser.choose(&plain_ask(), step as u64));
        chooser.finished(ticket.key, outcome, step as u64);
        let expected = if outcome == Outcome::Shed {
            vec![]
        } else {
            vec![ticket.server.id.clone()]
        };
        assert_eq!(chooser.in_trouble(step as u64), expected);
    }
    assert!(chooser.in_trouble(10_000).is_empty(), "the time is over");
}

#[test]
fn a_hint_about_an_unknown_server_is_nothing() {
    let mut chooser = Chooser::new("a".into(), 1);
    chooser.set_servers(servers(), 0);
    chooser.hint_trouble("nobody", 0);
    assert!(matches!(chooser.choose(&plain_ask(), 0), Choice::Send(_)));
}
