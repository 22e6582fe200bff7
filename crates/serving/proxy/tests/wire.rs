//! The exact bytes on the wire, compared with the files in `fixtures/wire`: rejections, requests as endpoints receive
//! them, responses and event streams as clients receive them.

mod support;

use dunespur_proxy::{serve_readiness, AdmissionDecision, History, ProxySettings};
use support::fixtures::{assert_fixture, without_times};
use support::{event, get, post, run_test, Peer, TestEndpoint, TestNode, TestProxy, TURN_HEADERS};
use tokio::net::{TcpListener, TcpStream};

/// The state of the client's connection after the response.
#[derive(Clone, Copy, PartialEq)]
enum AfterResponse {
    StaysOpen,
    Closes,
}

/// A request that is rejected before an endpoint is chosen.
struct RejectedRequest {
    name: &'static str,
    request: String,
    /// Sets up the node before the request.
    prepare: fn(&TestNode),
    after_response: AfterResponse,
}

fn rejected(
    name: &'static str,
    request: impl Into<String>,
    after_response: AfterResponse,
) -> RejectedRequest {
    RejectedRequest {
        name,
        request: request.into(),
        prepare: |_| {},
        after_response,
    }
}

/// A request that is rejected because of the state of the node.
fn rejected_with(
    name: &'static str,
    request: impl Into<String>,
    prepare: fn(&TestNode),
) -> RejectedRequest {
    RejectedRequest {
        name,
        request: request.into(),
        prepare,
        after_response: AfterResponse::StaysOpen,
    }
}

/// Gives streams a timeout of 50 ms.
fn set_short_stream_timeout(node: &TestNode) {
    node.edit_configuration(&[(
        r#""timeout_ms":20000,"target_ms":200"#,
        r#""timeout_ms":50,"target_ms":200"#,
    )]);
}

fn malformed_requests() -> Vec<RejectedRequest> {
    let head = "POST /write/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\n";
    vec![
        rejected(
            "no_host",
            "GET /read/ HTTP/1.1\r\nX-Dunespur-Request-Id: r1\r\n\r\n",
            AfterResponse::Closes,
        ),
        rejected(
            "bad_deadline",
            get("/read/", "r1").replace("Ms: 15000", "Ms: soon"),
            AfterResponse::Closes,
        ),
        rejected(
            "bad_budget",
            post("/stream/", "r1", "Budget: much\r\n", ""),
            AfterResponse::Closes,
        ),
        rejected(
            "no_id",
            "GET /read/ HTTP/1.1\r\nHost: h.example\r\n\r\n",
            AfterResponse::StaysOpen,
        ),
        rejected("bad_request_line", "BAD\r\n\r\n", AfterResponse::Closes),
        rejected(
            "two_lengths",
            format!("{head}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
            AfterResponse::Closes,
        ),
        rejected(
            "bad_chunk",
            format!("{head}Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
            AfterResponse::Closes,
        ),
        rejected(
            "old_version",
            get("/read/", "r1").replace("HTTP/1.1", "HTTP/1.0"),
            AfterResponse::Closes,
        ),
        rejected(
            "long_head",
            get(&format!("/read/{}", "y".repeat(30_000)), "r1"),
            AfterResponse::Closes,
        ),
        rejected(
            "too_large",
            format!("{head}Content-Length: 100001\r\n\r\n"),
            AfterResponse::Closes,
        ),
        RejectedRequest {
            name: "slow_body",
            request: format!("{head}Content-Length: 10\r\n\r\nhalf").replace("/write/", "/short/"),
            prepare: |_| {},
            after_response: AfterResponse::Closes,
        },
        RejectedRequest {
            name: "slow_head",
            request: "GET /read/ HTTP/1.1\r\nHost".to_owned(),
            prepare: |node| {
                node.edit_configuration(&[(
                    r#""header_timeout_ms":3000"#,
                    r#""header_timeout_ms":1"#,
                )])
            },
            after_response: AfterResponse::Closes,
        },
    ]
}

fn rejections_before_dispatch() -> Vec<RejectedRequest> {
    let turn = |more_headers: &str| {
        post(
            "/turn/",
            "r1",
            &format!("{TURN_HEADERS}{more_headers}"),
            "x",
        )
    };
    vec![
        rejected("no_route", get("/nowhere/", "r1"), AfterResponse::StaysOpen),
        rejected(
            "no_route_unread",
            post("/nowhere/", "r1", "", "").replace("Length: 0", "Length: 9"),
            AfterResponse::Closes,
        ),
        rejected_with(
            "no_route_stale_configuration",
            get("/nowhere/", "r1"),
            |node| node.configuration_stale.set(true),
        ),
        rejected_with("no_configuration", get("/read/", "r1"), |node| {
            *node.table.borrow_mut() = None
        }),
        rejected_with("budget_spent", turn(""), |node| {
            node.admission.set(AdmissionDecision::BudgetSpent)
        }),
        rejected_with("budget_unknown", turn(""), |node| {
            node.admission
                .set(AdmissionDecision::RetryLater { retry_after_ms: 80 })
        }),
        rejected_with(
            "admission_late",
            post("/stream/", "r1", TURN_HEADERS, "x"),
            |node| {
                set_short_stream_timeout(node);
                node.admission_permits.forget_permits(1000);
            },
        ),
        rejected_with("previous_unknown", turn("Previous: r0\r\n"), |node| {
            *node.history.borrow_mut() = History::Unknown;
        }),
        rejected_with("previous_unavailable", turn("Previous: r0\r\n"), |node| {
            *node.history.borrow_mut() = History::Unavailable {
                retry_after_ms: 12_345,
            };
        }),
        rejected(
            "persisted_turn_resumed",
            turn("Last-Event-Id: 3\r\n"),
            AfterResponse::StaysOpen,
        ),
        rejected_with("no_endpoint", get("/read/", "r1"), |node| {
            node.endpoints.borrow_mut().clear()
        }),
        rejected_with("overloaded", get("/read/", "r1"), |node| {
            node.reject_after_ms.set(Some(1250))
        }),
        rejected(
            "no_memory",
            post("/write/", "r1", "", &"x".repeat(2000)),
            AfterResponse::StaysOpen,
        ),
        rejected(
            "head_of_no_route",
            get("/nowhere/", "r1").replace("GET", "HEAD"),
            AfterResponse::StaysOpen,
        ),
    ]
}

#[test]
fn rejections_before_an_endpoint_is_chosen() {
    for case in malformed_requests()
        .into_iter()
        .chain(rejections_before_dispatch())
    {
        run_test(async move {
            let endpoint = TestEndpoint::start("i-1").await;
            let settings = ProxySettings {
                body_memory_bytes: 1000,
                ..ProxySettings::default()
            };
            let proxy = TestProxy::with_settings(&[&endpoint], settings).await;
            (case.prepare)(&proxy.node);
            let mut client = proxy.send_request(&case.request).await;
            let response = if case.request.starts_with("HEAD") {
                client.read_until("\r\n\r\n").await
            } else {
                client.raw_message().await
            };
            assert_fixture(&format!("wire/rejected_{}.response", case.name), &response);
            match case.after_response {
                AfterResponse::Closes => assert!(client.is_closed().await, "{}", case.name),
                AfterResponse::StaysOpen => assert!(client.is_silent().await, "{}", case.name),
            }
            assert!(endpoint.has_no_connection().await, "{}", case.name);
        });
    }
}

/// What an endpoint does with its connection after the response.
#[derive(Clone, Copy)]
enum ConnectionEnd {
    KeepOpen,
    Close,
    Reset,
}

/// A request that an endpoint receives, and the endpoint's response.
struct ForwardedRequest {
    name: &'static str,
    request: String,
    response: String,
    end: ConnectionEnd,
}

fn forwarded(name: &'static str, request: String, response: impl Into<String>) -> ForwardedRequest {
    ForwardedRequest {
        name,
        request,
        response: response.into(),
        end: ConnectionEnd::KeepOpen,
    }
}

/// Returns the head of an endpoint's response without its final empty line.
fn head(status: &str) -> String {
    format!("HTTP/1.1 {status}\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s.r1\r\n")
}

fn endpoint_responses() -> Vec<ForwardedRequest> {
    let ok = || format!("{}Content-Length: 2\r\n\r\nok", head("200 OK"));
    let hop = "X-Other: kept\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nUpgrade: x\r\n\
               Priority: 0\r\nX-Dunespur-Expect-Instance: i-9\r\nExpect-Version: 3\r\nKeep-Alive: timeout=9\r\n\
               Proxy-Connection: x\r\n";
    let chunked = get("/write/", "r1")
        .replace("GET", "PUT")
        .replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n");
    vec![
        forwarded("post", post("/write/a%20b?c=d&e", "r1", hop, "body"), ok()),
        forwarded("get", get("/read/", "r1"), ok()),
        forwarded("empty_post", post("/write/", "r1", "", ""), ok()),
        forwarded("chunked_put", format!("{chunked}3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"), ok()),
        forwarded("absolute_target", get("/write/a?b=c", "r1").replace("GET ", "GET http://h.example:80"), ok()),
        forwarded(
            "turn_of_an_agent",
            post("/resume/", "r1", &format!("{TURN_HEADERS}X-Dunespur-Prompt-Prefix: 5c1e07a2:800\r\nLast-Event-Id: 4\r\n"), "x"),
            format!("{}Content-Type: text/event-stream\r\nContent-Length: 18\r\n\r\nid: 5\ndata: word\n\n", head("200 OK")),
        ),
        forwarded(
            "hop_by_hop_headers_of_the_response",
            get("/read/", "r1"),
            format!("{}Keep-Alive: timeout=5\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-More: yes\r\nContent-Length: 2\r\n\r\nok", head("201 Made")),
        ),
        forwarded("chunked_response", get("/read/", "r1"), format!("{}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", head("200 OK"))),
        forwarded("no_content", get("/read/", "r1"), format!("{}\r\n", head("204 No Content"))),
        forwarded("failure", post("/write/", "r1", "", "x"), format!("{}Content-Length: 6\r\n\r\nfailed", head("500 X"))),
        forwarded("final_client_error", post("/write/", "r1", "", "x"), format!("{}Content-Length: 0\r\n\r\n", head("409 Conflict"))),
        ForwardedRequest { end: ConnectionEnd::Close, ..forwarded("until_close", get("/read/", "r1"), format!("{}\r\nok", head("200 OK"))) },
    ]
}

fn unusable_responses() -> Vec<ForwardedRequest> {
    let write = || post("/write/", "r1", "", "x");
    let rejection = format!(
        "{}X-Dunespur-Not-Executed: full\r\nContent-Length: 0\r\n\r\n",
        head("503 X")
    );
    vec![
        forwarded("endpoint_rejection", write(), rejection),
        forwarded(
            "misdirected",
            write(),
            format!("{}Content-Length: 0\r\n\r\n", head("421 X")),
        ),
        forwarded(
            "unconfirmed_rejection",
            write(),
            format!("{}Content-Length: 0\r\n\r\n", head("503 X")),
        ),
        forwarded(
            "other_id",
            write(),
            format!(
                "{}Content-Length: 0\r\n\r\n",
                head("200 OK").replace("r1\r\n", "r2\r\n")
            ),
        ),
        forwarded("no_http", write(), "\x01\x02garbage\r\n\r\n"),
        ForwardedRequest {
            end: ConnectionEnd::Close,
            ..forwarded(
                "half_a_response",
                write(),
                format!("{}Content-Length: 9\r\n\r\nhalf", head("200 OK")),
            )
        },
        ForwardedRequest {
            end: ConnectionEnd::Reset,
            ..forwarded("reset", write(), "")
        },
        forwarded("unresponsive", post("/short/", "r1", "", "x"), ""),
        forwarded(
            "persisted_turn_without_events",
            post("/turn/", "r1", TURN_HEADERS, "x"),
            format!(
                "{}Content-Type: text/plain\r\nContent-Length: 2\r\n\r\nok",
                head("200 OK")
            ),
        ),
    ]
}

#[test]
fn requests_as_endpoints_receive_them_and_responses_as_clients_receive_them() {
    for case in endpoint_responses().into_iter().chain(unusable_responses()) {
        run_test(async move {
            let (proxy, endpoint) = TestProxy::with_endpoint().await;
            proxy.node.engine_priority.set(Some(2));
            let mut client = proxy.send_request(&case.request).await;
            let mut connection = endpoint.accept().await;
            let message = String::from_utf8(connection.raw_message().await).unwrap();
            let message = without_times(&message, &["x-dunespur-deadline-ms: "]);
            assert_fixture(&format!("wire/{}.request", case.name), message.as_bytes());
            connection.send(case.response.as_bytes()).await;
            match case.end {
                ConnectionEnd::KeepOpen => {}
                ConnectionEnd::Close => connection.shut_down_write().await,
                ConnectionEnd::Reset => connection.reset(),
            }
            assert_fixture(
                &format!("wire/{}.response", case.name),
                &client.raw_message().await,
            );
            assert!(client.is_silent().await, "{}", case.name);
        });
    }
}

#[test]
fn an_expected_100_continue_is_sent() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let request = post("/write/", "r1", "Expect: 100-continue\r\n", "body");
        let (head, body) = request.split_at(request.len() - 4);
        let mut client = proxy.send_request(head).await;
        assert_fixture(
            "wire/expect_continue.interim",
            &client.read_until("\r\n\r\n").await,
        );
        client.send(body.as_bytes()).await;
        let (mut connection, message) = endpoint.next_request().await;
        assert_eq!(message.text(), "body");
        connection.respond(200, "r1", "", "ok").await;
        assert_fixture("wire/expect_continue.response", &client.raw_message().await);
    });
}

/// Sends three events, each after the previous one has arrived at the client, and ends the stream. Returns the bytes
/// that the client receives.
async fn stream_of_events(path: &str, end: ConnectionEnd) -> Vec<u8> {
    let (proxy, endpoint) = TestProxy::with_endpoint().await;
    let mut client = proxy
        .send_request(&post(path, "r1", TURN_HEADERS, "x"))
        .await;
    let (mut connection, _) = endpoint.next_request().await;
    connection.send_stream_head("r1", "X-Versions: 1\r\n").await;
    let mut response = Vec::new();
    for id in 1..=3 {
        connection.send_chunk(&event(id)).await;
        response.extend(client.read_until("\n\n\r\n").await);
    }
    match end {
        ConnectionEnd::KeepOpen => connection.send_last_chunk().await,
        ConnectionEnd::Close => drop(connection),
        ConnectionEnd::Reset => connection.reset(),
    }
    if matches!(end, ConnectionEnd::KeepOpen) {
        response.extend(client.read_until("0\r\n\r\n").await);
        assert!(client.is_silent().await);
    } else {
        response.extend(client.read_to_end().await);
    }
    response
}

#[test]
fn event_streams_as_clients_receive_them() {
    for (name, path, end) in [
        ("complete", "/stream/", ConnectionEnd::KeepOpen),
        ("persisted", "/turn/", ConnectionEnd::KeepOpen),
        ("closed", "/stream/", ConnectionEnd::Close),
        ("reset", "/stream/", ConnectionEnd::Reset),
    ] {
        run_test(async move {
            assert_fixture(
                &format!("wire/events_{name}.response"),
                &stream_of_events(path, end).await,
            );
        });
    }
}

#[test]
fn a_truncated_long_response_ends_without_a_last_chunk() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut client = proxy.send_request(&get("/write/", "r1")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection
            .send(format!("{}Transfer-Encoding: chunked\r\n\r\n", head("200 OK")).as_bytes())
            .await;
        connection.send_chunk(&"x".repeat(80_000)).await;
        assert_fixture(
            "wire/cut_chunked.head",
            &client.read_until("\r\n\r\n").await,
        );
        drop(connection);
        assert!(client.read_to_end().await.ends_with(b"x\r\n"));
    });
}

#[test]
fn responses_while_draining_close_their_connections() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        proxy.server.drain();
        let mut client = proxy.send_request(&get("/read/", "r1")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.respond(200, "r1", "", "ok").await;
        assert_fixture("wire/draining.response", &client.raw_message().await);
        assert!(client.is_closed().await);
        let mut client = proxy.send_request(&get("/nowhere/", "r2")).await;
        assert_fixture(
            "wire/draining_rejected.response",
            &client.raw_message().await,
        );
        assert!(client.is_closed().await);
    });
}

#[test]
fn responses_of_the_readiness_check() {
    run_test(async {
        let node = TestNode::new(Vec::new());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(serve_readiness(node.clone(), listener));
        let mut caller = Peer::new(TcpStream::connect(address).await.unwrap());
        for (name, ready, path) in [
            ("yes", true, "/api/readyz"),
            ("no", false, "/api/readyz"),
            ("elsewhere", true, "/else"),
        ] {
            node.is_ready.set(ready);
            caller
                .send(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())
                .await;
            assert_fixture(
                &format!("wire/ready_{name}.response"),
                &caller.raw_message().await,
            );
        }
    });
}
