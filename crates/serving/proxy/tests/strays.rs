//! Answers and bytes that belong to no request, or to another one than is waited for: none reaches another caller.
//! And what each guard against them is for, shown with the guard taken out.

mod support;

use dunespur_proxy::{FrontSettings, Guards};
use std::io::Write;
use support::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Duration;

const HEAD: &str =
    "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\n";
/// More than the sockets hold of a request that its server does not read.
const LONG_BODY: usize = 6 * 1024 * 1024;

async fn gateway_without(servers: &[&StandIn], guards: Guards) -> Gateway {
    Gateway::guarded(servers, FrontSettings::default(), guards).await
}

fn take_long_bodies(gateway: &Gateway) {
    let roomy = CONFIGURATION.replace(r#""max_body_bytes":100000"#, r#""max_body_bytes":20000000"#);
    *gateway.node.table.borrow_mut() = Some(table(&roomy));
}

/// Bytes in which each place tells itself.
fn numbered_body(bytes: usize) -> String {
    (0..)
        .flat_map(|number: u32| format!("{number},").into_bytes())
        .map(char::from)
        .take(bytes)
        .collect()
}

/// Serves one request over a connection that is kept and has rested, so that anything may go over it next.
async fn rested_connection(gateway: &Gateway, server: &StandIn) -> Peer {
    let mut client = gateway.ask(&get("/read/", "first")).await;
    let (mut connection, _) = server.take().await;
    connection
        .answer(200, "first", "Keep-Alive: timeout=5\r\n", "ok")
        .await;
    assert_eq!(client.message().await.text(), "ok");
    pass_time(Duration::from_millis(20)).await;
    connection
}

#[test]
fn an_early_answer_ends_the_connection_and_the_server_reads_nothing_but_its_body() {
    play(async {
        let server = StandIn::narrow("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        take_long_bodies(&gateway);
        let body = numbered_body(LONG_BODY);
        let mut client = gateway.ask(&post("/write/", "r1", "", &body)).await;
        let mut connection = server.accept().await;
        connection.head().await;
        connection
            .answer(200, "r1", "Keep-Alive: timeout=5\r\n", "early")
            .await;
        assert_eq!(client.message().await.text(), "early");

        let _other = gateway.ask(&post("/write/", "r2", "", "other")).await;
        let (_, message) = server.take().await;
        assert_eq!(message.id(), "r2", "over another connection");
        let read = connection.rest().await;
        assert!(read.len() < body.len() && body.as_bytes().starts_with(&read));
    });
}

#[test]
fn a_server_that_reads_on_while_it_answers_gets_the_whole_body_and_keeps_its_connection() {
    play(async {
        let server = StandIn::narrow("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        take_long_bodies(&gateway);
        let body = numbered_body(LONG_BODY);
        let mut client = gateway.ask(&post("/write/", "r1", "", &body)).await;
        let mut connection = server.accept().await;
        let head = connection.head().await;
        connection
            .send(
                format!("{HEAD}Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .as_bytes(),
            )
            .await;
        connection.chunk("early").await;
        assert!(connection.body_of(&head).await.unwrap() == body.as_bytes());
        connection.last_chunk().await;
        assert_eq!(client.message().await.text(), "early");

        let _other = gateway.ask(&get("/read/", "r2")).await;
        assert_eq!(connection.message().await.id(), "r2");
    });
}

#[test]
fn a_server_that_has_read_no_more_than_the_head_may_have_run_the_request() {
    play(async {
        let (first, second) = (StandIn::narrow("i-1").await, StandIn::start("i-2").await);
        let gateway = Gateway::start(&[&first, &second]).await;
        take_long_bodies(&gateway);
        let body = numbered_body(LONG_BODY);
        let mut client = gateway.ask(&post("/write/", "r1", "", &body)).await;
        let mut connection = first.accept().await;
        connection.head().await;
        connection.reset();
        assert_eq!(client.message().await.status(), 502, "not sent again");

        let mut client = gateway.ask(&post("/write/", "r2", "", &body)).await;
        let mut connection = first.accept().await;
        connection.head().await;
        pass_time(Duration::from_millis(15_200)).await;
        assert_eq!(
            client.message().await.status(),
            504,
            "no promise that it has not run"
        );
        assert!(second.is_untouched().await);
    });
}

/// Returns once this machine has given up a connection whose other side leaves bytes unread, after `peer_timeout`.
async fn unread_bytes_are_given_up(peer_timeout: Duration) {
    let unread = StandIn::narrow("unread").await;
    let mut stream = TcpStream::connect(unread.address).await.unwrap();
    socket2::SockRef::from(&stream)
        .set_tcp_user_timeout(Some(peer_timeout))
        .unwrap();
    let written = stream.write_all(&vec![0; LONG_BODY]).await;
    assert_eq!(written.unwrap_err().kind(), std::io::ErrorKind::TimedOut);
}

#[test]
fn a_server_that_reads_a_long_body_late_gets_it() {
    play(async {
        let server = StandIn::narrow("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        take_long_bodies(&gateway);
        let body = numbered_body(LONG_BODY);
        let mut client = gateway.ask(&post("/write/", "r1", "", &body)).await;
        let mut connection = server.accept().await;
        let head = connection.head().await;
        unread_bytes_are_given_up(Duration::from_millis(1500)).await;
        let read = connection.body_of(&head).await;
        assert!(
            read.is_ok_and(|read| read == body.as_bytes()),
            "all of the body"
        );
        connection.answer(200, "r1", "", "late").await;
        assert_eq!(client.message().await.text(), "late");
    });
}

#[test]
fn answers_on_different_connections_may_pass_each_other() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let mut first = gateway.ask(&post("/write/", "r1", "", "x")).await;
        let (mut first_connection, _) = server.take().await;
        let mut second = gateway.ask(&post("/write/", "r2", "", "x")).await;
        let (mut second_connection, _) = server.take().await;
        second_connection.answer(200, "r2", "", "two").await;
        assert_eq!(second.message().await.text(), "two");
        first_connection.answer(200, "r1", "", "one").await;
        assert_eq!(first.message().await.text(), "one");
    });
}

#[test]
fn an_answer_that_comes_over_the_connection_of_another_request_is_nobodys() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let mut first = gateway.ask(&post("/write/", "r1", "", "x")).await;
        let (mut first_connection, _) = server.take().await;
        let mut second = gateway.ask(&post("/write/", "r2", "", "x")).await;
        let (mut second_connection, _) = server.take().await;
        first_connection.answer(200, "r2", "", "two").await;
        second_connection.answer(200, "r1", "", "one").await;
        assert_eq!(first.message().await.status(), 502);
        assert_eq!(second.message().await.status(), 502);
    });
}

#[test]
fn the_answer_to_a_client_that_has_left_is_nobodys() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let mut connection = rested_connection(&gateway, &server).await;
        let left = gateway.ask(&post("/write/", "r1", "", "x")).await;
        assert_eq!(connection.message().await.id(), "r1");
        drop(left);
        // No time passes: the end of the client's connection is that of the server's.
        assert!(connection.is_closed().await);
        connection
            .answer(200, "r1", "", "for one that has left")
            .await;
        let mut client = gateway.ask(&post("/write/", "r2", "", "x")).await;
        let (mut connection, message) = server.take().await;
        assert_eq!(message.id(), "r2");
        connection.answer(200, "r2", "", "mine").await;
        assert_eq!(client.message().await.text(), "mine");
    });
}

/// A second copy of an answer has the id of the request that is sent again.
#[test]
fn a_request_that_was_turned_away_does_not_go_over_the_same_connection_again() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        gateway.node.offers_tried.set(true);
        let mut client = gateway.ask(&get("/read/", "r1")).await;
        let (mut connection, _) = server.take().await;
        let full = "X-Dunespur-Not-Executed: full\r\nKeep-Alive: timeout=5\r\n";
        connection.answer(503, "r1", full, "").await;
        let (mut again, message) = server.take().await;
        assert_eq!(message.id(), "r1");
        connection.answer(503, "r1", full, "").await;
        again.answer(200, "r1", "", "ok").await;
        assert_eq!(client.message().await.text(), "ok");
    });
}

#[test]
fn interim_answers_are_no_answer() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let mut client = gateway.ask(&post("/write/", "r1", "", "x")).await;
        let (mut connection, _) = server.take().await;
        connection
            .send(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nX-Any: 1\r\n\r\n")
            .await;
        connection.answer(200, "r1", "", "ok").await;
        let answer = client.message().await;
        assert_eq!((answer.status(), answer.text()), (200, "ok"));
    });
}

// What each guard is against.

/// Whether a request that can't be repeated reaches a second server after it may have run at the first.
async fn runs_twice(guards: Guards) -> bool {
    let (first, second) = (StandIn::start("i-1").await, StandIn::start("i-2").await);
    let gateway = gateway_without(&[&first, &second], guards).await;
    let more = CONFIGURATION.replace(
        r#""target_ms":500,"priority":1,"backend":"plain","retries":1"#,
        r#""target_ms":500,"priority":1,"backend":"plain","retries":2"#,
    );
    *gateway.node.table.borrow_mut() = Some(table(&more));
    let mut client = gateway.ask(&post("/write/", "r1", "", "x")).await;
    first.take().await.0.reset();
    tokio::select! {
        (mut connection, _) = second.take() => {
            connection.answer(200, "r1", "", "a second time").await;
            client.message().await.status() == 200
        }
        answer = client.message() => {
            assert_eq!(answer.status(), 502);
            false
        }
    }
}

#[test]
fn what_can_not_be_repeated_must_be_sent_once() {
    play(async {
        assert!(!runs_twice(Guards::default()).await);
        assert!(
            runs_twice(Guards {
                unrepeatable_sent_once: false,
                ..Guards::default()
            })
            .await
        );
    });
}

/// What a client gets where the answer to an earlier request comes in the place of its own.
async fn answer_behind_a_late_one(guards: Guards) -> String {
    let server = StandIn::start("i-1").await;
    let gateway = gateway_without(&[&server], guards).await;
    let mut connection = rested_connection(&gateway, &server).await;
    let mut client = gateway.ask(&get("/read/", "r2")).await;
    connection.message().await;
    connection.answer(200, "first", "", "another's").await;
    tokio::select! {
        answer = client.message() => answer.text().to_owned(),
        (mut connection, _) = server.take() => {
            connection.answer(200, "r2", "", "its own").await;
            client.message().await.text().to_owned()
        }
    }
}

#[test]
fn the_ids_of_answers_must_be_compared() {
    play(async {
        assert_eq!(answer_behind_a_late_one(Guards::default()).await, "its own");
        let guards = Guards {
            answer_ids_compared: false,
            ..Guards::default()
        };
        assert_eq!(answer_behind_a_late_one(guards).await, "another's");
    });
}

/// Whether a request reaches a connection on which surplus bytes have come in the last moment before it was sent, so
/// that no event loop has seen them.
async fn goes_behind_surplus_bytes(guards: Guards) -> bool {
    let server = StandIn::start("i-1").await;
    let gateway = gateway_without(&[&server], guards).await;
    let mut connection = rested_connection(&gateway, &server).await;
    let mut writer = connection.writer();
    let surplus = format!(
        "{}Content-Length: 4\r\n\r\nlate",
        HEAD.replace("r1", "first")
    );
    *gateway.node.at_next_choice.borrow_mut() = Some(Box::new(move || {
        writer.write_all(surplus.as_bytes()).unwrap()
    }));
    let mut client = gateway.ask(&post("/write/", "r2", "", "x")).await;
    tokio::select! {
        answer = client.message() => {
            assert_eq!((answer.status(), connection.message().await.id()), (502, "r2"));
            true
        }
        (mut connection, _) = server.take() => {
            connection.answer(200, "r2", "", "ok").await;
            assert_eq!(client.message().await.text(), "ok");
            false
        }
    }
}

#[test]
fn surplus_bytes_must_end_their_connection() {
    play(async {
        assert!(!goes_behind_surplus_bytes(Guards::default()).await);
        let guards = Guards {
            surplus_bytes_end_connection: false,
            ..Guards::default()
        };
        assert!(goes_behind_surplus_bytes(guards).await);
    });
}

/// Status and body that a client gets of an answer without a length that is reset on its way.
async fn answer_that_is_reset(guards: Guards) -> (u16, String) {
    let server = StandIn::start("i-1").await;
    let gateway = gateway_without(&[&server], guards).await;
    let mut client = gateway.ask(&post("/write/", "r1", "", "x")).await;
    let (mut connection, _) = server.take().await;
    connection.send(format!("{HEAD}\r\nhalf").as_bytes()).await;
    connection.reset();
    let answer = client.message().await;
    (answer.status(), answer.text().to_owned())
}

#[test]
fn a_reset_must_be_no_end() {
    play(async {
        assert_eq!(answer_that_is_reset(Guards::default()).await.0, 502);
        let guards = Guards {
            reset_is_no_end: false,
            ..Guards::default()
        };
        assert_eq!(answer_that_is_reset(guards).await, (200, "half".to_owned()));
    });
}

// Time.

#[test]
fn servers_are_handed_the_time_that_is_left_on_every_send() {
    play(async {
        let (first, second) = (StandIn::start("i-1").await, StandIn::start("i-2").await);
        let gateway = Gateway::start(&[&first, &second]).await;
        let deadline = |message: &Message| -> u64 {
            message
                .header("x-dunespur-deadline-ms")
                .unwrap()
                .parse()
                .unwrap()
        };
        let _client = gateway.ask(&get("/read2/", "r1")).await;
        let (connection, message) = first.take().await;
        let first_ms = deadline(&message);
        assert!(first_ms <= 15_000 && first_ms > 10_000, "{first_ms}");
        pass_time(Duration::from_millis(700)).await;
        connection.reset();
        let second_ms = deadline(&second.take().await.1);
        assert!(second_ms <= first_ms - 700, "{second_ms} after {first_ms}");
    });
}

#[test]
fn a_request_without_a_time_of_its_own_has_that_of_its_route() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let request = get("/read/", "r1").replace("X-Dunespur-Deadline-Ms: 15000\r\n", "");
        let _client = gateway.ask(&request).await;
        let (_, message) = server.take().await;
        let deadline: u64 = message
            .header("x-dunespur-deadline-ms")
            .unwrap()
            .parse()
            .unwrap();
        assert!(deadline <= 20_000 && deadline > 15_000, "{deadline}");
    });
}

#[test]
fn an_answer_comes_at_the_time_of_the_route() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let patient = post("/write/", "r1", "", "x").replace("Ms: 15000", "Ms: 60000");
        let mut client = gateway.ask(&patient).await;
        let (mut connection, _) = server.take().await;
        pass_time(Duration::from_millis(19_000)).await;
        assert!(client.is_silent().await, "not before its time");
        pass_time(Duration::from_millis(1_300)).await;
        assert_eq!(client.message().await.status(), 504);
        assert!(connection.is_closed().await);
    });
}

#[test]
fn a_stream_under_way_ends_broken_at_the_time_of_the_route() {
    play(async {
        let server = StandIn::start("i-1").await;
        let gateway = Gateway::start(&[&server]).await;
        let mut client = gateway
            .ask(&post("/stream/", "r1", "", "x").replace("Ms: 15000", "Ms: 60000"))
            .await;
        let (mut connection, _) = server.take().await;
        connection.stream_head("r1", "").await;
        connection.chunk(&event(1)).await;
        client.head().await;
        assert_eq!(client.next_chunk().await.unwrap(), event(1).as_bytes());
        pass_time(Duration::from_millis(20_300)).await;
        assert_eq!(client.next_chunk().await, None);
        assert!(connection.is_closed().await);
    });
}
