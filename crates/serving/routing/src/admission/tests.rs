//! Which requests are rejected, and their retry times.

use super::*;

fn request(priority: u8, time_left_ms: u64) -> RoutingRequest<'static> {
    RoutingRequest {
        backend: "b",
        program: None,
        session: None,
        prefix: &[],
        prompt_tokens: 0,
        max_tokens: 0,
        idempotent: true,
        priority,
        time_left_ms,
        target_ms: 200,
        tried: &[],
    }
}

fn forecast(all_slots_taken: bool, expected_ms: f64) -> Forecast {
    Forecast {
        all_slots_taken,
        expected_ms,
        client_timeout_ms: 1_000,
    }
}

#[test]
fn no_request_is_rejected_while_a_slot_is_free() {
    assert_eq!(
        retry_after_if_rejected(&request(9, 10), &forecast(false, 1e9)),
        None
    );
}

#[test]
fn a_request_that_may_still_meet_its_deadline_is_not_rejected() {
    assert_eq!(
        retry_after_if_rejected(&request(0, 1_000), &forecast(true, 1_900.0)),
        None
    );
    assert_eq!(
        retry_after_if_rejected(&request(9, 1_000), &forecast(true, 900.0)),
        None
    );
}

#[test]
fn less_urgent_requests_are_rejected_first() {
    let full_service = forecast(true, 1_800.0);
    assert_eq!(
        retry_after_if_rejected(&request(0, 6_000), &full_service),
        None
    );
    assert_eq!(
        retry_after_if_rejected(&request(3, 6_000), &full_service),
        Some(800)
    );
}

#[test]
fn the_retry_time_stays_within_what_clients_honour() {
    assert_eq!(
        retry_after_if_rejected(&request(0, 3_000), &forecast(true, 1e9)),
        Some(1_000)
    );
    assert_eq!(
        retry_after_if_rejected(&request(0, 30), &forecast(true, 1e9)),
        Some(MIN_RETRY_AFTER_MS)
    );
}

#[test]
fn the_stream_timeout_is_bounded_by_the_time_left() {
    assert_eq!(stream_timeout_ms(&request(0, 10_000)), 2_000);
    assert_eq!(stream_timeout_ms(&request(0, 300)), 300);
}
