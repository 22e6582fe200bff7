//! Each mechanism can be taken out alone, and requests are still served.

mod common;

use common::*;
use dunespur_routing::{Ask, Chooser, Mechanisms, Outcome, Part};

/// All mechanisms but one, for each of them.
fn all_but_one() -> Vec<Mechanisms> {
    let take_out: [fn(&mut Mechanisms); 13] = [
        |all| all.program_homes = false,
        |all| all.presumed_holdings = false,
        |all| all.subject_spread = false,
        |all| all.hints = false,
        |all| all.shared_loads = false,
        |all| all.memory_waits = false,
        |all| all.early_refusal = false,
        |all| all.priorities = false,
        |all| all.ejection = false,
        |all| all.gradual_return = false,
        |all| all.failure_cost = false,
        |all| all.learnt_slowness = false,
        |all| all.quiet_cost = false,
    ];
    let without = |take_out: fn(&mut Mechanisms)| {
        let mut mechanisms = Mechanisms::ALL;
        take_out(&mut mechanisms);
        mechanisms
    };
    take_out.into_iter().map(without).collect()
}

fn serve(chooser: &mut Chooser, ask: &Ask, now: u64) {
    let ticket = sent(chooser.choose(ask, now));
    chooser.first_event(ticket.key, now + 20);
    chooser.finished(ticket.key, Outcome::Served { tokens_out: 9 }, now + 40);
}

#[test]
fn requests_are_served_without_any_one_mechanism() {
    for mechanisms in all_but_one() {
        assert_ne!(mechanisms, Mechanisms::ALL);
        let mut chooser = Chooser::with_mechanisms("a".into(), 1, mechanisms);
        let engines = (0..4).map(|number| engine_server(number, "a"));
        let plain = (4..8).map(|number| plain_server(number, "a"));
        chooser.set_servers(engines.chain(plain).collect(), 0);
        let prefix = [Part { id: 1, tokens: 2_560 }, Part { id: 2, tokens: 900 }];
        for step in 0..50 {
            serve(&mut chooser, &engine_ask("program", &prefix), step * 50);
            serve(&mut chooser, &plain_ask(), step * 50 + 10);
        }
        assert_eq!(chooser.in_flight(), 0);
    }
}

#[test]
fn engines_get_no_rank_without_priorities() {
    let mechanisms = Mechanisms { priorities: false, ..Mechanisms::ALL };
    let mut chooser = Chooser::with_mechanisms("a".into(), 1, mechanisms);
    chooser.set_servers(vec![engine_server(0, "a")], 0);
    let ticket = sent(chooser.choose(&engine_ask("program", &[]), 0));
    assert_eq!(ticket.engine_priority, None);
}
