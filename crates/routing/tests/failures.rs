//! Servers that fail a part of their requests, as callers see them.

mod common;

use common::*;
use dunespur_routing::{Ask, Chooser, Outcome, Part, Server, Ticket};

const SERVERS: usize = 4;
const SERVED: Outcome = Outcome::Served { tokens_out: 9 };
/// Pause between two requests.
const STEP_MS: u64 = 50;
/// How long a request that is served takes.
const ANSWER_MS: u64 = 30;

fn chooser(servers: Vec<Server>) -> Chooser {
    let mut chooser = Chooser::new("a".into(), 1);
    chooser.set_servers(servers, 0);
    chooser
}

fn send(chooser: &mut Chooser, ask: &Ask, now: u64) -> Ticket {
    sent(chooser.choose(ask, now))
}

fn unrepeatable_call() -> Ask<'static> {
    Ask { idempotent: false, ..plain_ask() }
}

/// Calls one after the other; every other one at the first server fails. How many failed.
fn failed_calls(chooser: &mut Chooser, ask: &Ask, calls: u64) -> u64 {
    let bad = plain_server(0, "a").id;
    let (mut there, mut failed) = (0, 0);
    for step in 0..calls {
        let now = step * STEP_MS;
        let ticket = send(chooser, ask, now);
        let fails = ticket.server.id == bad && there % 2 == 0;
        there += u64::from(ticket.server.id == bad);
        failed += u64::from(fails);
        chooser.finished(ticket.key, if fails { Outcome::Failed } else { SERVED }, now + ANSWER_MS);
    }
    failed
}

#[test]
fn calls_that_can_not_be_repeated_shun_a_server_that_fails_every_other_one() {
    let mut chooser = chooser((0..SERVERS).map(|number| plain_server(number, "a")).collect());
    let failed = failed_calls(&mut chooser, &unrepeatable_call(), 200);
    assert!(failed <= 4, "{failed} of 200 calls in ten seconds");
}

#[test]
fn calls_that_can_not_be_repeated_do_not_try_out_what_others_find_failing() {
    let mut chooser = chooser((0..SERVERS).map(|number| plain_server(number, "a")).collect());
    let hinted = plain_server(0, "a").id;
    for step in 0..200 {
        let now = step * STEP_MS;
        chooser.hint_trouble(&hinted, now);
        let ticket = send(&mut chooser, &unrepeatable_call(), now);
        assert_ne!(ticket.server.id, hinted, "at {now} ms");
        chooser.finished(ticket.key, SERVED, now + ANSWER_MS);
    }
}

#[test]
fn requests_that_are_only_late_are_no_failures() {
    let mut chooser = chooser((0..SERVERS).map(|number| engine_server(number, "a")).collect());
    let prefix = [Part { id: 1, tokens: 2_560 }, Part { id: 2, tokens: 900 }];
    let ask = engine_ask("program", &prefix);
    for turn in 0..10 {
        let ticket = send(&mut chooser, &ask, turn * 3_000);
        let first_at = turn * 3_000 + 2_500;
        // Requests of other programs are chosen for while this one waits.
        let other = send(&mut chooser, &engine_ask("other", &prefix), first_at - 1);
        assert!(chooser.in_trouble(first_at).is_empty());
        chooser.first_event(ticket.key, first_at);
        chooser.finished(other.key, SERVED, first_at);
        chooser.finished(ticket.key, SERVED, first_at + 200);
    }
}

/// A program's turns fail at the engine that holds its context: how many it takes to go elsewhere.
fn turns_until_moved(turns_before: u64) -> u64 {
    let mut chooser = chooser((0..SERVERS).map(|number| engine_server(number, "a")).collect());
    let prefix = [Part { id: 1, tokens: 2_560 }, Part { id: 2, tokens: 900 }];
    let ask = engine_ask("program", &prefix);
    let mut home = None;
    for turn in 0..turns_before {
        let ticket = send(&mut chooser, &ask, turn * 500);
        chooser.first_event(ticket.key, turn * 500 + 40);
        chooser.finished(ticket.key, SERVED, turn * 500 + 200);
        home = Some(ticket.server.id.clone());
    }
    for failed in 0..5 {
        let now = turns_before * 500 + failed * 250;
        let ticket = send(&mut chooser, &ask, now);
        if home.get_or_insert(ticket.server.id.clone()) != &ticket.server.id {
            return failed;
        }
        chooser.finished(ticket.key, Outcome::Failed, now + 1);
    }
    panic!("five turns failed at one engine");
}

#[test]
fn a_turn_is_not_sent_three_times_to_an_engine_that_resets_it() {
    assert!(turns_until_moved(0) <= 2);
    assert!(turns_until_moved(4) <= 2);
}
