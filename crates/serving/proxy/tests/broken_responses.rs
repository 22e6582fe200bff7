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
use tokio::time::Duration;

/// The headers of this protocol in each response to the request `r1`.
const RESPONSE_LINES: &str =
    "X-Dunespur-Request-Id: r1\r\nX-Dunespur-Response-Stamp: s\r\nContent-Type: text/event-stream\r\n";
/// The body that the proxy sends with its own 502.
const BAD_GATEWAY_BODY: &str = "no whole answer came\n";
/// Longer than what the proxy buffers of a response.
const LONG_BODY_BYTES: usize = 100_000;

/// After this time, an idle connection may carry any request.
const COOLDOWN: Duration = Duration::from_millis(20);

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

/// A request at an endpoint: the connections at both ends, driven by the test.
struct Exchange {
    proxy: TestProxy,
    endpoint: TestEndpoint,
    client: Peer,
    connection: Peer,
}

impl Exchange {
    /// Starts a proxy and sends a request; its only endpoint has received it.
    async fn start(request: &str) -> Exchange {
        let (proxy, endpoint) = TestProxy::with_endpoint().await;
        // Turns can be stored.
        proxy.node.persist_permits.add_permits(1);
        let client = proxy.send_request(request).await;
        let (connection, _) = endpoint.next_request().await;
        Exchange {
            proxy,
            endpoint,
            client,
            connection,
        }
    }

    /// Sends a response with this head from the endpoint, and returns what the client gets.
    async fn respond(
        &mut self,
        head: &ResponseHead,
        body: &str,
        delivery: Delivery,
    ) -> Result<Message, String> {
        let response = head.with_body(RESPONSE_LINES, body);
        delivery.send(&mut self.connection, &response).await;
        read_response(&mut self.client).await
    }
}

fn write_request(id: &str) -> String {
    post("/write/", id, "", "x")
}

async fn check_broken_response(head: &ResponseHead, delivery: Delivery) -> Result<(), String> {
    let mut exchange = Exchange::start(&write_request("r1")).await;
    check_bad_gateway(&exchange.respond(head, "hello", delivery).await?)?;
    exchange.connection.read_to_end().await;
    match exchange.proxy.node.sends() {
        1 => Ok(()),
        sends => Err(format!("the request was sent {sends} times")),
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
            let request = get("/write/", "r1").replace("GET", "HEAD");
            let mut exchange = Exchange::start(&request).await;
            let response = head.with_body(RESPONSE_LINES, "");
            let connection = &mut exchange.connection;
            Delivery::ThenClosed.send(connection, &response).await;
            match exchange.client.head().await.status() {
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
            let mut exchange = Exchange::start(&get("/read/", "r0")).await;
            exchange.connection.respond(200, "r0", "", "ok").await;
            check_success(&read_response(&mut exchange.client).await?, "ok")?;
            support::pass_time(COOLDOWN).await;
            exchange.client.send(write_request("r1").as_bytes()).await;
            exchange.connection.message().await;
            let response = exchange.respond(head, "hello", Delivery::StaysOpen);
            check_bad_gateway(&response.await?)?;
            // The client's connection carries on, over a new connection to the endpoint.
            exchange.client.send(write_request("r2").as_bytes()).await;
            let (mut connection, _) = exchange.endpoint.next_request().await;
            connection.respond(200, "r2", "", "next").await;
            check_success(&read_response(&mut exchange.client).await?, "next")
        })
        .await;
    });
}

#[test]
fn a_stream_with_a_broken_head_becomes_a_502() {
    run_test(async {
        for_each_head(broken_heads(), |head| async {
            let mut exchange = Exchange::start(&post("/stream/", "r1", "", "x")).await;
            let body = event(1);
            let response = exchange.respond(head, &body, Delivery::ThenClosed);
            check_bad_gateway(&response.await?)
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
            let turn = post("/turn/", "r1", TURN_HEADERS, "x");
            let mut exchange = Exchange::start(&turn).await;
            let body = event(1);
            let response = exchange.respond(head, &body, Delivery::ThenClosed);
            check_bad_gateway(&response.await?)?;
            let calls = exchange.proxy.node.calls();
            let is_store_call = |call: &&NodeCall| matches!(call, NodeCall::Persist(_));
            let stored = calls.iter().find(is_store_call);
            stored.map_or(Ok(()), |call| Err(format!("{call:?}")))
        })
        .await;
    });
}

/// A statement that the request has not run is believed only in a sound head.
#[test]
fn a_broken_rejection_does_not_show_that_the_request_has_not_run() {
    const STATUS_LINES: [&str; 2] = ["HTTP/1.1 503 Full", "HTTP/1.1 421 Other"];
    // The head that is broken by its version is sound in HTTP/1.1.
    let heads = BROKEN_LENGTHS
        .iter()
        .filter(|head| head.status_line.starts_with("HTTP/1.1"));
    run_test(async {
        for status_line in STATUS_LINES {
            for_each_head(heads.clone(), |head| async {
                let mut exchange = Exchange::start(&write_request("r1")).await;
                let rejection = ResponseHead {
                    status_line,
                    ..*head
                };
                let lines = format!("{RESPONSE_LINES}X-Dunespur-Not-Executed: full\r\n");
                let response = rejection.with_body(&lines, "");
                let connection = &mut exchange.connection;
                Delivery::ThenClosed.send(connection, &response).await;
                check_bad_gateway(&read_response(&mut exchange.client).await?)
            })
            .await;
        }
    });
}

/// Sends a sound response to a request that is not idempotent, and returns what the client gets.
async fn response_to_a_write(head: &ResponseHead, body: &str) -> Result<Message, String> {
    let mut exchange = Exchange::start(&write_request("r1")).await;
    exchange.respond(head, body, Delivery::ThenClosed).await
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
            let turn = post("/turn/", "r1", TURN_HEADERS, "x");
            let mut exchange = Exchange::start(&turn).await;
            let body = events(1..=2);
            let response = exchange.respond(head, &body, Delivery::BytesThenClosed);
            check_success(&response.await?, &body)?;
            let stored = NodeCall::Persist(CompletedTurn {
                id: "r1".to_owned(),
                previous: None,
                program: "p1".to_owned(),
                input: bytes("x"),
                output: bytes("word1\nword2\n"),
                retention_ms: 60_000,
            });
            let calls = exchange.proxy.node.calls();
            if calls.contains(&stored) {
                Ok(())
            } else {
                Err(format!("{calls:?}"))
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
            let mut exchange = Exchange::start(&write_request("r1")).await;
            let number = status.parse().unwrap();
            exchange.connection.respond(number, "r1", "", "body").await;
            let response = exchange.client.message().await;
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
            let mut exchange = Exchange::start(&post(path, "r1", "", "x")).await;
            let response = head.with_body(RESPONSE_LINES, &body);
            let connection = &mut exchange.connection;
            Delivery::StaysOpen.send(connection, &response).await;
            let response = exchange.client.head().await;
            assert_eq!(response.first_line, "HTTP/1.1 200 OK", "{path}");
            exchange.connection.reset();
            let truncated = exchange.client.read_body(&response).await;
            assert!(truncated.is_err(), "{path}: {response:?}");
        }
    });
}
