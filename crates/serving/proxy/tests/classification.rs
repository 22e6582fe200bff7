//! Runs the rows of the classification table over loopback connections, as far as an endpoint or a client can cause
//! them. The expected results come from the table itself.
//!
//! Not covered here: a partly written head, because a head fits into the socket's buffer (see the tests of
//! `send_tracker`); and attempts without any byte sent. `connections.rs` covers those on ended pooled connections.

mod support;

use dunespur_proxy::classification::{
    Attempt, Classification, ClientResponse, ConnectionReuse, EndedBy, Framing, ResponseKind,
    ResponseProgress, RetryRule, SendProgress,
};
use support::{get, pass_time, post, run_test, Peer, TestEndpoint, TestProxy};
use tokio::time::Duration;

/// The length of a body that exceeds the sockets' buffers; a send buffer holds at most 4 MB.
const LONG_BODY_BYTES: usize = 6 * 1024 * 1024;
/// The length of a partial response that is long enough to be forwarded as it arrives.
const FORWARDED_BYTES: usize = 80_000;
/// The complete length of the response that is forwarded in part.
const RESPONSE_BYTES: usize = 200_000;
/// Longer than the time to the deadline of every request of these tests.
const PAST_ALL_DEADLINES: Duration = Duration::from_millis(15_200);

/// Returns the head of a response of this kind, without the headers that frame the body.
fn head_of(kind: ResponseKind) -> String {
    let (status, id, more_headers) = match kind {
        ResponseKind::Final => (200, "r1", ""),
        ResponseKind::Failure => (500, "r1", ""),
        ResponseKind::NotExecuted => (503, "r1", "X-Dunespur-Not-Executed: full\r\n"),
        ResponseKind::OtherInstance => (421, "r1", ""),
        ResponseKind::UnconfirmedRejection => (503, "r1", ""),
        ResponseKind::Unrelated => (200, "another", ""),
    };
    format!("HTTP/1.1 {status} X\r\nX-Dunespur-Request-Id: {id}\r\nX-Dunespur-Response-Stamp: s\r\n{more_headers}")
}

/// Returns the bytes that the endpoint sends for this response state.
fn bytes_of(response: ResponseProgress) -> String {
    let (kind, framing, length, sent_bytes) = match response {
        ResponseProgress::Nothing => return String::new(),
        ResponseProgress::Interim => {
            return "HTTP/1.1 103 Early Hints\r\nX-Any: 1\r\n\r\n".to_owned()
        }
        ResponseProgress::Complete { kind, framing } => (kind, framing, 4, 4),
        ResponseProgress::Partial {
            kind,
            framing,
            forwarded: false,
        } => (kind, framing, 10, 4),
        ResponseProgress::Partial {
            kind,
            framing,
            forwarded: true,
        } => (kind, framing, RESPONSE_BYTES, FORWARDED_BYTES),
    };
    let end_of_head = match framing {
        Framing::Delimited => format!("Content-Length: {length}\r\n\r\n"),
        Framing::UntilClose => "\r\n".to_owned(),
    };
    head_of(kind) + &end_of_head + &"x".repeat(sent_bytes)
}

/// The observable result of a row.
#[derive(Debug, PartialEq, Eq)]
struct RowResult {
    /// Whether the request was sent to the second endpoint.
    resent: bool,
    client: ClientResponse,
}

/// A row of the classification table, with the conditions for a retry.
struct Row {
    attempt: Attempt,
    idempotent: bool,
    /// Whether there is a second endpoint.
    has_alternative: bool,
}

impl Row {
    fn expected(&self) -> RowResult {
        let Classification { retry, client, .. } = self.attempt.classify();
        let has_time = self.attempt.ended_by != EndedBy::Timeout;
        let may_retry = match retry {
            RetryRule::Allowed => true,
            RetryRule::IfIdempotent => self.idempotent,
            RetryRule::IfResumable | RetryRule::Never => false,
        };
        let resent = may_retry && has_time && self.has_alternative;
        RowResult {
            resent,
            client: if resent {
                ClientResponse::Forwarded
            } else {
                client
            },
        }
    }

    /// Runs the row and checks the client's response and the endpoint connection.
    async fn run(&self) {
        let Attempt {
            request,
            response,
            ended_by,
        } = self.attempt;
        let (first, second) = (
            TestEndpoint::with_small_buffer("i-1").await,
            TestEndpoint::start("i-2").await,
        );
        let endpoints = if self.has_alternative {
            vec![&first, &second]
        } else {
            vec![&first]
        };
        let proxy = TestProxy::start(&endpoints).await;
        proxy
            .node
            .edit_configuration(&[(r#""max_body_bytes":100000"#, r#""max_body_bytes":20000000"#)]);
        let body = if request == SendProgress::Complete {
            "x".to_owned()
        } else {
            "x".repeat(LONG_BODY_BYTES)
        };
        let path = if self.idempotent {
            "/read2/"
        } else {
            "/write/"
        };
        let mut client = Some(proxy.client().await);
        let bytes = post(path, "r1", "", &body);
        client.as_mut().unwrap().send(bytes.as_bytes()).await;

        let mut connection = first.accept().await;
        let head = connection.head().await;
        if request == SendProgress::Complete {
            connection.read_body(&head).await.unwrap();
        }
        connection.send(bytes_of(response).as_bytes()).await;
        if matches!(
            response,
            ResponseProgress::Partial {
                forwarded: true,
                ..
            }
        ) {
            client.as_mut().unwrap().read_until("xx").await;
        }
        let mut connection = Some(connection);
        match ended_by {
            EndedBy::Nobody | EndedBy::Proxy => {}
            EndedBy::Endpoint => connection.as_mut().unwrap().shut_down_write().await,
            EndedBy::Reset => connection.take().unwrap().reset(),
            EndedBy::Timeout => {
                // The data plane reads the sent bytes before the time passes.
                for _ in 0..50 {
                    tokio::task::yield_now().await;
                }
                pass_time(PAST_ALL_DEADLINES).await;
            }
            EndedBy::Client => drop(client.take()),
        }

        let result = self.observe(client, &second).await;
        assert_eq!(result, self.expected(), "{:?}", self.attempt);
        if let Some(connection) = connection {
            self.check_connection(&proxy, connection).await;
        }
    }

    async fn observe(&self, client: Option<Peer>, second: &TestEndpoint) -> RowResult {
        let Some(mut client) = client else {
            return RowResult {
                resent: false,
                client: ClientResponse::Nothing,
            };
        };
        let expected = self.expected();
        if expected.resent {
            let (mut connection, message) = second.next_request().await;
            assert_eq!(message.id(), "r1");
            connection.respond(200, "r1", "", "second").await;
            assert_eq!(client.message().await.text(), "second");
            return RowResult {
                resent: true,
                client: ClientResponse::Forwarded,
            };
        }
        let response = if expected.client == ClientResponse::Truncated {
            client.read_to_end().await;
            ClientResponse::Truncated
        } else {
            let response = client.message().await;
            match (
                response.header("x-dunespur-response-stamp"),
                response.status(),
            ) {
                (Some("s"), 200 | 500) if response.text() == "xxxx" => ClientResponse::Forwarded,
                (None, 502) => ClientResponse::BadGateway,
                (None, 503) => ClientResponse::Rejected,
                (None, 504) => ClientResponse::GatewayTimeout,
                other => panic!("unexpected stamp and status: {other:?}"),
            }
        };
        RowResult {
            resent: !second.has_no_connection().await,
            client: response,
        }
    }

    /// Checks that a reusable connection carries the next request, and that any other connection ends.
    async fn check_connection(&self, proxy: &TestProxy, mut connection: Peer) {
        match self.attempt.classify().connection {
            ConnectionReuse::Closes => {
                connection.read_to_end().await;
            }
            ConnectionReuse::Reusable => {
                let _client = proxy.send_request(&get("/read/", "next")).await;
                assert_eq!(connection.message().await.id(), "next");
            }
        }
    }
}

/// Runs all rows with this state of the attempt.
fn run_rows(request: SendProgress, response: ResponseProgress, ended_by: EndedBy) {
    let attempt = Attempt {
        request,
        response,
        ended_by,
    };
    for idempotent in [false, true] {
        for has_alternative in [false, true] {
            let row = Row {
                attempt,
                idempotent,
                has_alternative,
            };
            run_test(async move { row.run().await });
        }
    }
}

const SEND_STATES: [SendProgress; 2] = [SendProgress::PartialBody, SendProgress::Complete];

#[test]
fn no_response_or_only_interim_responses() {
    for request in SEND_STATES {
        for response in [ResponseProgress::Nothing, ResponseProgress::Interim] {
            for ended_by in [
                EndedBy::Endpoint,
                EndedBy::Reset,
                EndedBy::Timeout,
                EndedBy::Client,
            ] {
                run_rows(request, response, ended_by);
            }
        }
    }
}

#[test]
fn a_partial_response_before_it_is_forwarded() {
    for request in SEND_STATES {
        for kind in [ResponseKind::Final, ResponseKind::Failure] {
            let response = ResponseProgress::Partial {
                kind,
                framing: Framing::Delimited,
                forwarded: false,
            };
            for ended_by in [
                EndedBy::Endpoint,
                EndedBy::Reset,
                EndedBy::Timeout,
                EndedBy::Client,
            ] {
                // The rest of a failure is not waited for if the request may be sent to another endpoint.
                if kind == ResponseKind::Final || ended_by != EndedBy::Timeout {
                    run_rows(request, response, ended_by);
                }
            }
            // Without a length, an orderly close would complete the body.
            let response = ResponseProgress::Partial {
                kind,
                framing: Framing::UntilClose,
                forwarded: false,
            };
            run_rows(request, response, EndedBy::Reset);
        }
    }
}

#[test]
fn a_partial_response_after_it_is_forwarded() {
    for request in SEND_STATES {
        let kind = ResponseKind::Final;
        for ended_by in [
            EndedBy::Endpoint,
            EndedBy::Reset,
            EndedBy::Timeout,
            EndedBy::Client,
        ] {
            let response = ResponseProgress::Partial {
                kind,
                framing: Framing::Delimited,
                forwarded: true,
            };
            run_rows(request, response, ended_by);
        }
        for ended_by in [EndedBy::Reset, EndedBy::Timeout, EndedBy::Client] {
            let response = ResponseProgress::Partial {
                kind,
                framing: Framing::UntilClose,
                forwarded: true,
            };
            run_rows(request, response, ended_by);
        }
    }
}

#[test]
fn a_complete_response() {
    for request in SEND_STATES {
        for kind in [
            ResponseKind::Final,
            ResponseKind::Failure,
            ResponseKind::NotExecuted,
        ] {
            run_rows(
                request,
                ResponseProgress::Complete {
                    kind,
                    framing: Framing::Delimited,
                },
                EndedBy::Nobody,
            );
        }
        for kind in [
            ResponseKind::Final,
            ResponseKind::Failure,
            ResponseKind::NotExecuted,
        ] {
            run_rows(
                request,
                ResponseProgress::Complete {
                    kind,
                    framing: Framing::UntilClose,
                },
                EndedBy::Endpoint,
            );
        }
        let response = ResponseProgress::Complete {
            kind: ResponseKind::OtherInstance,
            framing: Framing::Delimited,
        };
        run_rows(request, response, EndedBy::Nobody);
    }
}

#[test]
fn an_unusable_response() {
    for request in SEND_STATES {
        for kind in [ResponseKind::UnconfirmedRejection, ResponseKind::Unrelated] {
            for framing in [Framing::Delimited, Framing::UntilClose] {
                run_rows(
                    request,
                    ResponseProgress::Partial {
                        kind,
                        framing,
                        forwarded: false,
                    },
                    EndedBy::Proxy,
                );
                run_rows(
                    request,
                    ResponseProgress::Complete { kind, framing },
                    EndedBy::Proxy,
                );
            }
        }
    }
}
