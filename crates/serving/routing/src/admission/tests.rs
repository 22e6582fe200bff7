use super::*;

fn ask(priority: u8, time_left_ms: u64) -> Ask<'static> {
    Ask {
        backend: "b",
        program: None,
        session: None,
        prefix: &[],
        prompt_tokens: 0,
        most_tokens: 0,
        idempotent: true,
        priority,
        time_left_ms,
        target_ms: 200,
        tried: &[],
    }
}

fn outlook(all_places_taken: bool, expected_ms: f64) -> Outlook {
    Outlook {
        all_places_taken,
        expected_ms,
        patience_ms: 1_000,
    }
}

#[test]
fn nothing_is_refused_while_a_place_is_free() {
    assert_eq!(refusal(&ask(9, 10), &outlook(false, 1e9)), None);
}

#[test]
fn nothing_is_refused_that_may_still_be_done() {
    assert_eq!(refusal(&ask(0, 1_000), &outlook(true, 1_900.0)), None);
    assert_eq!(refusal(&ask(9, 1_000), &outlook(true, 900.0)), None);
}

#[test]
fn less_urgent_requests_go_first() {
    let crowded = outlook(true, 1_800.0);
    assert_eq!(refusal(&ask(0, 6_000), &crowded), None);
    assert_eq!(refusal(&ask(3, 6_000), &crowded), Some(800));
}

#[test]
fn the_time_to_come_back_stays_within_what_clients_honour() {
    assert_eq!(refusal(&ask(0, 3_000), &outlook(true, 1e9)), Some(1_000));
    assert_eq!(
        refusal(&ask(0, 30), &outlook(true, 1e9)),
        Some(SHORTEST_RETRY_MS)
    );
}

#[test]
fn a_stream_is_waited_for_as_long_as_its_client_does() {
    assert_eq!(stream_patience_ms(&ask(0, 10_000)), 2_000);
    assert_eq!(stream_patience_ms(&ask(0, 300)), 300);
}
