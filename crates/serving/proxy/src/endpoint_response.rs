//! An endpoint's response on its way to the client, with the connection that it comes over.

use crate::classification::{
    close_completes_body, Attempt, ConnectionReuse, EndedBy, Framing, ResponseKind,
    ResponseProgress, SendProgress,
};
use crate::connection_pool::KeepAliveTerms;
use crate::endpoint_connection::EndpointConnection;
use crate::in_flight::InFlight;
use crate::node::Node;
use crate::safeguards::Safeguards;
use crate::shared::Shared;
use bytes::Bytes;
use dunespur_routing::{Outcome, Ticket};
use http::response::Parts;
use hyper::body::Incoming;
use std::task::{Context, Poll, Waker};

/// A response whose head has come.
pub(crate) struct EndpointResponse<N: Node> {
    pub(crate) head: Parts,
    pub(crate) source: ResponseSource<N>,
}

/// Where the rest of a response comes from.
pub(crate) struct ResponseSource<N: Node> {
    pub(crate) body: EndpointBody,
    pub(crate) in_flight: InFlight<N>,
    pub(crate) ticket: Ticket,
}

/// The body of a response, as it arrives.
pub(crate) struct EndpointBody {
    incoming: Incoming,
    kind: ResponseKind,
    framing: Framing,
    /// None once it was returned to the pool, or closed.
    connection: Option<EndpointConnection>,
    terms: KeepAliveTerms,
}

/// What came next of a response's body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum BodyEvent {
    Chunk(Bytes),
    End,
    /// It was truncated.
    Truncated(EndedBy),
}

impl EndpointBody {
    pub(crate) fn new(
        incoming: Incoming,
        connection: EndpointConnection,
        kind: ResponseKind,
        framing: Framing,
        terms: KeepAliveTerms,
    ) -> EndpointBody {
        EndpointBody {
            incoming,
            kind,
            framing,
            connection: Some(connection),
            terms,
        }
    }

    pub(crate) fn poll_next(
        &mut self,
        safeguards: Safeguards,
        cx: &mut Context,
    ) -> Poll<BodyEvent> {
        let Some(connection) = &mut self.connection else {
            return Poll::Ready(BodyEvent::End);
        };
        let next = std::task::ready!(connection.poll_body(&mut self.incoming, cx));
        let ended_by = connection.ended_by();
        let is_complete = match (self.framing, &next) {
            (_, Some(Ok(_))) => false,
            (Framing::Delimited, next) => next.is_none(),
            (Framing::UntilClose, None) => close_completes_body(ended_by, safeguards),
            (Framing::UntilClose, Some(Err(_))) => {
                ended_by == EndedBy::Reset && close_completes_body(ended_by, safeguards)
            }
        };
        Poll::Ready(match next {
            Some(Ok(bytes)) => BodyEvent::Chunk(bytes),
            _ if is_complete => BodyEvent::End,
            _ if ended_by == EndedBy::Nobody => BodyEvent::Truncated(EndedBy::Proxy),
            _ => BodyEvent::Truncated(ended_by),
        })
    }

    /// The attempt whose response came only in part, of which the client has some if it was `forwarded`.
    pub(crate) fn truncated_attempt(&self, ended_by: EndedBy, forwarded: Forwarded) -> Attempt {
        let Self { kind, framing, .. } = *self;
        let forwarded = forwarded == Forwarded::InPart;
        let response = ResponseProgress::Partial {
            kind,
            framing,
            forwarded,
        };
        Attempt {
            request: self.send_progress(),
            response,
            ended_by,
        }
    }

    fn complete_attempt(&self) -> Attempt {
        let Self { kind, framing, .. } = *self;
        let response = ResponseProgress::Complete { kind, framing };
        Attempt {
            request: self.send_progress(),
            response,
            ended_by: EndedBy::Nobody,
        }
    }

    fn send_progress(&self) -> SendProgress {
        self.connection
            .as_ref()
            .map_or(SendProgress::Complete, EndpointConnection::send_progress)
    }

    /// After the complete response: returns the connection to the pool, or closes it.
    pub(crate) fn return_connection<N: Node>(&mut self, shared: &Shared<N>) {
        let reuse = self.complete_attempt().classify().connection;
        let Some(connection) = self.connection.take() else {
            return;
        };
        if reuse == ConnectionReuse::Reusable {
            shared.pool.check_in(connection, self.terms, &shared.clock);
        }
    }

    /// Returns the connection to the pool if nothing is left of the response but what has come by now.
    pub(crate) fn return_connection_if_complete<N: Node>(&mut self, shared: &Shared<N>) {
        let mut cx = Context::from_waker(Waker::noop());
        loop {
            match self.poll_next(shared.safeguards, &mut cx) {
                Poll::Ready(BodyEvent::Chunk(_)) => {}
                Poll::Ready(BodyEvent::End) => return self.return_connection(shared),
                _ => return,
            }
        }
    }
}

/// How much of a truncated response the client has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Forwarded {
    Nothing,
    InPart,
}

impl<N: Node> ResponseSource<N> {
    /// The response was truncated and nothing can be done about it.
    pub(crate) fn fail(self, ended_by: EndedBy) {
        self.in_flight.finish(outcome_of_truncated(ended_by));
    }
}

/// What a truncated response says about its endpoint.
pub(crate) fn outcome_of_truncated(ended_by: EndedBy) -> Outcome {
    match ended_by {
        EndedBy::Timeout => Outcome::TimedOut,
        _ => Outcome::Failed,
    }
}
