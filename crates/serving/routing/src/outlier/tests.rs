//! Ejection of endpoints, ejection times, and the return by slow start.

use super::*;

#[test]
fn consecutive_failures_eject_a_server_and_it_returns_by_slow_start() {
    let mut detector = OutlierDetector::for_server();
    detector.record(HealthSignal::Failure, 0);
    detector.record(HealthSignal::Failure, 1);
    assert!(!detector.is_ejected(1));
    detector.record(HealthSignal::Failure, 2);
    assert!(detector.is_ejected(2));
    assert!(detector.is_ejected(1 + FAILURE_EJECTION_MS));
    assert!(!detector.is_ejected(2 + FAILURE_EJECTION_MS));
    assert!((detector.capacity_factor(2 + FAILURE_EJECTION_MS) - SLOW_START_CAPACITY).abs() < 1e-9);
    let halfway = detector.capacity_factor(2 + FAILURE_EJECTION_MS + FAILURE_EJECTION_MS);
    assert!(halfway > SLOW_START_CAPACITY && halfway < 1.0);
    assert_eq!(
        detector.state(2 + 3 * FAILURE_EJECTION_MS),
        HealthState::Healthy
    );
}

#[test]
fn the_ejection_time_grows_with_each_relapse_and_is_bounded() {
    let mut detector = OutlierDetector::for_server();
    let mut now = 0;
    let mut previous_ms = 0;
    for relapse in 0..8 {
        detector.record(HealthSignal::Unreachable, now);
        let duration_ms = detector.remaining_ejection_ms(now);
        assert!(duration_ms >= previous_ms);
        assert!(duration_ms <= UNREACHABLE_EJECTION_MS << MAX_DOUBLINGS);
        assert_eq!(
            duration_ms,
            UNREACHABLE_EJECTION_MS << relapse.min(MAX_DOUBLINGS)
        );
        previous_ms = duration_ms;
        now += duration_ms;
    }
}

#[test]
fn requests_that_fail_together_are_one_fault() {
    let mut detector = OutlierDetector::for_server();
    detector.record(HealthSignal::Timeout, 0);
    let until = detector.remaining_ejection_ms(0);
    for _ in 0..20 {
        detector.record(HealthSignal::Timeout, 5);
    }
    assert_eq!(detector.remaining_ejection_ms(0), until);
}

#[test]
fn a_ratio_of_failures_between_successes_counts_too() {
    let mut detector = OutlierDetector::for_server();
    for now in 0..10 {
        let signal = if now % 2 == 0 {
            HealthSignal::Success
        } else {
            HealthSignal::Failure
        };
        detector.record(signal, now);
    }
    assert!(detector.is_ejected(10));
    let mut rarely_failing = OutlierDetector::for_server();
    for now in 0..100 {
        let signal = if now % 5 == 0 {
            HealthSignal::Failure
        } else {
            HealthSignal::Success
        };
        rarely_failing.record(signal, now);
        assert!(!rarely_failing.is_ejected(now));
    }
}

#[test]
fn a_full_server_is_ejected_briefly_and_longer_if_it_stays_full() {
    let mut detector = OutlierDetector::for_server();
    detector.record(HealthSignal::Rejected, 0);
    let first = detector.remaining_ejection_ms(0);
    detector.record(HealthSignal::Rejected, first);
    let second = detector.remaining_ejection_ms(first);
    assert!(second > first);
    detector.record(HealthSignal::Success, first + second);
    detector.record(HealthSignal::Rejected, first + second);
    assert_eq!(detector.remaining_ejection_ms(first + second), first);
}

#[test]
fn a_replaced_server_never_returns() {
    let mut detector = OutlierDetector::for_server();
    detector.record(HealthSignal::Misdirected, 0);
    detector.record(HealthSignal::Success, 1);
    assert!(detector.is_replaced());
    assert!(detector.capacity_factor(1_000_000) == 0.0);
}

#[test]
fn an_engine_is_ejected_only_if_it_accepts_nothing_at_all() {
    let mut detector = OutlierDetector::for_engine();
    for now in 0..100 {
        let signal = if now % 8 == 7 {
            HealthSignal::Success
        } else {
            HealthSignal::Rejected
        };
        detector.record(signal, now);
        assert!(!detector.is_ejected(now));
    }
    for now in 100..109 {
        detector.record(HealthSignal::Rejected, now);
    }
    assert!(detector.is_ejected(109));
}
