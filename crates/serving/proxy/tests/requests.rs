//! Requests and plain responses: forwarding, rejections and retries.

mod support;

use dunespur_routing::Outcome;
use support::{
    get, post, run_test, table, two_endpoints, NodeCall, TestEndpoint, TestProxy, CONFIGURATION,
};

const SERVED: Outcome = Outcome::Served { tokens_out: 0 };

#[test]
fn a_request_and_its_response_are_forwarded_unchanged() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let request = post(
            "/write/a%20b?c=d&e",
            "r1",
            "X-Other: kept\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n",
            "body",
        );
        let mut client = proxy.send_request(&request).await;

        let (mut connection, message) = endpoint.next_request().await;
        assert_eq!(message.first_line, "POST /write/a%20b?c=d&e HTTP/1.1");
        assert_eq!(message.id(), "r1");
        assert_eq!(message.header("host"), Some("h.example"));
        assert_eq!(message.header("x-other"), Some("kept"));
        assert_eq!(message.header("x-dunespur-expect-instance"), Some("i-1"));
        assert_eq!(message.header("content-length"), Some("4"));
        for hop in ["connection", "x-hop", "te"] {
            assert_eq!(message.header(hop), None, "{hop}");
        }
        assert_eq!(message.text(), "body");
        let deadline: u64 = message
            .header("x-dunespur-deadline-ms")
            .unwrap()
            .parse()
            .unwrap();
        assert!(deadline > 0 && deadline <= 15_000);

        connection
            .respond(
                201,
                "r1",
                "Keep-Alive: timeout=5\r\nX-More: yes\r\n",
                "done",
            )
            .await;
        let response = client.message().await;
        assert_eq!(response.status(), 201);
        assert_eq!(response.header("x-dunespur-response-stamp"), Some("s.r1"));
        assert_eq!(response.header("x-dunespur-request-id"), Some("r1"));
        assert_eq!(response.header("x-more"), Some("yes"));
        assert_eq!(response.header("keep-alive"), None);
        assert_eq!(response.text(), "done");
        assert_eq!(proxy.node.outcomes(), [SERVED]);
    });
}

#[test]
fn clients_can_not_set_the_proxys_own_headers() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        proxy.node.engine_priority.set(Some(2));
        let _client = proxy
            .send_request(&post(
                "/write/",
                "r1",
                "Priority: 0\r\nX-Dunespur-Expect-Instance: i-9\r\nExpect-Version: 3\r\n",
                "",
            ))
            .await;
        let (_, message) = endpoint.next_request().await;
        assert_eq!(message.header("priority"), Some("2"));
        assert_eq!(message.header("expect-version"), None);
        let instances: Vec<_> = message
            .headers
            .iter()
            .filter(|(name, _)| name == "x-dunespur-expect-instance")
            .collect();
        assert_eq!(instances.len(), 1);
        assert_eq!(instances[0].1, "i-1");
    });
}

#[test]
fn requests_that_cannot_be_served_are_rejected() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let cases = [
            (get("/nowhere/", "r1"), 404),
            (get("/read", "r1"), 404),
            (
                "GET /read/ HTTP/1.1\r\nHost: h.example\r\n\r\n".to_owned(),
                400,
            ),
            (
                "GET /read/ HTTP/1.1\r\nX-Dunespur-Request-Id: r1\r\n\r\n".to_owned(),
                400,
            ),
            (
                "GET /read/ HTTP/1.0\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\n\r\n"
                    .to_owned(),
                505,
            ),
            ("BAD\r\n\r\n".to_owned(), 400),
        ];
        for (request, status) in cases {
            let response = proxy.response(&request).await;
            assert_eq!(response.status(), status, "{request}");
            assert_eq!(response.header("x-dunespur-response-stamp"), None);
        }
        assert!(endpoint.has_no_connection().await);
    });
}

#[test]
fn a_request_without_a_route_may_be_retried_while_the_configuration_is_stale() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        proxy.node.configuration_stale.set(true);
        let response = proxy.response(&get("/nowhere/", "r1")).await;
        assert_eq!(response.status(), 503);
        assert!(response.header("retry-after").is_some());
        let _client = proxy.send_request(&get("/read/", "r2")).await;
        endpoint.next_request().await;
    });
}

#[test]
fn before_the_first_configuration_no_route_is_unknown() {
    run_test(async {
        let proxy = TestProxy::start(&[]).await;
        *proxy.node.table.borrow_mut() = None;
        let response = proxy.response(&get("/nowhere/", "r1")).await;
        assert_eq!(response.status(), 503);
        assert!(response.header("retry-after").is_some());
    });
}

#[test]
fn a_request_before_the_first_configuration_is_served_once_it_has_arrived() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        *proxy.node.table.borrow_mut() = None;
        let mut client = proxy.send_request(&post("/write/", "r1", "", "body")).await;
        proxy.node.wait_for_call(&NodeCall::AwaitChange).await;

        // A change of other state: the request keeps waiting.
        proxy.node.call_log.borrow_mut().clear();
        proxy.node.set_table(None);
        proxy.node.wait_for_call(&NodeCall::AwaitChange).await;

        proxy.node.set_table(Some(table(CONFIGURATION)));
        let (mut connection, message) = endpoint.next_request().await;
        assert_eq!(message.text(), "body");
        connection.respond(200, "r1", "", "done").await;
        assert_eq!(client.message().await.status(), 200);
    });
}

#[test]
fn a_request_without_time_does_not_wait_for_the_first_configuration() {
    run_test(async {
        let proxy = TestProxy::start(&[]).await;
        *proxy.node.table.borrow_mut() = None;
        let urgent_request =
            "GET /read/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\n\
                       X-Dunespur-Deadline-Ms: 3\r\n\r\n";
        let response = proxy.response(urgent_request).await;
        assert_eq!(response.status(), 503);
        assert_eq!(proxy.node.calls(), []);
    });
}

#[test]
fn a_request_without_an_endpoint_may_be_retried_by_its_client() {
    run_test(async {
        let proxy = TestProxy::start(&[]).await;
        let response = proxy.response(&get("/read/", "r1")).await;
        assert_eq!(response.status(), 503);
        assert!(response.header("retry-after").is_some());

        proxy.node.reject_after_ms.set(Some(1250));
        let response = proxy.response(&get("/read/", "r2")).await;
        assert_eq!(response.status(), 503);
        assert_eq!(response.header("retry-after"), Some("1.250"));
    });
}

#[test]
fn a_request_that_was_not_run_is_retried_at_the_next_endpoint() {
    run_test(async {
        let dead = TestEndpoint::dead("i-dead").await;
        let (full, moved, good) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
            TestEndpoint::start("i-3").await,
        );
        let proxy = TestProxy::start(&[&dead, &full, &moved, &good]).await;
        let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;

        let (mut connection, _) = full.next_request().await;
        connection
            .respond(503, "r1", "X-Dunespur-Not-Executed: full\r\n", "full")
            .await;
        let (mut connection, _) = moved.next_request().await;
        connection.respond(421, "r1", "", "").await;
        let (mut connection, _) = good.next_request().await;
        connection.respond(200, "r1", "", "ok").await;

        let response = client.message().await;
        assert_eq!((response.status(), response.text()), (200, "ok"));
        assert_eq!(
            proxy.node.outcomes(),
            [
                Outcome::Unreachable,
                Outcome::Rejected,
                Outcome::Misdirected,
                SERVED
            ]
        );
        let tried: Vec<_> = proxy
            .node
            .choices()
            .into_iter()
            .map(|request| request.tried.len())
            .collect();
        assert_eq!(tried, [0, 1, 2, 3]);
    });
}

#[test]
fn a_request_rejected_by_all_endpoints_may_be_retried_by_its_client() {
    run_test(async {
        let full = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&full]).await;
        let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
        let (mut connection, _) = full.next_request().await;
        connection
            .respond(429, "r1", "X-Dunespur-Not-Executed: full\r\n", "")
            .await;
        let response = client.message().await;
        assert_eq!(response.status(), 503);
        assert_eq!(response.header("x-dunespur-response-stamp"), None);
        assert!(response.header("retry-after").is_some());
    });
}

#[test]
fn a_request_that_may_have_run_and_is_not_idempotent_is_not_retried() {
    run_test(async {
        let (first, second) = two_endpoints().await;
        let proxy = TestProxy::start(&[&first, &second]).await;
        let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
        let (connection, _) = first.next_request().await;
        connection.reset();
        let response = client.message().await;
        assert_eq!(response.status(), 502);
        assert_eq!(response.header("x-dunespur-response-stamp"), None);
        assert_eq!(proxy.node.outcomes(), [Outcome::Failed]);
        assert!(second.has_no_connection().await);
    });
}

#[test]
fn an_unconfirmed_rejection_is_not_forwarded() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        for (status, id) in [(503, "r1"), (429, "r2"), (408, "r3")] {
            let mut client = proxy.send_request(&post("/write/", id, "", "x")).await;
            let (mut connection, _) = endpoint.next_request().await;
            connection
                .respond(status, id, "Connection: close\r\n", "")
                .await;
            let response = client.message().await;
            assert_eq!(response.status(), 502);
            assert_eq!(response.header("x-dunespur-response-stamp"), None);
        }
    });
}

#[test]
fn a_failure_reported_by_the_endpoint_is_forwarded() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        for (status, id, path) in [
            (500, "r1", "/write/"),
            (504, "r2", "/write/"),
            (500, "r3", "/read/"),
        ] {
            let mut client = proxy.send_request(&post(path, id, "", "x")).await;
            let (mut connection, _) = endpoint.next_request().await;
            connection
                .respond(status, id, "Connection: close\r\n", "failed")
                .await;
            let response = client.message().await;
            assert_eq!((response.status(), response.text()), (status, "failed"));
            assert_eq!(
                response.header("x-dunespur-response-stamp"),
                Some(format!("s.{id}").as_str())
            );
        }
        assert_eq!(proxy.node.outcomes(), [Outcome::Failed; 3]);
    });
}

#[test]
fn an_idempotent_request_fails_over_as_often_as_its_route_allows() {
    run_test(async {
        let endpoints = [
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
            TestEndpoint::start("i-3").await,
        ];
        let proxy = TestProxy::start(&[&endpoints[0], &endpoints[1], &endpoints[2]]).await;
        let mut client = proxy.send_request(&get("/read2/", "r1")).await;
        let (mut connection, _) = endpoints[0].next_request().await;
        connection
            .respond(500, "r1", "Connection: close\r\n", "")
            .await;
        let (mut connection, _) = endpoints[1].next_request().await;
        connection
            .respond(200, "r1", "Connection: close\r\n", "ok")
            .await;
        assert_eq!(client.message().await.text(), "ok");

        let mut client = proxy.send_request(&get("/read2/", "r2")).await;
        let (connection, _) = endpoints[0].next_request().await;
        connection.reset();
        let (mut connection, _) = endpoints[1].next_request().await;
        connection.respond(500, "r2", "", "").await;
        assert_eq!(client.message().await.status(), 500);
        assert!(endpoints[2].has_no_connection().await);
    });
}

#[test]
fn an_unrelated_response_is_not_forwarded() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let unrelated_responses = [
            ("another request's id", "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: other\r\nX-Dunespur-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok"),
            ("without an id", "HTTP/1.1 200 OK\r\nX-Dunespur-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok"),
            ("without a stamp", "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok"),
            ("encoded", "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"),
            ("a success marked as not run", "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\nX-Dunespur-Not-Executed: x\r\nContent-Length: 2\r\n\r\nok"),
            ("not HTTP", "\x01\x02garbage\r\n\r\n"),
            ("two lengths", "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk"),
        ];
        for (name, bytes) in unrelated_responses {
            let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
            let (mut connection, _) = endpoint.next_request().await;
            connection.send(bytes.as_bytes()).await;
            let response = client.message().await;
            assert_eq!(response.status(), 502, "{name}");
            assert_eq!(response.header("x-dunespur-response-stamp"), None, "{name}");
            assert!(connection.is_closed().await, "{name}");
        }
    });
}

#[test]
fn a_truncated_short_response_becomes_a_502() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let head =
            "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\n";
        for rest in [
            "Content-Length: 10\r\n\r\nhalf",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nha",
        ] {
            let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
            let (mut connection, _) = endpoint.next_request().await;
            connection.send(format!("{head}{rest}").as_bytes()).await;
            drop(connection);
            assert_eq!(client.message().await.status(), 502, "{rest}");
        }
    });
}

#[test]
fn a_truncated_long_response_is_truncated_for_the_client() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let head =
            "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\n";
        let part = "x".repeat(80_000);
        for framing in [
            "Content-Length: 200000\r\n\r\n".to_owned(),
            "Transfer-Encoding: chunked\r\n\r\n30d40\r\n".to_owned(),
        ] {
            let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
            let (mut connection, _) = endpoint.next_request().await;
            connection
                .send(format!("{head}{framing}{part}").as_bytes())
                .await;
            drop(connection);
            assert!(client.message_or_truncated().await.is_err(), "{framing}");
        }
        assert_eq!(proxy.node.outcomes(), [Outcome::Failed; 2]);
    });
}

#[test]
fn a_long_response_is_forwarded_completely() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let body = "0123456789".repeat(30_000);
        let mut client = proxy.send_request(&get("/read/", "r1")).await;
        let (mut connection, _) = endpoint.next_request().await;
        let (response, ()) =
            tokio::join!(client.message(), connection.respond(200, "r1", "", &body));
        assert_eq!(response.text(), body);
        assert_eq!(proxy.node.outcomes(), [SERVED]);
    });
}

#[test]
fn an_unresponsive_endpoint_is_given_up_at_the_timeout_of_the_route() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut client = proxy.send_request(&post("/short/", "r1", "", "x")).await;
        let (mut connection, message) = endpoint.next_request().await;
        let deadline: u64 = message
            .header("x-dunespur-deadline-ms")
            .unwrap()
            .parse()
            .unwrap();
        assert!(deadline <= 50);
        assert_eq!(client.message().await.status(), 504);
        assert!(connection.is_closed().await);
        assert_eq!(proxy.node.outcomes(), [Outcome::TimedOut]);
    });
}

#[test]
fn a_client_that_disconnects_ends_its_request_at_once() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        drop(client);
        assert!(connection.is_closed().await);
        assert_eq!(proxy.node.outcomes(), [Outcome::Cancelled]);
    });
}

#[test]
fn a_client_that_disconnects_during_a_long_response_ends_its_request() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut client = proxy.send_request(&get("/read/", "r1")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.send(b"HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        connection.send_chunk(&"x".repeat(70_000)).await;
        client.head().await;
        drop(client);
        assert!(connection.is_closed().await);
        assert_eq!(proxy.node.outcomes(), [Outcome::Cancelled]);
    });
}

#[test]
fn the_choice_gets_the_attributes_that_the_request_states() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let more_headers = "Program: p1\r\nSession: s1\r\nX-Dunespur-Token-Count: 1460,80\r\nX-Dunespur-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\n";
        let _client = proxy
            .send_request(&post("/resume/", "r1", more_headers, "x"))
            .await;
        endpoint.next_request().await;
        let choices = proxy.node.choices();
        let request = &choices[0];
        assert_eq!(request.backend, "engine");
        assert_eq!(
            (request.program.as_deref(), request.session.as_deref()),
            (Some("p1"), Some("s1"))
        );
        assert_eq!(request.prefix, [(0x5c1e07a2, 800), (0x91bd3f06, 410)]);
        assert_eq!((request.prompt_tokens, request.max_tokens), (1460, 80));
        assert!(request.idempotent);
        assert!(request.time_left_ms <= 15_000);
    });
}

#[test]
fn an_idempotent_request_is_resent_to_its_endpoint_if_no_other_may_run_it() {
    run_test(async {
        let (endpoint, other) = two_endpoints().await;
        let proxy = TestProxy::start(&[&endpoint, &other]).await;
        let mut client = proxy.send_request(&get("/read/", "r1")).await;
        let (connection, _) = endpoint.next_request().await;
        connection.reset();
        let (mut connection, _) = endpoint.next_request().await;
        connection.respond(200, "other", "", "unrelated").await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.respond(200, "r1", "", "ok").await;
        assert_eq!(client.message().await.text(), "ok");
        assert!(other.has_no_connection().await);
        assert_eq!(proxy.node.outcomes(), [SERVED]);
    });
}

#[test]
fn resends_to_an_endpoint_that_truncates_every_response_are_limited() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut client = proxy.send_request(&get("/read/", "r1")).await;
        for _ in 0..3 {
            let (connection, _) = endpoint.next_request().await;
            connection.reset();
        }
        assert_eq!(client.message().await.status(), 502);
        assert!(endpoint.has_no_connection().await);
        assert_eq!(proxy.node.outcomes(), [Outcome::Failed]);
    });
}

#[test]
fn a_crashed_endpoint_no_longer_counts_for_an_idempotent_request() {
    run_test(async {
        let (mut endpoint, other) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&endpoint, &other]).await;
        let mut client = proxy.send_request(&get("/read/", "r1")).await;
        let (connection, _) = endpoint.next_request().await;
        endpoint.stop_listening();
        connection.reset();
        let (mut connection, _) = other.next_request().await;
        connection.respond(200, "r1", "", "ok").await;
        assert_eq!(client.message().await.text(), "ok");
        assert_eq!(proxy.node.outcomes(), [Outcome::Unreachable, SERVED]);
    });
}

#[test]
fn a_service_without_endpoints_is_replaced_by_another_service_of_the_route() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        proxy.node.edit_configuration(&[(r#""timeout_ms":20000,"target_ms":500,"priority":1,"backend":"plain""#, r#""timeout_ms":20000,"target_ms":500,"priority":1,"backends":[{"backend":"engine","weight":100},{"backend":"plain","weight":1}]"#)]);
        proxy
            .node
            .services_without_endpoints
            .borrow_mut()
            .push("engine".to_owned());
        let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.respond(200, "r1", "", "ok").await;
        assert_eq!(client.message().await.text(), "ok");
        assert_eq!(proxy.node.choices().last().unwrap().backend, "plain");
    });
}

#[test]
fn a_client_that_disconnects_at_its_deadline_counts_against_the_endpoint() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let client = proxy.send_request(&post("/short/", "r1", "", "x")).await;
        endpoint.next_request().await;
        drop(client);
        proxy
            .node
            .wait_for_call(&NodeCall::RecordOutcome(Outcome::TimedOut))
            .await;
    });
}

#[test]
fn responses_without_a_body_are_forwarded() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let head =
            "X-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\nConnection: close\r\n";
        for (method, response, length) in [
            (
                "HEAD",
                format!("HTTP/1.1 200 OK\r\n{head}Content-Length: 500\r\n\r\n"),
                Some("500"),
            ),
            ("HEAD", format!("HTTP/1.1 200 OK\r\n{head}\r\n"), None),
            (
                "GET",
                format!("HTTP/1.1 204 No Content\r\n{head}\r\n"),
                None,
            ),
            (
                "DELETE",
                format!("HTTP/1.1 304 Not Modified\r\n{head}\r\n"),
                None,
            ),
            (
                "GET",
                format!("HTTP/1.1 200 OK\r\n{head}Content-Length: 0\r\n\r\n"),
                Some("0"),
            ),
        ] {
            let mut client = proxy
                .send_request(&get("/write/", "r1").replace("GET", method))
                .await;
            let (mut connection, message) = endpoint.next_request().await;
            assert!(message.first_line.starts_with(method));
            connection.send(response.as_bytes()).await;
            let forwarded = client.head().await;
            assert_eq!(
                forwarded.first_line.split(' ').nth(1),
                response.split(' ').nth(1),
                "{method} {response}"
            );
            assert_eq!(
                forwarded.header("content-length"),
                length,
                "{method} {response}"
            );
            assert_eq!(client.unread(), b"");
        }
    });
}

#[test]
fn the_authority_of_an_absolute_target_is_the_host() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let request = get("/write/a?b=c", "r1").replace("GET ", "GET http://h.example:80");
        let _client = proxy.send_request(&request).await;
        assert_eq!(
            endpoint.next_request().await.1.first_line,
            "GET /write/a?b=c HTTP/1.1"
        );
        let response = proxy
            .response(&get("*", "r1").replace("GET", "OPTIONS"))
            .await;
        assert_eq!(response.status(), 404);
    });
}

#[test]
fn paths_and_queries_stay_unchanged() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        for target in [
            "/write//x/../y",
            "/write/%2e%2E/%00",
            "/write/?a=b?c&d=%zz",
            "/write/a;b=c:d@e!$'()*+,",
            "/write/?",
        ] {
            let _client = proxy.send_request(&get(target, "r1")).await;
            assert_eq!(
                endpoint.next_request().await.1.first_line,
                format!("GET {target} HTTP/1.1")
            );
        }
    });
}

#[test]
fn a_body_without_a_length_is_complete_once_the_endpoint_has_closed_the_connection() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let head =
            "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\n\r\n";
        for body in ["".to_owned(), "ok".to_owned(), "x".repeat(200_000)] {
            let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
            let (mut connection, _) = endpoint.next_request().await;
            let response = format!("{head}{body}");
            let (response, ()) = tokio::join!(client.message(), async {
                connection.send(response.as_bytes()).await;
                connection.shut_down_write().await;
            });
            assert_eq!((response.status(), response.text()), (200, body.as_str()));
            assert!(connection.is_closed().await);
        }
        assert_eq!(proxy.node.outcomes(), [SERVED; 3]);
    });
}

#[test]
fn a_body_without_a_length_is_incomplete_while_its_connection_is_open() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut client = proxy.send_request(&post("/short/", "r1", "", "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection
            .send(b"HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\n\r\nok")
            .await;
        let response = client.message().await;
        assert_eq!(
            (
                response.status(),
                response.header("x-dunespur-response-stamp")
            ),
            (504, None)
        );
        assert!(connection.is_closed().await);
    });
}

#[test]
fn a_body_without_a_length_that_is_reset_is_incomplete() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let head =
            "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\n\r\n";
        let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.send(format!("{head}half").as_bytes()).await;
        connection.reset();
        let response = client.message().await;
        assert_eq!(
            (
                response.status(),
                response.header("x-dunespur-response-stamp")
            ),
            (502, None)
        );

        let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection
            .send(format!("{head}{}", "x".repeat(80_000)).as_bytes())
            .await;
        client.read_until("xx").await;
        connection.reset();
        assert!(
            !client.read_to_end().await.ends_with(b"0\r\n\r\n"),
            "the truncated response ends with a last chunk"
        );
        assert_eq!(proxy.node.outcomes(), [Outcome::Failed; 2]);
    });
}
