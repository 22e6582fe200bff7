use super::{Executing, Taken};
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

fn take(executing: &mut Executing, ticket: u64, operation: &Operation) -> Taken {
    executing.take(ticket, operation, &postcard::to_stdvec(operation).unwrap())
}

fn new(taken: Taken) -> super::Answer {
    match taken {
        Taken::New(answer) => answer,
        Taken::Joined(_) => panic!("it joined another"),
    }
}

fn joined(taken: Taken) -> super::Answer {
    match taken {
        Taken::Joined(answer) => answer,
        Taken::New(_) => panic!("it is another one"),
    }
}

#[test]
fn a_repeated_request_waits_for_the_first() {
    let mut executing = Executing::default();
    let mut first = new(take(&mut executing, 1, &request(1)));
    let mut second = joined(take(&mut executing, 2, &request(1)));
    let mut other = new(take(&mut executing, 3, &request(2)));
    assert_eq!(executing.len(), 2);
    executing.ended(1, Some(Outcome::Done));
    assert_eq!(first.try_recv().unwrap(), Some(Outcome::Done));
    assert_eq!(second.try_recv().unwrap(), Some(Outcome::Done));
    assert!(other.try_recv().is_err());
}

/// The caller gives up before the core does: what it sends again still finds the first.
#[test]
fn a_request_whose_caller_gave_up_is_joined_too() {
    let mut executing = Executing::default();
    drop(new(take(&mut executing, 1, &request(1))));
    let mut second = joined(take(&mut executing, 2, &request(1)));
    executing.ended(1, Some(Outcome::Done));
    assert_eq!(second.try_recv().unwrap(), Some(Outcome::Done));
    assert_eq!(executing.len(), 0);
}

#[test]
fn after_its_end_a_request_is_new_again() {
    let mut executing = Executing::default();
    let mut dropped = new(take(&mut executing, 1, &request(1)));
    executing.ended(1, None);
    assert_eq!(dropped.try_recv().unwrap(), None);
    new(take(&mut executing, 2, &request(1)));
}

/// Only counters' requests are repeated unchanged; two operators may send the same.
#[test]
fn other_operations_do_not_join() {
    let mut executing = Executing::default();
    let operation = Operation::NodeGone {
        name: "front".to_owned(),
        incarnation: 1,
    };
    new(take(&mut executing, 1, &operation));
    new(take(&mut executing, 2, &operation));
    assert_eq!(executing.len(), 2);
}
