//! Adds take effect once, whatever the way does to the messages that carry them.

mod common;

use common::{asked, granted, lease, limiter, request, verdict, BUDGET, PROGRAM};
use dunespur_budget::{Admission, CounterChange, CounterReply, Counters, LeaseBook};

#[test]
fn a_request_that_comes_again_gets_the_same_reply_and_changes_nothing() {
    let mut counters = Counters::default();
    let a = limiter("a", 1);
    let first = request(&a, 1, BUDGET, lease(100, 100));
    let reply = counters.apply(&first, 3);
    let after = counters.clone();
    for _ in 0..5 {
        assert_eq!(counters.apply(&first, 3), reply);
        assert_eq!(counters, after);
    }

    let back = request(&a, 2, BUDGET, CounterChange::Return { units: 60 });
    assert_eq!(counters.apply(&back, 3), CounterReply::Returned);
    assert_eq!(counters.apply(&back, 3), CounterReply::Returned);
    assert_eq!(counters.held(PROGRAM), 40);
}

#[test]
fn a_request_overtaken_by_a_later_one_is_stale() {
    let mut counters = Counters::default();
    let a = limiter("a", 1);
    let first = request(&a, 1, BUDGET, lease(100, 100));
    let second = request(&a, 2, BUDGET, CounterChange::Return { units: 100 });
    counters.apply(&first, 3);
    counters.apply(&second, 3);
    let after = counters.clone();
    assert_eq!(counters.apply(&first, 3), CounterReply::Stale);
    assert_eq!(counters, after);
}

#[test]
fn units_that_were_not_granted_cannot_be_given_back() {
    let mut counters = Counters::default();
    let (a, b) = (limiter("a", 1), limiter("b", 1));
    counters.apply(&request(&a, 1, BUDGET, lease(100, 100)), 3);
    counters.apply(
        &request(&b, 1, BUDGET, CounterChange::Return { units: 80 }),
        3,
    );
    assert_eq!(counters.held(PROGRAM), 100);
    counters.apply(
        &request(&a, 2, BUDGET, CounterChange::Return { units: 500 }),
        3,
    );
    assert_eq!(counters.held(PROGRAM), 0);
    assert_eq!(
        granted(&counters.apply(&request(&a, 3, BUDGET, lease(BUDGET, BUDGET)), 3)),
        BUDGET
    );
}

#[test]
fn a_request_is_resent_unchanged_until_it_is_answered() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    let sent = asked(book.admit(PROGRAM, BUDGET, 100, 1, 0));
    let lost = counters.apply(&sent, 3);

    book.replied(&sent, None, 10);
    let mut now = 10;
    for _ in 0..20 {
        now = book.next_due().expect("a resend is due");
        let again = book.due(now);
        assert!(again.iter().all(|request| *request == sent));
    }
    // The answer that comes in the end is the first one, and it is taken once.
    let reply = counters.apply(&sent, 3);
    assert_eq!(reply, lost);
    book.replied(&sent, Some(&reply), now);
    book.replied(&sent, Some(&reply), now);
    assert_eq!(book.held(PROGRAM), 100);
    assert_eq!(counters.held(PROGRAM), 100);
}

#[test]
fn resends_slow_down_to_a_bound() {
    let mut book = LeaseBook::new(limiter("a", 1));
    let sent = asked(book.admit(PROGRAM, BUDGET, 100, 1, 0));
    let mut last = 0;
    let mut pauses = Vec::new();
    while pauses.len() < 8 {
        let now = book.next_due().expect("a resend is due");
        if !book.due(now).is_empty() {
            book.replied(&sent, None, now);
            pauses.push(now - last);
            last = now;
        }
    }
    assert!(
        pauses.windows(2).skip(1).all(|pair| pair[0] <= pair[1]),
        "{pauses:?}"
    );
    assert_eq!(pauses.last(), Some(&1_000));
}

#[test]
fn a_late_reply_to_an_earlier_request_is_not_taken_for_the_one_awaited() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    let first = asked(book.admit(PROGRAM, BUDGET, 100, 1, 0));
    let reply = counters.apply(&first, 3);
    assert_eq!(
        verdict(book.replied(&first, Some(&reply), 5), 1),
        Admission::Admitted
    );

    let second = asked(book.admit(PROGRAM, BUDGET, 100, 2, 10));
    assert!(book.replied(&first, Some(&reply), 11).is_empty());
    assert_eq!(book.held(PROGRAM), 100);
    let reply = counters.apply(&second, 3);
    assert_eq!(
        verdict(book.replied(&second, Some(&reply), 15), 2),
        Admission::Admitted
    );
}

#[test]
fn use_that_was_reported_is_counted_once() {
    let mut counters = Counters::default();
    let a = limiter("a", 1);
    counters.apply(&request(&a, 1, BUDGET, lease(100, 100)), 3);
    let mut report = request(&a, 2, BUDGET, CounterChange::Return { units: 0 });
    report.used = 70;
    counters.apply(&report, 3);
    counters.apply(&report, 3);
    assert_eq!(counters.used(PROGRAM), 70);
    assert_eq!(counters.held(PROGRAM), 30);
}
