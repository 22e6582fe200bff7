//! The table of dispositions, each of its rows that a server or a client can bring about driven over loopback. What
//! is expected stands in the table itself, not here a second time.
//!
//! Not driven: a head that was written in part (it fits the socket's buffer, so that it goes out whole or not at all;
//! `progress` has its tests), and what came without any byte sent, but for kept connections that have ended
//! (`connections.rs`).

mod support;

use dunespur_proxy::disposition::{
    AnswerKind, Attempt, ClientAnswer, ConnectionUse, Disposition, EndedBy, Framing, Received,
    Repeat, Sent,
};
use support::*;
use tokio::time::Duration;

/// A body that no socket's buffers hold: a sender's are 4 MB at most.
const LONG_BODY: usize = 6 * 1024 * 1024;
/// A part of an answer that is passed on at once, and the whole.
const PART: usize = 80_000;
const WHOLE: usize = 200_000;
/// Beyond the time of every request of these tests.
const ALL_TIME: Duration = Duration::from_millis(15_200);

fn roomy_table() -> std::rc::Rc<dunespur_configuration::Table> {
    table(&CONFIGURATION.replace(r#""max_body_bytes":100000"#, r#""max_body_bytes":20000000"#))
}

/// The head of an answer of this kind, but for what tells its end.
fn head_of(kind: AnswerKind) -> String {
    let (status, id, more) = match kind {
        AnswerKind::Final => (200, "r1", ""),
        AnswerKind::Failure => (500, "r1", ""),
        AnswerKind::NotExecuted => (503, "r1", "X-Dunespur-Not-Executed: full\r\n"),
        AnswerKind::OtherInstance => (421, "r1", ""),
        AnswerKind::UnbackedPromise => (503, "r1", ""),
        AnswerKind::NotOurs => (200, "another", ""),
    };
    format!("HTTP/1.1 {status} X\r\nX-Dunespur-Request-Id: {id}\r\nX-Dunespur-Response-Stamp: s\r\n{more}")
}

/// What the server sends so that this is received.
fn bytes_of(received: Received) -> String {
    let (kind, framing, length, part) = match received {
        Received::Nothing => return String::new(),
        Received::Interim => return "HTTP/1.1 103 Early Hints\r\nX-Any: 1\r\n\r\n".to_owned(),
        Received::WholeAnswer { kind, framing } => (kind, framing, 4, 4),
        Received::PartOfAnswer {
            kind,
            framing,
            passed_on: false,
        } => (kind, framing, 10, 4),
        Received::PartOfAnswer {
            kind,
            framing,
            passed_on: true,
        } => (kind, framing, WHOLE, PART),
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
    sent_again: bool,
    client: ClientAnswer,
}

struct Row {
    attempt: Attempt,
    idempotent: bool,
    /// Whether there is a further server.
    further: bool,
}

impl Row {
    fn expected(&self) -> Seen {
        let Disposition { repeat, client, .. } = self.attempt.disposition();
        let has_time = self.attempt.ended_by != EndedBy::Timeout;
        let may = match repeat {
            Repeat::Allowed => true,
            Repeat::IfIdempotent => self.idempotent,
            Repeat::IfResumable | Repeat::No => false,
        };
        let sent_again = may && has_time && self.further;
        Seen {
            sent_again,
            client: if sent_again {
                ClientAnswer::Servers
            } else {
                client
            },
        }
    }

    async fn drive(&self) {
        let Attempt {
            sent,
            received,
            ended_by,
        } = self.attempt;
        let (first, second) = (StandIn::narrow("i-1").await, StandIn::start("i-2").await);
        let servers = if self.further {
            vec![&first, &second]
        } else {
            vec![&first]
        };
        let gateway = Gateway::start(&servers).await;
        *gateway.node.table.borrow_mut() = Some(roomy_table());
        let body = if sent == Sent::Whole {
            "x".to_owned()
        } else {
            "x".repeat(LONG_BODY)
        };
        let path = if self.idempotent {
            "/read2/"
        } else {
            "/write/"
        };
        let mut client = Some(gateway.client().await);
        let request = post(path, "r1", "", &body);
        client.as_mut().unwrap().send(request.as_bytes()).await;

        let mut connection = first.accept().await;
        let head = connection.head().await;
        if sent == Sent::Whole {
            connection.body_of(&head).await.unwrap();
        }
        connection.send(bytes_of(received).as_bytes()).await;
        if matches!(
            received,
            Received::PartOfAnswer {
                passed_on: true,
                ..
            }
        ) {
            client.as_mut().unwrap().until("xx").await;
        }
        let mut connection = Some(connection);
        match ended_by {
            EndedBy::Nobody | EndedBy::Proxy => {}
            EndedBy::Server => connection.as_mut().unwrap().end_in_order().await,
            EndedBy::Reset => connection.take().unwrap().reset(),
            EndedBy::Timeout => {
                // The data plane has seen what was sent before the time passes.
                for _ in 0..50 {
                    tokio::task::yield_now().await;
                }
                pass_time(ALL_TIME).await;
            }
            EndedBy::Client => drop(client.take()),
        }

        let seen = self.observe(client, &second).await;
        assert_eq!(seen, self.expected(), "{:?}", self.attempt);
        if let Some(connection) = connection {
            self.check_connection(&gateway, connection).await;
        }
    }

    async fn observe(&self, client: Option<Peer>, second: &StandIn) -> Seen {
        let Some(mut client) = client else {
            return Seen {
                sent_again: false,
                client: ClientAnswer::Nothing,
            };
        };
        let expected = self.expected();
        if expected.sent_again {
            let (mut connection, message) = second.take().await;
            assert_eq!(message.id(), "r1");
            connection.answer(200, "r1", "", "second").await;
            assert_eq!(client.message().await.text(), "second");
            return Seen {
                sent_again: true,
                client: ClientAnswer::Servers,
            };
        }
        let answer = if expected.client == ClientAnswer::Broken {
            client.rest().await;
            ClientAnswer::Broken
        } else {
            let answer = client.message().await;
            match (answer.header("x-dunespur-response-stamp"), answer.status()) {
                (Some("s"), 200 | 500) if answer.text() == "xxxx" => ClientAnswer::Servers,
                (None, 502) => ClientAnswer::MayHaveRun,
                (None, 503) => ClientAnswer::Refused,
                (None, 504) => ClientAnswer::TimeUp,
                other => panic!("{other:?}"),
            }
        };
        Seen {
            sent_again: !second.is_untouched().await,
            client: answer,
        }
    }

    /// A connection that may be used again carries the next request, another one ends.
    async fn check_connection(&self, gateway: &Gateway, mut connection: Peer) {
        match self.attempt.disposition().connection {
            ConnectionUse::Ended => {
                connection.rest().await;
            }
            ConnectionUse::Kept => {
                let _client = gateway.ask(&get("/read/", "next")).await;
                assert_eq!(connection.message().await.id(), "next");
            }
        }
    }
}

fn drive(sent: Sent, received: Received, ended_by: EndedBy) {
    let attempt = Attempt {
        sent,
        received,
        ended_by,
    };
    for idempotent in [false, true] {
        for further in [false, true] {
            let row = Row {
                attempt,
                idempotent,
                further,
            };
            play(async move { row.drive().await });
        }
    }
}

const SENT: [Sent; 2] = [Sent::PartOfBody, Sent::Whole];

#[test]
fn nothing_came_or_interim_answers_alone() {
    for sent in SENT {
        for received in [Received::Nothing, Received::Interim] {
            for ended_by in [
                EndedBy::Server,
                EndedBy::Reset,
                EndedBy::Timeout,
                EndedBy::Client,
            ] {
                drive(sent, received, ended_by);
            }
        }
    }
}

#[test]
fn a_part_came_that_the_client_has_not() {
    for sent in SENT {
        for kind in [AnswerKind::Final, AnswerKind::Failure] {
            let received = Received::PartOfAnswer {
                kind,
                framing: Framing::Delimited,
                passed_on: false,
            };
            for ended_by in [
                EndedBy::Server,
                EndedBy::Reset,
                EndedBy::Timeout,
                EndedBy::Client,
            ] {
                // A failure of one server is not waited for where another one may be asked.
                if kind == AnswerKind::Final || ended_by != EndedBy::Timeout {
                    drive(sent, received, ended_by);
                }
            }
            // The end in order of a body without a length is its whole.
            let received = Received::PartOfAnswer {
                kind,
                framing: Framing::UntilClose,
                passed_on: false,
            };
            drive(sent, received, EndedBy::Reset);
        }
    }
}

#[test]
fn a_part_came_that_the_client_has() {
    for sent in SENT {
        let kind = AnswerKind::Final;
        for ended_by in [
            EndedBy::Server,
            EndedBy::Reset,
            EndedBy::Timeout,
            EndedBy::Client,
        ] {
            let received = Received::PartOfAnswer {
                kind,
                framing: Framing::Delimited,
                passed_on: true,
            };
            drive(sent, received, ended_by);
        }
        for ended_by in [EndedBy::Reset, EndedBy::Timeout, EndedBy::Client] {
            let received = Received::PartOfAnswer {
                kind,
                framing: Framing::UntilClose,
                passed_on: true,
            };
            drive(sent, received, ended_by);
        }
    }
}

#[test]
fn all_came() {
    for sent in SENT {
        for kind in [
            AnswerKind::Final,
            AnswerKind::Failure,
            AnswerKind::NotExecuted,
        ] {
            drive(
                sent,
                Received::WholeAnswer {
                    kind,
                    framing: Framing::Delimited,
                },
                EndedBy::Nobody,
            );
        }
        for kind in [
            AnswerKind::Final,
            AnswerKind::Failure,
            AnswerKind::NotExecuted,
        ] {
            drive(
                sent,
                Received::WholeAnswer {
                    kind,
                    framing: Framing::UntilClose,
                },
                EndedBy::Server,
            );
        }
        let received = Received::WholeAnswer {
            kind: AnswerKind::OtherInstance,
            framing: Framing::Delimited,
        };
        drive(sent, received, EndedBy::Nobody);
    }
}

#[test]
fn what_came_can_not_be_used() {
    for sent in SENT {
        for kind in [AnswerKind::UnbackedPromise, AnswerKind::NotOurs] {
            for framing in [Framing::Delimited, Framing::UntilClose] {
                drive(
                    sent,
                    Received::PartOfAnswer {
                        kind,
                        framing,
                        passed_on: false,
                    },
                    EndedBy::Proxy,
                );
                drive(
                    sent,
                    Received::WholeAnswer { kind, framing },
                    EndedBy::Proxy,
                );
            }
        }
    }
}
