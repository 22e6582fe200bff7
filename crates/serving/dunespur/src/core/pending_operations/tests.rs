//! Which operations join a pending one, and who gets the outcome.

use super::{OperationAnswer, PendingOperations, Registration};
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

fn new(registration: Registration) -> OperationAnswer {
    match registration {
        Registration::New(answer) => answer,
        Registration::Joined(_) => panic!("it joined another"),
    }
}

fn joined(registration: Registration) -> OperationAnswer {
    match registration {
        Registration::Joined(answer) => answer,
        Registration::New(_) => panic!("it is another one"),
    }
}

#[test]
fn a_repeated_request_waits_for_the_first() {
    let mut pending = PendingOperations::default();
    let mut first = new(register(&mut pending, 1, &request(1)));
    let mut second = joined(register(&mut pending, 2, &request(1)));
    let mut other = new(register(&mut pending, 3, &request(2)));
    assert_eq!(pending.len(), 2);
    pending.complete(1, Some(Outcome::Done));
    assert_eq!(first.try_recv().unwrap(), Some(Outcome::Done));
    assert_eq!(second.try_recv().unwrap(), Some(Outcome::Done));
    assert!(other.try_recv().is_err());
}

/// The caller gives up before the core does: what it sends again still finds the first.
#[test]
fn a_request_whose_caller_gave_up_is_joined_as_well() {
    let mut pending = PendingOperations::default();
    drop(new(register(&mut pending, 1, &request(1))));
    let mut second = joined(register(&mut pending, 2, &request(1)));
    pending.complete(1, Some(Outcome::Done));
    assert_eq!(second.try_recv().unwrap(), Some(Outcome::Done));
    assert_eq!(pending.len(), 0);
}

#[test]
fn after_its_end_a_request_is_new_again() {
    let mut pending = PendingOperations::default();
    let mut dropped = new(register(&mut pending, 1, &request(1)));
    pending.complete(1, None);
    assert_eq!(dropped.try_recv().unwrap(), None);
    new(register(&mut pending, 2, &request(1)));
}

/// Only counters' requests are repeated unchanged; two operators may send the same.
#[test]
fn other_operations_do_not_join() {
    let mut pending = PendingOperations::default();
    let operation = Operation::NodeExpired {
        name: "front".to_owned(),
        incarnation: 1,
    };
    new(register(&mut pending, 1, &operation));
    new(register(&mut pending, 2, &operation));
    assert_eq!(pending.len(), 2);
}
