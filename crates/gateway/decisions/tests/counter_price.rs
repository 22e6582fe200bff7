//! The price of a counter call, with a counter that serves a fixed number of calls per second in order.

use dunespur_decisions::counter_price::CounterPrice;
use dunespur_decisions::types::CounterReply;

/// Runs limiters with random invocations for 20 s against a counter that serves `calls_per_second` in order. Returns
/// the calls per second for each of two stakes and the share of failed calls, both in the second half.
fn simulate(limiters: usize, invocations: f64, calls_per_second: f64) -> ([f64; 2], f64) {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut prices: Vec<CounterPrice> = (0..limiters)
        .map(|_| CounterPrice::new(0.05, 0.02, 1.0))
        .collect();
    let (mut queue_ends, mut calls, mut failed) = (0.0f64, [0.0; 2], 0.0);
    let (steps, step) = ((20.0 * invocations) as usize, 1.0 / invocations);
    let mut replies = std::collections::VecDeque::new();
    for i in 0..steps {
        let now = i as f64 * step;
        while replies
            .front()
            .is_some_and(|&(at, ..): &(f64, usize, CounterReply, f64)| at <= now)
        {
            if let Some((at, limiter, reply, duration)) = replies.pop_front() {
                prices[limiter].record(reply, duration, at);
            }
        }
        let (limiter, stake) = (rng.usize(..limiters), usize::from(rng.f64() < 0.5));
        if !prices[limiter].admits([0.2, 1.0][stake], rng.f64(), now) {
            continue;
        }
        // The counter refuses calls if its queue is two time-outs long, and also serves calls that have timed out.
        let (delay, max_delay) = (queue_ends.max(now) + 1.0 / calls_per_second - now, 0.1);
        queue_ends = if delay < max_delay {
            now + delay
        } else {
            queue_ends
        };
        let duration = if delay < max_delay {
            delay.min(0.05)
        } else {
            0.001
        };
        let reply = match delay {
            delay if delay >= max_delay => CounterReply::Refused,
            delay if delay >= 0.05 => CounterReply::NoReply,
            _ => CounterReply::Total(0.0),
        };
        replies.push_back((now + duration, limiter, reply, duration));
        if i > steps / 2 {
            calls[stake] += 1.0;
            failed += f64::from(u8::from(reply != CounterReply::Total(0.0)));
        }
    }
    (
        calls.map(|n| n / 10.0),
        failed / f64::max(calls[0] + calls[1], 1.0),
    )
}

#[test]
fn calls_of_all_limiters_add_up_to_the_capacity_of_the_counter() {
    for limiters in [3, 30, 300] {
        let (calls, failed) = simulate(limiters, 2000.0, 600.0);
        let all = calls[0] + calls[1];
        assert!(
            (350.0..=1000.0).contains(&all),
            "{all} calls a second by {limiters} limiters to a counter that serves 600"
        );
        assert!(
            failed < 0.4,
            "a share of {failed} of the calls of {limiters} limiters failed; it would be 0.7 if all calls were made"
        );
        assert!(
            calls[1] > 2.0 * calls[0],
            "{calls:?} calls a second by stake: too many with the low stake"
        );
    }
}

#[test]
fn every_call_goes_out_where_the_counter_has_capacity() {
    let (calls, failed) = simulate(30, 500.0, 5000.0);
    assert!(
        calls[0] + calls[1] > 490.0 && failed == 0.0,
        "{calls:?} calls a second by stake for 500 invocations, a share of {failed} failed"
    );
}

#[test]
fn an_outage_begins_with_the_first_failure_and_ends_with_an_answer() {
    let mut price = CounterPrice::new(0.05, 0.02, 1.0);
    (0..2).for_each(|i| price.record(CounterReply::NoReply, 0.05, 10.0 + f64::from(i)));
    assert_eq!(
        price.outage_since(),
        None,
        "two failures must not count as an outage"
    );
    price.record(CounterReply::Refused, 0.001, 12.0);
    assert_eq!(price.outage_since(), Some(10.0));
    assert!(
        price.admits(0.0, 0.9, 13.0)
            && !price.admits(0.0, 0.9, 13.5)
            && price.admits(0.0, 0.9, 14.3)
    );
    price.record(CounterReply::Total(1.0), 0.001, 15.0);
    assert_eq!((price.outage_since(), price.outage_ended()), (None, 15.0));
}

#[test]
fn a_counter_that_answers_at_once_is_used_after_a_few_answers() {
    // Guards against slow recovery: a limiter with two calls a second took 20 s to use the counter again, and hundreds
    // of limiters admitted without it meanwhile.
    let mut price = CounterPrice::new(0.05, 0.02, 1.0);
    (0..4).for_each(|_| price.record(CounterReply::NoReply, 0.05, 1.0));
    (0..15).for_each(|_| price.record(CounterReply::Total(1.0), 0.003, 2.0));
    let calls = (0..100)
        .filter(|i| price.admits(0.1, f64::from(*i) / 100.0, 2.1))
        .count();
    assert!(
        calls > 90,
        "{calls} of 100 calls with a stake of a tenth of the mean were made"
    );
}
