//! The time of a request: what servers are told is left of it, and what happens when it is over.

mod support;

use dunespur_routing::Outcome;
use support::*;

const TURN: &str =
    "Program: p1\r\nSession: s1\r\nBudget: 1000\r\nX-Dunespur-Token-Count: 1460,8\r\n";
/// How many times the aim of its route a server may be silent before a request that can be repeated leaves it.
const PATIENCE_AIMS: u64 = 4;

/// The time that a server was told is left.
fn handed_down(message: &Message) -> u64 {
    message
        .header("x-dunespur-deadline-ms")
        .expect("every send tells the time")
        .parse()
        .unwrap()
}

/// Changes the table in force.
fn configure(node: &TestNode, from: &str, to: &str) {
    assert!(CONFIGURATION.contains(from));
    *node.table.borrow_mut() = Some(table(&CONFIGURATION.replace(from, to)));
}

/// A gateway that holds streams for 50 ms.
async fn with_short_streams(endpoint: &TestEndpoint) -> TestProxy {
    let proxy = TestProxy::start(&[endpoint]).await;
    configure(
        &proxy.node,
        r#""timeout_ms":20000,"target_ms":200"#,
        r#""timeout_ms":50,"target_ms":200"#,
    );
    proxy
}

#[test]
fn a_request_without_a_deadline_is_sent_on_with_the_time_of_its_route() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let request = "GET /read/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\n\r\n";
        let mut client = proxy.request(request).await;
        let (mut connection, message) = endpoint.next_request().await;
        assert!((1..=20_000).contains(&handed_down(&message)));
        connection.respond(200, "r1", "", "answer").await;
        assert_eq!(client.message().await.status(), 200);
    });
}

#[test]
fn a_request_that_leaves_a_silent_server_tells_the_next_one_what_is_left() {
    run_test(async {
        let (silent, second) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&silent, &second]).await;
        configure(&proxy.node, r#""target_ms":150"#, r#""target_ms":20"#);
        let mut client = proxy.request(&get("/read2/", "r1")).await;
        let (_held, first) = silent.next_request().await;
        let (mut connection, message) = second.next_request().await;
        assert!(handed_down(&message) + PATIENCE_AIMS * 20 <= handed_down(&first));
        connection.respond(200, "r1", "", "answer").await;
        assert_eq!(client.message().await.status(), 200);
    });
}

#[test]
fn a_stream_that_is_taken_up_elsewhere_tells_what_is_left() {
    run_test(async {
        let (silent, second) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&silent, &second]).await;
        configure(&proxy.node, r#""gap_aim_ms":300"#, r#""gap_aim_ms":10"#);
        let mut client = proxy.request(&post("/resume2/", "r1", TURN, "x")).await;
        let (mut held, first) = silent.next_request().await;
        held.stream_head("r1", "").await;
        held.chunk(&event(1)).await;
        let (mut connection, message) = second.next_request().await;
        assert_eq!(message.header("last-event-id"), Some("1"));
        assert!(handed_down(&message) + PATIENCE_AIMS * 10 <= handed_down(&first));
        connection.stream_head("r1", "").await;
        connection.chunk(&event(2)).await;
        connection.last_chunk().await;
        assert_eq!(client.message().await.text(), events(1..=2));
    });
}

#[test]
fn what_was_turned_away_and_can_not_be_repeated_tells_the_next_server_what_is_left() {
    run_test(async {
        let (full, second) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&full, &second]).await;
        let mut client = proxy.request(&post("/write/", "r1", "", "x")).await;
        let (mut connection, first) = full.next_request().await;
        // Time passes meanwhile: as much as another request has on its route.
        let mut other = proxy.request(&post("/short/", "r2", "", "x")).await;
        let (_silent, short) = full.next_request().await;
        assert_eq!(other.message().await.status(), 504);
        connection
            .respond(503, "r1", "X-Dunespur-Not-Executed: 1\r\n", "")
            .await;
        let (mut connection, message) = second.next_request().await;
        assert!(handed_down(&message) + handed_down(&short) <= handed_down(&first));
        connection.respond(200, "r1", "", "done").await;
        assert_eq!(client.message().await.status(), 200);
    });
}

#[test]
fn a_stream_ends_with_the_time_of_its_route_though_its_client_would_wait() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = with_short_streams(&endpoint).await;
        let mut client = proxy.request(&post("/stream/", "r1", TURN, "x")).await;
        let (mut connection, message) = endpoint.next_request().await;
        assert!(handed_down(&message) <= 50);
        connection.stream_head("r1", "").await;
        connection.chunk(&event(1)).await;
        client.head().await;
        assert_eq!(client.next_chunk().await.unwrap(), event(1).as_bytes());
        assert_eq!(client.next_chunk().await, None, "cut short, not whole");
        assert!(connection.is_closed().await);
        assert_eq!(proxy.node.outcomes(), [Outcome::TimedOut]);
    });
}

#[test]
fn a_stream_without_an_event_in_time_is_answered_all_the_same() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = with_short_streams(&endpoint).await;
        let mut client = proxy.request(&post("/stream/", "r1", TURN, "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.stream_head("r1", "").await;
        assert_eq!(client.message().await.status(), 504);
        assert!(connection.is_closed().await);
    });
}

#[test]
fn a_turn_that_is_not_admitted_in_the_time_of_its_route_is_refused_unsent() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = with_short_streams(&endpoint).await;
        proxy.node.admission_permits.forget_permits(1000);
        let mut client = proxy.request(&post("/stream/", "r1", TURN, "x")).await;
        assert_eq!(client.message().await.status(), 503);
        assert!(endpoint.has_no_connection().await);
    });
}
