//! One attempt to get a response: one connection, one send, the head of one response.
//!
//! An attempt ends with the head of the response, which decides whether the response is for the client. Until then
//! nothing has been forwarded, and the request may still be sent to another endpoint.

use crate::active_request::{ActiveRequest, ConnectionChoice};
use crate::attempt_error::AttemptError;
use crate::classification::{
    Attempt, EndedBy, Execution, Framing, Idempotency, ResponseKind, ResponseProgress, RetryRule,
};
use crate::connection_pool::KeepAliveTerms;
use crate::endpoint_connection::{ConnectError, EndpointConnection};
use crate::endpoint_response::EndpointBody;
use crate::node::Node;
use crate::response_head::interpret_head;
use crate::trace::{self, ConnectionOrigin};
use dunespur_routing::{Availability, Ticket};
use http::response::Parts;
use hyper::body::Incoming;
use tokio::time::Duration;

/// A response whose head was received and belongs to the request.
pub(crate) struct ReceivedHead {
    connection: EndpointConnection,
    pub(crate) head: Parts,
    incoming: Incoming,
    pub(crate) kind: ResponseKind,
    framing: Framing,
}

impl ReceivedHead {
    /// Returns whether the request may be sent again, judged by the response's head.
    pub(crate) fn retry(&self) -> RetryRule {
        self.attempt_so_far(EndedBy::Nobody).classify().retry
    }

    /// Splits the response into its head and the body that is still to arrive.
    pub(crate) fn into_head_and_body(self) -> (Parts, EndpointBody) {
        let terms = KeepAliveTerms::parse(&self.head.headers);
        let body = EndpointBody::new(
            self.incoming,
            self.connection,
            self.kind,
            self.framing,
            terms,
        );
        (self.head, body)
    }

    fn attempt_so_far(&self, ended_by: EndedBy) -> Attempt {
        let response = ResponseProgress::Partial {
            kind: self.kind,
            framing: self.framing,
            forwarded: false,
        };
        Attempt {
            request: self.connection.send_progress(),
            response,
            ended_by,
        }
    }
}

impl<N: Node> ActiveRequest<N> {
    /// Sends the request to one endpoint, over a pooled or a new connection, and waits for the head of its response.
    pub(crate) async fn attempt(
        &mut self,
        ticket: &Ticket,
        choice: ConnectionChoice,
    ) -> Result<ReceivedHead, AttemptError> {
        self.deadline.clear_response_timeout();
        if let Some(connection) = self.pooled_connection(ticket, choice) {
            trace::attempt(&self.parsed, ticket, ConnectionOrigin::Pooled);
            match self.exchange(connection, ticket).await {
                // The pooled connection ended on reuse. The endpoint may be fine: retry it over a new connection.
                Err(AttemptError::Ended(attempt)) if self.may_reconnect(attempt) => {
                    self.execution_record
                        .record_attempt(&ticket.server.id, attempt.classify().execution);
                }
                result => return result,
            }
        }
        let connection = self
            .new_connection(ticket)
            .await
            .map_err(AttemptError::Connect)?;
        trace::attempt(&self.parsed, ticket, ConnectionOrigin::New);
        self.exchange(connection, ticket).await
    }

    /// Opens a connection to an endpoint that may still get the request.
    ///
    /// The endpoint may have been chosen long ago, for an earlier attempt, or may start to leave while the connection is
    /// being opened. Its availability is checked only once the connection is open: an endpoint that refuses the
    /// connection has ended, which lets the request go to another one.
    async fn new_connection(
        &mut self,
        ticket: &Ticket,
    ) -> Result<EndpointConnection, ConnectError> {
        let shared = self.shared.clone();
        let connecting = shared.pool.connect(&ticket.server, self.route.target_ms);
        let connected = self.deadline.limit(connecting).await;
        let connection = connected.unwrap_or(Err(ConnectError::TimeUp))?;
        match shared.node.availability(&ticket.server) {
            Availability::InService => Ok(connection),
            Availability::Leaving => Err(ConnectError::Leaving),
            Availability::Replaced => Err(ConnectError::Replaced),
        }
    }

    fn pooled_connection(
        &self,
        ticket: &Ticket,
        choice: ConnectionChoice,
    ) -> Option<EndpointConnection> {
        match choice {
            ConnectionChoice::PooledOrNew => {
                self.shared
                    .pool
                    .check_out(&ticket.server, self.idempotency(), &self.shared.clock)
            }
            ConnectionChoice::New => None,
        }
    }

    /// Whether to retry the same endpoint over a new connection, after this attempt over a pooled one.
    fn may_reconnect(&self, attempt: Attempt) -> bool {
        match attempt.classify().execution {
            Execution::NotRun => true,
            Execution::MayHaveRun => {
                self.idempotency() == Idempotency::Idempotent
                    && attempt.response == ResponseProgress::Nothing
            }
            Execution::MayBeRunning => false,
        }
    }

    /// Sends the request over `connection` and waits for the head of its response.
    async fn exchange(
        &mut self,
        mut connection: EndpointConnection,
        ticket: &Ticket,
    ) -> Result<ReceivedHead, AttemptError> {
        let head = self.outbound.head_for(ticket, self.deadline.remaining_ms());
        self.start_response_timeout();
        let remaining = Duration::from_millis(self.deadline.remaining_ms());
        let exchange = connection.exchange(head, self.outbound.body_chunks.clone(), remaining);
        let (mut head, incoming) = match self.wait_for(exchange).await {
            Some(result) => result.map_err(AttemptError::Ended)?.into_parts(),
            None => {
                let attempt = Attempt::unanswered(connection.send_progress(), EndedBy::Timeout);
                return Err(AttemptError::Ended(attempt));
            }
        };
        let (kind, framing) = interpret_head(
            &mut head,
            &self.outbound.method,
            &self.parsed.id,
            self.shared.safeguards,
        );
        trace::response(&self.parsed, ticket, head.status, kind);
        let received = ReceivedHead {
            connection,
            head,
            incoming,
            kind,
            framing,
        };
        if matches!(
            kind,
            ResponseKind::Unrelated | ResponseKind::UnconfirmedRejection
        ) {
            return Err(AttemptError::Ended(received.attempt_so_far(EndedBy::Proxy)));
        }
        Ok(received)
    }
}
