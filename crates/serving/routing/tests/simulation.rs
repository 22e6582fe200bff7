//! Seeded days of agent programs on modelled engines: the balancer against baselines.

mod common;
mod fleet;

use common::digest::assert_digests;
use fleet::day::{Day, Growth, Policy};
use fleet::engine::EngineModel;
use fleet::play;
use fleet::result::DayResult;
use fleet::router::BaselinePolicy;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;
/// A random difference between two policies that are equally good.
const AS_GOOD: f64 = 1.06;

/// Far below what the engines can do.
fn quiet_day(seed: u64) -> Day {
    Day {
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
        subagents: 0.1,
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

/// A program's turns come through any gateway of its zone.
fn roaming_day(seed: u64) -> Day {
    Day {
        keeps_gateway: false,
        ..quiet_day(seed)
    }
}

/// Close to what the engines can do if little is prefilled twice.
fn busy_day(seed: u64) -> Day {
    Day {
        programs_per_s: 40.0,
        ..roaming_day(seed)
    }
}

/// The figures of the four policies on the same days.
struct Comparison {
    balanced: DayResult,
    random: DayResult,
    least_loaded: DayResult,
    prefix_only: DayResult,
}

impl Comparison {
    fn of(day: impl Fn(u64) -> Day) -> Self {
        Self {
            balanced: sum(&day, Policy::Balanced),
            random: sum(&day, Policy::Baseline(BaselinePolicy::Random)),
            least_loaded: sum(&day, Policy::Baseline(BaselinePolicy::LeastLoaded)),
            prefix_only: sum(&day, Policy::Baseline(BaselinePolicy::PrefixOnly)),
        }
    }

    fn others(&self) -> [(&'static str, &DayResult); 3] {
        [
            ("random", &self.random),
            ("least loaded", &self.least_loaded),
            ("prefix only", &self.prefix_only),
        ]
    }

    /// The balancer's `measure` is at most `factor` times every baseline's.
    fn assert_at_most(&self, factor: f64, what: &str, measure: impl Fn(&DayResult) -> f64) {
        for (name, other) in self.others() {
            let (balanced, theirs) = (measure(&self.balanced), measure(other));
            assert!(
                balanced <= factor * theirs,
                "{what}: balanced {balanced:.1}, {name} {theirs:.1}\nours: {}\n{name}: {other}",
                self.balanced
            );
        }
    }
}

fn sum(day: &impl Fn(u64) -> Day, policy: Policy) -> DayResult {
    let mut sum = DayResult::default();
    for seed in SEEDS {
        sum.add(play(&day(seed), policy));
    }
    sum
}

fn recomputed(result: &DayResult) -> f64 {
    result.recomputed_tokens() as f64
}

fn not_served(result: &DayResult) -> f64 {
    result.failed as f64
}

#[test]
fn a_day_is_the_same_each_time() {
    for policy in [
        Policy::Balanced,
        Policy::Baseline(BaselinePolicy::LeastLoaded),
    ] {
        let first = play(&busy_day(5), policy);
        let second = play(&busy_day(5), policy);
        assert_eq!(first.to_string(), second.to_string());
        assert_eq!(first.first_ms, second.first_ms);
    }
}

#[test]
fn on_a_quiet_day_first_tokens_come_as_soon_as_with_any_baseline_and_turns_end_sooner() {
    let days = Comparison::of(quiet_day);
    days.assert_at_most(AS_GOOD, "first token", DayResult::mean_first_ms);
    days.assert_at_most(1.0, "turn", DayResult::mean_turn_ms);
    assert!(recomputed(&days.balanced) <= 0.4 * recomputed(&days.random));
    assert!(recomputed(&days.balanced) <= 0.4 * recomputed(&days.least_loaded));
    assert_eq!(
        days.balanced.failed + days.balanced.rejected + days.balanced.deferred,
        0,
        "{}",
        days.balanced
    );
}

#[test]
fn programs_that_come_through_any_gateway_still_find_their_context() {
    let days = Comparison::of(roaming_day);
    days.assert_at_most(AS_GOOD, "first token", DayResult::mean_first_ms);
    days.assert_at_most(1.0, "turn", DayResult::mean_turn_ms);
    assert!(recomputed(&days.balanced) <= 0.4 * recomputed(&days.random));
    assert!(recomputed(&days.balanced) <= 0.4 * recomputed(&days.least_loaded));
}

#[test]
fn prompts_whose_turns_are_segments_of_their_own_are_cached_too() {
    let days = Comparison::of(|seed| Day {
        growth: Growth::NewSegments,
        ..roaming_day(seed)
    });
    days.assert_at_most(AS_GOOD, "first token", DayResult::mean_first_ms);
    days.assert_at_most(1.0, "turn", DayResult::mean_turn_ms);
    assert!(recomputed(&days.balanced) <= 0.4 * recomputed(&days.least_loaded));
}

#[test]
fn on_a_busy_day_the_balancer_is_far_ahead() {
    let days = Comparison::of(busy_day);
    days.assert_at_most(0.6, "first token", DayResult::mean_first_ms);
    days.assert_at_most(0.75, "turn", DayResult::mean_turn_ms);
    days.assert_at_most(0.6, "late", DayResult::late_ratio);
    days.assert_at_most(1.1, "recomputed", recomputed);
    assert_eq!(days.balanced.failed, 0, "{}", days.balanced);
}

#[test]
fn one_shared_prefix_for_all_does_not_crowd_one_engine() {
    let days = Comparison::of(|seed| Day {
        subjects: 1,
        ..roaming_day(seed)
    });
    days.assert_at_most(0.7, "first token", DayResult::mean_first_ms);
    days.assert_at_most(0.6, "recomputed", recomputed);
}

#[test]
fn slow_engines_get_less() {
    let slow_day = |seed| Day {
        slow: vec![(0, 2.5), (4, 2.0)],
        ..roaming_day(seed)
    };
    let days = Comparison::of(slow_day);
    days.assert_at_most(0.95, "first token", DayResult::mean_first_ms);
    days.assert_at_most(0.8, "turn", DayResult::mean_turn_ms);
    days.assert_at_most(0.8, "late", DayResult::late_ratio);
}

#[test]
fn beyond_the_engines_capacity_hardly_more_is_lost_than_with_any_baseline() {
    let days = Comparison::of(|seed| Day {
        programs_per_s: 72.0,
        ..roaming_day(seed)
    });
    days.assert_at_most(1.1, "not served", not_served);
    let (balanced, random) = (&days.balanced, &days.random);
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
fn a_frozen_engine_is_left_early() {
    let days = Comparison::of(|seed| Day {
        frozen: Some((3, 6_000.0..14_000.0)),
        ..roaming_day(seed)
    });
    days.assert_at_most(0.7, "silent", |result| result.timed_out as f64);
    days.assert_at_most(0.7, "slowest first tokens", |result| {
        result.first_ms_at(0.99)
    });
    days.assert_at_most(1.0, "late", DayResult::late_ratio);
    assert_eq!(days.balanced.failed, 0, "{}", days.balanced);
}

/// Short days of all kinds: by the seed the load, the growth of prompts, and engines that are slow or frozen.
fn varied_day(seed: u64) -> Day {
    let growth = if seed.is_multiple_of(2) {
        Growth::LastSegment
    } else {
        Growth::NewSegments
    };
    Day {
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
        ..quiet_day(seed)
    }
}

/// A seed gives the same day in every version.
#[test]
fn days_keep_their_digests() {
    assert_digests(
        |seed| fleet::digest(&varied_day(seed)),
        include_str!("fixtures/engine_day_digests.txt"),
    );
}
