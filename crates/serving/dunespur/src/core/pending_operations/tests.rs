//! Which operations join a pending operation, and which callers receive the outcome.

use super::{OutcomeReceiver, PendingOperations, Registration};
use dunespur_budget::{CounterChange, CounterRequest, LimiterId};
use dunespur_control_state::{Operation, Outcome};

fn request(sequence: u64) -> Operation {
    Operation::Budget(CounterRequest {
        program: "program".to_owned(),
        budget: 100,
        limiter: LimiterId {
            node: "front".to_owned(),
            incarnation: 1,
        },
        sequence,
        used: 0,
        change: CounterChange::Lease {
            needed: 1,
            wanted: 1,
            returned: 0,
        },
        at_ms: 5,
    })
}

fn register(pending: &mut PendingOperations, ticket: u64, operation: &Operation) -> Registration {
    pending.register(ticket, operation, &postcard::to_stdvec(operation).unwrap())
}

fn expect_new(registration: Registration) -> OutcomeReceiver {
    match registration {
        Registration::New(receiver) => receiver,
        Registration::Joined(_) => panic!("expected a new operation, but it joined a pending one"),
    }
}

fn expect_joined(registration: Registration) -> OutcomeReceiver {
    match registration {
        Registration::Joined(receiver) => receiver,
        Registration::New(_) => {
            panic!("expected the operation to join a pending one, but it is new")
        }
    }
}

#[test]
fn a_repeated_request_waits_for_the_first() {
    let mut pending = PendingOperations::default();
    let mut first = expect_new(register(&mut pending, 1, &request(1)));
    let mut second = expect_joined(register(&mut pending, 2, &request(1)));
    let mut other = expect_new(register(&mut pending, 3, &request(2)));
    assert_eq!(pending.len(), 2);
    pending.complete(1, Some(Outcome::Done));
    assert_eq!(first.try_recv().unwrap(), Some(Outcome::Done));
    assert_eq!(second.try_recv().unwrap(), Some(Outcome::Done));
    assert!(other.try_recv().is_err());
}

/// A caller may give up before the core does: its repeated request still joins the first.
#[test]
fn a_request_whose_caller_gave_up_is_joined_as_well() {
    let mut pending = PendingOperations::default();
    drop(expect_new(register(&mut pending, 1, &request(1))));
    let mut second = expect_joined(register(&mut pending, 2, &request(1)));
    pending.complete(1, Some(Outcome::Done));
    assert_eq!(second.try_recv().unwrap(), Some(Outcome::Done));
    assert_eq!(pending.len(), 0);
}

#[test]
fn a_request_is_new_again_after_the_first_was_dropped() {
    let mut pending = PendingOperations::default();
    let mut dropped = expect_new(register(&mut pending, 1, &request(1)));
    pending.complete(1, None);
    assert_eq!(dropped.try_recv().unwrap(), None);
    expect_new(register(&mut pending, 2, &request(1)));
}

/// Only counter requests are repeated unchanged; two operators may send identical operations independently.
#[test]
fn other_operations_do_not_join() {
    let mut pending = PendingOperations::default();
    let operation = Operation::NodeExpired {
        name: "front".to_owned(),
        incarnation: 1,
    };
    expect_new(register(&mut pending, 1, &operation));
    expect_new(register(&mut pending, 2, &operation));
    assert_eq!(pending.len(), 2);
}
