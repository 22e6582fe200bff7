//! The borrower: which calls go to a broker and which to the counter.

mod common;

use common::settings;
use dunespur_decisions::types::CounterReply;
use dunespur_quota_sharing::{Borrower, BrokerAnswer, CounterCall, Route, Slot};

fn route(
    borrower: &mut Borrower,
    call: u64,
    name: u64,
    slot: Slot,
    has_broker: bool,
    now: f64,
) -> Route {
    borrower.route(
        CounterCall {
            call,
            name,
            add: 1.0,
            lifetime: 60.0,
        },
        slot,
        has_broker,
        now,
    )
}

#[test]
fn a_failing_broker_is_not_called_for_a_while_and_calls_on_a_name_stay_together() {
    let mut borrower = Borrower::new(&settings());
    assert_eq!(route(&mut borrower, 1, 7, 0, true, 0.0), Route::Broker(0));
    assert_eq!(route(&mut borrower, 2, 7, 0, true, 0.0), Route::Broker(0));
    borrower.abandon(1, 0.5, 0.01);
    // The second call is still at the broker: a third call on its name follows it, a call on another name does not.
    assert_eq!(route(&mut borrower, 3, 7, 0, true, 0.01), Route::Broker(0));
    assert_eq!(route(&mut borrower, 4, 8, 0, true, 0.01), Route::Counter);
    borrower.abandon(2, 0.5, 0.1);
    borrower.abandon(3, 0.5, 0.1);
    assert_eq!(route(&mut borrower, 5, 7, 0, true, 1.0), Route::Counter);
    borrower.counter_answered(4);
    borrower.counter_answered(5);
    // After the backoff one call probes the broker; calls on other names go to the counter until it is answered.
    assert_eq!(route(&mut borrower, 6, 7, 0, true, 20.0), Route::Broker(0));
    assert_eq!(route(&mut borrower, 7, 8, 0, true, 20.0), Route::Counter);
    assert_eq!(
        borrower.broker_answered(6, BrokerAnswer::Total(3.0), 0.5, 20.01),
        Some(CounterReply::Total(3.0))
    );
    assert_eq!(
        borrower.broker_answered(6, BrokerAnswer::Total(3.0), 0.5, 20.01),
        None,
        "the same answer a second time"
    );
    assert_eq!(route(&mut borrower, 8, 7, 0, true, 20.1), Route::Broker(0));
    assert_eq!(
        route(&mut borrower, 9, 9, 1, false, 20.1),
        Route::Counter,
        "the slot has no known holder"
    );
    // A broker that cannot reach the counter is not called for a while either.
    for call in 10..18 {
        assert_eq!(
            route(&mut borrower, call, call, 0, true, 21.0),
            Route::Broker(0)
        );
        assert_eq!(
            borrower.broker_answered(call, BrokerAnswer::Unavailable, 0.5, 21.0),
            Some(CounterReply::Refused)
        );
    }
    assert_eq!(route(&mut borrower, 18, 18, 0, true, 21.1), Route::Counter);
}

#[test]
fn calls_without_a_timely_answer_go_to_the_counter_in_order_and_once() {
    let mut borrower = Borrower::new(&settings());
    for call in 1..4 {
        assert_eq!(
            route(&mut borrower, call, 7, 0, true, call as f64 * 0.001),
            Route::Broker(0)
        );
    }
    route(&mut borrower, 4, 8, 0, true, 0.015);
    assert!(borrower.take_overdue(0.5, 0.01).is_empty());
    let rerouted: Vec<u64> = borrower
        .take_overdue(0.5, 0.022)
        .iter()
        .map(|call| call.call)
        .collect();
    assert_eq!(
        rerouted,
        [1, 2, 3],
        "all calls on the overdue name in order, none on the other name"
    );
    assert_eq!(
        borrower.broker_answered(2, BrokerAnswer::Total(1.0), 0.5, 0.023),
        None,
        "a broker's answer after its call was rerouted"
    );
    assert!(!borrower.is_at_broker(2) && borrower.is_at_broker(4));
    assert_eq!(route(&mut borrower, 5, 7, 0, true, 0.024), Route::Counter);
    borrower.counter_answered(1);
    borrower.counter_answered(2);
    borrower.counter_answered(3);
    assert_eq!(
        borrower.broker_answered(4, BrokerAnswer::Total(1.0), 0.5, 0.03),
        Some(CounterReply::Total(1.0))
    );
    assert_eq!(borrower.next_due(), f64::INFINITY);
}
