//! Handles one request of a client, from its head to the head of its response: match, read, admit, dispatch, relay.

use crate::active_request::ActiveRequest;
use crate::admission;
use crate::admitted_turn::{AdmittedTurn, TokenCounter};
use crate::classification::EndedBy;
use crate::client_body::ClientBody;
use crate::client_connection::{ClientConnection, Stage};
use crate::deadline::RequestDeadline;
use crate::endpoint_response::Forwarded;
use crate::event_relay::{is_event_stream, EventRelay, StreamStart};
use crate::node::Node;
use crate::outbound_request::OutboundRequest;
use crate::pending_turn::PendingTurn;
use crate::rejection::Rejection;
use crate::relay::{self, BufferedBody};
use crate::request_body::{discard_body, read_body, DiscardResult};
use crate::route_match::MatchedRequest;
use crate::shared::Shared;
use crate::trace::{self, LoggedId};
use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use std::rc::Rc;

/// How long a response may still be written after its request's deadline; the client has given up by then.
const WRITE_GRACE_MS: u64 = 500;
/// How long a rejection may be written if the request's deadline is not known.
const REJECTION_TIMEOUT_MS: u64 = 2000;

/// Handles a request of `client` and returns the endpoint's response or a rejection.
pub(crate) async fn handle<N: Node>(
    shared: Rc<Shared<N>>,
    client: Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Response<ClientBody> {
    client.set_stage(Stage::Handling);
    shared.count_request();
    let arrived_ms = shared.clock.now_ms();
    let mut deadline_ms = arrived_ms + REJECTION_TIMEOUT_MS;
    let logged_id = LoggedId::from_request(&request);
    let mut response = match process(&shared, &client, request, arrived_ms, &mut deadline_ms).await
    {
        Ok(response) => {
            logged_id.responded(response.status());
            response
        }
        Err(rejection) => {
            logged_id.rejected(rejection);
            reject(&shared, &client, rejection)
        }
    };
    if shared.is_draining() || client.is_closing() {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let abort_at_ms = deadline_ms.max(shared.clock.now_ms()) + WRITE_GRACE_MS;
    client.set_stage(Stage::Responding { abort_at_ms });
    response
}

fn reject<N: Node>(
    shared: &Shared<N>,
    client: &Rc<ClientConnection>,
    rejection: Rejection,
) -> Response<ClientBody> {
    shared.counters.count_rejection(rejection);
    if rejection.leaves_unread_bytes() {
        client.record_unread_rejection();
    }
    let reason = Bytes::from_static(rejection.reason().as_bytes());
    rejection
        .head()
        .map(|()| ClientBody::complete(reason, client))
}

/// Runs the steps of a request in order. Sets `deadline_ms` once the route is known.
async fn process<N: Node>(
    shared: &Rc<Shared<N>>,
    client: &Rc<ClientConnection>,
    request: Request<Incoming>,
    arrived_ms: u64,
    deadline_ms: &mut u64,
) -> Result<Response<ClientBody>, Rejection> {
    let (head, body) = request.into_parts();
    let MatchedRequest {
        services,
        max_body_bytes,
        route,
        parsed,
    } = match MatchedRequest::find(shared, &head).await {
        Ok(matched) => matched,
        Err(rejection) => {
            if discard_body(body).await == DiscardResult::Partial {
                client.record_unread_rejection();
            }
            return Err(rejection);
        }
    };
    let timeout_ms = parsed.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    *deadline_ms = arrived_ms.saturating_add(timeout_ms);
    trace::arrived(&head, &route, &parsed, timeout_ms);
    let mut deadline = RequestDeadline::new(&shared.clock, &shared.failover_budget, *deadline_ms);
    let mut memory = shared.body_memory.empty_reservation();
    let input = read_body(body, max_body_bytes, &mut deadline, &mut memory).await?;
    let body_chunks =
        admission::build_prompt(shared, &route, &parsed, &input, &mut deadline, &mut memory)
            .await?;
    let turn = admission::admit(shared, &route, &parsed, &mut deadline).await?;
    let pending_turn = admission::pending_turn(shared, &route, &parsed, input);
    let outbound = OutboundRequest::new(head, body_chunks, memory);
    let request = ActiveRequest::new(shared.clone(), services, route, parsed, outbound, deadline);
    dispatch_and_relay(Box::new(request), turn, pending_turn, client).await
}

/// Sends a request, and turns the endpoint's response into the client's. If the response is truncated before any of it
/// was forwarded, the request is sent again if that is allowed.
async fn dispatch_and_relay<N: Node>(
    mut request: Box<ActiveRequest<N>>,
    turn: Option<AdmittedTurn<N>>,
    pending_turn: Option<PendingTurn>,
    client: &Rc<ClientConnection>,
) -> Result<Response<ClientBody>, Rejection> {
    let tokens = TokenCounter::new(request.parsed.max_turn_tokens());
    let last_event_id = request.parsed.last_event_id();
    let mut event_relay = EventRelay::new(tokens, turn, pending_turn, last_event_id);
    let mut response = request.dispatch().await?;
    loop {
        let ended_by = if is_event_stream(request.route.kind, &response.head) {
            match event_relay.start(&mut request, &mut response.source).await {
                StreamStart::Events(first_events) => {
                    return Ok(event_relay.respond(request, response, first_events, client));
                }
                StreamStart::Truncated(ended_by) => ended_by,
            }
        } else if event_relay.is_persisted() && response.head.status.is_success() {
            // Without events no turn can be stored: the response would wrongly promise that a later turn can continue.
            EndedBy::Proxy
        } else {
            response.source.in_flight.record_first_event();
            request.deadline.clear_response_timeout();
            match relay::buffer_body(&mut request, &mut response.source).await {
                BufferedBody::Complete(body) => {
                    return Ok(relay::buffered_response(&request, response, body, client));
                }
                BufferedBody::OverLimit(beginning) => {
                    return Ok(relay::streamed_response(
                        request, response, beginning, client,
                    ));
                }
                BufferedBody::Truncated(ended_by) => ended_by,
            }
        };
        // Boxed, because retries are rare and their state would enlarge the future of every request.
        let retried = request.dispatch_again(response.source, ended_by, Forwarded::Nothing);
        response = Box::pin(retried).await?;
    }
}
