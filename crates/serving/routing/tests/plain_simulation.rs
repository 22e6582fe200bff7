//! Simulated days of requests on modelled servers without an engine, from fixed seeds: compares the balancer with
//! baselines, also while a server fails.

mod common;
mod plain_fleet;

use common::digest::assert_digests;
use plain_fleet::{digest, simulate, Day, DayResult, Policy, LENGTH_US, SERVERS};

const DIGEST_LENGTH_US: u64 = 4_000_000;

fn sum(day: impl Fn(u64) -> Day, policy: Policy) -> DayResult {
    let mut sum = DayResult::default();
    for seed in 1..=3 {
        let result = simulate(&day(seed), policy);
        sum.requests += result.requests;
        sum.not_served += result.not_served;
        sum.late += result.late;
        sum.total_us += result.total_us;
        sum.served += result.served;
        sum.cross_zone += result.cross_zone;
        sum.failed_dispatches += result.failed_dispatches;
        sum.dispatches_after_fault += result.dispatches_after_fault;
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

/// Simulates the same days with the balancer and with each baseline.
fn compare(rate: f64) -> [DayResult; 3] {
    [Policy::Balanced, Policy::Random, Policy::LeastOwnRequests]
        .map(|policy| sum(|seed| day(seed, rate), policy))
}

#[test]
fn responses_come_sooner_than_with_baselines_and_fewer_cross_zones() {
    for rate in [50.0, 150.0, 250.0, 350.0] {
        let [balanced, random, least_own] = compare(rate);
        assert!(
            balanced.mean_ms() <= random.mean_ms(),
            "{rate}: {balanced:?} {random:?}"
        );
        assert!(
            balanced.mean_ms() <= least_own.mean_ms(),
            "{rate}: {balanced:?} {least_own:?}"
        );
        assert!(
            balanced.cross_zone * 2 <= least_own.cross_zone,
            "{rate}: {balanced:?} {least_own:?}"
        );
        assert!(
            balanced.not_served <= least_own.not_served + balanced.requests / 2_000,
            "{rate}: {balanced:?} {least_own:?}"
        );
    }
}

#[test]
fn a_random_choice_is_much_slower_at_half_load() {
    let [balanced, random, _] = compare(250.0);
    assert!(
        balanced.mean_ms() <= 0.85 * random.mean_ms(),
        "{balanced:?} {random:?}"
    );
    assert!(balanced.late * 10 <= random.late, "{balanced:?} {random:?}");
}

#[test]
fn near_and_beyond_the_servers_capacity_hardly_more_requests_fail() {
    for rate in [450.0, 600.0] {
        let [balanced, random, least_own] = compare(rate);
        for other in [random, least_own] {
            let bound = other.not_served + other.requests / 50;
            assert!(
                balanced.not_served <= bound,
                "{rate}: {balanced:?} {other:?}"
            );
        }
    }
}

#[test]
fn a_failing_server_is_ejected_and_used_again_after_it_has_recovered() {
    for rate in [50.0, 250.0] {
        let failing = |seed| Day {
            failing: Some((1, 5_000_000..10_000_000)),
            ..day(seed, rate)
        };
        let [balanced, least_own] =
            [Policy::Balanced, Policy::LeastOwnRequests].map(|policy| sum(failing, policy));
        assert!(
            balanced.failed_dispatches * 2 <= least_own.failed_dispatches + 10,
            "{balanced:?} {least_own:?}"
        );
        assert!(
            balanced.dispatches_after_fault * 3 >= least_own.dispatches_after_fault,
            "{balanced:?} {least_own:?}"
        );
        assert_eq!(balanced.not_served, 0, "{balanced:?}");
    }
}

/// A short day whose load and failing server depend on the seed.
fn varied_day(seed: u64) -> Day {
    Day {
        failing: (seed % 2 == 1).then_some((seed as usize % SERVERS, 500_000..2_000_000)),
        length_us: DIGEST_LENGTH_US,
        ..day(seed, [50.0, 250.0, 450.0, 800.0][seed as usize / 2 % 4])
    }
}

/// Guards against changed choices: each seed must give the digest that an earlier version stored.
#[test]
fn days_keep_their_digests() {
    assert_digests(
        |seed| digest(&varied_day(seed)),
        include_str!("fixtures/plain_day_digests.txt"),
    );
}
