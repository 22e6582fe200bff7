//! The classification of attempts, each of its rows that an endpoint or a client can cause driven over loopback. What
//! is expected stands in the table itself, not here a second time.
//!
//! Not driven: a head that was written in part (it fits the socket's buffer, so that it is sent completely or not at
//! all; `send_tracker` has its tests), and what came without any byte sent, but for pooled connections that have ended
//! (`connections.rs`).

mod support;

use dunespur_proxy::classification::{
    Attempt, Classification, ClientResponse, ConnectionReuse, EndedBy, Framing, ResponseKind,
    ResponseProgress, RetryRule, SendProgress,
};
use support::{get, pass_time, post, run_test, Peer, TestEndpoint, TestProxy};
use tokio::time::Duration;

/// A body longer than the sockets' buffers: a sender's are 4 MB at most.
const LONG_BODY: usize = 6 * 1024 * 1024;
/// A part of a response that is forwarded at once, and the length of all of it.
const FORWARDED_BYTES: usize = 80_000;
const RESPONSE_BYTES: usize = 200_000;
/// Beyond the deadline of every request of these tests.
const PAST_ALL_DEADLINES: Duration = Duration::from_millis(15_200);

/// The head of a response of this kind, but for what marks its end.
fn head_of(kind: ResponseKind) -> String {
    let (status, id, more) = match kind {
        ResponseKind::Final => (200, "r1", ""),
        ResponseKind::Failure => (500, "r1", ""),
        ResponseKind::NotExecuted => (503, "r1", "X-Dunespur-Not-Executed: full\r\n"),
        ResponseKind::OtherInstance => (421, "r1", ""),
        ResponseKind::UnconfirmedRejection => (503, "r1", ""),
        ResponseKind::Unrelated => (200, "another", ""),
    };
    format!("HTTP/1.1 {status} X\r\nX-Dunespur-Request-Id: {id}\r\nX-Dunespur-Response-Stamp: s\r\n{more}")
}

/// What the endpoint sends so that this is received.
fn bytes_of(response: ResponseProgress) -> String {
    let (kind, framing, length, part) = match response {
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
    head_of(kind) + &end_of_head + &"x".repeat(part)
}

/// What a row came to over loopback.
#[derive(Debug, PartialEq, Eq)]
struct Seen {
    resent: bool,
    client: ClientResponse,
}

struct Row {
    attempt: Attempt,
    idempotent: bool,
    /// Whether there is another endpoint.
    has_alternative: bool,
}

impl Row {
    fn expected(&self) -> Seen {
        let Classification { retry, client, .. } = self.attempt.classify();
        let has_time = self.attempt.ended_by != EndedBy::Timeout;
        let may = match retry {
            RetryRule::Allowed => true,
            RetryRule::IfIdempotent => self.idempotent,
            RetryRule::IfResumable | RetryRule::Never => false,
        };
        let resent = may && has_time && self.has_alternative;
        Seen {
            resent,
            client: if resent {
                ClientResponse::Forwarded
            } else {
                client
            },
        }
    }

    async fn drive(&self) {
        let Attempt {
            request,
            response,
            ended_by,
        } = self.attempt;
        let (first, second) = (
            TestEndpoint::narrow("i-1").await,
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
            "x".repeat(LONG_BODY)
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
            connection.body_of(&head).await.unwrap();
        }
        connection.send(bytes_of(response).as_bytes()).await;
        if matches!(
            response,
            ResponseProgress::Partial {
                forwarded: true,
                ..
            }
        ) {
            client.as_mut().unwrap().until("xx").await;
        }
        let mut connection = Some(connection);
        match ended_by {
            EndedBy::Nobody | EndedBy::Proxy => {}
            EndedBy::Endpoint => connection.as_mut().unwrap().end_in_order().await,
            EndedBy::Reset => connection.take().unwrap().reset(),
            EndedBy::Timeout => {
                // The data plane has seen what was sent before the time passes.
                for _ in 0..50 {
                    tokio::task::yield_now().await;
                }
                pass_time(PAST_ALL_DEADLINES).await;
            }
            EndedBy::Client => drop(client.take()),
        }

        let seen = self.observe(client, &second).await;
        assert_eq!(seen, self.expected(), "{:?}", self.attempt);
        if let Some(connection) = connection {
            self.check_connection(&proxy, connection).await;
        }
    }

    async fn observe(&self, client: Option<Peer>, second: &TestEndpoint) -> Seen {
        let Some(mut client) = client else {
            return Seen {
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
            return Seen {
                resent: true,
                client: ClientResponse::Forwarded,
            };
        }
        let response = if expected.client == ClientResponse::Truncated {
            client.rest().await;
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
                other => panic!("{other:?}"),
            }
        };
        Seen {
            resent: !second.has_no_connection().await,
            client: response,
        }
    }

    /// A connection that may be used again carries the next request, another one ends.
    async fn check_connection(&self, proxy: &TestProxy, mut connection: Peer) {
        match self.attempt.classify().connection {
            ConnectionReuse::Closes => {
                connection.rest().await;
            }
            ConnectionReuse::Reusable => {
                let _client = proxy.request(&get("/read/", "next")).await;
                assert_eq!(connection.message().await.id(), "next");
            }
        }
    }
}

fn drive(request: SendProgress, response: ResponseProgress, ended_by: EndedBy) {
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
            run_test(async move { row.drive().await });
        }
    }
}

const SEND_STATES: [SendProgress; 2] = [SendProgress::PartialBody, SendProgress::Complete];

#[test]
fn no_response_or_interim_ones_alone() {
    for request in SEND_STATES {
        for response in [ResponseProgress::Nothing, ResponseProgress::Interim] {
            for ended_by in [
                EndedBy::Endpoint,
                EndedBy::Reset,
                EndedBy::Timeout,
                EndedBy::Client,
            ] {
                drive(request, response, ended_by);
            }
        }
    }
}

#[test]
fn a_partial_response_that_was_not_forwarded() {
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
                // A failure of one endpoint is not waited for where another one may be asked.
                if kind == ResponseKind::Final || ended_by != EndedBy::Timeout {
                    drive(request, response, ended_by);
                }
            }
            // Closed in order, a body without a length is complete.
            let response = ResponseProgress::Partial {
                kind,
                framing: Framing::UntilClose,
                forwarded: false,
            };
            drive(request, response, EndedBy::Reset);
        }
    }
}

#[test]
fn a_partial_response_that_was_forwarded() {
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
            drive(request, response, ended_by);
        }
        for ended_by in [EndedBy::Reset, EndedBy::Timeout, EndedBy::Client] {
            let response = ResponseProgress::Partial {
                kind,
                framing: Framing::UntilClose,
                forwarded: true,
            };
            drive(request, response, ended_by);
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
            drive(
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
            drive(
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
        drive(request, response, EndedBy::Nobody);
    }
}

#[test]
fn an_unusable_response() {
    for request in SEND_STATES {
        for kind in [ResponseKind::UnconfirmedRejection, ResponseKind::Unrelated] {
            for framing in [Framing::Delimited, Framing::UntilClose] {
                drive(
                    request,
                    ResponseProgress::Partial {
                        kind,
                        framing,
                        forwarded: false,
                    },
                    EndedBy::Proxy,
                );
                drive(
                    request,
                    ResponseProgress::Complete { kind, framing },
                    EndedBy::Proxy,
                );
            }
        }
    }
}
