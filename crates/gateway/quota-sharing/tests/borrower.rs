//! The borrower: which calls go to a broker, and when it is left alone.

mod common;

use common::settings;
use dunespur_decisions::types::CounterReply;
use dunespur_quota_sharing::{Borrower, BrokerAnswer, CounterCall, Route, Slot};

fn route(b: &mut Borrower, call: u64, name: u64, slot: Slot, known: bool, now: f64) -> Route {
    b.route(
        CounterCall {
            call,
            name,
            add: 1.0,
            lifetime: 60.0,
        },
        slot,
        known,
        now,
    )
}

#[test]
fn a_borrower_leaves_a_silent_broker_alone_and_keeps_the_calls_on_a_name_together() {
    let mut b = Borrower::new(&settings());
    assert_eq!(route(&mut b, 1, 7, 0, true, 0.0), Route::Broker(0));
    assert_eq!(route(&mut b, 2, 7, 0, true, 0.0), Route::Broker(0));
    b.abandon(1, 0.5, 0.01);
    // The second is still out there: a third one on this name follows it, another name does not.
    assert_eq!(route(&mut b, 3, 7, 0, true, 0.01), Route::Broker(0));
    assert_eq!(route(&mut b, 4, 8, 0, true, 0.01), Route::Counter);
    b.abandon(2, 0.5, 0.1);
    b.abandon(3, 0.5, 0.1);
    assert_eq!(route(&mut b, 5, 7, 0, true, 1.0), Route::Counter);
    b.counter_answered(4);
    b.counter_answered(5);
    // Later one call tries, the others wait for what becomes of it.
    assert_eq!(route(&mut b, 6, 7, 0, true, 20.0), Route::Broker(0));
    assert_eq!(route(&mut b, 7, 8, 0, true, 20.0), Route::Counter);
    assert_eq!(
        b.broker_answered(6, BrokerAnswer::Total(3.0), 0.5, 20.01),
        Some(CounterReply::Total(3.0))
    );
    assert_eq!(
        b.broker_answered(6, BrokerAnswer::Total(3.0), 0.5, 20.01),
        None,
        "twice"
    );
    assert_eq!(route(&mut b, 8, 7, 0, true, 20.1), Route::Broker(0));
    assert_eq!(
        route(&mut b, 9, 9, 1, false, 20.1),
        Route::Counter,
        "nobody holds the slot"
    );
    // One that can't reach the counter is passed by too.
    for call in 10..18 {
        assert_eq!(route(&mut b, call, call, 0, true, 21.0), Route::Broker(0));
        assert_eq!(
            b.broker_answered(call, BrokerAnswer::Unavailable, 0.5, 21.0),
            Some(CounterReply::Refused)
        );
    }
    assert_eq!(route(&mut b, 18, 18, 0, true, 21.1), Route::Counter);
}

#[test]
fn what_a_broker_does_not_answer_in_time_goes_to_the_counter_in_turn_and_once() {
    let mut b = Borrower::new(&settings());
    for call in 1..4 {
        assert_eq!(
            route(&mut b, call, 7, 0, true, call as f64 * 0.001),
            Route::Broker(0)
        );
    }
    route(&mut b, 4, 8, 0, true, 0.015);
    assert!(b.take_overdue(0.5, 0.01).is_empty());
    let rerouted: Vec<u64> = b
        .take_overdue(0.5, 0.022)
        .iter()
        .map(|call| call.call)
        .collect();
    assert_eq!(
        rerouted,
        [1, 2, 3],
        "all on the name, in their order; the other name has time left"
    );
    assert_eq!(
        b.broker_answered(2, BrokerAnswer::Total(1.0), 0.5, 0.023),
        None,
        "the broker's answer comes too late"
    );
    assert!(!b.is_at_broker(2) && b.is_at_broker(4));
    assert_eq!(route(&mut b, 5, 7, 0, true, 0.024), Route::Counter);
    b.counter_answered(1);
    b.counter_answered(2);
    b.counter_answered(3);
    assert_eq!(
        b.broker_answered(4, BrokerAnswer::Total(1.0), 0.5, 0.03),
        Some(CounterReply::Total(1.0))
    );
    assert_eq!(b.next_due(), f64::INFINITY);
}
