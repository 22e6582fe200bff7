//! The price of a call to the counter, against a counter that answers so many a second in turn.

use dunespur_decisions::counter_price::CounterPrice;
use dunespur_decisions::types::Counted;

/// Limiters that ask at random, before a counter that answers so many a second in turn; the calls of
/// each stake that were answered in time and failed, in the second half.
fn play(limiters: usize, invocations: f64, calls_per_second: f64) -> ([f64; 2], f64) {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut prices: Vec<CounterPrice> = (0..limiters)
        .map(|_| CounterPrice::new(0.05, 0.02, 1.0))
        .collect();
    let (mut queue_ends, mut asked, mut failed) = (0.0f64, [0.0; 2], 0.0);
    let (steps, step) = ((20.0 * invocations) as usize, 1.0 / invocations);
    let mut late = std::collections::VecDeque::new();
    for i in 0..steps {
        let now = i as f64 * step;
        while late
            .front()
            .is_some_and(|&(at, ..): &(f64, usize, Counted, f64)| at <= now)
        {
            if let Some((at, limiter, counted, spent)) = late.pop_front() {
                prices[limiter].record(counted, spent, at);
            }
        }
        let (limiter, kind) = (rng.usize(..limiters), usize::from(rng.f64() < 0.5));
        if !prices[limiter].admits([0.2, 1.0][kind], rng.f64(), now) {
            continue;
        }
        // The counter rejects calls from a queue of two time-outs on, and works on those that nobody awaits.
        let (delay, max_delay) = (queue_ends.max(now) + 1.0 / calls_per_second - now, 0.1);
        queue_ends = if delay < max_delay {
            now + delay
        } else {
            queue_ends
        };
        let spent = if delay < max_delay {
            delay.min(0.05)
        } else {
            0.001
        };
        let counted = match delay {
            delay if delay >= max_delay => Counted::Refused,
            delay if delay >= 0.05 => Counted::Silent,
            _ => Counted::Total(0.0),
        };
        late.push_back((now + spent, limiter, counted, spent));
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
fn calls_of_all_limiters_add_up_to_the_capacity_of_the_counter() {
    for limiters in [3, 30, 300] {
        let (asked, failed) = play(limiters, 2000.0, 600.0);
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
            "{asked:?}: as many went where little is at stake"
        );
    }
}

#[test]
fn every_call_goes_out_where_the_counter_has_capacity() {
    let (asked, failed) = play(30, 500.0, 5000.0);
    assert!(
        asked[0] + asked[1] > 490.0 && failed == 0.0,
        "{asked:?} of 500, {failed} failed"
    );
}

#[test]
fn an_outage_begins_with_the_first_failure_and_ends_with_an_answer() {
    let mut price = CounterPrice::new(0.05, 0.02, 1.0);
    (0..2).for_each(|i| price.record(Counted::Silent, 0.05, 10.0 + f64::from(i)));
    assert_eq!(price.outage_since(), None, "two failures are no outage");
    price.record(Counted::Refused, 0.001, 12.0);
    assert_eq!(price.outage_since(), Some(10.0));
    assert!(
        price.admits(0.0, 0.9, 13.0)
            && !price.admits(0.0, 0.9, 13.5)
            && price.admits(0.0, 0.9, 14.3)
    );
    price.record(Counted::Total(1.0), 0.001, 15.0);
    assert_eq!((price.outage_since(), price.outage_ended()), (None, 15.0));
}

#[test]
fn a_counter_that_answers_at_once_is_used_after_a_few_answers() {
    // A limiter with two calls a second took 20 s to believe it, and hundreds admitted without it meanwhile.
    let mut price = CounterPrice::new(0.05, 0.02, 1.0);
    (0..4).for_each(|_| price.record(Counted::Silent, 0.05, 1.0));
    (0..15).for_each(|_| price.record(Counted::Total(1.0), 0.003, 2.0));
    let asked = (0..100)
        .filter(|i| price.admits(0.1, f64::from(*i) / 100.0, 2.1))
        .count();
    assert!(asked > 90, "{asked} of 100 calls worth a tenth of the mean");
}
