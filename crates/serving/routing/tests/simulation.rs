//! Simulations of agent programs on modelled engines, from fixed seeds: compares the balancer with baselines.

mod common;
mod fleet;

use common::digest::assert_digests;
use fleet::engine::EngineModel;
use fleet::result::ScenarioResult;
use fleet::router::BaselinePolicy;
use fleet::scenario::{Growth, Policy, Scenario};
use fleet::simulate;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;
/// Upper bound of the ratio between equally good policies, whose results differ by chance.
const EQUAL_TOLERANCE: f64 = 1.06;

/// A scenario with a load far below the engines' capacity.
fn quiet_scenario(seed: u64) -> Scenario {
    Scenario {
        seed,
        zones: 3,
        gateways: 9,
        engines: 12,
        model: EngineModel {
            slots: 24,
            queue: 8,
            kv_capacity: 220_000,
            step_ms: 5.5,
            step_per_request_ms: 0.25,
            prefill_tokens_per_ms: 39.0,
            prefill_budget: 512,
            chunk_tokens: 3,
            slowness: 1.0,
        },
        slow: vec![],
        frozen: None,
        programs_per_s: 18.0,
        length_ms: 20_000.0,
        turns: 5,
        subagent_probability: 0.1,
        subjects: 40,
        common_tokens: 800,
        subject_tokens: 1_760,
        turn_tokens: 600,
        output_tokens: 33,
        think_time_ms: 250.0,
        keeps_gateway: true,
        growth: Growth::LastSegment,
    }
}

/// A quiet scenario in which each turn of a program arrives at a random gateway of its zone.
fn roaming_scenario(seed: u64) -> Scenario {
    Scenario {
        keeps_gateway: false,
        ..quiet_scenario(seed)
    }
}

/// A scenario with a load close to the engines' capacity, provided that few tokens are prefilled twice.
fn busy_scenario(seed: u64) -> Scenario {
    Scenario {
        programs_per_s: 40.0,
        ..roaming_scenario(seed)
    }
}

/// The results of the four policies in the same scenarios.
struct Comparison {
    balanced: ScenarioResult,
    random: ScenarioResult,
    least_loaded: ScenarioResult,
    prefix_only: ScenarioResult,
}

impl Comparison {
    fn of(scenario: impl Fn(u64) -> Scenario) -> Self {
        Self {
            balanced: sum(&scenario, Policy::Balanced),
            random: sum(&scenario, Policy::Baseline(BaselinePolicy::Random)),
            least_loaded: sum(&scenario, Policy::Baseline(BaselinePolicy::LeastLoaded)),
            prefix_only: sum(&scenario, Policy::Baseline(BaselinePolicy::PrefixOnly)),
        }
    }

    fn baselines(&self) -> [(&'static str, &ScenarioResult); 3] {
        [
            ("random", &self.random),
            ("least loaded", &self.least_loaded),
            ("prefix only", &self.prefix_only),
        ]
    }

    /// Asserts that the balancer's `measure` is at most `factor` times that of every baseline.
    fn assert_at_most(
        &self,
        factor: f64,
        measure_name: &str,
        measure: impl Fn(&ScenarioResult) -> f64,
    ) {
        for (name, other) in self.baselines() {
            let (balanced, baseline) = (measure(&self.balanced), measure(other));
            assert!(
                balanced <= factor * baseline,
                "{measure_name}: balanced {balanced:.1}, {name} {baseline:.1}\nbalanced: {}\n{name}: {other}",
                self.balanced
            );
        }
    }
}

fn sum(scenario: &impl Fn(u64) -> Scenario, policy: Policy) -> ScenarioResult {
    let mut sum = ScenarioResult::default();
    for seed in SEEDS {
        sum.add(simulate(&scenario(seed), policy));
    }
    sum
}

fn recomputed(result: &ScenarioResult) -> f64 {
    result.recomputed_tokens() as f64
}

fn not_served(result: &ScenarioResult) -> f64 {
    result.failed as f64
}

#[test]
fn a_simulation_is_deterministic() {
    for policy in [
        Policy::Balanced,
        Policy::Baseline(BaselinePolicy::LeastLoaded),
    ] {
        let first = simulate(&busy_scenario(5), policy);
        let second = simulate(&busy_scenario(5), policy);
        assert_eq!(first.to_string(), second.to_string());
        assert_eq!(first.first_ms, second.first_ms);
    }
}

#[test]
fn at_low_load_first_tokens_are_as_early_as_with_every_baseline_and_turns_end_sooner() {
    let comparison = Comparison::of(quiet_scenario);
    comparison.assert_at_most(
        EQUAL_TOLERANCE,
        "first token",
        ScenarioResult::mean_first_ms,
    );
    comparison.assert_at_most(1.0, "turn", ScenarioResult::mean_turn_ms);
    assert!(recomputed(&comparison.balanced) <= 0.4 * recomputed(&comparison.random));
    assert!(recomputed(&comparison.balanced) <= 0.4 * recomputed(&comparison.least_loaded));
    assert_eq!(
        comparison.balanced.failed + comparison.balanced.rejected + comparison.balanced.deferred,
        0,
        "{}",
        comparison.balanced
    );
}

#[test]
fn programs_that_change_gateways_still_reach_their_cached_context() {
    let comparison = Comparison::of(roaming_scenario);
    comparison.assert_at_most(
        EQUAL_TOLERANCE,
        "first token",
        ScenarioResult::mean_first_ms,
    );
    comparison.assert_at_most(1.0, "turn", ScenarioResult::mean_turn_ms);
    assert!(recomputed(&comparison.balanced) <= 0.4 * recomputed(&comparison.random));
    assert!(recomputed(&comparison.balanced) <= 0.4 * recomputed(&comparison.least_loaded));
}

#[test]
fn prompts_that_grow_by_new_segments_are_cached_too() {
    let comparison = Comparison::of(|seed| Scenario {
        growth: Growth::NewSegments,
        ..roaming_scenario(seed)
    });
    comparison.assert_at_most(
        EQUAL_TOLERANCE,
        "first token",
        ScenarioResult::mean_first_ms,
    );
    comparison.assert_at_most(1.0, "turn", ScenarioResult::mean_turn_ms);
    assert!(recomputed(&comparison.balanced) <= 0.4 * recomputed(&comparison.least_loaded));
}

#[test]
fn near_capacity_the_balancer_is_far_better_than_every_baseline() {
    let comparison = Comparison::of(busy_scenario);
    comparison.assert_at_most(0.6, "first token", ScenarioResult::mean_first_ms);
    comparison.assert_at_most(0.75, "turn", ScenarioResult::mean_turn_ms);
    comparison.assert_at_most(0.6, "late", ScenarioResult::late_ratio);
    comparison.assert_at_most(1.1, "recomputed", recomputed);
    assert_eq!(comparison.balanced.failed, 0, "{}", comparison.balanced);
}

#[test]
fn a_prefix_shared_by_all_programs_does_not_overload_one_engine() {
    let comparison = Comparison::of(|seed| Scenario {
        subjects: 1,
        ..roaming_scenario(seed)
    });
    comparison.assert_at_most(0.7, "first token", ScenarioResult::mean_first_ms);
    comparison.assert_at_most(0.6, "recomputed", recomputed);
}

#[test]
fn slow_engines_get_fewer_requests() {
    let slow_scenario = |seed| Scenario {
        slow: vec![(0, 2.5), (4, 2.0)],
        ..roaming_scenario(seed)
    };
    let comparison = Comparison::of(slow_scenario);
    comparison.assert_at_most(0.95, "first token", ScenarioResult::mean_first_ms);
    comparison.assert_at_most(0.8, "turn", ScenarioResult::mean_turn_ms);
    comparison.assert_at_most(0.8, "late", ScenarioResult::late_ratio);
}

#[test]
fn beyond_the_engines_capacity_hardly_more_turns_fail_than_with_every_baseline() {
    let comparison = Comparison::of(|seed| Scenario {
        programs_per_s: 72.0,
        ..roaming_scenario(seed)
    });
    comparison.assert_at_most(1.1, "not served", not_served);
    let (balanced, random) = (&comparison.balanced, &comparison.random);
    assert!(
        balanced.mean_first_ms() <= 0.8 * random.mean_first_ms(),
        "balanced: {balanced}\nrandom: {random}"
    );
    assert!(
        recomputed(balanced) <= 0.8 * recomputed(random),
        "balanced: {balanced}\nrandom: {random}"
    );
}

#[test]
fn a_frozen_engine_is_avoided_early() {
    let comparison = Comparison::of(|seed| Scenario {
        frozen: Some((3, 6_000.0..14_000.0)),
        ..roaming_scenario(seed)
    });
    comparison.assert_at_most(0.7, "timed out", |result| result.timed_out as f64);
    comparison.assert_at_most(0.7, "slowest first tokens", |result| {
        result.first_ms_at(0.99)
    });
    comparison.assert_at_most(1.0, "late", ScenarioResult::late_ratio);
    assert_eq!(comparison.balanced.failed, 0, "{}", comparison.balanced);
}

/// A short scenario whose load, growth of prompts, and slow or frozen engines depend on the seed.
fn varied_scenario(seed: u64) -> Scenario {
    let growth = if seed.is_multiple_of(2) {
        Growth::LastSegment
    } else {
        Growth::NewSegments
    };
    Scenario {
        engines: 6,
        programs_per_s: [10.0, 20.0, 36.0, 48.0][seed as usize / 2 % 4],
        length_ms: 4_000.0,
        subjects: [1, 40, 10][seed as usize % 3],
        keeps_gateway: seed.is_multiple_of(5),
        slow: if seed % 3 == 1 {
            vec![(1, 2.5)]
        } else {
            vec![]
        },
        frozen: (seed % 4 == 3).then_some((2, 1_000.0..3_500.0)),
        growth,
        ..quiet_scenario(seed)
    }
}

/// Detects unintended changes of choices: each seed must have the digest in `fixtures/engine_day_digests.txt`, which
/// was recorded with an earlier version of the code.
#[test]
fn simulations_keep_their_digests() {
    assert_digests(
        |seed| fleet::digest(&varied_scenario(seed)),
        include_str!("fixtures/engine_day_digests.txt"),
    );
}
