//! The idle times after which connections may be reused.

use super::IdleAge;
use crate::classification::Idempotency;

fn age(idle_ms: u64, keep_alive_ms: Option<u64>) -> IdleAge {
    IdleAge {
        idle_ms,
        keep_alive_ms,
    }
}

#[test]
fn a_connection_cools_down_after_its_last_response() {
    assert!(!age(9, Some(5000)).has_cooled_down());
    assert!(age(10, Some(5000)).has_cooled_down());
}

#[test]
fn a_connection_expires_before_its_stated_keep_alive_time() {
    assert!(age(4499, Some(5000)).is_safe_for(Idempotency::Idempotent));
    assert!(!age(4500, Some(5000)).is_safe_for(Idempotency::Idempotent));
    assert!(age(4500, Some(5000)).is_expired());
    assert!(!age(499, Some(1000)).is_expired());
    assert!(age(500, Some(1000)).is_expired());
    assert!(age(0, Some(0)).is_expired());
}

#[test]
fn without_a_stated_time_a_connection_expires_below_a_second() {
    assert!(age(699, None).is_safe_for(Idempotency::Idempotent));
    assert!(!age(700, None).is_safe_for(Idempotency::Idempotent));
}

#[test]
fn a_long_stated_keep_alive_time_does_not_exceed_the_longest_idle_time() {
    assert!(!age(10_000, Some(600_000)).is_safe_for(Idempotency::Idempotent));
    assert!(age(9_999, Some(600_000)).is_safe_for(Idempotency::Idempotent));
}

#[test]
fn a_request_that_is_not_idempotent_needs_a_fresher_connection() {
    assert!(age(99, None).is_safe_for(Idempotency::NotIdempotent));
    assert!(!age(100, None).is_safe_for(Idempotency::NotIdempotent));
    assert!(age(4999, Some(600_000)).is_safe_for(Idempotency::NotIdempotent));
    assert!(!age(5000, Some(600_000)).is_safe_for(Idempotency::NotIdempotent));
    assert!(
        !age(1500, Some(2000)).is_safe_for(Idempotency::NotIdempotent),
        "nor a connection that is expired for every request"
    );
}
