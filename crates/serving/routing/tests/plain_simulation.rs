//! Simulations, from fixed seeds, of requests to servers that are not model engines: compares the balancer with
//! baselines, also while a server fails.

mod common;
mod plain_fleet;

use common::digest::assert_digests;
use plain_fleet::{digest, simulate, Policy, Scenario, ScenarioResult, SERVERS, SIMULATION_US};

/// Length of the simulations whose digests are compared.
const DIGEST_SIMULATION_US: u64 = 4_000_000;

fn sum(scenario: impl Fn(u64) -> Scenario, policy: Policy) -> ScenarioResult {
    let mut sum = ScenarioResult::default();
    for seed in 1..=3 {
        let result = simulate(&scenario(seed), policy);
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

fn scenario(seed: u64, requests_per_s: f64) -> Scenario {
    Scenario {
        seed,
        requests_per_s,
        slowness: [0.8, 1.0, 1.4, 0.9, 1.1, 1.8, 1.0],
        failing: None,
        length_us: SIMULATION_US,
    }
}

/// Simulates the same scenarios with the balancer and with each baseline.
fn compare(rate: f64) -> [ScenarioResult; 3] {
    [Policy::Balanced, Policy::Random, Policy::LeastOwnRequests]
        .map(|policy| sum(|seed| scenario(seed, rate), policy))
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
        let failing = |seed| Scenario {
            failing: Some((1, 5_000_000..10_000_000)),
            ..scenario(seed, rate)
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

/// A short scenario whose load and failing server depend on the seed.
fn varied_scenario(seed: u64) -> Scenario {
    Scenario {
        failing: (seed % 2 == 1).then_some((seed as usize % SERVERS, 500_000..2_000_000)),
        length_us: DIGEST_SIMULATION_US,
        ..scenario(seed, [50.0, 250.0, 450.0, 800.0][seed as usize / 2 % 4])
    }
}

/// Detects unintended changes of choices: each seed must have the digest in `fixtures/plain_day_digests.txt`, which was
/// recorded with an earlier version of the code.
#[test]
fn simulations_keep_their_digests() {
    assert_digests(
        |seed| digest(&varied_scenario(seed)),
        include_str!("fixtures/plain_day_digests.txt"),
    );
}
