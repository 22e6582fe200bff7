//! Health checks: who complains, when a server is checked, and what an observation counts for.

use dunespur_singleton_roles::health_check::{
    Delivery, HealthChecker, Observation, ServerExperience, Settings, Verdict,
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
fn one_limiter_alone_brings_no_probe_and_several_bring_one() {
    let (s, mut p) = (settings(), HealthChecker::default());
    assert!(!p.receive_complaint("a", "x", 0.0, &s));
    assert!(
        !p.receive_complaint("a", "x", 0.5, &s),
        "the same one again"
    );
    assert!(p.receive_complaint("b", "x", 1.0, &s));
    assert!(!p.receive_complaint("c", "x", 1.5, &s), "too soon");
    assert!(p.receive_complaint("c", "x", 3.1, &s));
    assert!(!p.receive_complaint("a", "y", 4.0, &s));
    assert!(
        !p.receive_complaint("b", "y", 9.5, &s),
        "the first complaint is too old"
    );
    for n in 0..20 {
        p.receive_complaint("a", &format!("s{n}"), 10.0, &s);
    }
    assert!(p.remembered() <= 4);
    assert!(!p.receive_complaint("a", "late", 10.1, &s));
    assert!(
        !p.receive_complaint("a", "late", 20.0, &s) && p.remembered() <= 4,
        "old ones make room"
    );
}

#[test]
fn what_it_saw_itself_goes_before_a_probe_and_old_words_are_none() {
    let (s, mut c) = (settings(), ServerExperience::default());
    let judge =
        |c: &ServerExperience, observation, age, now| c.judge("x", observation, age, 0.5, now, &s);
    assert_eq!(
        judge(&c, Observation::Silent, 0.1, 1.0),
        Some(Verdict::Unhealthy(3.0))
    );
    assert_eq!(
        judge(&c, Observation::Answered, 0.1, 1.0),
        Some(Verdict::Healthy(1.0))
    );
    for age in [-1.0, 5.0, f64::NAN] {
        assert_eq!(judge(&c, Observation::Silent, age, 1.0), None);
    }
    c.record_delivery("x", Delivery::Answered, 1.0, &s);
    assert_eq!(
        judge(&c, Observation::Refused, 0.1, 2.0),
        None,
        "it answers here"
    );
    assert_eq!(
        judge(&c, Observation::Refused, 0.1, 3.2),
        Some(Verdict::Unhealthy(3.0)),
        "it did, a while ago"
    );
    for n in 0..9 {
        c.record_delivery(&format!("s{n}"), Delivery::Answered, 4.0, &s);
    }
    assert!(c.remembered_answers() <= 4);
}

#[test]
fn a_row_is_ended_by_any_answer_and_by_time() {
    let (s, mut c) = (settings(), ServerExperience::default());
    let mut end = |delivery, now| c.record_delivery("x", delivery, now, &s).is_some();
    assert!(
        !end(Delivery::Unanswered, 0.0)
            && !end(Delivery::Unanswered, 0.1)
            && end(Delivery::Unanswered, 0.2)
    );
    assert!(!end(Delivery::Unanswered, 0.3) && !end(Delivery::Answered, 0.4));
    assert!(
        !end(Delivery::Unanswered, 0.5)
            && !end(Delivery::Unanswered, 0.6)
            && end(Delivery::Unanswered, 0.7)
    );
    assert!(!end(Delivery::Unanswered, 9.0), "a row of long ago is none");
}
