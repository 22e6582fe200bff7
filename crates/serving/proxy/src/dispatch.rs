//! Sends a request from endpoint to endpoint until one of them has a response for the client. Retries after a
//! failure are decided here, those after silence in [`ActiveRequest::wait_for`].
//!
//! It is the only place that sends a request again: each decision takes the classification of the last attempt together
//! with the record of all earlier ones, as an attempt that has not run says nothing about those before it.

use crate::active_request::{ActiveRequest, ChosenEndpoint, ConnectionChoice};
use crate::attempt::ReceivedHead;
use crate::attempt_error::AttemptError;
use crate::classification::{EndedBy, Execution, ResponseKind, RetryRule};
use crate::endpoint_connection::ConnectError;
use crate::endpoint_response::{outcome_of_truncated, EndpointResponse, Forwarded, ResponseSource};
use crate::in_flight::InFlight;
use crate::node::Node;
use crate::rejection::Rejection;
use crate::trace;
use dunespur_routing::{Outcome, Server, Ticket};

impl<N: Node> ActiveRequest<N> {
    /// Sends the request until an endpoint's response has come that is to be forwarded.
    pub(crate) async fn dispatch(&mut self) -> Result<EndpointResponse<N>, Rejection> {
        loop {
            let ChosenEndpoint {
                ticket,
                in_flight,
                connection,
            } = self.next_endpoint()?;
            if let Some(response) = self.attempt_at(ticket, in_flight, connection).await? {
                return Ok(response);
            }
        }
    }

    /// The response was truncated behind its head: the request, changed meanwhile where it is to resume behind what
    /// was forwarded, is sent again if it may be.
    pub(crate) async fn dispatch_again(
        &mut self,
        truncated: ResponseSource<N>,
        ended_by: EndedBy,
        forwarded: Forwarded,
    ) -> Result<EndpointResponse<N>, Rejection> {
        let ResponseSource {
            body,
            in_flight,
            ticket,
        } = truncated;
        let classification = body.truncated_attempt(ended_by, forwarded).classify();
        // Its connection closes before the request goes anywhere else.
        drop(body);
        self.record
            .record(&ticket.server.id, classification.execution);
        if self.try_count_resend(classification.execution) {
            let connection = ConnectionChoice::New;
            if let Some(response) = self.attempt_at(ticket, in_flight, connection).await? {
                return Ok(response);
            }
        } else {
            in_flight.finish(outcome_of_truncated(ended_by));
            self.check_may_retry(classification.retry)?;
        }
        self.dispatch().await
    }

    /// Sends the request to one endpoint; None where it goes to another one.
    async fn attempt_at(
        &mut self,
        ticket: Ticket,
        in_flight: InFlight<N>,
        mut connection: ConnectionChoice,
    ) -> Result<Option<EndpointResponse<N>>, Rejection> {
        loop {
            match self.attempt(&ticket, connection).await {
                Ok(received) => return self.accept_response(received, ticket, in_flight),
                Err(error) => {
                    trace::attempt_failed(&self.parsed, &ticket, error);
                    self.record_error(&ticket.server, error);
                    if !self.try_count_resend(error.execution()) {
                        in_flight.finish(error.outcome());
                        self.check_may_retry(error.retry())?;
                        return Ok(None);
                    }
                    connection = ConnectionChoice::New;
                }
            }
        }
    }

    /// Decides about a response by its head; None where the request goes to another endpoint.
    fn accept_response(
        &mut self,
        received: ReceivedHead,
        ticket: Ticket,
        in_flight: InFlight<N>,
    ) -> Result<Option<EndpointResponse<N>>, Rejection> {
        let (kind, retry) = (received.kind, received.retry());
        let (head, mut body) = received.into_head_and_body();
        match kind {
            ResponseKind::NotExecuted => {
                in_flight.finish(Outcome::Rejected);
                body.return_connection_if_complete(&self.shared);
            }
            ResponseKind::OtherInstance => {
                in_flight.finish(Outcome::Misdirected);
                self.record.record_departed(&ticket.server.id);
            }
            ResponseKind::Failure if self.try_reserve_alternative(&ticket.server, retry) => {
                in_flight.finish(Outcome::Failed);
                body.return_connection_if_complete(&self.shared);
                self.record.record(&ticket.server.id, Execution::MayHaveRun);
            }
            _ => {
                self.record.record_run(&ticket.server.id);
                let source = ResponseSource {
                    body,
                    in_flight,
                    ticket,
                };
                return Ok(Some(EndpointResponse { head, source }));
            }
        }
        self.check_may_retry(retry)?;
        Ok(None)
    }

    fn record_error(&mut self, endpoint: &Server, error: AttemptError) {
        if error == AttemptError::Connect(ConnectError::Unreachable) {
            self.record.record_departed(&endpoint.id);
        }
        self.record.record(&endpoint.id, error.execution());
    }

    /// Counts one more send to the same endpoint; false if the request may not be sent there again.
    fn try_count_resend(&mut self, execution: Execution) -> bool {
        execution == Execution::MayHaveRun
            && self.deadline.remaining_ms() > 0
            && self.record.take_resend()
    }

    /// Whether the request may be sent to one more endpoint, after an attempt that came to nothing.
    fn check_may_retry(&self, rule: RetryRule) -> Result<(), Rejection> {
        if self.record.may_retry(rule) {
            Ok(())
        } else {
            Err(self.record.rejection())
        }
    }

    /// Records that this endpoint has run the request, and reserves another one to be tried instead of forwarding the
    /// failure; false if there is none or the request may not be sent again: the client gets the failure.
    fn try_reserve_alternative(&mut self, endpoint: &Server, rule: RetryRule) -> bool {
        self.record.record_run(&endpoint.id);
        self.record.may_retry(rule) && self.has_send_left() && self.reserve_next()
    }
}
