//! An endpoint's response that is being forwarded, with the connection that it arrives on.

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

/// A response whose head has arrived.
pub(crate) struct EndpointResponse<N: Node> {
    pub(crate) head: Parts,
    pub(crate) source: ResponseSource<N>,
}

/// The rest of a response: its body, and the endpoint that sends it.
pub(crate) struct ResponseSource<N: Node> {
    pub(crate) body: EndpointBody,
    pub(crate) in_flight: InFlight<N>,
    pub(crate) ticket: Ticket,
}

/// The arriving body of a response.
pub(crate) struct EndpointBody {
    incoming: Incoming,
    kind: ResponseKind,
    framing: Framing,
    /// None once the connection was returned to the pool or closed.
    connection: Option<EndpointConnection>,
    terms: KeepAliveTerms,
}

/// The next part of a response's body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum BodyEvent {
    Chunk(Bytes),
    End,
    /// The body ended before it was complete.
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
        let polled = std::task::ready!(connection.poll_body(&mut self.incoming, cx));
        let ended_by = connection.ended_by();
        let is_complete = match (self.framing, &polled) {
            (_, Some(Ok(_))) => false,
            (Framing::Delimited, polled) => polled.is_none(),
            (Framing::UntilClose, None) => close_completes_body(ended_by, safeguards),
            (Framing::UntilClose, Some(Err(_))) => {
                ended_by == EndedBy::Reset && close_completes_body(ended_by, safeguards)
            }
        };
        Poll::Ready(match polled {
            Some(Ok(bytes)) => BodyEvent::Chunk(bytes),
            _ if is_complete => BodyEvent::End,
            _ if ended_by == EndedBy::Nobody => BodyEvent::Truncated(EndedBy::Proxy),
            _ => BodyEvent::Truncated(ended_by),
        })
    }

    /// Describes the attempt of a truncated response; `forwarded` says how much of it the client has received.
    pub(crate) fn truncated_attempt(&self, ended_by: EndedBy, forwarded: Forwarded) -> Attempt {
        let Self { kind, framing, .. } = *self;
        let forwarded = forwarded == Forwarded::Partial;
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

    /// Returns the connection to the pool after the complete response, or closes it if it cannot be reused.
    pub(crate) fn return_connection<N: Node>(&mut self, shared: &Shared<N>) {
        let reuse = self.complete_attempt().classify().connection;
        let Some(connection) = self.connection.take() else {
            return;
        };
        if reuse == ConnectionReuse::Reusable {
            shared.pool.check_in(connection, self.terms, &shared.clock);
        }
    }

    /// Returns the connection to the pool if the whole response has already arrived.
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
    Partial,
}

impl<N: Node> ResponseSource<N> {
    /// Reports a truncated response that is not retried.
    pub(crate) fn fail(self, ended_by: EndedBy) {
        self.in_flight.finish(outcome_of_truncated(ended_by));
    }
}

/// Returns the outcome to be reported for the endpoint of a truncated response.
pub(crate) fn outcome_of_truncated(ended_by: EndedBy) -> Outcome {
    match ended_by {
        EndedBy::Timeout => Outcome::TimedOut,
        _ => Outcome::Failed,
    }
}
