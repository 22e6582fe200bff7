use super::*;

#[test]
fn a_few_failures_in_a_row_make_a_server_avoided_and_it_returns_step_by_step() {
    let mut health = Health::of_server();
    health.note(Sign::Failure, 0);
    health.note(Sign::Failure, 1);
    assert!(!health.is_avoided(1));
    health.note(Sign::Failure, 2);
    assert!(health.is_avoided(2));
    assert!(health.is_avoided(1 + FAILING_MS));
    assert!(!health.is_avoided(2 + FAILING_MS));
    assert!((health.share(2 + FAILING_MS) - FIRST_SHARE).abs() < 1e-9);
    let halfway = health.share(2 + FAILING_MS + FAILING_MS);
    assert!(halfway > FIRST_SHARE && halfway < 1.0);
    assert_eq!(health.standing(2 + 3 * FAILING_MS), Standing::Good);
}

#[test]
fn the_time_grows_with_each_relapse_and_is_bounded() {
    let mut health = Health::of_server();
    let mut now = 0;
    let mut before = 0;
    for round in 0..8 {
        health.note(Sign::Unreachable, now);
        let for_ms = health.avoided_for(now);
        assert!(for_ms >= before);
        assert!(for_ms <= UNREACHABLE_MS << MOST_DOUBLINGS);
        assert_eq!(for_ms, UNREACHABLE_MS << round.min(MOST_DOUBLINGS));
        before = for_ms;
        now += for_ms;
    }
}

#[test]
fn requests_that_fail_together_are_one_fault() {
    let mut health = Health::of_server();
    health.note(Sign::Silence, 0);
    let until = health.avoided_for(0);
    for _ in 0..20 {
        health.note(Sign::Silence, 5);
    }
    assert_eq!(health.avoided_for(0), until);
}

#[test]
fn a_share_of_failures_between_successes_counts_too() {
    let mut health = Health::of_server();
    for now in 0..10 {
        let sign = if now % 2 == 0 {
            Sign::Success
        } else {
            Sign::Failure
        };
        health.note(sign, now);
    }
    assert!(health.is_avoided(10));
    let mut rarely = Health::of_server();
    for now in 0..100 {
        let sign = if now % 5 == 0 {
            Sign::Failure
        } else {
            Sign::Success
        };
        rarely.note(sign, now);
        assert!(!rarely.is_avoided(now));
    }
}

#[test]
fn a_full_server_is_avoided_briefly_and_longer_if_it_stays_full() {
    let mut health = Health::of_server();
    health.note(Sign::Full, 0);
    let first = health.avoided_for(0);
    health.note(Sign::Full, first);
    let second = health.avoided_for(first);
    assert!(second > first);
    health.note(Sign::Success, first + second);
    health.note(Sign::Full, first + second);
    assert_eq!(health.avoided_for(first + second), first);
}

#[test]
fn a_server_whose_address_is_anothers_never_returns() {
    let mut health = Health::of_server();
    health.note(Sign::Moved, 0);
    health.note(Sign::Success, 1);
    assert!(health.is_gone());
    assert!(health.share(1_000_000) == 0.0);
}

#[test]
fn an_engine_is_avoided_only_if_it_takes_nothing_at_all() {
    let mut health = Health::of_engine();
    for now in 0..100 {
        let sign = if now % 8 == 7 {
            Sign::Success
        } else {
            Sign::Full
        };
        health.note(sign, now);
        assert!(!health.is_avoided(now));
    }
    for now in 100..109 {
        health.note(Sign::Full, now);
    }
    assert!(health.is_avoided(109));
}
