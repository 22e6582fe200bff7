//! Which no a turn gets when the budget doesn't cover it, and for how long it holds.

mod common;

use common::{
    admit, asked, granted, lease, limiter, request, settle, verdict, Ticker, BUDGET, PROGRAM,
};
use dunespur_budget::{
    Admission, CounterChange, CounterReply, CounterRequest, Counters, LeaseBook, Refusal,
};

/// A request at a time, with a report of use.
fn report(by: &dunespur_budget::LimiterId, sequence: u64, at_ms: u64, used: u64) -> CounterRequest {
    CounterRequest {
        used,
        at_ms,
        ..request(by, sequence, BUDGET, CounterChange::Return { units: 0 })
    }
}

fn ask(by: &dunespur_budget::LimiterId, sequence: u64, at_ms: u64, needed: u64) -> CounterRequest {
    CounterRequest {
        at_ms,
        ..request(by, sequence, BUDGET, lease(needed, needed))
    }
}

#[test]
fn what_others_hold_and_have_not_used_is_elsewhere_and_what_they_used_is_spent() {
    let mut counters = Counters::default();
    let (a, b) = (limiter("a", 1), limiter("b", 1));
    counters.apply(&ask(&a, 1, 0, 950), 2);
    assert_eq!(
        counters.apply(&ask(&b, 1, 0, 100), 2),
        CounterReply::Elsewhere { held: 950 }
    );
    counters.apply(&report(&a, 2, 0, 800), 2);
    assert_eq!(
        counters.apply(&ask(&b, 2, 0, 100), 2),
        CounterReply::Elsewhere { held: 150 }
    );
    counters.apply(&report(&a, 3, 0, 101), 2);
    assert_eq!(counters.apply(&ask(&b, 3, 0, 100), 2), CounterReply::Spent);
    // What is left covers a smaller turn, or would if it came back.
    assert_eq!(
        counters.apply(&ask(&b, 4, 0, 99), 2),
        CounterReply::Elsewhere { held: 49 }
    );
    assert_eq!(granted(&counters.apply(&ask(&b, 5, 0, 50), 2)), 50);
}

#[test]
fn a_turn_is_put_off_while_own_turns_hold_what_it_lacks() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(
        admit(&mut book, &mut counters, 600, 1, 0),
        Admission::Admitted
    );
    let put_off = admit(&mut book, &mut counters, 600, 2, 10);
    assert!(
        matches!(put_off, Admission::Refused(Refusal::Elsewhere { .. })),
        "{put_off:?}"
    );

    book.used(1, 400);
    book.finish(1, 50);
    assert_eq!(
        admit(&mut book, &mut counters, 600, 2, 60),
        Admission::Admitted
    );
    book.used(2, 600);
    book.finish(2, 70);
    assert_eq!(
        admit(&mut book, &mut counters, 1, 3, 80),
        Admission::Refused(Refusal::Spent)
    );
}

#[test]
fn a_turn_larger_than_the_budget_is_spent_at_once() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(
        admit(&mut book, &mut counters, BUDGET + 1, 1, 0),
        Admission::Refused(Refusal::Spent)
    );
    assert_eq!(
        admit(&mut book, &mut counters, BUDGET, 2, 0),
        Admission::Admitted
    );
}

#[test]
fn spent_is_kept_for_turns_that_need_as_much_and_for_no_others() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(
        admit(&mut book, &mut counters, 900, 1, 0),
        Admission::Admitted
    );
    book.used(1, 900);
    assert_eq!(
        admit(&mut book, &mut counters, 101, 2, 10),
        Admission::Refused(Refusal::Spent)
    );
    assert_eq!(
        book.admit(PROGRAM, BUDGET, 101, 3, 20),
        Admission::Refused(Refusal::Spent)
    );
    assert_eq!(
        book.admit(PROGRAM, BUDGET, 500, 4, 20),
        Admission::Refused(Refusal::Spent)
    );
    assert_eq!(
        admit(&mut book, &mut counters, 100, 5, 20),
        Admission::Admitted
    );
    // A larger budget is another matter.
    asked(book.clone().admit(PROGRAM, BUDGET + 1, 101, 6, 30));
    // After a while the counter is asked anew.
    asked(book.admit(PROGRAM, BUDGET, 101, 6, 10_000));
}

#[test]
fn units_of_a_replaced_life_count_as_spent() {
    let mut counters = Counters::default();
    let (dead, b) = (limiter("a", 1), limiter("b", 1));
    counters.apply(&ask(&dead, 1, 0, 950), 2);
    assert_eq!(
        counters.apply(&ask(&b, 1, 0, 100), 2),
        CounterReply::Elsewhere { held: 950 }
    );
    // The machine's next life is heard, if only about another program.
    let mut other = ask(&limiter("a", 2), 1, 0, 10);
    other.program = "another".to_owned();
    counters.apply(&other, 2);
    assert_eq!(counters.apply(&ask(&b, 2, 0, 100), 2), CounterReply::Spent);
    assert_eq!(counters.held(PROGRAM), 950, "they stay spent");

    // A message of the old life proves that they were not used after all.
    let back = request(&dead, 2, BUDGET, CounterChange::Return { units: 900 });
    counters.apply(&back, 2);
    assert_eq!(granted(&counters.apply(&ask(&b, 3, 0, 100), 2)), 100);
}

#[test]
fn units_of_a_limiter_that_stays_silent_count_as_spent_after_a_bound() {
    let mut counters = Counters::default();
    let (silent, b) = (limiter("a", 1), limiter("b", 1));
    counters.apply(&ask(&silent, 1, 0, 950), 2);
    let mut spent_at = None;
    for step in 0..100 {
        let reply = counters.apply(&ask(&b, step + 1, step * 500, 100), 2);
        if reply == CounterReply::Spent {
            spent_at = Some(step * 500);
            break;
        }
        assert_eq!(reply, CounterReply::Elsewhere { held: 950 });
    }
    assert_eq!(spent_at, Some(15_000));
    // One that was only cut off may come back with them.
    counters.apply(
        &request(&silent, 2, BUDGET, CounterChange::Return { units: 950 }),
        2,
    );
    assert_eq!(granted(&counters.apply(&ask(&b, 101, 50_000, 100), 2)), 100);
}

#[test]
fn a_limiter_that_was_quiet_keeps_the_time_going_when_the_others_are_gone() {
    let mut counters = Counters::default();
    let quiet = limiter("quiet", 1);
    counters.apply(&ask(&quiet, 1, 0, 10), 2);
    let mut ticker = Ticker::new();
    ticker.pass(&mut counters, 300_000);
    let mut other = ask(&limiter("ticker", 1), 100, 300_000, 950);
    counters.apply(&other, 2);
    // The ticker dies with all it holds. The quiet one's own time lags behind by ten seconds and no more, so the
    // fifteen after which units count as spent begin then.
    other.sequence += 1;
    let mut spent_at = None;
    for step in 0..60 {
        let reply = counters.apply(&ask(&quiet, 2 + step, 300_000 + step * 500, 100), 2);
        if reply == CounterReply::Spent {
            spent_at = Some(step * 500);
            break;
        }
    }
    assert_eq!(spent_at, Some(25_000));
}

#[test]
fn a_limiter_whose_turn_runs_long_is_not_taken_for_dead() {
    let mut counters = Counters::default();
    let mut a = LeaseBook::new(limiter("a", 1));
    let b = limiter("b", 1);
    assert_eq!(admit(&mut a, &mut counters, 950, 1, 0), Admission::Admitted);
    for step in 0..120 {
        let now = step * 500;
        settle(&mut a, &mut counters, now);
        a.used(1, 1);
        let reply = counters.apply(&ask(&b, step + 1, now, 200), 2);
        assert!(
            matches!(reply, CounterReply::Elsewhere { .. }),
            "{reply:?} at {now}"
        );
    }
}

#[test]
fn turns_that_waited_get_their_verdicts_in_order() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    let first = asked(book.admit(PROGRAM, BUDGET, 400, 1, 0));
    assert_eq!(book.admit(PROGRAM, BUDGET, 400, 2, 1), Admission::Waiting);
    assert_eq!(book.admit(PROGRAM, BUDGET, 400, 3, 2), Admission::Waiting);
    assert_eq!(
        book.admit(PROGRAM, BUDGET, 400, 2, 3),
        Admission::Waiting,
        "asking again is allowed"
    );

    let reply = counters.apply(&first, 1);
    let outcomes = book.replied(&first, Some(&reply), 5);
    assert_eq!(outcomes.len(), 2, "{outcomes:?}");
    assert_eq!(
        (outcomes[0].turn, &outcomes[0].admission),
        (1, &Admission::Admitted)
    );
    assert_eq!(outcomes[1].turn, 2);
    let second = asked(outcomes[1].admission.clone());
    let reply = counters.apply(&second, 1);
    let outcomes = book.replied(&second, Some(&reply), 9);
    assert_eq!(
        (outcomes[0].turn, &outcomes[0].admission),
        (2, &Admission::Admitted)
    );
    assert_eq!(outcomes[1].turn, 3);
    let third = asked(outcomes[1].admission.clone());
    let reply = counters.apply(&third, 1);
    let put_off = verdict(book.replied(&third, Some(&reply), 13), 3);
    assert!(
        matches!(put_off, Admission::Refused(Refusal::Elsewhere { .. })),
        "{put_off:?}"
    );
}

#[test]
fn a_turn_that_waits_is_admitted_by_what_another_frees() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    assert_eq!(
        admit(&mut book, &mut counters, 400, 1, 0),
        Admission::Admitted
    );
    asked(book.admit(PROGRAM, BUDGET, 300, 2, 10));
    book.finish(1, 20);
    assert_eq!(verdict(book.outcomes(), 2), Admission::Admitted);
}

#[test]
fn a_turn_that_left_while_it_waited_gets_no_verdict_and_its_grant_goes_back() {
    let mut counters = Counters::default();
    let mut book = LeaseBook::new(limiter("a", 1));
    let sent = asked(book.admit(PROGRAM, BUDGET, 400, 1, 0));
    book.finish(1, 5);
    let reply = counters.apply(&sent, 1);
    assert!(book.replied(&sent, Some(&reply), 10).is_empty());
    settle(&mut book, &mut counters, 2_000);
    assert_eq!(counters.held(PROGRAM), 0);
}

#[test]
fn no_turn_waits_longer_than_the_bound_through_several_answers() {
    let mut book = LeaseBook::new(limiter("a", 1));
    let mut sent = asked(book.admit(PROGRAM, BUDGET, 100, 1, 0));
    for turn in 2..6 {
        assert_eq!(
            book.admit(PROGRAM, BUDGET, 100, turn, 0),
            Admission::Waiting
        );
    }
    // Each answer takes 400 ms and covers one turn.
    for (turn, now) in [(1, 400), (2, 800)] {
        let outcomes = book.replied(
            &sent,
            Some(&CounterReply::Granted {
                units: 100,
                left: 700,
            }),
            now,
        );
        assert_eq!(
            (outcomes[0].turn, &outcomes[0].admission),
            (turn, &Admission::Admitted)
        );
        sent = asked(outcomes[1].admission.clone());
    }
    book.due(1_000);
    let refused = book.outcomes();
    assert_eq!(
        refused
            .iter()
            .map(|outcome| outcome.turn)
            .collect::<Vec<_>>(),
        [3, 4, 5]
    );
    assert!(refused
        .iter()
        .all(|outcome| outcome.admission == Admission::Refused(Refusal::Silent)));
}

#[test]
fn each_try_may_outwait_a_short_silence_and_none_waits_through_a_long_one() {
    let mut book = LeaseBook::new(limiter("a", 1));
    let sent = asked(book.admit(PROGRAM, BUDGET, 100, 1, 0));
    let mut refused = Vec::new();
    let mut due = |book: &mut LeaseBook, now| {
        book.due(now);
        refused.extend(
            book.outcomes()
                .into_iter()
                .map(|outcome| (outcome.turn, now)),
        );
    };
    due(&mut book, 1_000);
    assert_eq!(
        book.admit(PROGRAM, BUDGET, 100, 2, 1_100),
        Admission::Waiting
    );
    due(&mut book, 2_100);
    assert_eq!(
        book.admit(PROGRAM, BUDGET, 100, 3, 2_200),
        Admission::Waiting
    );
    due(&mut book, 3_000);
    assert_eq!(
        book.admit(PROGRAM, BUDGET, 100, 4, 3_001),
        Admission::Refused(Refusal::Silent)
    );
    assert_eq!(refused, [(1, 1_000), (2, 2_100), (3, 3_000)]);

    let granted = CounterReply::Granted {
        units: 100,
        left: 900,
    };
    book.replied(&sent, Some(&granted), 3_100);
    assert_eq!(
        book.admit(PROGRAM, BUDGET, 100, 5, 3_101),
        Admission::Admitted
    );
}
