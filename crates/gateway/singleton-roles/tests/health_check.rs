//! Health checks: when a limiter complains, when a server is checked, and the effect of an observation.

use dunespur_singleton_roles::health_check::{
    Delivery, DeliveryHistory, HealthChecker, HealthDecision, Observation, Settings,
};

fn settings() -> Settings {
    Settings {
        failure_threshold: 3,
        min_complainants: 2,
        complaint_window: 5.0,
        min_interval: 2.0,
        max_servers: 4,
    }
}

#[test]
fn one_limiter_causes_no_check_and_several_cause_one() {
    let (settings, mut checker) = (settings(), HealthChecker::default());
    assert!(!checker.receive_complaint("a", "x", 0.0, &settings));
    assert!(
        !checker.receive_complaint("a", "x", 0.5, &settings),
        "a second complaint of the same limiter"
    );
    assert!(checker.receive_complaint("b", "x", 1.0, &settings));
    assert!(
        !checker.receive_complaint("c", "x", 1.5, &settings),
        "within the minimum interval of the last check"
    );
    assert!(checker.receive_complaint("c", "x", 3.1, &settings));
    assert!(!checker.receive_complaint("a", "y", 4.0, &settings));
    assert!(
        !checker.receive_complaint("b", "y", 9.5, &settings),
        "the first complaint has expired"
    );
    for n in 0..20 {
        checker.receive_complaint("a", &format!("s{n}"), 10.0, &settings);
    }
    assert!(checker.remembered() <= 4);
    assert!(!checker.receive_complaint("a", "late", 10.1, &settings));
    assert!(
        !checker.receive_complaint("a", "late", 20.0, &settings) && checker.remembered() <= 4,
        "expired complaints are removed for new ones"
    );
}

#[test]
fn an_own_recent_answer_overrides_a_failed_check_and_old_observations_are_ignored() {
    let (settings, mut history) = (settings(), DeliveryHistory::default());
    let evaluate = |history: &DeliveryHistory, observation, age, now| {
        history.evaluate("x", observation, age, 0.5, now, &settings)
    };
    assert_eq!(
        evaluate(&history, Observation::Silent, 0.1, 1.0),
        Some(HealthDecision::Unhealthy(3.0))
    );
    assert_eq!(
        evaluate(&history, Observation::Answered, 0.1, 1.0),
        Some(HealthDecision::Healthy(1.0))
    );
    for age in [-1.0, 5.0, f64::NAN] {
        assert_eq!(evaluate(&history, Observation::Silent, age, 1.0), None);
    }
    history.record_delivery("x", Delivery::Answered, 1.0, &settings);
    assert_eq!(
        evaluate(&history, Observation::Refused, 0.1, 2.0),
        None,
        "the server answered this limiter recently"
    );
    assert_eq!(
        evaluate(&history, Observation::Refused, 0.1, 3.2),
        Some(HealthDecision::Unhealthy(3.0)),
        "the last answer is too old"
    );
    for n in 0..9 {
        history.record_delivery(&format!("s{n}"), Delivery::Answered, 4.0, &settings);
    }
    assert!(history.remembered_answers() <= 4);
}

#[test]
fn consecutive_failures_are_reset_by_an_answer_and_by_time() {
    let (settings, mut history) = (settings(), DeliveryHistory::default());
    let mut complains_after = |delivery, now| {
        history
            .record_delivery("x", delivery, now, &settings)
            .is_some()
    };
    assert!(
        !complains_after(Delivery::Unanswered, 0.0)
            && !complains_after(Delivery::Unanswered, 0.1)
            && complains_after(Delivery::Unanswered, 0.2)
    );
    assert!(
        !complains_after(Delivery::Unanswered, 0.3) && !complains_after(Delivery::Answered, 0.4)
    );
    assert!(
        !complains_after(Delivery::Unanswered, 0.5)
            && !complains_after(Delivery::Unanswered, 0.6)
            && complains_after(Delivery::Unanswered, 0.7)
    );
    assert!(
        !complains_after(Delivery::Unanswered, 9.0),
        "old failures are not counted"
    );
}
