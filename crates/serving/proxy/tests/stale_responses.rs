//! Stale responses, duplicates and stray bytes never reach a client whose request they do not belong to. Also shows
//! what each safeguard protects against, by disabling it.

mod support;

use dunespur_proxy::{ProxySettings, Safeguards};
use std::io::Write;
use support::{
    event, get, pass_time, post, run_test, two_endpoints, Message, Peer, TestEndpoint, TestProxy,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Duration;

const HEAD: &str =
    "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\n";
/// The length of a body that exceeds the sockets' buffers.
const LONG_BODY_BYTES: usize = 6 * 1024 * 1024;

async fn proxy_with_safeguards(endpoints: &[&TestEndpoint], safeguards: Safeguards) -> TestProxy {
    TestProxy::with_safeguards(endpoints, ProxySettings::default(), safeguards).await
}

fn allow_long_bodies(proxy: &TestProxy) {
    proxy
        .node
        .edit_configuration(&[(r#""max_body_bytes":100000"#, r#""max_body_bytes":20000000"#)]);
}

/// Returns a body of consecutive numbers, so that misplaced bytes are detected.
fn numbered_body(bytes: usize) -> String {
    (0..)
        .flat_map(|number: u32| format!("{number},").into_bytes())
        .map(char::from)
        .take(bytes)
        .collect()
}

/// Serves one request, and returns its endpoint connection once it is pooled and has cooled down: it may then carry
/// any request.
async fn cooled_down_connection(proxy: &TestProxy, endpoint: &TestEndpoint) -> Peer {
    let mut client = proxy.send_request(&get("/read/", "first")).await;
    let (mut connection, _) = endpoint.next_request().await;
    connection
        .respond(200, "first", "Keep-Alive: timeout=5\r\n", "ok")
        .await;
    assert_eq!(client.message().await.text(), "ok");
    pass_time(Duration::from_millis(20)).await;
    connection
}

#[test]
fn an_early_response_closes_the_connection_and_the_endpoint_reads_only_its_body() {
    run_test(async {
        let endpoint = TestEndpoint::with_small_buffer("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        allow_long_bodies(&proxy);
        let body = numbered_body(LONG_BODY_BYTES);
        let mut client = proxy.send_request(&post("/write/", "r1", "", &body)).await;
        let mut connection = endpoint.accept().await;
        connection.head().await;
        connection
            .respond(200, "r1", "Keep-Alive: timeout=5\r\n", "early")
            .await;
        assert_eq!(client.message().await.text(), "early");

        let _other = proxy
            .send_request(&post("/write/", "r2", "", "other"))
            .await;
        let (_, message) = endpoint.next_request().await;
        assert_eq!(
            message.id(),
            "r2",
            "the next request uses another connection"
        );
        let read = connection.read_to_end().await;
        assert!(read.len() < body.len() && body.as_bytes().starts_with(&read));
    });
}

#[test]
fn an_endpoint_that_reads_on_while_it_responds_gets_the_complete_body() {
    run_test(async {
        let endpoint = TestEndpoint::with_small_buffer("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        allow_long_bodies(&proxy);
        let body = numbered_body(LONG_BODY_BYTES);
        let mut client = proxy.send_request(&post("/write/", "r1", "", &body)).await;
        let mut connection = endpoint.accept().await;
        let head = connection.head().await;
        connection
            .send(
                format!("{HEAD}Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .as_bytes(),
            )
            .await;
        connection.send_chunk("early").await;
        assert!(connection.read_body(&head).await.unwrap() == body.as_bytes());
        connection.send_last_chunk().await;
        assert_eq!(client.message().await.text(), "early");

        let _other = proxy.send_request(&get("/read/", "r2")).await;
        assert_eq!(connection.message().await.id(), "r2");
    });
}

#[test]
fn an_endpoint_that_has_read_only_the_head_may_have_run_the_request() {
    run_test(async {
        let (first, second) = (
            TestEndpoint::with_small_buffer("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&first, &second]).await;
        allow_long_bodies(&proxy);
        let body = numbered_body(LONG_BODY_BYTES);
        let mut client = proxy.send_request(&post("/write/", "r1", "", &body)).await;
        let mut connection = first.accept().await;
        connection.head().await;
        connection.reset();
        assert_eq!(
            client.message().await.status(),
            502,
            "the request is not sent again"
        );

        let mut client = proxy.send_request(&post("/write/", "r2", "", &body)).await;
        let mut connection = first.accept().await;
        connection.head().await;
        pass_time(Duration::from_millis(15_200)).await;
        assert_eq!(
            client.message().await.status(),
            504,
            "the client is not told that the request has not run"
        );
        assert!(second.has_no_connection().await);
    });
}

/// Waits until the operating system has ended another connection with this TCP user timeout, whose peer reads nothing.
async fn wait_for_user_timeout(peer_timeout: Duration) {
    let unread = TestEndpoint::with_small_buffer("unread").await;
    let mut stream = TcpStream::connect(unread.address).await.unwrap();
    socket2::SockRef::from(&stream)
        .set_tcp_user_timeout(Some(peer_timeout))
        .unwrap();
    let written = stream.write_all(&vec![0; LONG_BODY_BYTES]).await;
    assert_eq!(written.unwrap_err().kind(), std::io::ErrorKind::TimedOut);
}

#[test]
fn an_endpoint_that_reads_a_long_body_late_gets_it() {
    run_test(async {
        let endpoint = TestEndpoint::with_small_buffer("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        allow_long_bodies(&proxy);
        let body = numbered_body(LONG_BODY_BYTES);
        let mut client = proxy.send_request(&post("/write/", "r1", "", &body)).await;
        let mut connection = endpoint.accept().await;
        let head = connection.head().await;
        wait_for_user_timeout(Duration::from_millis(1500)).await;
        let read = connection.read_body(&head).await;
        assert!(
            read.is_ok_and(|read| read == body.as_bytes()),
            "the endpoint receives the whole body"
        );
        connection.respond(200, "r1", "", "late").await;
        assert_eq!(client.message().await.text(), "late");
    });
}

/// A request that its endpoint has received.
struct PendingRequest {
    client: Peer,
    connection: Peer,
}

async fn pending_request(proxy: &TestProxy, endpoint: &TestEndpoint, id: &str) -> PendingRequest {
    let client = proxy.send_request(&post("/write/", id, "", "x")).await;
    let (connection, _) = endpoint.next_request().await;
    PendingRequest { client, connection }
}

#[test]
fn responses_on_different_connections_may_overtake_each_other() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut first = pending_request(&proxy, &endpoint, "r1").await;
        let mut second = pending_request(&proxy, &endpoint, "r2").await;
        second.connection.respond(200, "r2", "", "two").await;
        assert_eq!(second.client.message().await.text(), "two");
        first.connection.respond(200, "r1", "", "one").await;
        assert_eq!(first.client.message().await.text(), "one");
    });
}

#[test]
fn a_response_over_the_connection_of_another_request_is_discarded() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut first = pending_request(&proxy, &endpoint, "r1").await;
        let mut second = pending_request(&proxy, &endpoint, "r2").await;
        first.connection.respond(200, "r2", "", "two").await;
        second.connection.respond(200, "r1", "", "one").await;
        assert_eq!(first.client.message().await.status(), 502);
        assert_eq!(second.client.message().await.status(), 502);
    });
}

#[test]
fn the_response_to_a_disconnected_client_is_discarded() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut connection = cooled_down_connection(&proxy, &endpoint).await;
        let disconnected = proxy.send_request(&post("/write/", "r1", "", "x")).await;
        assert_eq!(connection.message().await.id(), "r1");
        drop(disconnected);
        // The end of the client connection closes the endpoint connection at once.
        assert!(connection.is_closed().await);
        connection
            .respond(200, "r1", "", "for the disconnected client")
            .await;
        let mut client = proxy.send_request(&post("/write/", "r2", "", "x")).await;
        let (mut connection, message) = endpoint.next_request().await;
        assert_eq!(message.id(), "r2");
        connection.respond(200, "r2", "", "mine").await;
        assert_eq!(client.message().await.text(), "mine");
    });
}

/// Guards against a duplicate of the first response: it has the same id as the resent request, so it would be accepted.
#[test]
fn a_rejected_request_is_not_sent_over_the_same_connection_again() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        proxy.node.offers_tried_again.set(true);
        let mut client = proxy.send_request(&get("/read/", "r1")).await;
        let (mut connection, _) = endpoint.next_request().await;
        let full = "X-Dunespur-Not-Executed: full\r\nKeep-Alive: timeout=5\r\n";
        connection.respond(503, "r1", full, "").await;
        let (mut new_connection, message) = endpoint.next_request().await;
        assert_eq!(message.id(), "r1");
        connection.respond(503, "r1", full, "").await;
        new_connection.respond(200, "r1", "", "ok").await;
        assert_eq!(client.message().await.text(), "ok");
    });
}

#[test]
fn interim_responses_are_not_forwarded_as_the_response() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection
            .send(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nX-Any: 1\r\n\r\n")
            .await;
        connection.respond(200, "r1", "", "ok").await;
        let response = client.message().await;
        assert_eq!((response.status(), response.text()), (200, "ok"));
    });
}

// The effect of disabling each safeguard.

/// Returns whether a request that is not idempotent is sent to a second endpoint after it may have run at the first.
async fn runs_twice(safeguards: Safeguards) -> bool {
    let (first, second) = two_endpoints().await;
    let proxy = proxy_with_safeguards(&[&first, &second], safeguards).await;
    proxy.node.edit_configuration(&[(
        r#""target_ms":500,"priority":1,"backend":"plain","retries":1"#,
        r#""target_ms":500,"priority":1,"backend":"plain","retries":2"#,
    )]);
    let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
    first.next_request().await.0.reset();
    tokio::select! {
        (mut connection, _) = second.next_request() => {
            connection.respond(200, "r1", "", "a second time").await;
            client.message().await.status() == 200
        }
        response = client.message() => {
            assert_eq!(response.status(), 502);
            false
        }
    }
}

#[test]
fn without_the_retry_check_a_request_that_is_not_idempotent_runs_twice() {
    run_test(async {
        assert!(!runs_twice(Safeguards::default()).await);
        assert!(
            runs_twice(Safeguards {
                only_idempotent_retried: false,
                ..Safeguards::default()
            })
            .await
        );
    });
}

/// Returns the response that a client gets when a stale response arrives before its own.
async fn response_after_a_stale_response(safeguards: Safeguards) -> String {
    let endpoint = TestEndpoint::start("i-1").await;
    let proxy = proxy_with_safeguards(&[&endpoint], safeguards).await;
    let mut connection = cooled_down_connection(&proxy, &endpoint).await;
    let mut client = proxy.send_request(&get("/read/", "r2")).await;
    connection.message().await;
    connection.respond(200, "first", "", "another's").await;
    tokio::select! {
        response = client.message() => response.text().to_owned(),
        (mut connection, _) = endpoint.next_request() => {
            connection.respond(200, "r2", "", "its own").await;
            client.message().await.text().to_owned()
        }
    }
}

#[test]
fn the_ids_of_responses_must_be_compared() {
    run_test(async {
        assert_eq!(
            response_after_a_stale_response(Safeguards::default()).await,
            "its own"
        );
        let safeguards = Safeguards {
            response_ids_compared: false,
            ..Safeguards::default()
        };
        assert_eq!(
            response_after_a_stale_response(safeguards).await,
            "another's"
        );
    });
}

/// Returns whether a request is sent over a connection on which surplus bytes arrived just before, so that the event
/// loop has not read them yet.
async fn is_sent_after_surplus_bytes(safeguards: Safeguards) -> bool {
    let endpoint = TestEndpoint::start("i-1").await;
    let proxy = proxy_with_safeguards(&[&endpoint], safeguards).await;
    let mut connection = cooled_down_connection(&proxy, &endpoint).await;
    let mut writer = connection.writer();
    let surplus = format!(
        "{}Content-Length: 4\r\n\r\nlate",
        HEAD.replace("r1", "first")
    );
    *proxy.node.on_next_choice.borrow_mut() = Some(Box::new(move || {
        writer.write_all(surplus.as_bytes()).unwrap()
    }));
    let mut client = proxy.send_request(&post("/write/", "r2", "", "x")).await;
    tokio::select! {
        response = client.message() => {
            assert_eq!((response.status(), connection.message().await.id()), (502, "r2"));
            true
        }
        (mut connection, _) = endpoint.next_request() => {
            connection.respond(200, "r2", "", "ok").await;
            assert_eq!(client.message().await.text(), "ok");
            false
        }
    }
}

#[test]
fn surplus_bytes_must_close_their_connection() {
    run_test(async {
        assert!(!is_sent_after_surplus_bytes(Safeguards::default()).await);
        let safeguards = Safeguards {
            surplus_bytes_close_connection: false,
            ..Safeguards::default()
        };
        assert!(is_sent_after_surplus_bytes(safeguards).await);
    });
}

/// Returns the response that a client gets when the endpoint resets a response without a length.
async fn response_after_a_reset(safeguards: Safeguards) -> (u16, String) {
    let endpoint = TestEndpoint::start("i-1").await;
    let proxy = proxy_with_safeguards(&[&endpoint], safeguards).await;
    let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
    let (mut connection, _) = endpoint.next_request().await;
    connection.send(format!("{HEAD}\r\nhalf").as_bytes()).await;
    connection.reset();
    let response = client.message().await;
    (response.status(), response.text().to_owned())
}

#[test]
fn a_reset_must_truncate_a_body() {
    run_test(async {
        assert_eq!(response_after_a_reset(Safeguards::default()).await.0, 502);
        let safeguards = Safeguards {
            reset_truncates_body: false,
            ..Safeguards::default()
        };
        assert_eq!(
            response_after_a_reset(safeguards).await,
            (200, "half".to_owned())
        );
    });
}

// Deadlines.

#[test]
fn every_send_states_the_remaining_time() {
    run_test(async {
        let (first, second) = two_endpoints().await;
        let proxy = TestProxy::start(&[&first, &second]).await;
        let deadline = |message: &Message| -> u64 {
            message
                .header("x-dunespur-deadline-ms")
                .unwrap()
                .parse()
                .unwrap()
        };
        let _client = proxy.send_request(&get("/read2/", "r1")).await;
        let (connection, message) = first.next_request().await;
        let first_ms = deadline(&message);
        assert!(first_ms <= 15_000 && first_ms > 10_000, "{first_ms}");
        pass_time(Duration::from_millis(700)).await;
        connection.reset();
        let second_ms = deadline(&second.next_request().await.1);
        assert!(
            second_ms <= first_ms - 700,
            "remaining {second_ms} ms after {first_ms} ms and a pause of 700 ms"
        );
    });
}

#[test]
fn a_request_without_a_deadline_has_the_timeout_of_its_route() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let request = get("/read/", "r1").replace("X-Dunespur-Deadline-Ms: 15000\r\n", "");
        let _client = proxy.send_request(&request).await;
        let (_, message) = endpoint.next_request().await;
        let deadline: u64 = message
            .header("x-dunespur-deadline-ms")
            .unwrap()
            .parse()
            .unwrap();
        assert!(deadline <= 20_000 && deadline > 15_000, "{deadline}");
    });
}

#[test]
fn a_response_comes_at_the_timeout_of_the_route() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let request = post("/write/", "r1", "", "x").replace("Ms: 15000", "Ms: 60000");
        let mut client = proxy.send_request(&request).await;
        let (mut connection, _) = endpoint.next_request().await;
        pass_time(Duration::from_millis(19_000)).await;
        assert!(
            client.is_silent().await,
            "no response before the timeout of the route"
        );
        pass_time(Duration::from_millis(1_300)).await;
        assert_eq!(client.message().await.status(), 504);
        assert!(connection.is_closed().await);
    });
}

#[test]
fn a_stream_under_way_ends_truncated_at_the_timeout_of_its_route() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut client = proxy
            .send_request(&post("/stream/", "r1", "", "x").replace("Ms: 15000", "Ms: 60000"))
            .await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.send_stream_head("r1", "").await;
        connection.send_chunk(&event(1)).await;
        client.head().await;
        assert_eq!(client.next_chunk().await.unwrap(), event(1).as_bytes());
        pass_time(Duration::from_millis(20_300)).await;
        assert_eq!(client.next_chunk().await, None);
        assert!(connection.is_closed().await);
    });
}
