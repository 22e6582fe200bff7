//! When endpoints are ejected, for how long, and how they return.

use super::*;

#[test]
fn consecutive_failures_eject_a_server_and_it_returns_by_slow_start() {
    let mut health = OutlierDetector::for_server();
    health.record(HealthSignal::Failure, 0);
    health.record(HealthSignal::Failure, 1);
    assert!(!health.is_ejected(1));
    health.record(HealthSignal::Failure, 2);
    assert!(health.is_ejected(2));
    assert!(health.is_ejected(1 + FAILURE_EJECTION_MS));
    assert!(!health.is_ejected(2 + FAILURE_EJECTION_MS));
    assert!((health.capacity_factor(2 + FAILURE_EJECTION_MS) - SLOW_START_CAPACITY).abs() < 1e-9);
    let halfway = health.capacity_factor(2 + FAILURE_EJECTION_MS + FAILURE_EJECTION_MS);
    assert!(halfway > SLOW_START_CAPACITY && halfway < 1.0);
    assert_eq!(
        health.state(2 + 3 * FAILURE_EJECTION_MS),
        HealthState::Healthy
    );
}

#[test]
fn the_ejection_time_grows_with_each_relapse_and_is_bounded() {
    let mut health = OutlierDetector::for_server();
    let mut now = 0;
    let mut before = 0;
    for relapse in 0..8 {
        health.record(HealthSignal::Unreachable, now);
        let duration_ms = health.remaining_ejection_ms(now);
        assert!(duration_ms >= before);
        assert!(duration_ms <= UNREACHABLE_EJECTION_MS << MAX_DOUBLINGS);
        assert_eq!(
            duration_ms,
            UNREACHABLE_EJECTION_MS << relapse.min(MAX_DOUBLINGS)
        );
        before = duration_ms;
        now += duration_ms;
    }
}

#[test]
fn requests_that_fail_together_are_one_fault() {
    let mut health = OutlierDetector::for_server();
    health.record(HealthSignal::Timeout, 0);
    let until = health.remaining_ejection_ms(0);
    for _ in 0..20 {
        health.record(HealthSignal::Timeout, 5);
    }
    assert_eq!(health.remaining_ejection_ms(0), until);
}

#[test]
fn a_ratio_of_failures_between_successes_counts_too() {
    let mut health = OutlierDetector::for_server();
    for now in 0..10 {
        let signal = if now % 2 == 0 {
            HealthSignal::Success
        } else {
            HealthSignal::Failure
        };
        health.record(signal, now);
    }
    assert!(health.is_ejected(10));
    let mut rarely = OutlierDetector::for_server();
    for now in 0..100 {
        let signal = if now % 5 == 0 {
            HealthSignal::Failure
        } else {
            HealthSignal::Success
        };
        rarely.record(signal, now);
        assert!(!rarely.is_ejected(now));
    }
}

#[test]
fn a_full_server_is_ejected_briefly_and_longer_if_it_stays_full() {
    let mut health = OutlierDetector::for_server();
    health.record(HealthSignal::Rejected, 0);
    let first = health.remaining_ejection_ms(0);
    health.record(HealthSignal::Rejected, first);
    let second = health.remaining_ejection_ms(first);
    assert!(second > first);
    health.record(HealthSignal::Success, first + second);
    health.record(HealthSignal::Rejected, first + second);
    assert_eq!(health.remaining_ejection_ms(first + second), first);
}

#[test]
fn a_replaced_server_never_returns() {
    let mut health = OutlierDetector::for_server();
    health.record(HealthSignal::Misdirected, 0);
    health.record(HealthSignal::Success, 1);
    assert!(health.is_replaced());
    assert!(health.capacity_factor(1_000_000) == 0.0);
}

#[test]
fn an_engine_is_ejected_only_if_it_accepts_nothing_at_all() {
    let mut health = OutlierDetector::for_engine();
    for now in 0..100 {
        let signal = if now % 8 == 7 {
            HealthSignal::Success
        } else {
            HealthSignal::Rejected
        };
        health.record(signal, now);
        assert!(!health.is_ejected(now));
    }
    for now in 100..109 {
        health.record(HealthSignal::Rejected, now);
    }
    assert!(health.is_ejected(109));
}
