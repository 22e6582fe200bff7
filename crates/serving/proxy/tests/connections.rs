//! Connections of clients and to servers: kept, closed, bounded, drained; and what the HTTP library does with
//! what is no proper message.

mod support;

use dunespur_proxy::{serve_ready, Front, FrontSettings};
use dunespur_routing::Outcome;
use std::rc::Rc;
use support::*;
use tokio::net::{TcpListener, TcpStream};

/// Serves one request of this client over a new connection to `server`, which it gives back.
async fn serve_first(gateway: &Gateway, server: &StandIn, more: &str) -> Peer {
    let mut client = gateway.ask(&get("/read/", "first")).await;
    let (mut connection, _) = server.take().await;
    connection.answer(200, "first", more, "ok").await;
    assert_eq!(client.message().await.text(), "ok");
    connection
}

#[test]
fn a_clients_connection_carries_one_request_after_another() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let mut client = gateway.client().await;
        for id in ["r1", "r2"] {
            client.send(get("/read/", id).as_bytes()).await;
            let (mut connection, message) = server.take().await;
            assert_eq!(message.id(), id);
            connection
                .answer(200, id, "Connection: close\r\n", id)
                .await;
            let answer = client.message().await;
            assert_eq!(answer.text(), id);
            assert_eq!(
                answer.header("connection"),
                None,
                "the server's close is not the client's"
            );
        }
        assert_eq!(gateway.front.counters().accepted, 1);
    });
}

#[test]
fn a_request_behind_another_is_answered_after_it() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let both = get("/read/", "r1") + &get("/read/", "r2");
        let mut client = gateway.ask(&both).await;
        for id in ["r1", "r2"] {
            let (mut connection, message) = server.take().await;
            assert_eq!(message.id(), id);
            assert!(server.is_untouched().await, "one at a time");
            connection
                .answer(200, id, "Connection: close\r\n", id)
                .await;
            assert_eq!(client.message().await.text(), id);
        }
    });
}

#[test]
fn a_client_that_wants_the_connection_closed_has_it_closed() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let request = get("/read/", "r1").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
        let mut client = gateway.ask(&request).await;
        let (mut connection, message) = server.take().await;
        assert_eq!(message.header("connection"), None);
        connection.answer(200, "r1", "", "ok").await;
        assert_eq!(client.message().await.header("connection"), Some("close"));
        assert!(client.is_closed().await);
    });
}

#[test]
fn a_servers_connection_is_kept_for_the_next_request() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let mut connection = serve_first(&gateway, &server, "Keep-Alive: timeout=5\r\n").await;
        let mut client = gateway.ask(&get("/read/", "r2")).await;
        assert_eq!(connection.message().await.id(), "r2");
        connection.answer(200, "r2", "", "again").await;
        assert_eq!(client.message().await.text(), "again");
        assert_eq!(gateway.front.counters().server_connections_opened, 1);
    });
}

#[test]
fn one_that_the_server_closes_is_not_used_again() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let mut said = serve_first(&gateway, &server, "Connection: close\r\n").await;
        assert!(said.is_closed().await);
        drop(serve_first(&gateway, &server, "Keep-Alive: timeout=5\r\n").await);
        serve_first(&gateway, &server, "Keep-Alive: timeout=0\r\n").await;
        serve_first(&gateway, &server, "").await;
    });
}

#[test]
fn bytes_behind_an_answer_end_its_connection() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let mut client = gateway.ask(&get("/read/", "r1")).await;
        let (mut connection, _) = server.take().await;
        let twice = "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok".repeat(2);
        connection.send(twice.as_bytes()).await;
        assert_eq!(client.message().await.text(), "ok");
        assert!(connection.is_closed().await);
        assert_eq!(gateway.front.counters().server_connections, 0);
    });
}

#[test]
fn a_surplus_answer_on_a_kept_connection_is_nobodys() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let mut connection = serve_first(&gateway, &server, "Keep-Alive: timeout=5\r\n").await;
        let mut client = gateway.ask(&get("/read/", "r2")).await;
        connection.message().await;
        connection.answer(200, "first", "", "late").await;
        let (mut connection, message) = server.take().await;
        assert_eq!(message.id(), "r2");
        connection.answer(200, "r2", "", "right").await;
        assert_eq!(client.message().await.text(), "right");
    });
}

#[test]
fn what_can_not_be_repeated_goes_over_no_connection_that_has_ended() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        drop(serve_first(&gateway, &server, "Keep-Alive: timeout=5\r\n").await);
        let mut client = gateway.ask(&post("/write/", "r2", "", "x")).await;
        let (mut connection, message) = server.take().await;
        assert_eq!(message.id(), "r2");
        connection.answer(200, "r2", "", "ok").await;
        assert_eq!(client.message().await.text(), "ok");
    });
}

#[test]
fn a_kept_connection_that_breaks_as_it_is_used_costs_nothing_that_can_be_repeated() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let mut connection = serve_first(&gateway, &server, "Keep-Alive: timeout=5\r\n").await;
        let mut client = gateway.ask(&get("/read/", "r2")).await;
        connection.message().await;
        connection.reset();
        let (mut connection, message) = server.take().await;
        assert_eq!(message.id(), "r2");
        connection.answer(200, "r2", "", "ok").await;
        assert_eq!(client.message().await.text(), "ok");
        assert_eq!(
            gateway.node.outcomes(),
            [Outcome::Served { tokens_out: 0 }; 2]
        );
    });
}

#[test]
fn connections_to_servers_are_bounded() {
    play(async {
        let (first, second) = (StandIn::start("i-1").await, StandIn::start("i-2").await);
        let settings = FrontSettings {
            max_server_connections: 1,
            ..FrontSettings::default()
        };
        let gateway = Gateway::with(&[&first], settings).await;
        let mut idle = serve_first(&gateway, &first, "Keep-Alive: timeout=5\r\n").await;
        // An idle one gives its place.
        *gateway.node.servers.borrow_mut() = vec![second.server()];
        let mut client = gateway.ask(&post("/write/", "r2", "", "x")).await;
        let (mut connection, _) = second.take().await;
        assert!(idle.is_closed().await);
        // One in use does not.
        let answer = gateway
            .ask(&post("/write/", "r3", "", "x"))
            .await
            .message()
            .await;
        assert_eq!(answer.status(), 503);
        connection.answer(200, "r2", "", "ok").await;
        assert_eq!(client.message().await.text(), "ok");
    });
}

#[test]
fn clients_beyond_the_bound_take_the_place_of_the_one_that_has_rested_longest() {
    play(async {
        let settings = FrontSettings {
            max_connections: 2,
            ..FrontSettings::default()
        };
        let gateway = Gateway::with(&[], settings).await;
        let mut longest = gateway.ask(&get("/nowhere/", "r1")).await;
        longest.message().await;
        let mut other = gateway.ask(&get("/nowhere/", "r2")).await;
        other.message().await;
        assert_eq!(
            gateway
                .ask(&get("/nowhere/", "r3"))
                .await
                .message()
                .await
                .status(),
            404
        );
        assert!(longest.is_closed().await);
    });
}

#[test]
fn bodies_come_with_a_length_or_in_chunks() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let mut client = gateway
            .ask("POST /write/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            .await;
        let (mut connection, message) = server.take().await;
        assert_eq!(message.text(), "abcde");
        assert_eq!(message.header("content-length"), Some("5"));
        assert_eq!(message.header("transfer-encoding"), None);
        connection
            .answer(200, "r1", "Connection: close\r\n", "ok")
            .await;
        client.message().await;

        client
            .send(post("/write/", "r2", "Expect: 100-continue\r\n", "").as_bytes())
            .await;
        let (_connection, message) = server.take().await;
        assert_eq!(message.header("content-length"), Some("0"));
        assert_eq!(message.header("expect"), None);
    });
}

#[test]
fn a_body_over_the_limit_is_refused_unread() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let head = "POST /write/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\n";
        let mut client = gateway
            .ask(&format!("{head}Content-Length: 100001\r\n\r\n"))
            .await;
        let answer = client.message().await;
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (413, Some("close"))
        );

        let mut client = gateway
            .ask(&format!("{head}Transfer-Encoding: chunked\r\n\r\n"))
            .await;
        client.chunk(&"x".repeat(60_000)).await;
        client.chunk(&"x".repeat(60_000)).await;
        assert_eq!(client.message().await.status(), 413);
        assert!(server.is_untouched().await);
        assert_eq!(gateway.front.counters().body_bytes, 0);
    });
}

#[test]
fn a_body_at_the_limit_is_served() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let body = "x".repeat(100_000);
        let mut client = gateway.ask(&post("/write/", "r1", "", &body)).await;
        let (mut connection, message) = server.take().await;
        assert_eq!(message.text(), body);
        connection.answer(200, "r1", "", "ok").await;
        assert_eq!(client.message().await.status(), 200);
    });
}

#[test]
fn bodies_take_no_more_memory_than_there_is() {
    play(async {
        let server = StandIn::start("i-1").await;
        let settings = FrontSettings {
            memory_bytes: 1000,
            ..FrontSettings::default()
        };
        let gateway = Gateway::with(&[&server], settings).await;
        let mut first = gateway
            .ask(&post("/write/", "r1", "", &"x".repeat(600)))
            .await;
        let (mut connection, _) = server.take().await;
        let refused = gateway
            .ask(&post("/write/", "r2", "", &"x".repeat(600)))
            .await
            .message()
            .await;
        assert_eq!(refused.status(), 503);
        assert!(refused.header("retry-after").is_some());
        connection
            .answer(200, "r1", "Connection: close\r\n", "ok")
            .await;
        assert_eq!(first.message().await.status(), 200);
        let _third = gateway
            .ask(&post("/write/", "r3", "", &"x".repeat(600)))
            .await;
        assert_eq!(server.take().await.1.id(), "r3");
    });
}

#[test]
fn heads_up_to_the_limit_are_served_and_longer_ones_refused() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        for length in [9_000, 16_000] {
            let mut client = gateway
                .ask(&post(
                    "/write/",
                    "r1",
                    &format!("X-Long: {}\r\n", "y".repeat(length)),
                    "x",
                ))
                .await;
            let (mut connection, message) = server.take().await;
            assert_eq!(message.header("x-long").unwrap().len(), length);
            let more = format!("Connection: close\r\nX-Long: {}\r\n", "z".repeat(length));
            connection.answer(200, "r1", &more, "ok").await;
            assert_eq!(
                client.message().await.header("x-long").unwrap().len(),
                length
            );
        }
        let mut client = gateway
            .ask(&post(
                "/write/",
                "r1",
                &format!("X-Long: {}\r\n", "y".repeat(30_000)),
                "x",
            ))
            .await;
        assert_eq!(client.message().await.status(), 431);
        assert!(server.is_untouched().await);
    });
}

#[test]
fn a_hundred_and_fifty_headers_pass_both_ways() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let many: String = (0..150)
            .map(|number| format!("X-H{number}: {number}\r\n"))
            .collect();
        let mut client = gateway.ask(&post("/write/", "r1", &many, "x")).await;
        let (mut connection, message) = server.take().await;
        assert_eq!(message.header("x-h149"), Some("149"));
        connection.answer(200, "r1", &many, "ok").await;
        assert_eq!(client.message().await.header("x-h149"), Some("149"));
    });
}

#[test]
fn two_different_lengths_are_no_request() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let request = "POST /write/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab";
        assert_eq!(gateway.ask(request).await.message().await.status(), 400);
        assert!(server.is_untouched().await);
    });
}

#[test]
fn a_length_beside_chunks_smuggles_nothing() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        for lengths in [
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        ] {
            let request = format!(
                "POST /write/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\n{lengths}\r\n2\r\nab\r\n0\r\n\r\n{}",
                get("/read/", "smuggled")
            );
            let mut client = gateway.ask(&request).await;
            let (mut connection, message) = server.take().await;
            assert_eq!((message.id(), message.text()), ("r1", "ab"));
            assert_eq!(message.header("content-length"), Some("2"));
            connection
                .answer(200, "r1", "Connection: close\r\n", "ok")
                .await;
            assert_eq!(client.message().await.header("connection"), Some("close"));
            assert!(client.is_closed().await);
            assert!(server.is_untouched().await);
        }
    });
}

#[test]
fn a_body_that_never_comes_whole_reaches_no_server() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let head = "POST /write/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\n";
        for rest in [
            "Content-Length: 10\r\n\r\nhalf",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        ] {
            drop(gateway.ask(&format!("{head}{rest}")).await);
        }
        while gateway.front.counters().connections > 0 || gateway.front.counters().requests < 3 {
            tokio::task::yield_now().await;
        }
        assert!(server.is_untouched().await);
        assert!(gateway.node.asks().is_empty());
        assert_eq!(gateway.front.counters().body_bytes, 0);
    });
}

#[test]
fn a_slow_head_is_told_so() {
    play(async {
        let gateway = Gateway::start(&[]).await;
        let hurried =
            CONFIGURATION.replace(r#""header_timeout_ms":3000"#, r#""header_timeout_ms":1"#);
        *gateway.node.table.borrow_mut() = Some(table(&hurried));
        let mut client = gateway.ask("GET /read/ HTTP/1.1\r\nHost").await;
        assert_eq!(client.message().await.status(), 408);
        assert!(client.is_closed().await);
    });
}

#[test]
fn a_slow_body_is_told_so() {
    play(async {
        let gateway = Gateway::start(&[]).await;
        let request = "POST /short/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\nContent-Length: 10\r\n\r\nhalf";
        let mut client = gateway.ask(request).await;
        let answer = client.message().await;
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (408, Some("close"))
        );
    });
}

#[test]
fn a_connection_that_rests_too_long_is_closed() {
    play(async {
        let gateway = Gateway::start(&[]).await;
        let hurried = CONFIGURATION.replace(r#""idle_timeout_ms":15000"#, r#""idle_timeout_ms":1"#);
        *gateway.node.table.borrow_mut() = Some(table(&hurried));
        let mut silent = gateway.client().await;
        let mut used = gateway.ask(&get("/nowhere/", "r1")).await;
        assert_eq!(used.message().await.status(), 404);
        assert!(used.is_closed().await);
        assert!(silent.is_closed().await);
    });
}

#[test]
fn errors_of_one_connection_harm_no_other() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let mut client = gateway.ask(&get("/read/", "r1")).await;
        let (mut connection, _) = server.take().await;
        gateway.ask("\x00\x00").await.reset();
        gateway.client().await.reset();
        drop(gateway.ask("GET").await);
        connection.answer(200, "r1", "", "ok").await;
        assert_eq!(client.message().await.text(), "ok");
    });
}

#[test]
fn a_drain_answers_what_is_in_hand_and_ends_every_connection() {
    play(async {
        let server = StandIn::start("i-1").await;
        let settings = FrontSettings {
            leave_ms: 0,
            ..FrontSettings::default()
        };
        let gateway = Gateway::with(&[&server], settings).await;
        let mut resting = gateway.ask(&get("/nowhere/", "r0")).await;
        assert_eq!(resting.message().await.header("connection"), None);
        let mut client = gateway.ask(&post("/stream/", "r1", "", "x")).await;
        let (mut connection, _) = server.take().await;
        connection.stream_head("r1", "").await;
        connection.chunk(&event(1)).await;
        client.head().await;

        gateway.front.drain();
        assert!(resting.is_closed().await);
        // Nothing listens any more, and the stream goes on.
        while TcpStream::connect(gateway.address).await.is_ok() {
            tokio::task::yield_now().await;
        }
        connection.chunk(&event(2)).await;
        connection.last_chunk().await;
        assert_eq!(client.next_chunk().await.unwrap(), event(1).as_bytes());
        assert_eq!(client.next_chunk().await.unwrap(), event(2).as_bytes());
        assert_eq!(client.next_chunk().await.unwrap(), b"");
        gateway.front.drained().await;
        assert!(client.is_closed().await);
    });
}

#[test]
fn while_it_leaves_it_serves_and_ends_each_connection_with_its_answer() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let mut kept = gateway.ask(&get("/nowhere/", "r0")).await;
        kept.message().await;
        gateway.front.drain();
        kept.send(get("/read/", "r1").as_bytes()).await;
        let (mut connection, _) = server.take().await;
        connection.answer(200, "r1", "", "ok").await;
        let answer = kept.message().await;
        assert_eq!(
            (answer.text(), answer.header("connection")),
            ("ok", Some("close"))
        );
        assert!(kept.is_closed().await);
        let mut new = gateway.ask(&get("/nowhere/", "r2")).await;
        assert_eq!(new.message().await.header("connection"), Some("close"));
    });
}

#[test]
fn the_ready_address_says_what_the_node_says() {
    play(async {
        let node = TestNode::new(Vec::new());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(serve_ready(node.clone(), listener));
        let mut caller = Peer::new(TcpStream::connect(address).await.unwrap());
        for (ready, status) in [(true, 200), (false, 503), (true, 200)] {
            node.ready.set(ready);
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
fn a_front_that_was_never_used_drains() {
    play(async {
        let front = Front::new(
            TestNode::new(Vec::new()),
            FrontSettings {
                leave_ms: 0,
                ..FrontSettings::default()
            },
        );
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let serving = tokio::task::spawn_local(front.clone().serve(listener));
        front.drain();
        front.drained().await;
        serving.await.unwrap();
        assert_eq!(Rc::strong_count(&front), 1);
    });
}

#[test]
fn a_request_that_is_refused_with_its_body_under_way_ends_nothing() {
    play(async {
        let gateway = Gateway::start(&[]).await;
        let mut client = gateway.client().await;
        for _ in 0..2 {
            client.send(b"POST /nowhere/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\nContent-Length: 20000\r\n\r\n").await;
            client.send(&[b'x'; 20_000]).await;
            let answer = client.message().await;
            assert_eq!((answer.status(), answer.header("connection")), (404, None));
        }
        client.send(b"POST /nowhere/ HTTP/1.1\r\nHost: h.example\r\nX-Dunespur-Request-Id: r1\r\nContent-Length: 20000\r\n\r\nhalf").await;
        let answer = client.message().await;
        assert_eq!(
            (answer.status(), answer.header("connection")),
            (404, Some("close"))
        );
        assert!(client.is_closed().await);
    });
}

#[test]
fn a_server_that_resets_a_new_connection_has_not_run_what_was_to_come_over_it() {
    play(async {
        let (full, server) = (StandIn::start("i-1").await, StandIn::start("i-2").await);
        let settings = FrontSettings {
            settle_ms: 300,
            ..FrontSettings::default()
        };
        let gateway = Gateway::with(&[&full, &server], settings).await;
        let mut client = gateway.ask(&post("/write/", "r1", "", "x")).await;
        full.accept().await.reset();
        let (mut connection, _) = server.take().await;
        connection.answer(200, "r1", "", "ok").await;
        assert_eq!(client.message().await.text(), "ok");
        assert_eq!(
            gateway.node.outcomes(),
            [Outcome::Shed, Outcome::Served { tokens_out: 0 }]
        );
    });
}
