//! Units go back: after a pause, at a lapse, at once near the limit. Nothing is kept for ever.

mod common;

use common::{admit, admit_within, asked, lease, limiter, request, settle, BUDGET, PROGRAM};
use dunespur_budget::{
    Admission, CounterChange, CounterRequest, Counters, LeaseBook, LeaseSettings, Refusal,
};

#[test]
fn unused_units_go_back_a_second_after_the_last_turn_and_the_program_is_forgotten() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(admit(&mut book, &mut counters, 100, 1, 0), Admission::Admitted);
    book.used(1, 30);
    book.finish(1, 500);
    settle(&mut book, &mut counters, 1_499);
    assert_eq!(counters.held(PROGRAM), 100);
    settle(&mut book, &mut counters, 1_500);
    assert_eq!(counters.held(PROGRAM), 0);
    assert_eq!(counters.used(PROGRAM), 30);
    assert_eq!(book.programs(), 1);
    settle(&mut book, &mut counters, 30_500);
    assert_eq!(book.programs(), 0);
    assert_eq!(book.next_due(), None);
}

#[test]
fn a_turn_in_the_pause_keeps_the_lease() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(admit(&mut book, &mut counters, 100, 1, 0), Admission::Admitted);
    book.finish(1, 500);
    assert_eq!(book.admit(PROGRAM, BUDGET, 100, 2, 1_400), Admission::Admitted);
    settle(&mut book, &mut counters, 2_000);
    assert_eq!(book.held(PROGRAM), 100);
}

#[test]
fn refused_turns_do_not_put_the_return_off() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(admit(&mut book, &mut counters, 100, 1, 0), Admission::Admitted);
    assert_eq!(admit(&mut book, &mut counters, BUDGET + 1, 2, 0), Admission::Refused(Refusal::Spent));
    book.finish(1, 100);
    for step in 0..10 {
        let now = 200 + step * 100;
        settle(&mut book, &mut counters, now);
        let refused = book.admit(PROGRAM, BUDGET, BUDGET + 1, 3, now);
        assert_eq!(refused, Admission::Refused(Refusal::Spent));
    }
    assert_eq!(counters.held(PROGRAM), 0);
}

#[test]
fn a_lapsed_lease_admits_nothing_and_goes_back() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(admit(&mut book, &mut counters, 100, 1, 0), Admission::Admitted);
    assert_eq!(admit(&mut book, &mut counters, 100, 2, 0), Admission::Admitted);
    book.finish(2, 100);
    // The first turn runs on; what the second freed may be used until the lease lapses.
    assert_eq!(book.admit(PROGRAM, BUDGET, 10, 3, 9_999), Admission::Admitted);
    let mut lapsed = book.clone();
    let refill = asked(lapsed.admit(PROGRAM, BUDGET, 10, 4, 10_000));
    assert!(matches!(refill.change, CounterChange::Lease { returned: 90, .. }), "{refill:?}");

    settle(&mut book, &mut counters, 10_000);
    assert_eq!(counters.held(PROGRAM), 110);
    assert_eq!(book.held(PROGRAM), 110);
}

#[test]
fn near_the_limit_what_a_turn_frees_goes_back_at_once() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(admit(&mut book, &mut counters, 300, 1, 0), Admission::Admitted);
    assert_eq!(admit(&mut book, &mut counters, 300, 2, 0), Admission::Admitted);
    book.used(1, 100);
    book.finish(1, 50);
    settle(&mut book, &mut counters, 50);
    assert_eq!(counters.held(PROGRAM), 300, "the second turn's reservation");
    book.finish(2, 60);
    settle(&mut book, &mut counters, 60);
    assert_eq!(counters.held(PROGRAM), 0);
}

#[test]
fn a_refill_covers_ten_seconds_of_the_observed_rate() {
    let budget = 1_000_000;
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(admit_within(&mut book, &mut counters, budget, 100, 1, 0), Admission::Admitted);
    book.used(1, 100);
    book.finish(1, 1_500);
    let refill = asked(book.admit(PROGRAM, budget, 100, 2, 2_000));
    assert_eq!(refill.change, CounterChange::Lease { needed: 100, wanted: 500, returned: 0 });
}

#[test]
fn a_further_try_reserves_anew_and_what_the_broken_one_used_stays_used() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(admit(&mut book, &mut counters, 100, 1, 0), Admission::Admitted);
    book.used(1, 40);
    let more = asked(book.admit(PROGRAM, BUDGET, 100, 1, 50));
    assert_eq!(more.change, CounterChange::Lease { needed: 40, wanted: 400, returned: 0 });
    assert_eq!(more.used, 40);
    let reply = counters.apply(&more, 1);
    assert_eq!(book.replied(&more, Some(&reply), 60)[0].admission, Admission::Admitted);
    book.used(1, 100);
    book.finish(1, 100);
    settle(&mut book, &mut counters, 2_000);
    assert_eq!(counters.used(PROGRAM), 140);
    assert_eq!(counters.held(PROGRAM), 0);
}

#[test]
fn units_used_beyond_a_turns_most_are_counted_all_the_same() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(admit(&mut book, &mut counters, 100, 1, 0), Admission::Admitted);
    book.used(1, 130);
    book.finish(1, 100);
    settle(&mut book, &mut counters, 2_000);
    assert_eq!(counters.used(PROGRAM), 130);
    assert_eq!(admit(&mut book, &mut counters, BUDGET - 129, 2, 2_000), Admission::Refused(Refusal::Spent));
}

#[test]
fn an_idle_counter_is_forgotten_in_the_end_and_not_before() {
    let mut counters = Counters::default();
    let a = limiter("a", 1);
    counters.apply(&request(&a, 1, BUDGET, lease(100, 100)), 1);
    let mut sequence = 1;
    let mut other = |counters: &mut Counters, at_ms| {
        sequence += 1;
        let program = "another".to_owned();
        let change = CounterChange::Return { units: 0 };
        let used = 1;
        counters.apply(&CounterRequest { program, at_ms, used, ..request(&a, sequence, BUDGET, change) }, 1);
    };
    for at in (0..600_000).step_by(5_000) {
        other(&mut counters, at);
    }
    assert_eq!(counters.programs(), 2);
    for at in (600_000..620_000).step_by(5_000) {
        other(&mut counters, at);
    }
    assert_eq!(counters.programs(), 1);
    assert_eq!(counters.used(PROGRAM) + counters.held(PROGRAM), 0);
}

#[test]
fn a_clock_that_jumps_makes_no_counter_be_forgotten() {
    let mut counters = Counters::default();
    let (a, b) = (limiter("a", 1), limiter("b", 1));
    counters.apply(&request(&a, 1, BUDGET, lease(100, 100)), 1);
    for (sequence, at_ms) in [(1, 0), (2, 1 << 40), (3, 5), (4, 1 << 50)] {
        let program = "another".to_owned();
        counters.apply(&CounterRequest { program, at_ms, ..request(&b, sequence, BUDGET, lease(1, 1)) }, 1);
    }
    assert_eq!(counters.programs(), 2);
    assert_eq!(counters.held(PROGRAM), 100);
}

#[test]
fn programs_and_turns_here_are_bounded() {
    let settings = LeaseSettings { max_programs: 2, max_turns: 3, ..LeaseSettings::default() };
    let mut book = LeaseBook::with_settings(limiter("a", 1), settings);
    let crowded = Admission::Refused(Refusal::Crowded);
    asked(book.admit("one", BUDGET, 10, 1, 0));
    asked(book.admit("two", BUDGET, 10, 2, 0));
    assert_eq!(book.admit("three", BUDGET, 10, 3, 0), crowded);
    assert_eq!(book.admit("two", BUDGET, 10, 4, 0), Admission::Waiting);
    assert_eq!(book.admit("two", BUDGET, 10, 5, 0), crowded);
    book.finish(4, 1);
    assert_eq!(book.admit("two", BUDGET, 10, 5, 2), Admission::Waiting);
}

#[test]
fn counters_are_bounded_and_a_flood_of_names_resets_none_in_use() {
    let mut counters = Counters::default();
    let a = limiter("a", 1);
    counters.apply(&request(&a, 1, BUDGET, lease(100, 100)), 1);
    for flood in 0..70_000 {
        let program = format!("flood-{flood}");
        counters.apply(&CounterRequest { program, ..request(&a, 2 + flood, BUDGET, lease(1, 1)) }, 1);
    }
    assert_eq!(counters.programs(), 65_536);
    assert_eq!(counters.held(PROGRAM), 100);
}
