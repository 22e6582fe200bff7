//! Fault hints of other gateways, through the balancer's public interface.

mod common;

use common::{plain_request, plain_server};
use dunespur_routing::{Balancer, Choice, Outcome, Server, ServerId, Ticket};

const SERVERS: usize = 4;
/// Interval between two requests.
const STEP_MS: u64 = 20;
/// Interval between two hints.
const HINT_INTERVAL_MS: u64 = 250;

fn expect_ticket(choice: Choice) -> Ticket {
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

/// Sends sequential requests while other gateways hint that the server `hinted` is faulty. Returns how many of the
/// requests are dispatched to this server.
fn requests_to_hinted(
    balancer: &mut Balancer,
    hinted: &ServerId,
    outcome: Outcome,
    requests: u64,
) -> u64 {
    let mut to_hinted = 0;
    for step in 0..requests {
        let now = step * STEP_MS;
        if now % HINT_INTERVAL_MS < STEP_MS {
            balancer.hint_fault(hinted, now);
        }
        let ticket = expect_ticket(balancer.choose(&plain_request(), now));
        let is_hinted = ticket.server.id == *hinted;
        let result = if is_hinted {
            outcome
        } else {
            Outcome::Served { tokens_out: 0 }
        };
        to_hinted += u64::from(is_hinted);
        balancer.record_outcome(ticket.key, result, now + 10);
    }
    to_hinted
}

#[test]
fn a_failing_server_with_hints_of_other_gateways_gets_few_requests() {
    let mut balancer = Balancer::new("a".into(), 1);
    balancer.set_servers(servers(), 0);
    let hinted = servers()[0].id.clone();
    let to_hinted = requests_to_hinted(&mut balancer, &hinted, Outcome::Failed, 500);
    // The server gets a trial request every few seconds, which would show a recovery. Without hints and failures it
    // would get about 125 requests.
    assert!(
        (1..=5).contains(&to_hinted),
        "the hinted server got {to_hinted} of 500 requests in ten seconds"
    );
}

#[test]
fn false_hints_of_another_gateway_eject_no_server() {
    let mut balancer = Balancer::new("a".into(), 1);
    balancer.set_servers(servers(), 0);
    let hinted = servers()[0].id.clone();
    let to_hinted = requests_to_hinted(
        &mut balancer,
        &hinted,
        Outcome::Served { tokens_out: 0 },
        1_000,
    );
    assert!(
        to_hinted >= 1_000 / SERVERS as u64 / 2,
        "the hinted server got {to_hinted} of 1000 requests in twenty seconds"
    );
}

#[test]
fn hinted_servers_are_chosen_if_no_others_are_left() {
    let mut balancer = Balancer::new("a".into(), 1);
    balancer.set_servers(servers(), 0);
    for server in servers() {
        balancer.hint_fault(&server.id, 0);
    }
    let first = expect_ticket(balancer.choose(&plain_request(), 10));
    let tried: Vec<ServerId> = servers()
        .into_iter()
        .map(|server| server.id)
        .filter(|id| *id != first.server.id)
        .collect();
    let mut request = plain_request();
    request.tried = &tried;
    assert_eq!(
        expect_ticket(balancer.choose(&request, 20)).server.id,
        first.server.id
    );
}

#[test]
fn unreachable_servers_are_reported_as_ejected_and_rejecting_ones_are_not() {
    let mut balancer = Balancer::new("a".into(), 1);
    balancer.set_servers(servers(), 0);
    for (step, outcome) in [Outcome::Rejected, Outcome::Unreachable]
        .into_iter()
        .enumerate()
    {
        let ticket = expect_ticket(balancer.choose(&plain_request(), step as u64));
        balancer.record_outcome(ticket.key, outcome, step as u64);
        let expected = if outcome == Outcome::Rejected {
            vec![]
        } else {
            vec![ticket.server.id.clone()]
        };
        assert_eq!(balancer.ejected_for_faults(step as u64), expected);
    }
    assert!(
        balancer.ejected_for_faults(10_000).is_empty(),
        "the ejection has ended"
    );
}

#[test]
fn a_hint_about_an_unknown_server_is_ignored() {
    let mut balancer = Balancer::new("a".into(), 1);
    balancer.set_servers(servers(), 0);
    balancer.hint_fault("unknown-server", 0);
    assert!(matches!(
        balancer.choose(&plain_request(), 0),
        Choice::Send(_)
    ));
}
