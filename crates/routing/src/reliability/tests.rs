use super::*;

#[test]
fn a_server_without_failures_is_expected_to_serve() {
    let mut reliability = Reliability::default();
    assert_eq!(reliability.failed_share(0), 0.0);
    reliability.note_served(10);
    assert_eq!(reliability.failed_share(20), 0.0);
    assert!(!reliability.is_suspect(20));
}

#[test]
fn a_server_that_fails_half_of_its_requests_is_suspected() {
    let mut reliability = Reliability::default();
    for step in 0..10 {
        reliability.note_served(step * 100);
        reliability.note_failed(step * 100 + 50);
    }
    assert!(reliability.is_suspect(1_000));
    let share = reliability.failed_share(1_000);
    assert!((0.3..0.5).contains(&share), "{share}");
}

#[test]
fn one_failure_among_many_requests_is_little() {
    let mut reliability = Reliability::default();
    for step in 0..30 {
        reliability.note_served(step * 10);
    }
    reliability.note_failed(300);
    assert!(reliability.failed_share(300) < 0.05);
    assert!(!reliability.is_suspect(300));
}

#[test]
fn a_failure_is_forgotten() {
    let mut reliability = Reliability::default();
    reliability.note_failed(0);
    assert!(reliability.is_suspect(0));
    assert!(!reliability.is_suspect(2_100));
    assert!(reliability.failed_share(12_000) < 0.05);
}
