//! Tests of an endpoint's load: from this gateway's requests, from other gateways' reports, and the expiry of reports.

use super::*;

const PEER: u64 = 1;
const OTHER_PEER: u64 = 2;

#[test]
fn in_flight_follows_the_last_report_at_once_and_smoothed_in_flight_gradually() {
    let mut load = EndpointLoad::default();
    load.apply_peer_report(PEER, 8, 1_000, 0);
    load.apply_peer_report(OTHER_PEER, 2, 0, 0);
    assert_eq!(load.in_flight(10), 10.0);
    assert_eq!(load.smoothed_in_flight(10), 10.0);
    load.apply_peer_report(PEER, 0, 0, 20);
    assert_eq!(load.in_flight(20), 2.0);
    assert!((load.smoothed_in_flight(20) - (2.0 + 8.0 * (1.0 - REPORT_SMOOTHING))).abs() < 1e-9);
    assert!(load.smoothed_prefill_tokens(20) < 1_000.0);
}

#[test]
fn reports_that_are_not_renewed_expire_gradually() {
    let mut load = EndpointLoad::default();
    load.apply_peer_report(PEER, 8, 0, 0);
    assert_eq!(load.in_flight(REPORT_FRESH_MS), 8.0);
    let halfway = load.in_flight((REPORT_FRESH_MS + REPORT_EXPIRED_MS) / 2);
    assert!((halfway - 4.0).abs() < 1e-9);
    assert_eq!(load.in_flight(REPORT_EXPIRED_MS), 0.0);
}

#[test]
fn a_gateway_that_reports_no_load_any_more_is_removed() {
    let mut load = EndpointLoad::default();
    load.apply_peer_report(PEER, 8, 0, 0);
    for repeat in 1..40 {
        load.apply_peer_report(PEER, 0, 0, repeat * 100);
    }
    assert!(load.peers.is_empty());
}

#[test]
fn memory_is_bounded_however_many_gateways_report() {
    let mut load = EndpointLoad::default();
    for gateway in 0..1_000 {
        load.apply_peer_report(gateway, 1, 0, 0);
    }
    assert_eq!(load.peers.len(), MAX_REPORTERS);
}

#[test]
fn own_requests_count_until_they_end() {
    let mut load = EndpointLoad::default();
    load.record_dispatch(500, 900, 0);
    load.record_dispatch(300, 700, 0);
    load.record_response(500, 10);
    assert_eq!(load.own_prefill_tokens(), 300);
    load.release(900);
    assert_eq!((load.own_in_flight(), load.own_kv_tokens()), (1, 700));
    load.release(700);
    load.release(700);
    assert_eq!((load.own_in_flight(), load.own_kv_tokens()), (0, 0));
}

#[test]
fn a_server_is_stalled_while_it_responds_to_none_of_its_requests() {
    let mut load = EndpointLoad::default();
    assert_eq!(load.stalled_ms(50), 0);
    load.record_dispatch(0, 0, 100);
    load.record_dispatch(0, 0, 150);
    assert_eq!(load.stalled_ms(180), 80);
    load.record_response(0, 200);
    assert_eq!(load.stalled_ms(260), 60);
    load.record_response(0, 300);
    assert_eq!(load.stalled_ms(900), 0);
}
