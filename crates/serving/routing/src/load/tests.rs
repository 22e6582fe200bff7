use super::*;

#[test]
fn the_last_report_says_which_places_are_taken_and_the_usual_ones_follow() {
    let mut load = Load::default();
    load.report(1, 8, 1_000, 0);
    load.report(2, 2, 0, 0);
    assert_eq!(load.in_flight(10), 10.0);
    assert_eq!(load.usual_in_flight(10), 10.0);
    load.report(1, 0, 0, 20);
    assert_eq!(load.in_flight(20), 2.0);
    assert!((load.usual_in_flight(20) - (2.0 + 8.0 * (1.0 - REPORT_GAIN))).abs() < 1e-9);
    assert!(load.usual_waiting_tokens(20) < 1_000.0);
}

#[test]
fn reports_that_are_not_renewed_fade_away() {
    let mut load = Load::default();
    load.report(1, 8, 0, 0);
    assert_eq!(load.in_flight(REPORT_FRESH_MS), 8.0);
    let halfway = load.in_flight((REPORT_FRESH_MS + REPORT_GONE_MS) / 2);
    assert!((halfway - 4.0).abs() < 1e-9);
    assert_eq!(load.in_flight(REPORT_GONE_MS), 0.0);
}

#[test]
fn a_gateway_that_sends_nothing_more_is_forgotten() {
    let mut load = Load::default();
    load.report(1, 8, 0, 0);
    for round in 1..40 {
        load.report(1, 0, 0, round * 100);
    }
    assert!(load.others.is_empty());
}

#[test]
fn memory_is_bounded_however_many_gateways_report() {
    let mut load = Load::default();
    for from in 0..1_000 {
        load.report(from, 1, 0, 0);
    }
    assert_eq!(load.others.len(), MOST_REPORTERS);
}

#[test]
fn own_requests_count_until_they_end() {
    let mut load = Load::default();
    load.sent(500, 900, 0);
    load.sent(300, 700, 0);
    load.answered(500, 10);
    assert_eq!(load.own_waiting_tokens(), 300);
    load.ended(900);
    assert_eq!((load.own_in_flight(), load.own_memory_tokens()), (1, 700));
    load.ended(700);
    load.ended(700);
    assert_eq!((load.own_in_flight(), load.own_memory_tokens()), (0, 0));
}

#[test]
fn a_server_is_quiet_while_it_answers_none_of_several_requests() {
    let mut load = Load::default();
    assert_eq!(load.quiet_ms(50), 0);
    load.sent(0, 0, 100);
    load.sent(0, 0, 150);
    assert_eq!(load.quiet_ms(180), 80);
    load.answered(0, 200);
    assert_eq!(load.quiet_ms(260), 60);
    load.answered(0, 300);
    assert_eq!(load.quiet_ms(900), 0);
}
