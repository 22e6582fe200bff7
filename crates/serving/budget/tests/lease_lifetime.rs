//! Units go back: after a pause, at a lapse, at once near the limit. Nothing is kept for ever.

mod common;

use common::{
    admit, admit_within, asked, lease, limiter, request, settle, Ticker, BUDGET, PROGRAM,
};
use dunespur_budget::{
    Admission, CounterChange, CounterReply, CounterRequest, Counters, LeaseBook, LeaseSettings,
    Refusal,
};

#[test]
fn unused_units_go_back_a_second_after_the_last_turn_and_the_program_is_forgotten() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(
        admit(&mut book, &mut counters, 100, 1, 0),
        Admission::Admitted
    );
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
    assert_eq!(
        admit(&mut book, &mut counters, 100, 1, 0),
        Admission::Admitted
    );
    book.finish(1, 500);
    assert_eq!(
        book.admit(PROGRAM, BUDGET, 100, 2, 1_400),
        Admission::Admitted
    );
    settle(&mut book, &mut counters, 2_000);
    assert_eq!(book.held(PROGRAM), 100);
}

#[test]
fn refused_turns_do_not_put_the_return_off() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(
        admit(&mut book, &mut counters, 100, 1, 0),
        Admission::Admitted
    );
    assert_eq!(
        admit(&mut book, &mut counters, BUDGET + 1, 2, 0),
        Admission::Refused(Refusal::Spent)
    );
    book.finish(1, 100);
    for step in 0..12 {
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
    assert_eq!(
        admit(&mut book, &mut counters, 100, 1, 0),
        Admission::Admitted
    );
    assert_eq!(
        admit(&mut book, &mut counters, 100, 2, 0),
        Admission::Admitted
    );
    book.finish(2, 100);
    // The first turn runs on; what the second freed may be used until the lease lapses.
    assert_eq!(
        book.admit(PROGRAM, BUDGET, 10, 3, 9_999),
        Admission::Admitted
    );
    let mut lapsed = book.clone();
    let refill = asked(lapsed.admit(PROGRAM, BUDGET, 10, 4, 10_000));
    assert!(
        matches!(refill.change, CounterChange::Lease { returned: 90, .. }),
        "{refill:?}"
    );

    settle(&mut book, &mut counters, 10_000);
    assert_eq!(counters.held(PROGRAM), 110);
    assert_eq!(book.held(PROGRAM), 110);
}

#[test]
fn near_the_limit_what_a_turn_frees_goes_back_at_once() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(
        admit(&mut book, &mut counters, 300, 1, 0),
        Admission::Admitted
    );
    assert_eq!(
        admit(&mut book, &mut counters, 300, 2, 0),
        Admission::Admitted
    );
    book.used(1, 100);
    book.finish(1, 50);
    settle(&mut book, &mut counters, 50);
    assert_eq!(counters.held(PROGRAM), 300, "the second turn's reservation");
    book.finish(2, 60);
    settle(&mut book, &mut counters, 60);
    assert_eq!(counters.held(PROGRAM), 0);
}

#[test]
fn what_goes_back_goes_out_together() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    for turn in 0..20 {
        let program = format!("program-{turn}");
        let asks = asked(book.admit(&program, 100_000, 100, turn, 0));
        let reply = counters.apply(&asks, 0);
        book.replied(&asks, Some(&reply), 1);
        book.finish(turn, 10 + 10 * turn);
    }
    assert_eq!(book.next_due(), Some(1_250));
    assert_eq!(book.due(1_250).len(), 20);
}

#[test]
fn a_limiter_that_is_about_to_end_gives_back_without_a_pause() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(
        admit_within(&mut book, &mut counters, 100_000, 100, 1, 0),
        Admission::Admitted
    );
    assert_eq!(
        admit_within(&mut book, &mut counters, 100_000, 100, 2, 0),
        Admission::Admitted
    );
    book.finish(1, 110);
    assert!(book.close(113).is_empty(), "a turn still runs");
    book.finish(2, 117);
    settle(&mut book, &mut counters, 117);
    assert_eq!(counters.held(PROGRAM), 0);

    let mut idle = LeaseBook::new(limiter("b", 1));
    assert_eq!(
        admit_within(&mut idle, &mut counters, 100_000, 100, 1, 200),
        Admission::Admitted
    );
    idle.finish(1, 210);
    let back = idle.close(213);
    assert_eq!(back.len(), 1);
    counters.apply(&back[0], 0);
    assert_eq!(counters.held(PROGRAM), 0);
}

#[test]
fn a_name_too_long_to_keep_is_put_off() {
    let name = "n".repeat(257);
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(
        book.admit(&name, BUDGET, 10, 1, 0),
        Admission::Refused(Refusal::Crowded)
    );
    assert_eq!(book.programs(), 0);
    let mut counters = Counters::default();
    let asks = CounterRequest {
        program: name,
        ..request(&limiter("a", 1), 1, BUDGET, lease(10, 10))
    };
    assert_eq!(
        counters.apply(&asks, 0),
        CounterReply::Elsewhere { held: 0 }
    );
    assert_eq!(counters.programs(), 0);
}

#[test]
fn a_refill_covers_ten_seconds_of_the_observed_rate() {
    let budget = 1_000_000;
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(
        admit_within(&mut book, &mut counters, budget, 100, 1, 0),
        Admission::Admitted
    );
    book.used(1, 100);
    book.finish(1, 1_500);
    let refill = asked(book.admit(PROGRAM, budget, 100, 2, 2_000));
    assert_eq!(
        refill.change,
        CounterChange::Lease {
            needed: 100,
            wanted: 500,
            returned: 0
        }
    );
}

#[test]
fn a_further_try_reserves_anew_and_what_the_broken_one_used_stays_used() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(
        admit(&mut book, &mut counters, 100, 1, 0),
        Admission::Admitted
    );
    book.used(1, 40);
    let more = asked(book.admit(PROGRAM, BUDGET, 100, 1, 50));
    assert_eq!(
        more.change,
        CounterChange::Lease {
            needed: 40,
            wanted: 400,
            returned: 0
        }
    );
    assert_eq!(more.used, 40);
    let reply = counters.apply(&more, 1);
    assert_eq!(
        book.replied(&more, Some(&reply), 60)[0].admission,
        Admission::Admitted
    );
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
    assert_eq!(
        admit(&mut book, &mut counters, 100, 1, 0),
        Admission::Admitted
    );
    book.used(1, 130);
    book.finish(1, 100);
    settle(&mut book, &mut counters, 2_000);
    assert_eq!(counters.used(PROGRAM), 130);
    assert_eq!(
        admit(&mut book, &mut counters, BUDGET - 129, 2, 2_000),
        Admission::Refused(Refusal::Spent)
    );
}

#[test]
fn a_lease_that_lapses_between_turns_goes_back_then() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(
        admit(&mut book, &mut counters, 100, 1, 0),
        Admission::Admitted
    );
    book.finish(1, 9_500);
    settle(&mut book, &mut counters, 10_000);
    assert_eq!(counters.held(PROGRAM), 0);
}

#[test]
fn units_used_beyond_a_turns_most_come_out_of_the_lease_as_far_as_it_goes() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(
        admit(&mut book, &mut counters, 100, 1, 0),
        Admission::Admitted
    );
    assert_eq!(
        admit(&mut book, &mut counters, 100, 2, 0),
        Admission::Admitted
    );
    book.finish(2, 10);
    book.used(1, 130);
    assert_eq!(book.held(PROGRAM), 70);
    assert!(matches!(
        book.admit(PROGRAM, BUDGET, 71, 3, 20),
        Admission::Ask(_)
    ));
}

#[test]
fn an_idle_counter_is_forgotten_in_the_end_and_not_before() {
    let mut counters = Counters::default();
    let mut ticker = Ticker::new();
    ticker.pass(&mut counters, 5_000);
    counters.apply(&request(&limiter("a", 1), 1, BUDGET, lease(100, 100)), 1);
    ticker.pass(&mut counters, 595_000);
    assert_eq!(counters.programs(), 2);
    ticker.pass(&mut counters, 15_000);
    assert_eq!(counters.programs(), 1);
    assert_eq!(counters.used(PROGRAM) + counters.held(PROGRAM), 0);
}

#[test]
fn an_idle_counter_keeps_who_holds_units_and_little_else() {
    let mut counters = Counters::default();
    let mut ticker = Ticker::new();
    ticker.pass(&mut counters, 5_000);
    let a = limiter("a", 1);
    counters.apply(&request(&a, 1, BUDGET, lease(100, 100)), 0);
    for place in 0..50 {
        let other = limiter(&format!("other-{place}"), 1);
        counters.apply(&request(&other, 1, BUDGET, lease(1, 1)), 0);
        counters.apply(
            &request(&other, 2, BUDGET, CounterChange::Return { units: 1 }),
            0,
        );
    }
    let before = size(&counters);
    ticker.pass(&mut counters, 60_000);
    assert!(
        size(&counters) < before / 2,
        "{} of {before}",
        size(&counters)
    );
    assert_eq!(counters.held(PROGRAM), 100);
    counters.apply(
        &request(&a, 2, BUDGET, CounterChange::Return { units: 100 }),
        0,
    );
    assert_eq!(counters.held(PROGRAM), 0);
}

#[test]
fn under_a_flood_of_names_idle_counters_are_forgotten_sooner() {
    let mut counters = Counters::default();
    let a = limiter("a", 1);
    for flood in 0..40_000 {
        let program = format!("flood-{flood}");
        counters.apply(
            &CounterRequest {
                program,
                ..request(&a, 1 + flood, BUDGET, lease(1, 1))
            },
            1,
        );
    }
    let mut ticker = Ticker::new();
    ticker.pass(&mut counters, 115_000);
    assert_eq!(counters.programs(), 40_001);
    // The time for one sweep over them all.
    for _ in 0..5 {
        ticker.pass(&mut counters, 5_000);
        for flood in 0..4_000 {
            let sequence = 50_000 + flood;
            counters.apply(
                &request(&a, sequence, BUDGET, CounterChange::Return { units: 0 }),
                1,
            );
        }
    }
    assert!(counters.programs() <= 32_768, "{}", counters.programs());
}

#[test]
fn limiters_remembered_for_a_program_are_bounded_and_no_unit_is_lost_by_it() {
    let mut counters = Counters::default();
    for place in 0..1_000 {
        let one = limiter(&format!("node-{place}"), 1);
        assert_eq!(
            counters.apply(&request(&one, 1, 10_000, lease(1, 1)), 0),
            granted_one(10_000 - 1 - place)
        );
    }
    assert_eq!(counters.used(PROGRAM) + counters.held(PROGRAM), 1_000);
    assert_eq!(counters.held(PROGRAM), 128);
}

fn granted_one(left: u64) -> CounterReply {
    CounterReply::Granted { units: 1, left }
}

#[test]
fn senders_remembered_are_bounded() {
    let mut counters = Counters::default();
    let mut sizes = Vec::new();
    for place in 0..4_000 {
        let one = limiter(&format!("node-{place:04}"), 1);
        counters.apply(
            &request(&one, 1, BUDGET, CounterChange::Return { units: 0 }),
            0,
        );
        sizes.push(size(&counters));
    }
    assert_eq!(sizes[1_500], sizes[3_999]);
}

/// How much there is to keep, told by the length of its print.
fn size(counters: &Counters) -> usize {
    format!("{counters:?}").len()
}

#[test]
fn a_clock_that_jumps_makes_no_counter_be_forgotten() {
    let mut counters = Counters::default();
    let (a, b) = (limiter("a", 1), limiter("b", 1));
    counters.apply(&request(&a, 1, BUDGET, lease(100, 100)), 1);
    for (sequence, at_ms) in [(1, 0), (2, 1 << 40), (3, 5), (4, 1 << 50)] {
        let program = "another".to_owned();
        counters.apply(
            &CounterRequest {
                program,
                at_ms,
                ..request(&b, sequence, BUDGET, lease(1, 1))
            },
            1,
        );
    }
    assert_eq!(counters.programs(), 2);
    assert_eq!(counters.held(PROGRAM), 100);
}

#[test]
fn programs_and_turns_here_are_bounded() {
    let settings = LeaseSettings {
        max_programs: 2,
        max_turns: 3,
        ..LeaseSettings::default()
    };
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
        counters.apply(
            &CounterRequest {
                program,
                ..request(&a, 2 + flood, BUDGET, lease(1, 1))
            },
            1,
        );
    }
    assert_eq!(counters.programs(), 65_536);
    assert_eq!(counters.held(PROGRAM), 100);
}
