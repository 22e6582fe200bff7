//! Client and endpoint connections: pooling, closing, limits and draining; and how the HTTP library handles malformed
//! messages.

mod support;

use dunespur_proxy::{serve_readiness, ProxyServer, ProxySettings};
use dunespur_routing::Outcome;
use std::rc::Rc;
use support::{event, get, post, run_test, two_endpoints, Peer, TestEndpoint, TestNode, TestProxy};
use tokio::net::{TcpListener, TcpStream};

/// Serves one request over a new connection to `endpoint` and returns that connection.
async fn serve_first(proxy: &TestProxy, endpoint: &TestEndpoint, more_headers: &str) -> Peer {
    let mut client = proxy.send_request(&get("/read/", "first")).await;
    let (mut connection, _) = endpoint.next_request().await;
    connection.respond(200, "first", more_headers, "ok").await;
    assert_eq!(client.message().await.text(), "ok");
    connection
}

#[test]
fn a_client_connection_carries_one_request_after_another() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut client = proxy.client().await;
        for id in ["r1", "r2"] {
            client.send(get("/read/", id).as_bytes()).await;
            let (mut connection, message) = endpoint.next_request().await;
            assert_eq!(message.id(), id);
            connection
                .respond(200, id, "Connection: close\r\n", id)
                .await;
            let response = client.message().await;
            assert_eq!(response.text(), id);
            assert_eq!(
                response.header("connection"),
                None,
                "Connection: close of the endpoint is not forwarded"
            );
        }
        assert_eq!(proxy.server.counters().accepted, 1);
    });
}

#[test]
fn pipelined_requests_are_handled_one_after_another() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let both = get("/read/", "r1") + &get("/read/", "r2");
        let mut client = proxy.send_request(&both).await;
        for id in ["r1", "r2"] {
            let (mut connection, message) = endpoint.next_request().await;
            assert_eq!(message.id(), id);
            assert!(
                endpoint.has_no_connection().await,
                "the second request is not sent before the first response"
            );
            connection
                .respond(200, id, "Connection: close\r\n", id)
                .await;
            assert_eq!(client.message().await.text(), id);
        }
    });
}

#[test]
fn a_client_connection_closes_on_the_clients_request() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let request = get("/read/", "r1").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
        let mut client = proxy.send_request(&request).await;
        let (mut connection, message) = endpoint.next_request().await;
        assert_eq!(message.header("connection"), None);
        connection.respond(200, "r1", "", "ok").await;
        assert_eq!(client.message().await.header("connection"), Some("close"));
        assert!(client.is_closed().await);
    });
}

#[test]
fn an_endpoint_connection_is_pooled_for_the_next_request() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut connection = serve_first(&proxy, &endpoint, "Keep-Alive: timeout=5\r\n").await;
        let mut client = proxy.send_request(&get("/read/", "r2")).await;
        assert_eq!(connection.message().await.id(), "r2");
        connection.respond(200, "r2", "", "again").await;
        assert_eq!(client.message().await.text(), "again");
        assert_eq!(proxy.server.counters().endpoint_connections_opened, 1);
    });
}

#[test]
fn a_connection_that_the_endpoint_closes_is_not_reused() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut closing = serve_first(&proxy, &endpoint, "Connection: close\r\n").await;
        assert!(closing.is_closed().await);
        drop(serve_first(&proxy, &endpoint, "Keep-Alive: timeout=5\r\n").await);
        serve_first(&proxy, &endpoint, "Keep-Alive: timeout=0\r\n").await;
        serve_first(&proxy, &endpoint, "").await;
    });
}

#[test]
fn bytes_behind_a_response_close_its_connection() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut client = proxy.send_request(&get("/read/", "r1")).await;
        let (mut connection, _) = endpoint.next_request().await;
        let twice = "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok".repeat(2);
        connection.send(twice.as_bytes()).await;
        assert_eq!(client.message().await.text(), "ok");
        assert!(connection.is_closed().await);
        assert_eq!(proxy.server.counters().endpoint_connections, 0);
    });
}

#[test]
fn a_stale_response_on_a_pooled_connection_is_discarded() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut connection = serve_first(&proxy, &endpoint, "Keep-Alive: timeout=5\r\n").await;
        let mut client = proxy.send_request(&get("/read/", "r2")).await;
        connection.message().await;
        connection.respond(200, "first", "", "late").await;
        let (mut connection, message) = endpoint.next_request().await;
        assert_eq!(message.id(), "r2");
        connection.respond(200, "r2", "", "right").await;
        assert_eq!(client.message().await.text(), "right");
    });
}

#[test]
fn a_request_that_is_not_idempotent_goes_over_no_closed_connection() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        drop(serve_first(&proxy, &endpoint, "Keep-Alive: timeout=5\r\n").await);
        let mut client = proxy.send_request(&post("/write/", "r2", "", "x")).await;
        let (mut connection, message) = endpoint.next_request().await;
        assert_eq!(message.id(), "r2");
        connection.respond(200, "r2", "", "ok").await;
        assert_eq!(client.message().await.text(), "ok");
    });
}

#[test]
fn an_idempotent_request_is_resent_if_its_pooled_connection_is_reset() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut connection = serve_first(&proxy, &endpoint, "Keep-Alive: timeout=5\r\n").await;
        let mut client = proxy.send_request(&get("/read/", "r2")).await;
        connection.message().await;
        connection.reset();
        let (mut connection, message) = endpoint.next_request().await;
        assert_eq!(message.id(), "r2");
        connection.respond(200, "r2", "", "ok").await;
        assert_eq!(client.message().await.text(), "ok");
        assert_eq!(
            proxy.node.outcomes(),
            [Outcome::Served { tokens_out: 0 }; 2]
        );
    });
}

#[test]
fn endpoint_connections_are_bounded() {
    run_test(async {
        let (first, second) = two_endpoints().await;
        let settings = ProxySettings {
            max_endpoint_connections: 1,
            ..ProxySettings::default()
        };
        let proxy = TestProxy::with_settings(&[&first], settings).await;
        let mut idle = serve_first(&proxy, &first, "Keep-Alive: timeout=5\r\n").await;
        // An idle connection is closed to make room for a new one.
        *proxy.node.endpoints.borrow_mut() = vec![second.server()];
        let mut client = proxy.send_request(&post("/write/", "r2", "", "x")).await;
        let (mut connection, _) = second.next_request().await;
        assert!(idle.is_closed().await);
        // A connection in use is not closed.
        let response = proxy.response(&post("/write/", "r3", "", "x")).await;
        assert_eq!(response.status(), 503);
        connection.respond(200, "r2", "", "ok").await;
        assert_eq!(client.message().await.text(), "ok");
    });
}

#[test]
fn at_the_limit_a_new_client_replaces_the_longest_idle_client() {
    run_test(async {
        let settings = ProxySettings {
            max_connections: 2,
            ..ProxySettings::default()
        };
        let proxy = TestProxy::with_settings(&[], settings).await;
        let mut longest_idle = proxy.send_request(&get("/nowhere/", "r1")).await;
        longest_idle.message().await;
        let mut other = proxy.send_request(&get("/nowhere/", "r2")).await;
        other.message().await;
        assert_eq!(proxy.response(&get("/nowhere/", "r3")).await.status(), 404);
        assert!(longest_idle.is_closed().await);
    });
}

#[test]
fn bodies_with_a_length_and_chunked_bodies_are_forwarded() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut client = proxy
            .send_request("POST /write/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            .await;
        let (mut connection, message) = endpoint.next_request().await;
        assert_eq!(message.text(), "abcde");
        assert_eq!(message.header("content-length"), Some("5"));
        assert_eq!(message.header("transfer-encoding"), None);
        connection
            .respond(200, "r1", "Connection: close\r\n", "ok")
            .await;
        client.message().await;

        client
            .send(post("/write/", "r2", "Expect: 100-continue\r\n", "").as_bytes())
            .await;
        let (_connection, message) = endpoint.next_request().await;
        assert_eq!(message.header("content-length"), Some("0"));
        assert_eq!(message.header("expect"), None);
    });
}

#[test]
fn a_body_over_the_limit_is_rejected_before_it_is_read_completely() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let head = "POST /write/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\n";
        let mut client = proxy
            .send_request(&format!("{head}Content-Length: 100001\r\n\r\n"))
            .await;
        let response = client.message().await;
        assert_eq!(
            (response.status(), response.header("connection")),
            (413, Some("close"))
        );

        let mut client = proxy
            .send_request(&format!("{head}Transfer-Encoding: chunked\r\n\r\n"))
            .await;
        client.send_chunk(&"x".repeat(60_000)).await;
        client.send_chunk(&"x".repeat(60_000)).await;
        assert_eq!(client.message().await.status(), 413);
        assert!(endpoint.has_no_connection().await);
        assert_eq!(proxy.server.counters().body_bytes, 0);
    });
}

#[test]
fn a_body_at_the_limit_is_served() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let body = "x".repeat(100_000);
        let mut client = proxy.send_request(&post("/write/", "r1", "", &body)).await;
        let (mut connection, message) = endpoint.next_request().await;
        assert_eq!(message.text(), body);
        connection.respond(200, "r1", "", "ok").await;
        assert_eq!(client.message().await.status(), 200);
    });
}

#[test]
fn bodies_take_no_more_than_the_memory_limit() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let settings = ProxySettings {
            body_memory_bytes: 1000,
            ..ProxySettings::default()
        };
        let proxy = TestProxy::with_settings(&[&endpoint], settings).await;
        let mut first = proxy
            .send_request(&post("/write/", "r1", "", &"x".repeat(600)))
            .await;
        let (mut connection, _) = endpoint.next_request().await;
        let rejected = proxy
            .response(&post("/write/", "r2", "", &"x".repeat(600)))
            .await;
        assert_eq!(rejected.status(), 503);
        assert!(rejected.header("retry-after").is_some());
        connection
            .respond(200, "r1", "Connection: close\r\n", "ok")
            .await;
        assert_eq!(first.message().await.status(), 200);
        let _third = proxy
            .send_request(&post("/write/", "r3", "", &"x".repeat(600)))
            .await;
        assert_eq!(endpoint.next_request().await.1.id(), "r3");
    });
}

#[test]
fn heads_up_to_the_limit_are_served_and_longer_heads_are_rejected() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        for length in [9_000, 16_000] {
            let mut client = proxy
                .send_request(&post(
                    "/write/",
                    "r1",
                    &format!("X-Long: {}\r\n", "y".repeat(length)),
                    "x",
                ))
                .await;
            let (mut connection, message) = endpoint.next_request().await;
            assert_eq!(message.header("x-long").unwrap().len(), length);
            let more_headers = format!("Connection: close\r\nX-Long: {}\r\n", "z".repeat(length));
            connection.respond(200, "r1", &more_headers, "ok").await;
            assert_eq!(
                client.message().await.header("x-long").unwrap().len(),
                length
            );
        }
        let mut client = proxy
            .send_request(&post(
                "/write/",
                "r1",
                &format!("X-Long: {}\r\n", "y".repeat(30_000)),
                "x",
            ))
            .await;
        assert_eq!(client.message().await.status(), 431);
        assert!(endpoint.has_no_connection().await);
    });
}

#[test]
fn a_hundred_and_fifty_headers_are_forwarded_in_both_directions() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let many: String = (0..150)
            .map(|number| format!("X-H{number}: {number}\r\n"))
            .collect();
        let mut client = proxy.send_request(&post("/write/", "r1", &many, "x")).await;
        let (mut connection, message) = endpoint.next_request().await;
        assert_eq!(message.header("x-h149"), Some("149"));
        connection.respond(200, "r1", &many, "ok").await;
        assert_eq!(client.message().await.header("x-h149"), Some("149"));
    });
}

#[test]
fn two_different_lengths_are_malformed() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let request = "POST /write/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab";
        assert_eq!(proxy.response(request).await.status(), 400);
        assert!(endpoint.has_no_connection().await);
    });
}

#[test]
fn a_request_with_a_length_and_chunks_smuggles_no_second_request() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        for lengths in [
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        ] {
            let request = format!(
                "POST /write/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\n{lengths}\r\n2\r\nab\r\n0\r\n\r\n{}",
                get("/read/", "smuggled")
            );
            let mut client = proxy.send_request(&request).await;
            let (mut connection, message) = endpoint.next_request().await;
            assert_eq!((message.id(), message.text()), ("r1", "ab"));
            assert_eq!(message.header("content-length"), Some("2"));
            connection
                .respond(200, "r1", "Connection: close\r\n", "ok")
                .await;
            assert_eq!(client.message().await.header("connection"), Some("close"));
            assert!(client.is_closed().await);
            assert!(endpoint.has_no_connection().await);
        }
    });
}

#[test]
fn a_request_with_an_incomplete_body_reaches_no_endpoint() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let head = "POST /write/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\n";
        for rest in [
            "Content-Length: 10\r\n\r\nhalf",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        ] {
            drop(proxy.send_request(&format!("{head}{rest}")).await);
        }
        while proxy.server.counters().connections > 0 || proxy.server.counters().requests < 3 {
            tokio::task::yield_now().await;
        }
        assert!(endpoint.has_no_connection().await);
        assert!(proxy.node.choices().is_empty());
        assert_eq!(proxy.server.counters().body_bytes, 0);
    });
}

#[test]
fn a_slow_head_is_rejected() {
    run_test(async {
        let proxy = TestProxy::start(&[]).await;
        proxy
            .node
            .edit_configuration(&[(r#""header_timeout_ms":3000"#, r#""header_timeout_ms":1"#)]);
        let mut client = proxy.send_request("GET /read/ HTTP/1.1\r\nHost").await;
        assert_eq!(client.message().await.status(), 408);
        assert!(client.is_closed().await);
    });
}

#[test]
fn a_slow_body_is_rejected() {
    run_test(async {
        let proxy = TestProxy::start(&[]).await;
        let request = "POST /short/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\nContent-Length: 10\r\n\r\nhalf";
        let mut client = proxy.send_request(request).await;
        let response = client.message().await;
        assert_eq!(
            (response.status(), response.header("connection")),
            (408, Some("close"))
        );
    });
}

#[test]
fn a_connection_that_is_idle_too_long_is_closed() {
    run_test(async {
        let proxy = TestProxy::start(&[]).await;
        proxy
            .node
            .edit_configuration(&[(r#""idle_timeout_ms":15000"#, r#""idle_timeout_ms":1"#)]);
        let mut silent = proxy.client().await;
        let mut used = proxy.send_request(&get("/nowhere/", "r1")).await;
        assert_eq!(used.message().await.status(), 404);
        assert!(used.is_closed().await);
        assert!(silent.is_closed().await);
    });
}

#[test]
fn errors_on_one_connection_do_not_affect_others() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut client = proxy.send_request(&get("/read/", "r1")).await;
        let (mut connection, _) = endpoint.next_request().await;
        proxy.send_request("\x00\x00").await.reset();
        proxy.client().await.reset();
        drop(proxy.send_request("GET").await);
        connection.respond(200, "r1", "", "ok").await;
        assert_eq!(client.message().await.text(), "ok");
    });
}

#[test]
fn a_drain_completes_requests_in_flight_and_closes_every_connection() {
    run_test(async {
        let endpoint = TestEndpoint::start("i-1").await;
        let settings = ProxySettings {
            drain_accept_ms: 0,
            ..ProxySettings::default()
        };
        let proxy = TestProxy::with_settings(&[&endpoint], settings).await;
        let mut idle_client = proxy.send_request(&get("/nowhere/", "r0")).await;
        assert_eq!(idle_client.message().await.header("connection"), None);
        let mut client = proxy.send_request(&post("/stream/", "r1", "", "x")).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.send_stream_head("r1", "").await;
        connection.send_chunk(&event(1)).await;
        client.head().await;

        proxy.server.drain();
        assert!(idle_client.is_closed().await);
        // The listener is closed, and the stream is still forwarded.
        while TcpStream::connect(proxy.address).await.is_ok() {
            tokio::task::yield_now().await;
        }
        connection.send_chunk(&event(2)).await;
        connection.send_last_chunk().await;
        assert_eq!(client.next_chunk().await.unwrap(), event(1).as_bytes());
        assert_eq!(client.next_chunk().await.unwrap(), event(2).as_bytes());
        assert_eq!(client.next_chunk().await.unwrap(), b"");
        proxy.server.drained().await;
        assert!(client.is_closed().await);
    });
}

#[test]
fn while_draining_each_response_closes_its_connection() {
    run_test(async {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        let mut client = proxy.send_request(&get("/nowhere/", "r0")).await;
        client.message().await;
        proxy.server.drain();
        client.send(get("/read/", "r1").as_bytes()).await;
        let (mut connection, _) = endpoint.next_request().await;
        connection.respond(200, "r1", "", "ok").await;
        let response = client.message().await;
        assert_eq!(
            (response.text(), response.header("connection")),
            ("ok", Some("close"))
        );
        assert!(client.is_closed().await);
        let mut new = proxy.send_request(&get("/nowhere/", "r2")).await;
        assert_eq!(new.message().await.header("connection"), Some("close"));
    });
}

#[test]
fn the_readiness_check_reports_the_readiness_of_the_node() {
    run_test(async {
        let node = TestNode::new(Vec::new());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(serve_readiness(node.clone(), listener));
        let mut caller = Peer::new(TcpStream::connect(address).await.unwrap());
        for (ready, status) in [(true, 200), (false, 503), (true, 200)] {
            node.is_ready.set(ready);
            caller
                .send(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                .await;
            assert_eq!(caller.message().await.status(), status);
        }
        caller.send(b"GET /else HTTP/1.1\r\nHost: x\r\n\r\n").await;
        assert_eq!(caller.message().await.status(), 404);
    });
}

#[test]
fn a_server_that_was_never_used_drains() {
    run_test(async {
        let server = ProxyServer::new(
            TestNode::new(Vec::new()),
            ProxySettings {
                drain_accept_ms: 0,
                ..ProxySettings::default()
            },
        );
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let serving = tokio::task::spawn_local(server.clone().serve(listener));
        server.drain();
        server.drained().await;
        serving.await.unwrap();
        assert_eq!(Rc::strong_count(&server), 1);
    });
}

#[test]
fn a_rejection_whose_request_body_still_arrives_keeps_the_connection() {
    run_test(async {
        let proxy = TestProxy::start(&[]).await;
        let mut client = proxy.client().await;
        for _ in 0..2 {
            client.send(b"POST /nowhere/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\nContent-Length: 20000\r\n\r\n").await;
            client.send(&[b'x'; 20_000]).await;
            let response = client.message().await;
            assert_eq!(
                (response.status(), response.header("connection")),
                (404, None)
            );
        }
        client.send(b"POST /nowhere/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\nContent-Length: 20000\r\n\r\nhalf").await;
        let response = client.message().await;
        assert_eq!(
            (response.status(), response.header("connection")),
            (404, Some("close"))
        );
        assert!(client.is_closed().await);
    });
}

#[test]
fn an_endpoint_that_resets_a_new_connection_has_not_run_its_request() {
    run_test(async {
        let (full, endpoint) = two_endpoints().await;
        let settings = ProxySettings {
            connection_watch_ms: 300,
            ..ProxySettings::default()
        };
        let proxy = TestProxy::with_settings(&[&full, &endpoint], settings).await;
        let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
        full.accept().await.reset();
        let (mut connection, _) = endpoint.next_request().await;
        connection.respond(200, "r1", "", "ok").await;
        assert_eq!(client.message().await.text(), "ok");
        assert_eq!(
            proxy.node.outcomes(),
            [Outcome::Rejected, Outcome::Served { tokens_out: 0 }]
        );
    });
}
