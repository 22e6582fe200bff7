//! Forwards event streams: counts their tokens, stores the turn if its route says so, and resumes a truncated stream at
//! an endpoint.

use crate::active_request::ActiveRequest;
use crate::admitted_turn::{AdmittedTurn, TokenCounter};
use crate::classification::EndedBy;
use crate::client_body::{ChunkSlot, ClientBody, TruncatedResponse};
use crate::client_connection::ClientConnection;
use crate::endpoint_response::{BodyEvent, EndpointResponse, Forwarded, ResponseSource};
use crate::event_stream::{Event, EventSplitter};
use crate::node::Node;
use crate::pending_turn::PendingTurn;
use crate::relay::client_head;
use bytes::Bytes;
use dunespur_configuration::RequestKind;
use dunespur_routing::Outcome;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::response::Parts;
use http::{Response, StatusCode};
use std::rc::Rc;

/// The content type of an event stream; a response without a content type also counts as one.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Whether a response is an event stream.
pub(crate) fn is_event_stream(kind: RequestKind, head: &Parts) -> bool {
    let has_event_type = head.headers.get(CONTENT_TYPE).is_none_or(|content_type| {
        let media_type = content_type.as_bytes().get(..EVENT_STREAM.len());
        media_type.is_some_and(|media_type| media_type.eq_ignore_ascii_case(EVENT_STREAM))
    });
    kind == RequestKind::Streaming && head.status == StatusCode::OK && has_event_type
}

/// The state of one client's stream, across all endpoints that send parts of it.
pub(crate) struct EventRelay<N: Node> {
    splitter: EventSplitter,
    /// The last event that the client had before this request.
    start_event_id: Option<u64>,
    /// The last event that was taken for the client.
    last_event_id: Option<u64>,
    tokens: TokenCounter,
    turn: Option<AdmittedTurn<N>>,
    pending_turn: Option<PendingTurn>,
}

/// The result of waiting for the first events of a stream.
pub(crate) enum StreamStart {
    /// The first events; empty if the stream has ended without any.
    Events(Bytes),
    /// The stream was truncated before its first event.
    Truncated(EndedBy),
}

impl<N: Node> EventRelay<N> {
    /// Creates the state of a stream; `start_event_id` is the last event that the client already has.
    pub(crate) fn new(
        tokens: TokenCounter,
        turn: Option<AdmittedTurn<N>>,
        pending_turn: Option<PendingTurn>,
        start_event_id: Option<u64>,
    ) -> EventRelay<N> {
        let splitter = EventSplitter::default();
        EventRelay {
            splitter,
            start_event_id,
            last_event_id: start_event_id,
            tokens,
            turn,
            pending_turn,
        }
    }

    /// Whether the turn is to be stored once its response is complete.
    pub(crate) fn is_persisted(&self) -> bool {
        self.pending_turn.is_some()
    }

    /// Waits for the first event. Until it arrives, another endpoint may start the stream from the beginning.
    pub(crate) async fn start(
        &mut self,
        request: &mut ActiveRequest<N>,
        source: &mut ResponseSource<N>,
    ) -> StreamStart {
        self.set_tokens_per_event(request);
        self.splitter.clear();
        self.last_event_id = self.start_event_id;
        if let Some(pending) = &mut self.pending_turn {
            pending.output.clear();
        }
        loop {
            match request.next_body_event(&mut source.body).await {
                BodyEvent::Chunk(bytes) => match self.add_received(bytes) {
                    Ok(events) if events.is_empty() => {}
                    Ok(events) => {
                        request.record_event_arrival();
                        source.in_flight.record_first_event();
                        return StreamStart::Events(events);
                    }
                    Err(TruncatedResponse) => return StreamStart::Truncated(EndedBy::Proxy),
                },
                BodyEvent::End if self.splitter.is_empty() => {
                    return StreamStart::Events(Bytes::new());
                }
                BodyEvent::End => return StreamStart::Truncated(EndedBy::Endpoint),
                BodyEvent::Truncated(ended_by) => return StreamStart::Truncated(ended_by),
            }
        }
    }

    /// Returns the client's response: the head from the first endpoint, then the events of all endpoints.
    pub(crate) fn respond(
        self,
        request: Box<ActiveRequest<N>>,
        response: EndpointResponse<N>,
        first_events: Bytes,
        client: &Rc<ClientConnection>,
    ) -> Response<ClientBody> {
        let EndpointResponse { mut head, source } = response;
        // Without a length the body ends with a last chunk, which is held back until the turn is stored.
        head.headers.remove(CONTENT_LENGTH);
        let slot = ChunkSlot::default();
        let producer = self.run(request, source, first_events, slot.clone());
        let body = ClientBody::produced(producer, slot, None, client);
        Response::from_parts(client_head(head), body)
    }

    async fn run(
        mut self,
        mut request: Box<ActiveRequest<N>>,
        mut source: ResponseSource<N>,
        first_events: Bytes,
        slot: ChunkSlot,
    ) -> Result<(), TruncatedResponse> {
        slot.put(first_events).await;
        loop {
            let ended_by = match request.next_body_event(&mut source.body).await {
                BodyEvent::Chunk(bytes) => match self.add_received(bytes) {
                    Ok(events) => {
                        request.record_event_arrival();
                        slot.put(events).await;
                        continue;
                    }
                    Err(TruncatedResponse) => EndedBy::Proxy,
                },
                BodyEvent::End if self.splitter.is_empty() => break,
                BodyEvent::End => EndedBy::Endpoint,
                BodyEvent::Truncated(ended_by) => ended_by,
            };
            // Boxed, because resuming is rare and its state would enlarge the future of every stream.
            source = Box::pin(self.resume(&mut request, source, ended_by)).await?;
        }
        let tokens_out = u32::try_from(self.tokens.total()).unwrap_or(u32::MAX);
        source.in_flight.finish(Outcome::Served { tokens_out });
        source.body.return_connection(&request.shared);
        self.persist(&mut request).await
    }

    /// Adds received bytes; checks and counts the complete events and returns them, to be forwarded.
    fn add_received(&mut self, bytes: Bytes) -> Result<Bytes, TruncatedResponse> {
        let events = self.splitter.push(bytes).map_err(|_| TruncatedResponse)?;
        // Checked first: of events that are not forwarded nothing may be recorded, or a resumed stream would lack them.
        self.last_event_id = self.check_ids(&events)?;
        if let Some(pending) = &mut self.pending_turn {
            pending.reserve_output(events.len())?;
        }
        let mut tokens = 0;
        for event in Event::parse_all(&events) {
            tokens += self.tokens.count_event();
            if let Some(pending) = &mut self.pending_turn {
                event.append_data(&mut pending.output);
            }
        }
        if let Some(turn) = &self.turn {
            turn.record_tokens(tokens);
        }
        Ok(events)
    }

    /// Returns the id of the last of these events. Protects against repeated events, and events of another run of the
    /// request.
    fn check_ids(&self, events: &[u8]) -> Result<Option<u64>, TruncatedResponse> {
        let mut last_event_id = self.last_event_id;
        for id in Event::parse_all(events).filter_map(|event| event.id) {
            if last_event_id.is_some_and(|last_event_id| id <= last_event_id) {
                return Err(TruncatedResponse);
            }
            last_event_id = Some(id);
        }
        Ok(last_event_id)
    }

    /// Resumes the stream after the last forwarded event.
    async fn resume(
        &mut self,
        request: &mut ActiveRequest<N>,
        truncated: ResponseSource<N>,
        ended_by: EndedBy,
    ) -> Result<ResponseSource<N>, TruncatedResponse> {
        self.splitter.clear();
        let Some(last_event_id) = self.last_event_id.filter(|_| request.route.resumable) else {
            truncated.fail(ended_by);
            return Err(TruncatedResponse);
        };
        request.outbound.resume_after(last_event_id);
        let dispatched = request
            .dispatch_again(truncated, ended_by, Forwarded::Partial)
            .await;
        let response = dispatched.map_err(|_| TruncatedResponse)?;
        if !is_event_stream(request.route.kind, &response.head) {
            response.source.fail(EndedBy::Proxy);
            return Err(TruncatedResponse);
        }
        response.source.in_flight.record_first_event();
        self.set_tokens_per_event(request);
        Ok(response.source)
    }

    /// Sets the tokens per event from the configuration of the current endpoint's service.
    fn set_tokens_per_event(&mut self, request: &ActiveRequest<N>) {
        let engine = request
            .service()
            .and_then(|service| service.engine.as_ref());
        let tokens = engine.map_or(1, |engine| u64::from(engine.chunk_tokens));
        self.tokens.set_tokens_per_event(tokens);
    }

    /// Stores the turn; fails unless it is durable. The response may end only after that.
    async fn persist(self, request: &mut ActiveRequest<N>) -> Result<(), TruncatedResponse> {
        let Some(PendingTurn {
            mut turn,
            output,
            memory: _memory,
        }) = self.pending_turn
        else {
            return Ok(());
        };
        turn.output = output.freeze();
        let node = request.shared.node.clone();
        let is_durable = request.deadline.limit(node.persist(turn)).await;
        if is_durable == Some(true) {
            Ok(())
        } else {
            Err(TruncatedResponse)
        }
    }
}
