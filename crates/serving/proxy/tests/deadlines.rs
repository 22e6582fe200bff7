//! Deadlines: the remaining time that endpoints receive, and the end of requests at their deadline.

mod support;

use dunespur_routing::Outcome;
use support::{
    event, events, get, post, run_test, two_endpoints, Message, TestEndpoint, TestProxy,
    TURN_HEADERS,
};

/// The response timeout as a multiple of the latency target, after which an idempotent request fails over.
const RESPONSE_TIMEOUT_TARGETS: u64 = 4;

/// Returns the remaining time that a request states.
fn stated_deadline_ms(message: &Message) -> u64 {
    message
        .header("x-dunespur-deadline-ms")
        .expect("every send states the remaining time")
        .parse()
        .unwrap()
}

/// Starts a proxy whose streams time out after 50 ms.
async fn proxy_with_short_streams(endpoint: &TestEndpoint) -> TestProxy {
    let proxy = TestProxy::start(&[endpoint]).await;
    proxy.node.edit_configuration(&[(
        r#""timeout_ms":20000,"target_ms":200"#,
        r#""timeout_ms":50,"target_ms":200"#,
    )]);
    proxy
}

#[test]
fn a_request_without_a_deadline_is_forwarded_with_the_timeout_of_its_route() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let request = "GET /read/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\n\r\n";
        let mut client = proxy.send_request(request).await;
        let (mut connection, message) = endpoint.next_request().await;
        assert!((1..=20_000).contains(&stated_deadline_ms(&message)));
        connection.respond(200, "r1", "", "answer").await;
        assert_eq!(client.message().await.status(), 200);
    });
}

#[test]
fn a_request_that_fails_over_states_its_remaining_time() {
    run_test(async {
        let (silent, second) = two_endpoints().await;
        let proxy = TestProxy::start(&[&silent, &second]).await;
        proxy
            .node
            .edit_configuration(&[(r#""target_ms":150"#, r#""target_ms":20"#)]);
        let mut client = proxy.send_request(&get("/read2/", "r1")).await;
        let (_unresponsive, first) = silent.next_request().await;
        let (mut connection, message) = second.next_request().await;
        assert!(
            stated_deadline_ms(&message) + RESPONSE_TIMEOUT_TARGETS * 20
                <= stated_deadline_ms(&first)
        );
        connection.respond(200, "r1", "", "answer").await;
        assert_eq!(client.message().await.status(), 200);
    });
}

#[test]
fn a_stream_that_is_resumed_states_its_remaining_time() {
    run_test(async {
        let (silent, second) = two_endpoints().await;
        let proxy = TestProxy::start(&[&silent, &second]).await;
        proxy
            .node
            .edit_configuration(&[(r#""gap_aim_ms":300"#, r#""gap_aim_ms":10"#)]);
        let mut client = proxy
            .send_request(&post("/resume2/", "r1", TURN_HEADERS, "x"))
            .await;
        let (mut unresponsive, first) = silent.next_request().await;
        unresponsive.send_stream_head("r1", "").await;
        unresponsive.send_chunk(&event(1)).await;
        let (mut connection, message) = second.next_request().await;
        assert_eq!(message.header("last-event-id"), Some("1"));
        assert!(
            stated_deadline_ms(&message) + RESPONSE_TIMEOUT_TARGETS * 10
                <= stated_deadline_ms(&first)
        );
        connection.send_stream_head("r1", "").await;
        connection.send_chunk(&event(2)).await;
        connection.send_last_chunk().await;
        assert_eq!(client.message().await.text(), events(1..=2));
    });
}

#[test]
fn a_rejected_request_that_is_not_idempotent_states_its_remaining_time() {
    run_test(async {
        let (full, second) = two_endpoints().await;
        let proxy = TestProxy::start(&[&full, &second]).await;
        let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
        let (mut connection, first) = full.next_request().await;
        // Meanwhile time passes: the timeout of another request.
        let mut other = proxy.send_request(&post("/short/", "r2", "", "x")).await;
        let (_silent, short) = full.next_request().await;
        assert_eq!(other.message().await.status(), 504);
        connection
            .respond(503, "r1", "X-Dunespur-Not-Executed: 1\r\n", "")
            .await;
        let (mut connection, message) = second.next_request().await;
        assert!(
            stated_deadline_ms(&message) + stated_deadline_ms(&short) <= stated_deadline_ms(&first)
        );
        connection.respond(200, "r1", "", "done").await;
        assert_eq!(client.message().await.status(), 200);
    });
}

#[test]
fn a_stream_ends_at_the_timeout_of_its_route_even_if_the_clients_deadline_is_later() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = proxy_with_short_streams(&endpoint).await;
        let mut client = proxy
            .send_request(&post("/stream/", "r1", TURN_HEADERS, "x"))
            .await;
        let (mut connection, message) = endpoint.next_request().await;
        assert!(stated_deadline_ms(&message) <= 50);
        connection.send_stream_head("r1", "").await;
        connection.send_chunk(&event(1)).await;
        client.head().await;
        assert_eq!(client.next_chunk().await.unwrap(), event(1).as_bytes());
        assert_eq!(
            client.next_chunk().await,
            None,
            "the stream is truncated, not complete"
        );
        assert!(connection.is_closed().await);
        assert_eq!(proxy.node.outcomes(), [Outcome::TimedOut]);
    });
}

#[test]
fn a_stream_without_an_event_in_time_ends_in_a_504() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = proxy_with_short_streams(&endpoint).await;
        let mut client = proxy
            .send_request(&post("/stream/", "r1", TURN_HEADERS, "x"))
            .await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.send_stream_head("r1", "").await;
        assert_eq!(client.message().await.status(), 504);
        assert!(connection.is_closed().await);
    });
}

#[test]
fn a_turn_that_is_not_admitted_in_time_is_rejected_without_being_sent() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = proxy_with_short_streams(&endpoint).await;
        proxy.node.admission_permits.forget_permits(1000);
        let mut client = proxy
            .send_request(&post("/stream/", "r1", TURN_HEADERS, "x"))
            .await;
        assert_eq!(client.message().await.status(), 503);
        assert!(endpoint.has_no_connection().await);
    });
}
