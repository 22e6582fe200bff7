//! Seeded days of requests on modelled servers without an engine: the balancer against baselines, and servers that
//! fail.

mod common;
mod plain_fleet;

use common::digest::assert_digests;
use plain_fleet::{digest, play, Day, DayResult, Policy, LENGTH_US, SERVERS};

const DIGEST_LENGTH_US: u64 = 4_000_000;

fn sum(day: impl Fn(u64) -> Day, policy: Policy) -> DayResult {
    let mut sum = DayResult::default();
    for seed in 1..=3 {
        let result = play(&day(seed), policy);
        sum.requests += result.requests;
        sum.not_served += result.not_served;
        sum.late += result.late;
        sum.took_us += result.took_us;
        sum.served += result.served;
        sum.other_zone += result.other_zone;
        sum.failed_dispatches += result.failed_dispatches;
        sum.dispatches_after += result.dispatches_after;
    }
    sum
}

fn day(seed: u64, requests_per_s: f64) -> Day {
    Day {
        seed,
        requests_per_s,
        slowness: [0.8, 1.0, 1.4, 0.9, 1.1, 1.8, 1.0],
        failing: None,
        length_us: LENGTH_US,
    }
}

/// The figures of the balancer and of the baselines on the same days.
fn compare(rate: f64) -> [DayResult; 3] {
    [Policy::Balanced, Policy::Random, Policy::OwnLeast]
        .map(|policy| sum(|seed| day(seed, rate), policy))
}

#[test]
fn responses_come_sooner_than_with_baselines_and_fewer_cross_zones() {
    for rate in [50.0, 150.0, 250.0, 350.0] {
        let [balanced, random, own_least] = compare(rate);
        assert!(
            balanced.mean_ms() <= random.mean_ms(),
            "{rate}: {balanced:?} {random:?}"
        );
        assert!(
            balanced.mean_ms() <= own_least.mean_ms(),
            "{rate}: {balanced:?} {own_least:?}"
        );
        assert!(
            balanced.other_zone * 2 <= own_least.other_zone,
            "{rate}: {balanced:?} {own_least:?}"
        );
        assert!(
            balanced.not_served <= own_least.not_served + balanced.requests / 2_000,
            "{rate}: {balanced:?} {own_least:?}"
        );
    }
}

#[test]
fn a_random_choice_is_far_behind_where_servers_are_half_full() {
    let [balanced, random, _] = compare(250.0);
    assert!(
        balanced.mean_ms() <= 0.85 * random.mean_ms(),
        "{balanced:?} {random:?}"
    );
    assert!(balanced.late * 10 <= random.late, "{balanced:?} {random:?}");
}

#[test]
fn near_and_beyond_what_servers_can_do_hardly_more_is_lost() {
    for rate in [450.0, 600.0] {
        let [balanced, random, own_least] = compare(rate);
        for other in [random, own_least] {
            let bound = other.not_served + other.requests / 50;
            assert!(
                balanced.not_served <= bound,
                "{rate}: {balanced:?} {other:?}"
            );
        }
    }
}

#[test]
fn a_failing_server_is_ejected_and_used_again_when_it_has_recovered() {
    for rate in [50.0, 250.0] {
        let failing = |seed| Day {
            failing: Some((1, 5_000_000..10_000_000)),
            ..day(seed, rate)
        };
        let [balanced, own_least] =
            [Policy::Balanced, Policy::OwnLeast].map(|policy| sum(failing, policy));
        assert!(
            balanced.failed_dispatches * 2 <= own_least.failed_dispatches + 10,
            "{balanced:?} {own_least:?}"
        );
        assert!(
            balanced.dispatches_after * 3 >= own_least.dispatches_after,
            "{balanced:?} {own_least:?}"
        );
        assert_eq!(balanced.not_served, 0, "{balanced:?}");
    }
}

/// Short days of all kinds: by the seed the load, and a server that fails.
fn varied_day(seed: u64) -> Day {
    Day {
        failing: (seed % 2 == 1).then_some((seed as usize % SERVERS, 500_000..2_000_000)),
        length_us: DIGEST_LENGTH_US,
        ..day(seed, [50.0, 250.0, 450.0, 800.0][seed as usize / 2 % 4])
    }
}

/// A seed gives the same day in every version.
#[test]
fn days_keep_their_digests() {
    assert_digests(
        |seed| digest(&varied_day(seed)),
        include_str!("fixtures/plain_day_digests.txt"),
    );
}
