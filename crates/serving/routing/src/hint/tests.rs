use super::*;

#[test]
fn a_server_in_trouble_elsewhere_counts_as_slower_until_the_hint_is_old() {
    let mut hint = Hint::default();
    assert_eq!(hint.slowness(0), 1.0);
    hint.note(0);
    assert_eq!(hint.slowness(0), HINTED_SLOWNESS);
    hint.note(HINT_MS - 1);
    assert_eq!(hint.slowness(2 * HINT_MS - 2), HINTED_SLOWNESS);
    assert_eq!(hint.slowness(2 * HINT_MS - 1), 1.0);
}

#[test]
fn a_request_that_was_sent_after_the_hint_and_served_refutes_it_for_as_long_as_it_is_repeated() {
    let mut hint = Hint::default();
    hint.note(100);
    hint.refute(99, 150);
    assert_eq!(hint.slowness(150), HINTED_SLOWNESS, "sent before");
    hint.refute(100, 200);
    assert_eq!(hint.slowness(200), 1.0);
    for round in 1..20 {
        hint.note(200 + round * HINT_MS / 2);
        assert_eq!(hint.slowness(200 + round * HINT_MS / 2), 1.0);
    }
}

#[test]
fn trouble_after_a_pause_is_trouble_again() {
    let mut hint = Hint::default();
    hint.note(0);
    hint.refute(10, 20);
    hint.note(20 + 2 * HINT_MS);
    assert_eq!(hint.slowness(20 + 2 * HINT_MS), HINTED_SLOWNESS);
}

#[test]
fn a_request_goes_there_now_and_then_however_long_the_others_go_on() {
    let mut hint = Hint::default();
    let mut probes = 0;
    for now in (0..60_000).step_by(50) {
        hint.note(now);
        if hint.slowness(now) == 1.0 {
            hint.sent(now);
            assert_eq!(hint.slowness(now), HINTED_SLOWNESS, "one at a time");
            probes += 1;
        }
    }
    assert_eq!(probes, 60_000 / PROBE_AFTER_MS - 1);
}

#[test]
fn requests_that_are_sent_meanwhile_do_not_put_the_next_trial_off() {
    let mut hint = Hint::default();
    for now in (0..=PROBE_AFTER_MS).step_by(100) {
        hint.note(now);
        if now < PROBE_AFTER_MS {
            hint.sent(now);
        }
    }
    assert_eq!(hint.slowness(PROBE_AFTER_MS), 1.0);
}
