//! One request on its way to the endpoints: its deadline, which endpoints it was sent to, and the choice of the next.
//!
//! The state that all attempts of a request share. `attempt` and `dispatch` add what is done with it; this module knows
//! neither of them.

use crate::classification::{EndedBy, Idempotency};
use crate::deadline::RequestDeadline;
use crate::endpoint_response::{BodyEvent, EndpointBody};
use crate::execution_record::ExecutionRecord;
use crate::in_flight::InFlight;
use crate::node::Node;
use crate::outbound_request::OutboundRequest;
use crate::parsed_request::{text, ParsedRequest};
use crate::rejection::Rejection;
use crate::shared::Shared;
use crate::trace;
use dunespur_configuration::{Route, RouteTable, Service};
use dunespur_routing::{Choice, Outcome, RoutingRequest, ServerId, Ticket};
use smallvec::SmallVec;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;

/// Sends of one request, those that endpoints rejected included. Protects against an endless loop when all of them
/// reject it.
const MAX_SENDS: u32 = 8;
/// An idempotent request leaves an endpoint that has sent nothing for so many times the latency target of its route.
const RESPONSE_TIMEOUT_TARGETS: u64 = 4;

/// A request with the endpoints that it was sent to.
///
/// `attempt` sends it once, `dispatch` until there is a response for the client.
pub(crate) struct ActiveRequest<N: Node> {
    pub(crate) shared: Rc<Shared<N>>,
    pub(crate) route: Rc<Route>,
    pub(crate) parsed: ParsedRequest,
    pub(crate) outbound: OutboundRequest,
    pub(crate) deadline: RequestDeadline,
    table: Rc<RouteTable>,
    backend: String,
    tried: SmallVec<[ServerId; 2]>,
    /// The endpoint that the request goes to from one that is unresponsive or has failed.
    reserved_next: Option<ChosenEndpoint<N>>,
    sends: u32,
    pub(crate) record: ExecutionRecord,
}

/// An endpoint that the request counts as in flight at.
pub(crate) struct ChosenEndpoint<N: Node> {
    pub(crate) ticket: Ticket,
    pub(crate) in_flight: InFlight<N>,
    pub(crate) connection: ConnectionChoice,
}

/// Which connections may carry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionChoice {
    PooledOrNew,
    /// Only one that carries it alone. Protects against a duplicate of an earlier attempt's response: it carries the
    /// same id, so that nothing would tell it from the response to the next attempt.
    New,
}

impl<N: Node> ActiveRequest<N> {
    pub(crate) fn new(
        shared: Rc<Shared<N>>,
        table: Rc<RouteTable>,
        route: Rc<Route>,
        parsed: ParsedRequest,
        outbound: OutboundRequest,
        deadline: RequestDeadline,
    ) -> ActiveRequest<N> {
        let backend = route.backend(fastrand::u64(..)).to_owned();
        let max_endpoints = route.retries as usize;
        let record = ExecutionRecord::new(idempotency(&route), max_endpoints, shared.safeguards);
        ActiveRequest {
            shared,
            route,
            parsed,
            outbound,
            deadline,
            table,
            backend,
            tried: SmallVec::new(),
            reserved_next: None,
            sends: 0,
            record,
        }
    }

    pub(crate) fn idempotency(&self) -> Idempotency {
        idempotency(&self.route)
    }

    /// The service whose endpoint was chosen last.
    pub(crate) fn service(&self) -> Option<&Rc<Service>> {
        self.table.service(&self.backend)
    }

    /// What comes next of a response's body.
    pub(crate) async fn next_of(&mut self, body: &mut EndpointBody) -> BodyEvent {
        let safeguards = self.shared.safeguards;
        let next = self
            .wait_for(poll_fn(|cx| body.poll_next(safeguards, cx)))
            .await;
        next.unwrap_or(BodyEvent::Truncated(EndedBy::Timeout))
    }

    /// What `work` gives; None once the deadline has passed, or once the request leaves an unresponsive endpoint for
    /// another one.
    pub(crate) async fn wait_for<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
        let mut work = pin!(work);
        loop {
            let done = self.deadline.bound(work.as_mut()).await;
            if done.is_some() || self.deadline.remaining_ms() == 0 || self.reserve_next() {
                return done;
            }
            self.deadline.clear_response_timeout();
        }
    }

    /// The endpoint may send nothing for a multiple of the latency target, where another one could be tried.
    pub(crate) fn start_response_timeout(&mut self) {
        if self.record.may_fail_over() {
            let timeout_ms = RESPONSE_TIMEOUT_TARGETS * self.route.target_ms;
            self.deadline.start_response_timeout(timeout_ms);
        }
    }

    /// An event of a stream has arrived: the next may take a multiple of the target for the gap between them.
    pub(crate) fn event_arrived(&mut self) {
        let target_ms = self.route.gap_target_ms.unwrap_or(self.route.target_ms);
        self.deadline
            .restart_response_timeout(RESPONSE_TIMEOUT_TARGETS * target_ms);
    }

    /// The endpoint for the next send.
    pub(crate) fn next_endpoint(&mut self) -> Result<ChosenEndpoint<N>, Rejection> {
        if !self.has_send_left() {
            return Err(self.record.rejection());
        }
        if let Some(reserved) = self.reserved_next.take() {
            return Ok(self.count_send(reserved.ticket, reserved.in_flight));
        }
        match self.choose() {
            Choice::Send(ticket) => {
                let in_flight = self.in_flight(&ticket);
                Ok(self.count_send(ticket, in_flight))
            }
            Choice::Reject { retry_after_ms } if self.record.has_not_run() => {
                Err(Rejection::RetryLater { retry_after_ms })
            }
            Choice::Reject { .. } | Choice::NoServer => Err(self.record.rejection()),
        }
    }

    /// Chooses an endpoint to go to from one that is unresponsive or has failed; false where there is none, so that
    /// this one is waited for, or its failure forwarded.
    pub(crate) fn reserve_next(&mut self) -> bool {
        let backend = self.backend.clone();
        if let Choice::Send(ticket) = self.choose() {
            let in_flight = self.in_flight(&ticket);
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

    /// Whether there is time for a further send, and the request was not sent too often.
    pub(crate) fn has_send_left(&self) -> bool {
        self.deadline.remaining_ms() > 0 && self.sends < MAX_SENDS
    }

    fn in_flight(&self, ticket: &Ticket) -> InFlight<N> {
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

    /// The choice among the endpoints of the service that was drawn; where it has none left, of another one that the
    /// route allows.
    fn choose(&mut self) -> Choice {
        let choice = self.choose_of(&self.backend);
        if !matches!(choice, Choice::NoServer) {
            return choice;
        }
        let others = self.route.backends.iter();
        let others = others.filter(|other| other.weight > 0 && other.backend != self.backend);
        let mut choices = others.map(|other| (&other.backend, self.choose_of(&other.backend)));
        match choices.find(|(_, choice)| !matches!(choice, Choice::NoServer)) {
            Some((backend, choice)) => {
                self.backend = backend.clone();
                choice
            }
            None => Choice::NoServer,
        }
    }

    fn choose_of(&self, backend: &str) -> Choice {
        let choice = self.shared.node.choose(&RoutingRequest {
            backend,
            program: text(self.parsed.program.as_ref()),
            session: text(self.parsed.session.as_ref()),
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
