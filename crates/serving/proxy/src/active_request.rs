//! The state that all attempts of one request share: its deadline, the endpoints tried, and the choice of the next
//! endpoint.
//!
//! `attempt` and `dispatch` add the methods that send the request; this module does not depend on them.

use crate::classification::{EndedBy, Idempotency};
use crate::deadline::RequestDeadline;
use crate::endpoint_response::{BodyEvent, EndpointBody};
use crate::execution_record::ExecutionRecord;
use crate::in_flight::InFlight;
use crate::node::Node;
use crate::outbound_request::OutboundRequest;
use crate::parsed_request::{header_text, ParsedRequest};
use crate::rejection::Rejection;
use crate::route_match::RouteServices;
use crate::shared::Shared;
use crate::trace;
use dunespur_configuration::{Route, Service};
use dunespur_routing::{Choice, Outcome, RoutingRequest, ServerId, Ticket};
use smallvec::SmallVec;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;

/// The most sends of one request, rejected ones included. Protects against an endless loop when all endpoints reject
/// the request.
const MAX_SENDS: u32 = 8;
/// The response timeout as a multiple of the route's latency target. An idempotent request fails over from an endpoint
/// that has sent nothing for this time.
const RESPONSE_TIMEOUT_TARGETS: u64 = 4;

/// A request that is being sent to endpoints.
///
/// `attempt` sends the request once, `dispatch` until there is a response for the client.
pub(crate) struct ActiveRequest<N: Node> {
    pub(crate) shared: Rc<Shared<N>>,
    pub(crate) route: Rc<Route>,
    pub(crate) parsed: ParsedRequest,
    pub(crate) outbound: OutboundRequest,
    pub(crate) deadline: RequestDeadline,
    services: RouteServices,
    /// The service that the next endpoint is chosen from.
    backend: String,
    /// The endpoints that the request was sent to.
    tried: SmallVec<[ServerId; 2]>,
    /// The endpoint that the request fails over to from an unresponsive or failed endpoint.
    reserved_next: Option<ChosenEndpoint<N>>,
    sends: u32,
    pub(crate) execution_record: ExecutionRecord,
}

/// An endpoint chosen for the next send. The node counts the request as in flight there.
pub(crate) struct ChosenEndpoint<N: Node> {
    pub(crate) ticket: Ticket,
    pub(crate) in_flight: InFlight<N>,
    pub(crate) connection: ConnectionChoice,
}

/// Which connections may carry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionChoice {
    PooledOrNew,
    /// Only a new connection. Protects against a duplicate response to an earlier attempt: it carries the same request
    /// id, so it could not be told from the response to this attempt.
    New,
}

impl<N: Node> ActiveRequest<N> {
    pub(crate) fn new(
        shared: Rc<Shared<N>>,
        services: RouteServices,
        route: Rc<Route>,
        parsed: ParsedRequest,
        outbound: OutboundRequest,
        deadline: RequestDeadline,
    ) -> ActiveRequest<N> {
        let backend = route.backend(fastrand::u64(..)).to_owned();
        let max_endpoints = route.retries as usize;
        let execution_record =
            ExecutionRecord::new(idempotency(&route), max_endpoints, shared.safeguards);
        ActiveRequest {
            shared,
            route,
            parsed,
            outbound,
            deadline,
            services,
            backend,
            tried: SmallVec::new(),
            reserved_next: None,
            sends: 0,
            execution_record,
        }
    }

    pub(crate) fn idempotency(&self) -> Idempotency {
        idempotency(&self.route)
    }

    /// Returns the service of the endpoint chosen last.
    pub(crate) fn service(&self) -> Option<&Rc<Service>> {
        self.services.get(&self.backend)
    }

    /// Waits for the next chunk or the end of a response's body.
    pub(crate) async fn next_body_event(&mut self, body: &mut EndpointBody) -> BodyEvent {
        let safeguards = self.shared.safeguards;
        let next = self
            .wait_for(poll_fn(|cx| body.poll_next(safeguards, cx)))
            .await;
        next.unwrap_or(BodyEvent::Truncated(EndedBy::Timeout))
    }

    /// Waits for `work`. Returns None once the deadline has passed, or once the current endpoint is unresponsive and
    /// another endpoint is reserved.
    pub(crate) async fn wait_for<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
        let mut work = pin!(work);
        loop {
            let done = self.deadline.limit(work.as_mut()).await;
            if done.is_some() || self.deadline.remaining_ms() == 0 || self.reserve_next_endpoint() {
                return done;
            }
            self.deadline.clear_response_timeout();
        }
    }

    /// Starts the response timeout, a multiple of the latency target, if the request may fail over to another endpoint.
    pub(crate) fn start_response_timeout(&mut self) {
        if self.execution_record.may_fail_over() {
            let timeout_ms = RESPONSE_TIMEOUT_TARGETS * self.route.target_ms;
            self.deadline.start_response_timeout(timeout_ms);
        }
    }

    /// Restarts the response timeout after an event of a stream: a multiple of the target for the gap between events.
    pub(crate) fn record_event_arrival(&mut self) {
        let target_ms = self.route.gap_target_ms.unwrap_or(self.route.target_ms);
        self.deadline
            .restart_response_timeout(RESPONSE_TIMEOUT_TARGETS * target_ms);
    }

    /// Returns the endpoint for the next send, or the rejection if there is none.
    pub(crate) fn next_endpoint(&mut self) -> Result<ChosenEndpoint<N>, Rejection> {
        if !self.has_send_left() {
            return Err(self.execution_record.rejection());
        }
        if let Some(reserved) = self.reserved_next.take() {
            return Ok(self.count_send(reserved.ticket, reserved.in_flight));
        }
        match self.choose_endpoint() {
            Choice::Send(ticket) => {
                let in_flight = self.start_in_flight(&ticket);
                Ok(self.count_send(ticket, in_flight))
            }
            Choice::Reject { retry_after_ms } if self.execution_record.has_not_run() => {
                Err(Rejection::RetryLater { retry_after_ms })
            }
            Choice::Reject { .. } | Choice::NoServer => Err(self.execution_record.rejection()),
        }
    }

    /// Reserves an untried endpoint to fail over to. Returns false if there is none: the request keeps waiting for the
    /// unresponsive endpoint, or forwards the failed endpoint's response.
    pub(crate) fn reserve_next_endpoint(&mut self) -> bool {
        let backend = self.backend.clone();
        if let Choice::Send(ticket) = self.choose_endpoint() {
            let in_flight = self.start_in_flight(&ticket);
            if !self.tried.contains(&ticket.server.id) {
                let connection = ConnectionChoice::PooledOrNew;
                self.reserved_next = Some(ChosenEndpoint {
                    ticket,
                    in_flight,
                    connection,
                });
                return true;
            }
            in_flight.finish(Outcome::Cancelled);
        }
        self.backend = backend;
        false
    }

    /// Whether the deadline and [`MAX_SENDS`] allow a further send.
    pub(crate) fn has_send_left(&self) -> bool {
        self.deadline.remaining_ms() > 0 && self.sends < MAX_SENDS
    }

    fn start_in_flight(&self, ticket: &Ticket) -> InFlight<N> {
        let Shared { node, clock, .. } = &*self.shared;
        InFlight::new(node, clock, ticket.key, self.deadline.deadline_ms())
    }

    fn count_send(&mut self, ticket: Ticket, in_flight: InFlight<N>) -> ChosenEndpoint<N> {
        self.sends += 1;
        let connection = if self.tried.contains(&ticket.server.id) {
            ConnectionChoice::New
        } else {
            self.tried.push(ticket.server.id.clone());
            ConnectionChoice::PooledOrNew
        };
        ChosenEndpoint {
            ticket,
            in_flight,
            connection,
        }
    }

    /// Chooses an endpoint of the current service, or of another service of the route if the current one has none
    /// left.
    fn choose_endpoint(&mut self) -> Choice {
        let choice = self.choose_from_service(&self.backend);
        if !matches!(choice, Choice::NoServer) {
            return choice;
        }
        let others = self.route.backends.iter();
        let others = others.filter(|other| other.weight > 0 && other.backend != self.backend);
        let mut choices =
            others.map(|other| (&other.backend, self.choose_from_service(&other.backend)));
        match choices.find(|(_, choice)| !matches!(choice, Choice::NoServer)) {
            Some((backend, choice)) => {
                self.backend = backend.clone();
                choice
            }
            None => Choice::NoServer,
        }
    }

    fn choose_from_service(&self, backend: &str) -> Choice {
        let choice = self.shared.node.choose(&RoutingRequest {
            backend,
            program: header_text(self.parsed.program.as_ref()),
            session: header_text(self.parsed.session.as_ref()),
            prefix: &self.parsed.prefix,
            prompt_tokens: self.parsed.prompt_tokens,
            max_tokens: self.parsed.max_tokens,
            idempotent: self.route.idempotent(),
            priority: self.route.priority,
            time_left_ms: self.deadline.remaining_ms(),
            target_ms: self.route.target_ms,
            tried: &self.tried,
        });
        trace::choice(&self.parsed, backend, &choice);
        choice
    }
}

fn idempotency(route: &Route) -> Idempotency {
    if route.idempotent() {
        Idempotency::Idempotent
    } else {
        Idempotency::NotIdempotent
    }
}
