//! One attempt to have a request answered: one connection, one send, the head of one answer.

use crate::answer_head::{framing_of, kind_of};
use crate::disposition::{AnswerKind, Attempt, EndedBy, Execution, Framing, Received, Repeat};
use crate::http_headers;
use crate::link::{ConnectError, Link};
use crate::node::Node;
use crate::reply::{outcome_of_broken, ReplyBody};
use crate::sending::{Sending, PATIENCE_AIMS};
use crate::servers::KeepTerms;
use crate::trace;
use dunespur_routing::{Outcome, Ticket};
use http::response::Parts;
use http::{HeaderValue, Request};
use hyper::body::Incoming;
use tokio::time::Duration;

/// Which connections may carry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Over {
    KeptOrNew,
    /// Only one that carries it alone. Guards against a second copy of an earlier attempt's answer: it carries the
    /// same id, so that nothing would tell it from the answer to the next attempt.
    New,
}

/// Why an attempt brought no answer that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// It had no connection.
    Connect(ConnectError),
    /// It ended so.
    Ended(Attempt),
}

impl AttemptError {
    pub(crate) fn execution(self) -> Execution {
        match self {
            AttemptError::Connect(_) => Execution::NotRun,
            AttemptError::Ended(attempt) => attempt.disposition().execution,
        }
    }

    pub(crate) fn repeat(self) -> Repeat {
        match self {
            AttemptError::Connect(_) => Repeat::Allowed,
            AttemptError::Ended(attempt) => attempt.disposition().repeat,
        }
    }

    /// What it says of its server.
    pub(crate) fn outcome(self) -> Outcome {
        match self {
            AttemptError::Connect(ConnectError::Unreachable) => Outcome::Unreachable,
            // The server is not to blame.
            AttemptError::Connect(ConnectError::NoConnectionLeft) => Outcome::Abandoned,
            AttemptError::Connect(ConnectError::TurnedAway) => Outcome::Shed,
            AttemptError::Connect(ConnectError::TimeUp) => Outcome::Failed,
            AttemptError::Ended(_) if self.execution() == Execution::NotRun => Outcome::Failed,
            AttemptError::Ended(attempt) => outcome_of_broken(attempt.ended_by),
        }
    }
}

/// An answer of the server that was asked, with what its head says.
pub(crate) struct Answered {
    link: Link,
    pub(crate) head: Parts,
    incoming: Incoming,
    pub(crate) kind: AnswerKind,
    framing: Framing,
}

impl Answered {
    /// What the head of the answer allows.
    pub(crate) fn repeat(&self) -> Repeat {
        self.so_far(EndedBy::Nobody).disposition().repeat
    }

    pub(crate) fn split(self) -> (Parts, ReplyBody) {
        let terms = KeepTerms::read(&self.head.headers);
        (
            self.head,
            ReplyBody::new(self.incoming, self.link, self.kind, self.framing, terms),
        )
    }

    fn so_far(&self, ended_by: EndedBy) -> Attempt {
        let received = Received::PartOfAnswer {
            kind: self.kind,
            framing: self.framing,
            passed_on: false,
        };
        Attempt {
            sent: self.link.sent(),
            received,
            ended_by,
        }
    }
}

impl<N: Node> Sending<N> {
    /// Sends the request to one server and waits for the head of its answer.
    pub(crate) async fn attempt(
        &mut self,
        ticket: &Ticket,
        over: Over,
    ) -> Result<Answered, AttemptError> {
        self.limit.wait_out();
        let idempotent = self.route.idempotent();
        let kept = || {
            self.front
                .servers
                .kept(&ticket.server, idempotent, &self.front.clock)
        };
        if let Some(link) = (over == Over::KeptOrNew).then(kept).flatten() {
            trace::sent(&self.asked, ticket, trace::Over::Kept);
            match self.exchange(link, ticket).await {
                // The connection ended as it was used again: the server is as well reached over a new one.
                Err(AttemptError::Ended(attempt)) if self.may_reconnect(attempt) => {
                    self.record
                        .note(&ticket.server.id, attempt.disposition().execution);
                }
                result => return result,
            }
        }
        let front = self.front.clone();
        let connecting = front.servers.connect(&ticket.server, self.route.target_ms);
        let connected = self.limit.bound(connecting).await;
        let link = connected
            .unwrap_or(Err(ConnectError::TimeUp))
            .map_err(AttemptError::Connect)?;
        trace::sent(&self.asked, ticket, trace::Over::New);
        self.exchange(link, ticket).await
    }

    /// Whether the same server is asked over a new connection, after an attempt over a kept one.
    fn may_reconnect(&self, attempt: Attempt) -> bool {
        match attempt.disposition().execution {
            Execution::NotRun => true,
            Execution::MayHaveRun => {
                self.route.idempotent() && attempt.received == Received::Nothing
            }
            Execution::MayBeRunning => false,
        }
    }

    async fn exchange(
        &mut self,
        mut link: Link,
        ticket: &Ticket,
    ) -> Result<Answered, AttemptError> {
        let head = self.head(ticket);
        if self.record.may_leave() {
            self.limit
                .expect_within(PATIENCE_AIMS * self.route.target_ms);
        }
        let time_left = Duration::from_millis(self.limit.left_ms());
        let exchange = link.exchange(head, self.message.pieces.clone(), time_left);
        let (head, incoming) = match self.wait(exchange).await {
            Some(answered) => answered.map_err(AttemptError::Ended)?.into_parts(),
            None => {
                return Err(AttemptError::Ended(Attempt::unanswered(
                    link.sent(),
                    EndedBy::Timeout,
                )));
            }
        };
        let kind = kind_of(&head, &self.asked.id, self.front.guards);
        let framing = framing_of(&head, &self.message.method);
        trace::answer_kind(&self.asked, ticket, head.status, kind);
        let answered = Answered {
            link,
            head,
            incoming,
            kind,
            framing,
        };
        if matches!(kind, AnswerKind::NotOurs | AnswerKind::UnbackedPromise) {
            return Err(AttemptError::Ended(answered.so_far(EndedBy::Proxy)));
        }
        Ok(answered)
    }

    fn head(&self, ticket: &Ticket) -> Request<()> {
        let mut head = Request::new(());
        *head.method_mut() = self.message.method.clone();
        *head.uri_mut() = self.message.uri.clone();
        let mut headers = self.message.headers.clone();
        headers.insert(
            http_headers::DEADLINE,
            http_headers::number(self.limit.left_ms().max(1)),
        );
        if let Ok(id) = HeaderValue::from_str(&ticket.server.id) {
            headers.insert(http_headers::EXPECT_INSTANCE, id);
        }
        if let Some(priority) = ticket.engine_priority {
            headers.insert(
                http_headers::PRIORITY,
                http_headers::number(u64::from(priority)),
            );
        }
        *head.headers_mut() = headers;
        head
    }
}
