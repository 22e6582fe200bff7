//! Requests and plain answers: what is passed on, what is refused, what is sent again.

mod support;

use dunespur_routing::Outcome;
use support::*;

const SERVED: Outcome = Outcome::Served { tokens_out: 0 };

#[test]
fn a_request_and_its_answer_are_passed_on_unchanged() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let request = post(
            "/write/a%20b?c=d&e",
            "r1",
            "X-Other: kept\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n",
            "body",
        );
        let mut client = proxy.request(&request).await;

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
fn what_the_system_says_to_servers_no_client_says() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        proxy.node.engine_priority.set(Some(2));
        let _client = proxy
            .request(&post(
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
fn what_can_not_be_served_is_refused() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
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
            let response = proxy.request(&request).await.message().await;
            assert_eq!(response.status(), status, "{request}");
            assert_eq!(response.header("x-dunespur-response-stamp"), None);
        }
        assert!(endpoint.has_no_connection().await);
    });
}

#[test]
fn out_of_touch_a_route_that_is_not_known_may_be_there() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        proxy.node.configuration_stale.set(true);
        let response = proxy.request(&get("/nowhere/", "r1")).await.message().await;
        assert_eq!(response.status(), 503);
        assert!(response.header("retry-after").is_some());
        let _client = proxy.request(&get("/read/", "r2")).await;
        endpoint.next_request().await;
    });
}

#[test]
fn before_the_first_configuration_nothing_is_unknown() {
    run_test(async {
        let proxy = TestProxy::start(&[]).await;
        *proxy.node.table.borrow_mut() = None;
        let response = proxy.request(&get("/nowhere/", "r1")).await.message().await;
        assert_eq!(response.status(), 503);
        assert!(response.header("retry-after").is_some());
    });
}

#[test]
fn a_request_that_comes_first_is_served_once_the_first_configuration_is_there() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        *proxy.node.table.borrow_mut() = None;
        let mut client = proxy.request(&post("/write/", "r1", "", "body")).await;
        proxy.node.called_with(&NodeCall::AwaitChange).await;

        // Something else has changed: it goes on waiting.
        proxy.node.log.borrow_mut().clear();
        proxy.node.set_table(None);
        proxy.node.called_with(&NodeCall::AwaitChange).await;

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
        let hurried = "GET /read/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\n\
                       X-Dunespur-Deadline-Ms: 3\r\n\r\n";
        let response = proxy.request(hurried).await.message().await;
        assert_eq!(response.status(), 503);
        assert_eq!(proxy.node.calls(), []);
    });
}

#[test]
fn a_request_without_a_server_may_come_back() {
    run_test(async {
        let proxy = TestProxy::start(&[]).await;
        let response = proxy.request(&get("/read/", "r1")).await.message().await;
        assert_eq!(response.status(), 503);
        assert!(response.header("retry-after").is_some());

        proxy.node.refuse.set(Some(1250));
        let response = proxy.request(&get("/read/", "r2")).await.message().await;
        assert_eq!(response.status(), 503);
        assert_eq!(response.header("retry-after"), Some("1.250"));
    });
}

#[test]
fn a_request_that_was_not_run_goes_to_the_next_server() {
    run_test(async {
        let dead = TestEndpoint::dead("i-dead").await;
        let (full, moved, good) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
            TestEndpoint::start("i-3").await,
        );
        let proxy = TestProxy::start(&[&dead, &full, &moved, &good]).await;
        let mut client = proxy.request(&post("/write/", "r1", "", "x")).await;

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
            .map(|ask| ask.tried.len())
            .collect();
        assert_eq!(tried, [0, 1, 2, 3]);
    });
}

#[test]
fn turned_away_by_all_it_may_come_back() {
    run_test(async {
        let full = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&full]).await;
        let mut client = proxy.request(&post("/write/", "r1", "", "x")).await;
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
fn what_may_have_run_and_can_not_be_repeated_is_sent_once() {
    run_test(async {
        let (first, second) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&first, &second]).await;
        let mut client = proxy.request(&post("/write/", "r1", "", "x")).await;
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
fn a_promise_that_nothing_backs_is_not_passed_on() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        for (status, id) in [(503, "r1"), (429, "r2"), (408, "r3")] {
            let mut client = proxy.request(&post("/write/", id, "", "x")).await;
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
fn a_servers_own_failure_is_passed_on() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        for (status, id, path) in [
            (500, "r1", "/write/"),
            (504, "r2", "/write/"),
            (500, "r3", "/read/"),
        ] {
            let mut client = proxy.request(&post(path, id, "", "x")).await;
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
        let mut client = proxy.request(&get("/read2/", "r1")).await;
        let (mut connection, _) = endpoints[0].next_request().await;
        connection
            .respond(500, "r1", "Connection: close\r\n", "")
            .await;
        let (mut connection, _) = endpoints[1].next_request().await;
        connection
            .respond(200, "r1", "Connection: close\r\n", "ok")
            .await;
        assert_eq!(client.message().await.text(), "ok");

        let mut client = proxy.request(&get("/read2/", "r2")).await;
        let (connection, _) = endpoints[0].next_request().await;
        connection.reset();
        let (mut connection, _) = endpoints[1].next_request().await;
        connection.respond(500, "r2", "", "").await;
        assert_eq!(client.message().await.status(), 500);
        assert!(endpoints[2].has_no_connection().await);
    });
}

#[test]
fn an_answer_that_is_not_the_servers_is_not_passed_on() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let spoilt = [
            ("another request's", "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: other\r\nX-Dunespur-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok"),
            ("without an id", "HTTP/1.1 200 OK\r\nX-Dunespur-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok"),
            ("without a stamp", "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok"),
            ("encoded", "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"),
            ("not run, and yet a success", "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\nX-Dunespur-Not-Executed: x\r\nContent-Length: 2\r\n\r\nok"),
            ("no HTTP", "\x01\x02garbage\r\n\r\n"),
            ("two lengths", "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk"),
        ];
        for (name, bytes) in spoilt {
            let mut client = proxy.request(&post("/write/", "r1", "", "x")).await;
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
fn a_short_answer_that_breaks_off_becomes_a_failure() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let head =
            "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\n";
        for rest in [
            "Content-Length: 10\r\n\r\nhalf",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nha",
        ] {
            let mut client = proxy.request(&post("/write/", "r1", "", "x")).await;
            let (mut connection, _) = endpoint.next_request().await;
            connection.send(format!("{head}{rest}").as_bytes()).await;
            drop(connection);
            assert_eq!(client.message().await.status(), 502, "{rest}");
        }
    });
}

#[test]
fn a_long_answer_that_breaks_off_looks_broken() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let head =
            "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\n";
        let part = "x".repeat(80_000);
        for framing in [
            "Content-Length: 200000\r\n\r\n".to_owned(),
            "Transfer-Encoding: chunked\r\n\r\n30d40\r\n".to_owned(),
        ] {
            let mut client = proxy.request(&post("/write/", "r1", "", "x")).await;
            let (mut connection, _) = endpoint.next_request().await;
            connection
                .send(format!("{head}{framing}{part}").as_bytes())
                .await;
            drop(connection);
            assert!(client.try_message().await.is_err(), "{framing}");
        }
        assert_eq!(proxy.node.outcomes(), [Outcome::Failed; 2]);
    });
}

#[test]
fn a_long_answer_comes_whole() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let body = "0123456789".repeat(30_000);
        let mut client = proxy.request(&get("/read/", "r1")).await;
        let (mut connection, _) = endpoint.next_request().await;
        let (response, ()) =
            tokio::join!(client.message(), connection.respond(200, "r1", "", &body));
        assert_eq!(response.text(), body);
        assert_eq!(proxy.node.outcomes(), [SERVED]);
    });
}

#[test]
fn silence_ends_at_the_time_of_the_route() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let mut client = proxy.request(&post("/short/", "r1", "", "x")).await;
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
fn a_client_that_leaves_frees_its_place_at_once() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let client = proxy.request(&post("/write/", "r1", "", "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        drop(client);
        assert!(connection.is_closed().await);
        assert_eq!(proxy.node.outcomes(), [Outcome::Cancelled]);
    });
}

#[test]
fn a_client_that_leaves_while_a_long_answer_comes_frees_its_place() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let mut client = proxy.request(&get("/read/", "r1")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.send(b"HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        connection.chunk(&"x".repeat(70_000)).await;
        client.head().await;
        drop(client);
        assert!(connection.is_closed().await);
        assert_eq!(proxy.node.outcomes(), [Outcome::Cancelled]);
    });
}

#[test]
fn what_a_request_says_of_itself_is_asked_with() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let more = "Program: p1\r\nSession: s1\r\nX-Dunespur-Token-Count: 1460,80\r\nX-Dunespur-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\n";
        let _client = proxy.request(&post("/resume/", "r1", more, "x")).await;
        endpoint.next_request().await;
        let choices = proxy.node.choices();
        let ask = &choices[0];
        assert_eq!(ask.backend, "engine");
        assert_eq!(
            (ask.program.as_deref(), ask.session.as_deref()),
            (Some("p1"), Some("s1"))
        );
        assert_eq!(ask.prefix, [(0x5c1e07a2, 800), (0x91bd3f06, 410)]);
        assert_eq!((ask.prompt_tokens, ask.most_tokens), (1460, 80));
        assert!(ask.idempotent);
        assert!(ask.time_left_ms <= 15_000);
    });
}

#[test]
fn an_idempotent_request_is_sent_to_its_server_again_where_no_further_one_may_run_it() {
    run_test(async {
        let (endpoint, other) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&endpoint, &other]).await;
        let mut client = proxy.request(&get("/read/", "r1")).await;
        let (connection, _) = endpoint.next_request().await;
        connection.reset();
        let (mut connection, _) = endpoint.next_request().await;
        connection.respond(200, "other", "", "spoilt").await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.respond(200, "r1", "", "ok").await;
        assert_eq!(client.message().await.text(), "ok");
        assert!(other.has_no_connection().await);
        assert_eq!(proxy.node.outcomes(), [SERVED]);
    });
}

#[test]
fn a_server_that_breaks_every_answer_off_is_not_asked_for_ever() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let mut client = proxy.request(&get("/read/", "r1")).await;
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
fn a_server_that_crashed_counts_no_longer_for_an_idempotent_request() {
    run_test(async {
        let (mut endpoint, other) = (
            TestEndpoint::start("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let proxy = TestProxy::start(&[&endpoint, &other]).await;
        let mut client = proxy.request(&get("/read/", "r1")).await;
        let (connection, _) = endpoint.next_request().await;
        endpoint.die();
        connection.reset();
        let (mut connection, _) = other.next_request().await;
        connection.respond(200, "r1", "", "ok").await;
        assert_eq!(client.message().await.text(), "ok");
        assert_eq!(proxy.node.outcomes(), [Outcome::Unreachable, SERVED]);
    });
}

#[test]
fn a_service_without_servers_is_stood_in_for_by_another_one_of_the_route() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let split = CONFIGURATION.replace(
            r#""timeout_ms":20000,"target_ms":500,"priority":1,"backend":"plain""#,
            r#""timeout_ms":20000,"target_ms":500,"priority":1,"backends":[{"backend":"engine","weight":100},{"backend":"plain","weight":1}]"#,
        );
        *proxy.node.table.borrow_mut() = Some(table(&split));
        proxy
            .node
            .services_without_endpoints
            .borrow_mut()
            .push("engine".to_owned());
        let mut client = proxy.request(&post("/write/", "r1", "", "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.respond(200, "r1", "", "ok").await;
        assert_eq!(client.message().await.text(), "ok");
        assert_eq!(proxy.node.choices().last().unwrap().backend, "plain");
    });
}

#[test]
fn a_client_that_leaves_at_the_end_of_its_time_leaves_for_the_servers_silence() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let client = proxy.request(&post("/short/", "r1", "", "x")).await;
        endpoint.next_request().await;
        drop(client);
        proxy
            .node
            .called_with(&NodeCall::Finished(Outcome::TimedOut))
            .await;
    });
}

#[test]
fn answers_without_a_body_are_passed_on() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
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
                .request(&get("/write/", "r1").replace("GET", method))
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
fn a_target_with_its_host_is_one_of_that_host() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let request = get("/write/a?b=c", "r1").replace("GET ", "GET http://h.example:80");
        let _client = proxy.request(&request).await;
        assert_eq!(
            endpoint.next_request().await.1.first_line,
            "GET /write/a?b=c HTTP/1.1"
        );
        let response = proxy
            .request(&get("*", "r1").replace("GET", "OPTIONS"))
            .await
            .message()
            .await;
        assert_eq!(response.status(), 404);
    });
}

#[test]
fn paths_and_queries_stay_as_they_came() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        for target in [
            "/write//x/../y",
            "/write/%2e%2E/%00",
            "/write/?a=b?c&d=%zz",
            "/write/a;b=c:d@e!$'()*+,",
            "/write/?",
        ] {
            let _client = proxy.request(&get(target, "r1")).await;
            assert_eq!(
                endpoint.next_request().await.1.first_line,
                format!("GET {target} HTTP/1.1")
            );
        }
    });
}

#[test]
fn a_body_without_a_length_is_whole_once_the_server_has_ended_the_connection_in_order() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let head =
            "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\n\r\n";
        for body in ["".to_owned(), "ok".to_owned(), "x".repeat(200_000)] {
            let mut client = proxy.request(&post("/write/", "r1", "", "x")).await;
            let (mut connection, _) = endpoint.next_request().await;
            let response = format!("{head}{body}");
            let (response, ()) = tokio::join!(client.message(), async {
                connection.send(response.as_bytes()).await;
                connection.end_in_order().await;
            });
            assert_eq!((response.status(), response.text()), (200, body.as_str()));
            assert!(connection.is_closed().await);
        }
        assert_eq!(proxy.node.outcomes(), [SERVED; 3]);
    });
}

#[test]
fn a_body_without_a_length_is_not_whole_while_its_connection_stands() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let mut client = proxy.request(&post("/short/", "r1", "", "x")).await;
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
fn a_body_without_a_length_that_is_reset_is_not_whole() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let proxy = TestProxy::start(&[&endpoint]).await;
        let head =
            "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\n\r\n";
        let mut client = proxy.request(&post("/write/", "r1", "", "x")).await;
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

        let mut client = proxy.request(&post("/write/", "r1", "", "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection
            .send(format!("{head}{}", "x".repeat(80_000)).as_bytes())
            .await;
        client.until("xx").await;
        connection.reset();
        assert!(
            !client.rest().await.ends_with(b"0\r\n\r\n"),
            "no last chunk"
        );
        assert_eq!(proxy.node.outcomes(), [Outcome::Failed; 2]);
    });
}
