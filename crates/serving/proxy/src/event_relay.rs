//! Forwards responses that are streams of events: as they arrive, with their tokens counted, stored where the route
//! says so, and resumed at an endpoint after a truncation.

use crate::active_request::ActiveRequest;
use crate::admitted_turn::{AdmittedTurn, TokenCounter};
use crate::body_memory::MemoryReservation;
use crate::classification::EndedBy;
use crate::client_body::{ChunkSlot, ClientBody, Truncated};
use crate::client_connection::ClientConnection;
use crate::endpoint_response::{BodyEvent, EndpointResponse, Forwarded, ResponseSource};
use crate::event_stream::{Event, EventSplitter};
use crate::node::{CompletedTurn, Node};
use crate::relay::client_head;
use bytes::{Bytes, BytesMut};
use dunespur_configuration::RequestKind;
use dunespur_routing::Outcome;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::response::Parts;
use http::{Response, StatusCode};
use std::rc::Rc;

/// The most output of one turn that is collected until it is stored. A longer one can't be stored, so its response
/// ends truncated: complete, it would promise that a later turn can continue from it.
const MAX_OUTPUT_BYTES: usize = 4 * 1024 * 1024;

/// The content type of a stream of events, unless it states none.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Whether a response is a stream of events.
pub(crate) fn is_event_stream(kind: RequestKind, head: &Parts) -> bool {
    let has_event_type = head.headers.get(CONTENT_TYPE).is_none_or(|content_type| {
        let media_type = content_type.as_bytes().get(..EVENT_STREAM.len());
        media_type.is_some_and(|media_type| media_type.eq_ignore_ascii_case(EVENT_STREAM))
    });
    kind == RequestKind::Streaming && head.status == StatusCode::OK && has_event_type
}

/// A turn that is stored once its response is complete.
pub(crate) struct PendingTurn {
    pub(crate) turn: CompletedTurn,
    pub(crate) memory: MemoryReservation,
    pub(crate) output: BytesMut,
}

impl PendingTurn {
    /// Protects against outputs that would take more memory than there is.
    fn reserve_output(&mut self, bytes: usize) -> Result<(), Truncated> {
        if self.output.len() + bytes > MAX_OUTPUT_BYTES {
            return Err(Truncated);
        }
        self.memory.grow(bytes).map_err(|_| Truncated)
    }
}

/// The state of a stream, over all the endpoints that it came from.
pub(crate) struct EventRelay<N: Node> {
    splitter: EventSplitter,
    /// The event that the client had already.
    start_id: Option<u64>,
    last_id: Option<u64>,
    tokens: TokenCounter,
    turn: Option<AdmittedTurn<N>>,
    pending: Option<PendingTurn>,
}

/// How a stream begins.
pub(crate) enum StreamStart {
    /// With these events, or with its end where there are none.
    Events(Bytes),
    /// It was truncated before the first.
    Truncated(EndedBy),
}

impl<N: Node> EventRelay<N> {
    /// `start_id` is the event that the client has already.
    pub(crate) fn new(
        tokens: TokenCounter,
        turn: Option<AdmittedTurn<N>>,
        pending: Option<PendingTurn>,
        start_id: Option<u64>,
    ) -> EventRelay<N> {
        let splitter = EventSplitter::default();
        EventRelay {
            splitter,
            start_id,
            last_id: start_id,
            tokens,
            turn,
            pending,
        }
    }

    /// Whether the turn is stored once its response is complete.
    pub(crate) fn is_persisted(&self) -> bool {
        self.pending.is_some()
    }

    /// Waits for the first event: until then another endpoint may start the stream anew.
    pub(crate) async fn start(
        &mut self,
        request: &mut ActiveRequest<N>,
        source: &mut ResponseSource<N>,
    ) -> StreamStart {
        self.set_tokens_per_event(request);
        self.splitter.clear();
        self.last_id = self.start_id;
        if let Some(pending) = &mut self.pending {
            pending.output.clear();
        }
        loop {
            match request.next_of(&mut source.body).await {
                BodyEvent::Chunk(bytes) => match self.take(bytes) {
                    Ok(events) if events.is_empty() => {}
                    Ok(events) => {
                        request.event_arrived();
                        source.in_flight.first_event();
                        return StreamStart::Events(events);
                    }
                    Err(Truncated) => return StreamStart::Truncated(EndedBy::Proxy),
                },
                BodyEvent::End if self.splitter.is_empty() => {
                    return StreamStart::Events(Bytes::new());
                }
                BodyEvent::End => return StreamStart::Truncated(EndedBy::Endpoint),
                BodyEvent::Truncated(ended_by) => return StreamStart::Truncated(ended_by),
            }
        }
    }

    /// The response to the client: the head of the first endpoint, then the events of all.
    pub(crate) fn respond(
        self,
        request: Box<ActiveRequest<N>>,
        response: EndpointResponse<N>,
        begun: Bytes,
        client: &Rc<ClientConnection>,
    ) -> Response<ClientBody> {
        let EndpointResponse { mut head, source } = response;
        // Without a length its end is a chunk of its own, which waits until the turn is stored.
        head.headers.remove(CONTENT_LENGTH);
        let slot = ChunkSlot::default();
        let producer = self.run(request, source, begun, slot.clone());
        let body = ClientBody::produced(producer, slot, None, client);
        Response::from_parts(client_head(head), body)
    }

    async fn run(
        mut self,
        mut request: Box<ActiveRequest<N>>,
        mut source: ResponseSource<N>,
        begun: Bytes,
        slot: ChunkSlot,
    ) -> Result<(), Truncated> {
        slot.put(begun).await;
        loop {
            let ended_by = match request.next_of(&mut source.body).await {
                BodyEvent::Chunk(bytes) => match self.take(bytes) {
                    Ok(events) => {
                        request.event_arrived();
                        slot.put(events).await;
                        continue;
                    }
                    Err(Truncated) => EndedBy::Proxy,
                },
                BodyEvent::End if self.splitter.is_empty() => break,
                BodyEvent::End => EndedBy::Endpoint,
                BodyEvent::Truncated(ended_by) => ended_by,
            };
            // Boxed, as it is rare and would take memory in every stream.
            source = Box::pin(self.resume(&mut request, source, ended_by)).await?;
        }
        let tokens_out = u32::try_from(self.tokens.counted()).unwrap_or(u32::MAX);
        source.in_flight.finish(Outcome::Served { tokens_out });
        source.body.return_connection(&request.shared);
        self.persist(&mut request).await
    }

    /// Takes what arrived; gives the complete events, counted, to be forwarded.
    fn take(&mut self, bytes: Bytes) -> Result<Bytes, Truncated> {
        let events = self.splitter.push(bytes).map_err(|_| Truncated)?;
        let mut tokens = 0;
        for event in Event::all(&events) {
            self.check_id(&event)?;
            tokens += self.tokens.next_event();
            if let Some(pending) = &mut self.pending {
                event.append_data(&mut pending.output);
            }
        }
        if let Some(pending) = &mut self.pending {
            pending.reserve_output(events.len())?;
        }
        if let Some(turn) = &self.turn {
            turn.record_tokens(tokens);
        }
        Ok(events)
    }

    /// Protects against events that come twice, or out of another run.
    fn check_id(&mut self, event: &Event) -> Result<(), Truncated> {
        let Some(id) = event.id else {
            return Ok(());
        };
        if self.last_id.is_some_and(|last_id| id <= last_id) {
            return Err(Truncated);
        }
        self.last_id = Some(id);
        Ok(())
    }

    /// Resumes the stream behind the last event that was forwarded.
    async fn resume(
        &mut self,
        request: &mut ActiveRequest<N>,
        truncated: ResponseSource<N>,
        ended_by: EndedBy,
    ) -> Result<ResponseSource<N>, Truncated> {
        self.splitter.clear();
        let Some(last_id) = self.last_id.filter(|_| request.route.resumable) else {
            truncated.fail(ended_by);
            return Err(Truncated);
        };
        request.outbound.resume_after(last_id);
        let dispatched = request
            .dispatch_again(truncated, ended_by, Forwarded::InPart)
            .await;
        let response = dispatched.map_err(|_| Truncated)?;
        if !is_event_stream(request.route.kind, &response.head) {
            response.source.fail(EndedBy::Proxy);
            return Err(Truncated);
        }
        response.source.in_flight.first_event();
        self.set_tokens_per_event(request);
        Ok(response.source)
    }

    /// Reads how many tokens an event of the present endpoint holds.
    fn set_tokens_per_event(&mut self, request: &ActiveRequest<N>) {
        let engine = request
            .service()
            .and_then(|service| service.engine.as_ref());
        let tokens = engine.map_or(1, |engine| u64::from(engine.chunk_tokens));
        self.tokens.set_tokens_per_event(tokens);
    }

    /// Stores the turn, so that the end of its response may be sent.
    async fn persist(self, request: &mut ActiveRequest<N>) -> Result<(), Truncated> {
        let Some(PendingTurn {
            mut turn,
            output,
            memory: _memory,
        }) = self.pending
        else {
            return Ok(());
        };
        turn.output = output.freeze();
        let node = request.shared.node.clone();
        let is_durable = request.deadline.bound(node.persist(turn)).await;
        if is_durable == Some(true) {
            Ok(())
        } else {
            Err(Truncated)
        }
    }
}
