//! Each request takes effect once, even if its messages are lost, duplicated or reordered.

mod common;

use common::{decision, expect_request, granted, lease, limiter, request, BUDGET, PROGRAM};
use dunespur_budget::{Admission, CounterChange, CounterReply, Counters, LeaseTable};

#[test]
fn a_duplicate_request_gets_the_same_reply_and_changes_nothing() {
    let mut counters = Counters::default();
    let limiter_a = limiter("a", 1);
    let first = request(&limiter_a, 1, BUDGET, lease(100, 100));
    let reply = counters.apply(&first, 3);
    let after = counters.clone();
    for _ in 0..5 {
        assert_eq!(counters.apply(&first, 3), reply);
        assert_eq!(counters, after);
    }

    let return_request = request(&limiter_a, 2, BUDGET, CounterChange::Return { units: 60 });
    assert_eq!(counters.apply(&return_request, 3), CounterReply::Returned);
    assert_eq!(counters.apply(&return_request, 3), CounterReply::Returned);
    assert_eq!(counters.leased(PROGRAM), 40);
}

#[test]
fn a_request_overtaken_by_a_later_one_is_stale() {
    let mut counters = Counters::default();
    let limiter_a = limiter("a", 1);
    let first = request(&limiter_a, 1, BUDGET, lease(100, 100));
    let second = request(&limiter_a, 2, BUDGET, CounterChange::Return { units: 100 });
    counters.apply(&first, 3);
    counters.apply(&second, 3);
    let after = counters.clone();
    assert_eq!(counters.apply(&first, 3), CounterReply::Stale);
    assert_eq!(counters, after);
}

#[test]
fn units_that_were_not_granted_cannot_be_returned() {
    let mut counters = Counters::default();
    let (limiter_a, limiter_b) = (limiter("a", 1), limiter("b", 1));
    counters.apply(&request(&limiter_a, 1, BUDGET, lease(100, 100)), 3);
    counters.apply(
        &request(&limiter_b, 1, BUDGET, CounterChange::Return { units: 80 }),
        3,
    );
    assert_eq!(counters.leased(PROGRAM), 100);
    counters.apply(
        &request(&limiter_a, 2, BUDGET, CounterChange::Return { units: 500 }),
        3,
    );
    assert_eq!(counters.leased(PROGRAM), 0);
    assert_eq!(
        granted(&counters.apply(&request(&limiter_a, 3, BUDGET, lease(BUDGET, BUDGET)), 3)),
        BUDGET
    );
}

#[test]
fn a_request_is_resent_unchanged_until_it_is_answered() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    let request = expect_request(table.admit(PROGRAM, BUDGET, 100, 1, 0));
    let lost_reply = counters.apply(&request, 3);

    table.handle_reply(&request, None, 10);
    let mut now = 10;
    for _ in 0..20 {
        now = table.next_timeout().expect("a resend is due");
        let resent = table.handle_timeout(now);
        assert!(resent.iter().all(|resent| *resent == request));
    }
    // The reply to a resend equals the lost reply, and the table applies it only once.
    let reply = counters.apply(&request, 3);
    assert_eq!(reply, lost_reply);
    table.handle_reply(&request, Some(&reply), now);
    table.handle_reply(&request, Some(&reply), now);
    assert_eq!(table.leased(PROGRAM), 100);
    assert_eq!(counters.leased(PROGRAM), 100);
}

#[test]
fn resends_back_off_up_to_a_maximum() {
    let mut table = LeaseTable::new(limiter("a", 1));
    let request = expect_request(table.admit(PROGRAM, BUDGET, 100, 1, 0));
    let mut last = 0;
    let mut intervals = Vec::new();
    while intervals.len() < 8 {
        let now = table.next_timeout().expect("a resend is due");
        if !table.handle_timeout(now).is_empty() {
            table.handle_reply(&request, None, now);
            intervals.push(now - last);
            last = now;
        }
    }
    assert!(
        intervals.windows(2).skip(1).all(|pair| pair[0] <= pair[1]),
        "{intervals:?}"
    );
    assert_eq!(intervals.last(), Some(&1_000));
}

#[test]
fn a_late_reply_to_an_earlier_request_does_not_complete_the_current_one() {
    let mut counters = Counters::default();
    let mut table = LeaseTable::new(limiter("a", 1));
    let first = expect_request(table.admit(PROGRAM, BUDGET, 100, 1, 0));
    let reply = counters.apply(&first, 3);
    assert_eq!(
        decision(table.handle_reply(&first, Some(&reply), 5), 1),
        Admission::Admitted
    );

    let second = expect_request(table.admit(PROGRAM, BUDGET, 100, 2, 10));
    assert!(table.handle_reply(&first, Some(&reply), 11).is_empty());
    assert_eq!(table.leased(PROGRAM), 100);
    let reply = counters.apply(&second, 3);
    assert_eq!(
        decision(table.handle_reply(&second, Some(&reply), 15), 2),
        Admission::Admitted
    );
}

#[test]
fn a_duplicate_report_of_use_is_counted_once() {
    let mut counters = Counters::default();
    let limiter_a = limiter("a", 1);
    counters.apply(&request(&limiter_a, 1, BUDGET, lease(100, 100)), 3);
    let mut report = request(&limiter_a, 2, BUDGET, CounterChange::Return { units: 0 });
    report.used = 70;
    counters.apply(&report, 3);
    counters.apply(&report, 3);
    assert_eq!(counters.used(PROGRAM), 70);
    assert_eq!(counters.leased(PROGRAM), 30);
}
