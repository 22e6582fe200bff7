//! A response whose head is broken never reaches a client, whatever the route, the connection and the way it arrives;
//! every sound head does.

mod support;

use dunespur_proxy::CompletedTurn;
use dunespur_test_fixtures::response_heads::{
    BodyCoding, ResponseHead, BROKEN_LENGTHS, BROKEN_LINES, BROKEN_STATUS_LINES, SOUND_SUCCESSES,
};
use support::{
    bytes, event, events, get, post, run_test, two_endpoints, Message, NodeCall, Peer,
    TestEndpoint, TestProxy, TURN_HEADERS,
};
use tokio::task::yield_now;

/// The headers of this protocol in each response to the request `r1`.
const RESPONSE_LINES: &str =
    "X-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\nContent-Type: text/event-stream\r\n";
/// The body that the proxy sends with its own 502.
const BAD_GATEWAY_BODY: &str = "no whole answer came\n";
/// Longer than what the proxy buffers of a response.
const LONG_BODY_BYTES: usize = 100_000;

/// How a response arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// At once; then the endpoint closes the connection.
    ThenClosed,
    /// At once; the connection stays open.
    StaysOpen,
    /// Byte by byte; then the endpoint closes the connection.
    BytesThenClosed,
}

impl Delivery {
    const ALL: [Delivery; 3] = [
        Delivery::ThenClosed,
        Delivery::StaysOpen,
        Delivery::BytesThenClosed,
    ];

    async fn send(self, connection: &mut Peer, response: &[u8]) {
        let piece_bytes = match self {
            Delivery::BytesThenClosed => 1,
            Delivery::ThenClosed | Delivery::StaysOpen => response.len(),
        };
        for piece in response.chunks(piece_bytes) {
            connection.send(piece).await;
            yield_now().await;
        }
        if self != Delivery::StaysOpen {
            connection.shut_down_write().await;
        }
    }
}

fn broken_heads() -> impl Iterator<Item = &'static ResponseHead> {
    BROKEN_LENGTHS
        .iter()
        .chain(BROKEN_LINES)
        .chain(BROKEN_STATUS_LINES)
}

/// Runs `test` with each head and fails with all heads for which it returns an error.
async fn for_each_head<F: std::future::Future<Output = Result<(), String>>>(
    heads: impl Iterator<Item = &'static ResponseHead>,
    mut test: impl FnMut(&'static ResponseHead) -> F,
) {
    let mut failures = Vec::new();
    let mut count = 0;
    for head in heads {
        count += 1;
        if let Err(failure) = test(head).await {
            failures.push(format!(
                "{:?} {:?}: {failure}",
                head.status_line, head.lines
            ));
        }
    }
    assert!(
        failures.is_empty(),
        "{} of {count} heads failed:\n{}",
        failures.len(),
        failures.join("\n")
    );
}

/// Checks that the client got the proxy's own 502.
fn check_bad_gateway(response: &Message) -> Result<(), String> {
    let is_own = response.status() == 502
        && response.body == BAD_GATEWAY_BODY.as_bytes()
        && response.header("x-dunespur-response-stamp").is_none();
    if is_own {
        Ok(())
    } else {
        Err(describe(response))
    }
}

fn check_success(response: &Message, body: &str) -> Result<(), String> {
    if response.status() == 200 && response.body == body.as_bytes() {
        Ok(())
    } else {
        Err(describe(response))
    }
}

fn describe(response: &Message) -> String {
    format!(
        "the client got {:?} with {:?}",
        response.first_line,
        String::from_utf8_lossy(&response.body)
    )
}

/// Reads the client's response; an error if its connection ends before the end of the response.
async fn read_response(client: &mut Peer) -> Result<Message, String> {
    let response = client.next_message().await;
    response.ok_or_else(|| "the client got no whole response".to_owned())
}

async fn check_broken_response(head: &ResponseHead, delivery: Delivery) -> Result<(), String> {
    let (proxy, endpoint) = TestProxy::with_endpoint().await;
    let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
    let (mut connection, _) = endpoint.next_request().await;
    let response = head.with_body(RESPONSE_LINES, "hello");
    delivery.send(&mut connection, &response).await;
    check_bad_gateway(&read_response(&mut client).await?)?;
    connection.read_to_end().await;
    if proxy.node.sends() == 1 {
        Ok(())
    } else {
        Err(format!("the request was sent {} times", proxy.node.sends()))
    }
}

#[test]
fn a_broken_response_becomes_a_502() {
    run_test(async {
        for delivery in Delivery::ALL {
            for_each_head(broken_heads(), |head| check_broken_response(head, delivery)).await;
        }
    });
}

#[test]
fn a_broken_response_to_a_head_request_becomes_a_502() {
    run_test(async {
        for_each_head(broken_heads(), |head| async {
            let (proxy, endpoint) = TestProxy::with_endpoint().await;
            let request = get("/write/", "r1").replace("GET", "HEAD");
            let mut client = proxy.send_request(&request).await;
            let (mut connection, _) = endpoint.next_request().await;
            let response = head.with_body(RESPONSE_LINES, "");
            Delivery::ThenClosed.send(&mut connection, &response).await;
            match client.head().await.status() {
                502 => Ok(()),
                status => Err(format!("the client got {status}")),
            }
        })
        .await;
    });
}

#[test]
fn an_idempotent_request_gets_the_response_of_another_endpoint() {
    run_test(async {
        for_each_head(broken_heads(), |head| async {
            let (first, second) = two_endpoints().await;
            let proxy = TestProxy::start(&[&first, &second]).await;
            let mut client = proxy.send_request(&get("/read2/", "r1")).await;
            let (mut connection, _) = first.next_request().await;
            let response = head.with_body(RESPONSE_LINES, "hello");
            Delivery::ThenClosed.send(&mut connection, &response).await;
            let serve_second = async {
                let (mut connection, _) = second.next_request().await;
                connection.respond(200, "r1", "", "sound").await;
                connection
            };
            let response = tokio::select! {
                response = read_response(&mut client) => response?,
                _connection = serve_second => read_response(&mut client).await?,
            };
            check_success(&response, "sound")
        })
        .await;
    });
}

#[test]
fn a_broken_response_over_a_reused_connection_becomes_a_502() {
    run_test(async {
        for_each_head(broken_heads(), |head| async {
            let (proxy, endpoint) = TestProxy::with_endpoint().await;
            let mut client = proxy.send_request(&get("/read/", "r0")).await;
            let (mut connection, _) = endpoint.next_request().await;
            connection.respond(200, "r0", "", "ok").await;
            check_success(&read_response(&mut client).await?, "ok")?;
            support::pass_time(tokio::time::Duration::from_millis(20)).await;
            client.send(post("/write/", "r1", "", "x").as_bytes()).await;
            connection.message().await;
            let response = head.with_body(RESPONSE_LINES, "hello");
            Delivery::StaysOpen.send(&mut connection, &response).await;
            check_bad_gateway(&read_response(&mut client).await?)?;
            // The client's connection carries on, over a new connection to the endpoint.
            client.send(post("/write/", "r2", "", "x").as_bytes()).await;
            let (mut connection, _) = endpoint.next_request().await;
            connection.respond(200, "r2", "", "next").await;
            check_success(&read_response(&mut client).await?, "next")
        })
        .await;
    });
}

#[test]
fn a_stream_with_a_broken_head_becomes_a_502() {
    run_test(async {
        for_each_head(broken_heads(), |head| async {
            let (proxy, endpoint) = TestProxy::with_endpoint().await;
            let mut client = proxy.send_request(&post("/stream/", "r1", "", "x")).await;
            let (mut connection, _) = endpoint.next_request().await;
            let response = head.with_body(RESPONSE_LINES, &event(1));
            Delivery::ThenClosed.send(&mut connection, &response).await;
            check_bad_gateway(&read_response(&mut client).await?)
        })
        .await;
    });
}

#[test]
fn a_broken_head_does_not_resume_a_stream() {
    run_test(async {
        for_each_head(broken_heads(), |head| async {
            let (first, second) = two_endpoints().await;
            let proxy = TestProxy::start(&[&first, &second]).await;
            let mut client = proxy.send_request(&post("/resume2/", "r1", "", "x")).await;
            let (mut connection, _) = first.next_request().await;
            connection.send_stream_head("r1", "").await;
            connection.send_chunk(&event(1)).await;
            client.head().await;
            let first_event = client.next_chunk().await;
            connection.reset();
            let (mut connection, _) = second.next_request().await;
            let resumed = head.with_body(RESPONSE_LINES, &event(3));
            Delivery::ThenClosed.send(&mut connection, &resumed).await;
            // At the limit of endpoints, the request goes to the same endpoint again.
            let resume = async {
                let (mut connection, request) = second.next_request().await;
                connection.send_stream_head("r1", "").await;
                connection.send_chunk(&event(2)).await;
                connection.send_last_chunk().await;
                (connection, request)
            };
            let (_connection, request) = tokio::select! {
                chunk = client.next_chunk() => return Err(format!("the client got {chunk:?}")),
                resumed = resume => resumed,
            };
            let rest = [client.next_chunk().await, client.next_chunk().await];
            let is_resumed = request.header("last-event-id") == Some("1")
                && first_event == Some(event(1).into())
                && rest == [Some(event(2).into()), Some(Vec::new())];
            if is_resumed {
                Ok(())
            } else {
                Err(format!(
                    "{request:?}, the client got {first_event:?}, {rest:?}"
                ))
            }
        })
        .await;
    });
}

#[test]
fn a_turn_with_a_broken_head_is_not_stored() {
    run_test(async {
        for_each_head(broken_heads(), |head| async {
            let (proxy, endpoint) = TestProxy::with_endpoint().await;
            proxy.node.persist_permits.add_permits(1);
            let mut client = proxy
                .send_request(&post("/turn/", "r1", TURN_HEADERS, "x"))
                .await;
            let (mut connection, _) = endpoint.next_request().await;
            let response = head.with_body(RESPONSE_LINES, &event(1));
            Delivery::ThenClosed.send(&mut connection, &response).await;
            check_bad_gateway(&read_response(&mut client).await?)?;
            let calls = proxy.node.calls();
            let stored = calls
                .iter()
                .find(|call| matches!(call, NodeCall::Persist(_)));
            stored.map_or(Ok(()), |call| Err(format!("{call:?}")))
        })
        .await;
    });
}

/// Sends a sound response to a request that is not idempotent, and returns what the client gets.
async fn response_to_a_write(head: &ResponseHead, body: &str) -> Result<Message, String> {
    let (proxy, endpoint) = TestProxy::with_endpoint().await;
    let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
    let (mut connection, _) = endpoint.next_request().await;
    let response = head.with_body(RESPONSE_LINES, body);
    Delivery::ThenClosed.send(&mut connection, &response).await;
    read_response(&mut client).await
}

#[test]
fn each_form_of_a_sound_response_is_forwarded() {
    run_test(async {
        let long_body = "y".repeat(LONG_BODY_BYTES);
        for body in ["hello", "", &long_body] {
            for_each_head(SOUND_SUCCESSES.iter(), |head| async {
                check_success(&response_to_a_write(head, body).await?, body)
            })
            .await;
        }
    });
}

/// Clients may reject a length that is repeated or written as a list.
#[test]
fn a_length_is_forwarded_once_as_a_number() {
    run_test(async {
        let long_body = "y".repeat(LONG_BODY_BYTES);
        let heads = SOUND_SUCCESSES
            .iter()
            .filter(|head| head.lines.to_ascii_lowercase().contains("content-length"));
        for body in ["hello", &long_body] {
            for_each_head(heads.clone(), |head| async {
                let response = response_to_a_write(head, body).await?;
                let is_length =
                    |(name, _): &&(String, String)| name.eq_ignore_ascii_case("content-length");
                let lengths: Vec<_> = response.headers.iter().filter(is_length).collect();
                match lengths[..] {
                    [(_, length)] if *length == body.len().to_string() => Ok(()),
                    _ => Err(format!("the client got {lengths:?}")),
                }
            })
            .await;
        }
    });
}

#[test]
fn each_form_of_a_sound_stream_is_forwarded_and_stored() {
    run_test(async {
        for_each_head(SOUND_SUCCESSES.iter(), |head| async {
            let (proxy, endpoint) = TestProxy::with_endpoint().await;
            proxy.node.persist_permits.add_permits(1);
            let mut client = proxy
                .send_request(&post("/turn/", "r1", TURN_HEADERS, "x"))
                .await;
            let (mut connection, _) = endpoint.next_request().await;
            let response = head.with_body(RESPONSE_LINES, &events(1..=2));
            Delivery::BytesThenClosed
                .send(&mut connection, &response)
                .await;
            check_success(&read_response(&mut client).await?, &events(1..=2))?;
            let stored = NodeCall::Persist(CompletedTurn {
                id: "r1".to_owned(),
                previous: None,
                program: "p1".to_owned(),
                input: bytes("x"),
                output: bytes("word1\nword2\n"),
                retention_ms: 60_000,
            });
            if proxy.node.calls().contains(&stored) {
                Ok(())
            } else {
                Err(format!("{:?}", proxy.node.calls()))
            }
        })
        .await;
    });
}

#[test]
fn statuses_of_http_are_forwarded_unchanged() {
    run_test(async {
        for status in [
            "203", "299", "302", "399", "400", "402", "499", "500", "504", "599",
        ] {
            let endpoint = TestEndpoint::start("i-1").await;
            let proxy = TestProxy::start(&[&endpoint]).await;
            let mut client = proxy.send_request(&post("/write/", "r1", "", "x")).await;
            let (mut connection, _) = endpoint.next_request().await;
            connection
                .respond(status.parse().unwrap(), "r1", "", "body")
                .await;
            let response = client.message().await;
            assert_eq!(response.first_line, format!("HTTP/1.1 {status} X"));
            assert_eq!(response.text(), "body");
        }
    });
}

/// In HTTP/1.0 a response without a length ends with its connection, so that a truncated one would look complete.
#[test]
fn a_truncated_response_in_http_1_0_does_not_look_complete() {
    run_test(async {
        let head = ResponseHead {
            status_line: "HTTP/1.0 200 OK",
            lines: "",
            coding: BodyCoding::Plain,
        };
        for (path, body) in [
            ("/write/", "y".repeat(LONG_BODY_BYTES)),
            ("/stream/", event(1)),
        ] {
            let (proxy, endpoint) = TestProxy::with_endpoint().await;
            let mut client = proxy.send_request(&post(path, "r1", "", "x")).await;
            let (mut connection, _) = endpoint.next_request().await;
            let response = head.with_body(RESPONSE_LINES, &body);
            Delivery::StaysOpen.send(&mut connection, &response).await;
            let response = client.head().await;
            assert_eq!(response.first_line, "HTTP/1.1 200 OK", "{path}");
            connection.reset();
            let truncated = client.read_body(&response).await;
            assert!(truncated.is_err(), "{path}: {response:?}");
        }
    });
}
