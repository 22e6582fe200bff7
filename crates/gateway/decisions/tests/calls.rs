//! The price of a call to the counter, against a counter that answers so many a second in turn.

use dunespur_decisions::calls::Calls;
use dunespur_decisions::types::Counted;

/// Limiters that ask at random, before a counter that answers so many a second in turn; the calls of
/// each stake that were answered in time and failed, in the second half.
fn day(limiters: usize, tries: f64, bears: f64) -> ([f64; 2], f64) {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut each: Vec<Calls> = (0..limiters).map(|_| Calls::new(0.05, 0.02, 1.0)).collect();
    let (mut queue_ends, mut asked, mut failed) = (0.0f64, [0.0; 2], 0.0);
    let (steps, step) = ((20.0 * tries) as usize, 1.0 / tries);
    let mut late = std::collections::VecDeque::new();
    for i in 0..steps {
        let now = i as f64 * step;
        while late
            .front()
            .is_some_and(|&(at, ..): &(f64, usize, Counted, f64)| at <= now)
        {
            if let Some((at, who, counted, spent)) = late.pop_front() {
                each[who].heard(counted, spent, at);
            }
        }
        let (who, kind) = (rng.usize(..limiters), usize::from(rng.f64() < 0.5));
        if !each[who].open([0.2, 1.0][kind], rng.f64(), now) {
            continue;
        }
        // It turns calls away from a line of two time-outs, and works on those that nobody awaits.
        let (line, full) = (queue_ends.max(now) + 1.0 / bears - now, 0.1);
        queue_ends = if line < full { now + line } else { queue_ends };
        let spent = if line < full { line.min(0.05) } else { 0.001 };
        let counted = match line {
            line if line >= full => Counted::Refused,
            line if line >= 0.05 => Counted::Silent,
            _ => Counted::Total(0.0),
        };
        late.push_back((now + spent, who, counted, spent));
        if i > steps / 2 {
            asked[kind] += 1.0;
            failed += f64::from(u8::from(counted != Counted::Total(0.0)));
        }
    }
    (
        asked.map(|n| n / 10.0),
        failed / f64::max(asked[0] + asked[1], 1.0),
    )
}

#[test]
fn calls_of_all_come_to_what_the_counter_bears() {
    for limiters in [3, 30, 300] {
        let (asked, failed) = day(limiters, 2000.0, 600.0);
        let all = asked[0] + asked[1];
        assert!(
            (350.0..=1000.0).contains(&all),
            "{all} a second of 600 by {limiters} limiters"
        );
        assert!(
            failed < 0.4,
            "{failed} of the calls of {limiters} limiters failed, 0.7 if all were made"
        );
        assert!(
            asked[1] > 2.0 * asked[0],
            "{asked:?}: as many went where they are worth little"
        );
    }
}

#[test]
fn all_are_asked_about_where_the_counter_bears_it() {
    let (asked, failed) = day(30, 500.0, 5000.0);
    assert!(
        asked[0] + asked[1] > 490.0 && failed == 0.0,
        "{asked:?} of 500, {failed} failed"
    );
}

#[test]
fn a_silence_begins_with_the_first_failure_and_ends_with_an_answer() {
    let mut calls = Calls::new(0.05, 0.02, 1.0);
    (0..2).for_each(|i| calls.heard(Counted::Silent, 0.05, 10.0 + f64::from(i)));
    assert_eq!(calls.silent_since(), None, "two failures are no silence");
    calls.heard(Counted::Refused, 0.001, 12.0);
    assert_eq!(calls.silent_since(), Some(10.0));
    assert!(
        calls.open(0.0, 0.9, 13.0) && !calls.open(0.0, 0.9, 13.5) && calls.open(0.0, 0.9, 14.3)
    );
    calls.heard(Counted::Total(1.0), 0.001, 15.0);
    assert_eq!((calls.silent_since(), calls.silent_until()), (None, 15.0));
}

#[test]
fn a_counter_that_answers_at_once_is_used_after_a_few_answers() {
    // A limiter with two calls a second took 20 s to believe it, and hundreds let in unasked meanwhile.
    let mut calls = Calls::new(0.05, 0.02, 1.0);
    (0..4).for_each(|_| calls.heard(Counted::Silent, 0.05, 1.0));
    (0..15).for_each(|_| calls.heard(Counted::Total(1.0), 0.003, 2.0));
    let asked = (0..100)
        .filter(|i| calls.open(0.1, f64::from(*i) / 100.0, 2.1))
        .count();
    assert!(asked > 90, "{asked} of 100 calls worth a tenth of the mean");
}
