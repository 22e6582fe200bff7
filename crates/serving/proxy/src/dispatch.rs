//! Sends a request to one endpoint after another until one has a response for the client. Decides about retries after
//! a failure; [`ActiveRequest::wait_for`] decides when to fail over from an unresponsive endpoint.
//!
//! Every decision to send a request again is made here, from the classification of the last attempt and the record of
//! all earlier attempts: that the last attempt has not run does not mean that no earlier one has.

use crate::active_request::{ActiveRequest, ChosenEndpoint, ConnectionChoice};
use crate::attempt::ReceivedHead;
use crate::attempt_error::AttemptError;
use crate::classification::{EndedBy, Execution, ResponseKind, RetryRule};
use crate::endpoint_response::{outcome_of_truncated, EndpointResponse, Forwarded, ResponseSource};
use crate::in_flight::InFlight;
use crate::node::Node;
use crate::rejection::Rejection;
use crate::trace;
use dunespur_routing::{Outcome, Server, Ticket};

impl<N: Node> ActiveRequest<N> {
    /// Sends the request until an endpoint returns a response to be forwarded.
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

    /// Sends the request again after a response that was truncated in its body, if the request may be sent again. To
    /// resume a stream, the caller has first set `Last-Event-Id` in the request.
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
        // Closes the connection before the request is sent again.
        drop(body);
        self.execution_record
            .record_attempt(&ticket.server.id, classification.execution);
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

    /// Sends the request to one endpoint. Returns None if the request is to be sent to another endpoint.
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

    /// Decides by its head whether a response is forwarded. Returns None if the request is to be sent to another
    /// endpoint.
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
                self.execution_record.record_departed(&ticket.server.id);
            }
            ResponseKind::Failure if self.try_reserve_alternative(&ticket.server, retry) => {
                in_flight.finish(Outcome::Failed);
                body.return_connection_if_complete(&self.shared);
                self.execution_record
                    .record_attempt(&ticket.server.id, Execution::MayHaveRun);
            }
            _ => {
                self.execution_record.record_run(&ticket.server.id);
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
        if error.shows_departure() {
            self.execution_record.record_departed(&endpoint.id);
        }
        self.execution_record
            .record_attempt(&endpoint.id, error.execution());
    }

    /// Counts one more send to the same endpoint. Returns false if the request may not be sent there again.
    fn try_count_resend(&mut self, execution: Execution) -> bool {
        execution == Execution::MayHaveRun
            && self.deadline.remaining_ms() > 0
            && self.execution_record.try_take_resend()
    }

    /// Returns the rejection for the client if the request may not be sent to one more endpoint.
    fn check_may_retry(&self, rule: RetryRule) -> Result<(), Rejection> {
        if self.execution_record.may_retry(rule) {
            Ok(())
        } else {
            Err(self.execution_record.rejection())
        }
    }

    /// Records that `endpoint` has run the request, and reserves another endpoint. Returns false, so that the client
    /// gets the failure, if there is no other endpoint or the request may not be sent again.
    fn try_reserve_alternative(&mut self, endpoint: &Server, rule: RetryRule) -> bool {
        self.execution_record.record_run(&endpoint.id);
        self.execution_record.may_retry(rule)
            && self.has_send_left()
            && self.reserve_next_endpoint()
    }
}
