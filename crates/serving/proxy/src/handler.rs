//! One request of a client, from its head to the head of its response: match, read, admit, dispatch, relay.

use crate::active_request::ActiveRequest;
use crate::admission;
use crate::admitted_turn::{AdmittedTurn, TokenCounter};
use crate::classification::EndedBy;
use crate::client_body::ClientBody;
use crate::client_connection::{ClientConnection, Stage};
use crate::deadline::RequestDeadline;
use crate::endpoint_response::Forwarded;
use crate::event_relay::{is_event_stream, EventRelay, PendingTurn, StreamStart};
use crate::node::Node;
use crate::outbound_request::OutboundRequest;
use crate::rejection::Rejection;
use crate::relay::{self, BufferedBody};
use crate::request_body::{discard_body, read_body, Discarded};
use crate::route_match::MatchedRequest;
use crate::shared::Shared;
use crate::trace::{self, LoggedId};
use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use std::rc::Rc;

/// A response may still be written for so long after the deadline of its request; then nobody reads it.
const WRITE_GRACE_MS: u64 = 500;
/// A rejection may be written for so long where the request has no deadline yet.
const REJECTION_TIMEOUT_MS: u64 = 2000;

/// Handles a request of `client`.
pub(crate) async fn handle<N: Node>(
    shared: Rc<Shared<N>>,
    client: Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Response<ClientBody> {
    client.set_stage(Stage::Handling);
    shared.count_request();
    let arrived_ms = shared.clock.now_ms();
    let mut deadline_ms = arrived_ms + REJECTION_TIMEOUT_MS;
    let logged = LoggedId::of(&request);
    let mut response = match serve(&shared, &client, request, arrived_ms, &mut deadline_ms).await {
        Ok(response) => {
            logged.responded(response.status());
            response
        }
        Err(rejection) => {
            logged.rejected(rejection);
            reject(&shared, &client, rejection)
        }
    };
    if shared.is_draining() || client.is_closing() {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let until_ms = deadline_ms.max(shared.clock.now_ms()) + WRITE_GRACE_MS;
    client.set_stage(Stage::Responding { until_ms });
    response
}

fn reject<N: Node>(
    shared: &Shared<N>,
    client: &Rc<ClientConnection>,
    rejection: Rejection,
) -> Response<ClientBody> {
    shared.counters.count_rejection(rejection);
    if rejection.leaves_unread_bytes() {
        client.reject_unread();
    }
    let reason = Bytes::from_static(rejection.reason().as_bytes());
    rejection
        .head()
        .map(|()| ClientBody::complete(reason, client))
}

/// The steps of a request, in order. `deadline_ms` is set once the route is known.
async fn serve<N: Node>(
    shared: &Rc<Shared<N>>,
    client: &Rc<ClientConnection>,
    request: Request<Incoming>,
    arrived_ms: u64,
    deadline_ms: &mut u64,
) -> Result<Response<ClientBody>, Rejection> {
    let (head, body) = request.into_parts();
    let MatchedRequest {
        table,
        route,
        parsed,
    } = match MatchedRequest::of(shared, &head).await {
        Ok(matched) => matched,
        Err(rejection) => {
            if discard_body(body).await == Discarded::InPart {
                client.reject_unread();
            }
            return Err(rejection);
        }
    };
    let time_ms = parsed.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    *deadline_ms = arrived_ms.saturating_add(time_ms);
    trace::arrived(&head, &route, &parsed, time_ms);
    let mut deadline = RequestDeadline::new(&shared.clock, &shared.failover_budget, *deadline_ms);
    let mut memory = shared.body_memory.empty_reservation();
    let max_body_bytes = table.limits().max_body_bytes;
    let input = read_body(body, max_body_bytes, &mut deadline, &mut memory).await?;
    let body_chunks =
        admission::prompt(shared, &route, &parsed, &input, &mut deadline, &mut memory).await?;
    let turn = admission::admit(shared, &route, &parsed, &mut deadline).await?;
    let pending = admission::pending_turn(shared, &route, &parsed, input);
    let outbound = OutboundRequest::new(head, body_chunks, memory);
    let request = ActiveRequest::new(shared.clone(), table, route, parsed, outbound, deadline);
    dispatch_and_relay(Box::new(request), turn, pending, client).await
}

/// Sends a request, and turns the endpoint's response into the client's. As long as nothing of a response has been
/// forwarded, a truncated one is had from another endpoint, where the request may be sent again.
async fn dispatch_and_relay<N: Node>(
    mut request: Box<ActiveRequest<N>>,
    turn: Option<AdmittedTurn<N>>,
    pending: Option<PendingTurn>,
    client: &Rc<ClientConnection>,
) -> Result<Response<ClientBody>, Rejection> {
    let tokens = TokenCounter::new(request.parsed.max_turn_tokens());
    let mut events = EventRelay::new(tokens, turn, pending, request.parsed.last_event_id());
    let mut response = request.dispatch().await?;
    loop {
        let ended_by = if is_event_stream(request.route.kind, &response.head) {
            match events.start(&mut request, &mut response.source).await {
                StreamStart::Events(begun) => {
                    return Ok(events.respond(request, response, begun, client));
                }
                StreamStart::Truncated(ended_by) => ended_by,
            }
        } else if events.is_persisted() && response.head.status.is_success() {
            // Forwarded, it would promise that a later turn can continue from it.
            EndedBy::Proxy
        } else {
            response.source.in_flight.first_event();
            request.deadline.clear_response_timeout();
            match relay::buffer_body(&mut request, &mut response.source).await {
                BufferedBody::Complete(body) => {
                    return Ok(relay::buffered_response(&request, response, body, client));
                }
                BufferedBody::Longer(begun) => {
                    return Ok(relay::streamed_response(request, response, begun, client));
                }
                BufferedBody::Truncated(ended_by) => ended_by,
            }
        };
        // Boxed, as it is rare and would take memory in every request.
        let again = request.dispatch_again(response.source, ended_by, Forwarded::Nothing);
        response = Box::pin(again).await?;
    }
}
