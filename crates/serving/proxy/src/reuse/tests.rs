use super::Rest;

fn rest(rested_ms: u64, stated_ms: Option<u64>) -> Rest {
    Rest {
        rested_ms,
        stated_ms,
    }
}

#[test]
fn a_late_copy_of_the_last_answer_is_waited_for() {
    assert!(!rest(9, Some(5000)).is_over());
    assert!(rest(10, Some(5000)).is_over());
}

#[test]
fn a_stated_time_is_kept_off_by_a_margin() {
    assert!(rest(4499, Some(5000)).is_safe_for(true));
    assert!(!rest(4500, Some(5000)).is_safe_for(true));
    assert!(rest(4500, Some(5000)).is_too_long());
    assert!(!rest(499, Some(1000)).is_too_long());
    assert!(rest(500, Some(1000)).is_too_long());
    assert!(rest(0, Some(0)).is_too_long());
}

#[test]
fn without_a_stated_time_it_is_below_a_second() {
    assert!(rest(699, None).is_safe_for(true));
    assert!(!rest(700, None).is_safe_for(true));
}

#[test]
fn no_time_is_stated_that_is_used_whole() {
    assert!(!rest(10_000, Some(600_000)).is_safe_for(true));
    assert!(rest(9_999, Some(600_000)).is_safe_for(true));
}

#[test]
fn what_can_not_be_repeated_wants_a_fresher_one() {
    assert!(rest(99, None).is_safe_for(false));
    assert!(!rest(100, None).is_safe_for(false));
    assert!(rest(4999, Some(600_000)).is_safe_for(false));
    assert!(!rest(5000, Some(600_000)).is_safe_for(false));
    assert!(
        !rest(1500, Some(2000)).is_safe_for(false),
        "nor one that is too old for anything"
    );
}
