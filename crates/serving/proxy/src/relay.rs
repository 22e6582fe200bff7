//! Forwards responses that are no streams of events.
//!
//! The outcome is reported and the connection returned before the client gets its last byte: once it has that, nobody
//! polls the producer again.

use crate::active_request::ActiveRequest;
use crate::classification::EndedBy;
use crate::client_body::{ChunkSlot, ClientBody, Truncated};
use crate::client_connection::ClientConnection;
use crate::endpoint_response::{BodyEvent, EndpointResponse, ResponseSource};
use crate::http_headers;
use crate::node::Node;
use bytes::{Bytes, BytesMut};
use dunespur_routing::Outcome;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http::{HeaderMap, Response, StatusCode};
use std::rc::Rc;

/// A response up to this length is buffered, so that a truncated one can still become an error status, or be had from
/// another endpoint. A longer one is forwarded while it arrives.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// A body as far as it was buffered.
pub(crate) enum BufferedBody {
    Complete(Bytes),
    /// Longer than that: what has arrived.
    Longer(Bytes),
    Truncated(EndedBy),
}

/// Waits for the body of a response.
pub(crate) async fn buffer_body<N: Node>(
    request: &mut ActiveRequest<N>,
    source: &mut ResponseSource<N>,
) -> BufferedBody {
    let mut rest = BytesMut::new();
    let mut first = Bytes::new();
    loop {
        match request.next_of(&mut source.body).await {
            BodyEvent::Chunk(bytes) if first.is_empty() && rest.is_empty() => first = bytes,
            BodyEvent::Chunk(bytes) => {
                rest.extend_from_slice(&std::mem::take(&mut first));
                rest.extend_from_slice(&bytes);
            }
            BodyEvent::End => return BufferedBody::Complete(joined(first, rest)),
            BodyEvent::Truncated(ended_by) => return BufferedBody::Truncated(ended_by),
        }
        if first.len() + rest.len() > MAX_BUFFERED_BYTES {
            return BufferedBody::Longer(joined(first, rest));
        }
    }
}

/// Copies only a body that arrived in several chunks.
fn joined(first: Bytes, rest: BytesMut) -> Bytes {
    if rest.is_empty() {
        first
    } else {
        rest.freeze()
    }
}

/// The head for the client of a response with this head.
pub(crate) fn client_head(mut head: Parts) -> Parts {
    http_headers::strip_hop_by_hop(&mut head.headers);
    if matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    ) {
        head.headers.remove(CONTENT_LENGTH);
    }
    head
}

/// The response to the client where the endpoint's was buffered completely.
pub(crate) fn buffered_response<N: Node>(
    request: &ActiveRequest<N>,
    response: EndpointResponse<N>,
    body: Bytes,
    client: &Rc<ClientConnection>,
) -> Response<ClientBody> {
    let EndpointResponse { head, mut source } = response;
    source.in_flight.finish(outcome(head.status));
    source.body.return_connection(&request.shared);
    Response::from_parts(client_head(head), ClientBody::complete(body, client))
}

/// The response to the client where the rest of the endpoint's is forwarded while it arrives.
pub(crate) fn streamed_response<N: Node>(
    request: Box<ActiveRequest<N>>,
    response: EndpointResponse<N>,
    begun: Bytes,
    client: &Rc<ClientConnection>,
) -> Response<ClientBody> {
    let EndpointResponse { head, source } = response;
    let status = head.status;
    let length = stated_length(&head.headers);
    let slot = ChunkSlot::default();
    let relay = Relay {
        request,
        source,
        status,
        remaining_bytes: length,
        slot: slot.clone(),
    };
    let body = ClientBody::produced(relay.run(begun), slot, length, client);
    Response::from_parts(client_head(head), body)
}

/// The outcome of a response that came completely.
fn outcome(status: StatusCode) -> Outcome {
    if status.is_server_error() {
        Outcome::Failed
    } else {
        Outcome::Served { tokens_out: 0 }
    }
}

/// The length that the headers of a response state.
fn stated_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Forwards the rest of a response.
struct Relay<N: Node> {
    request: Box<ActiveRequest<N>>,
    source: ResponseSource<N>,
    status: StatusCode,
    /// Bytes to come, where the length is known.
    remaining_bytes: Option<u64>,
    slot: ChunkSlot,
}

impl<N: Node> Relay<N> {
    async fn run(mut self, begun: Bytes) -> Result<(), Truncated> {
        let mut chunk = begun;
        loop {
            let chunk_bytes = chunk.len() as u64;
            self.remaining_bytes = self
                .remaining_bytes
                .map(|remaining| remaining.saturating_sub(chunk_bytes));
            // Once the client has the last byte nobody polls this again: it comes after all else.
            if self.remaining_bytes == Some(0) {
                break;
            }
            self.slot.put(chunk).await;
            chunk = match self.request.next_of(&mut self.source.body).await {
                BodyEvent::Chunk(bytes) => bytes,
                BodyEvent::End => {
                    chunk = Bytes::new();
                    break;
                }
                BodyEvent::Truncated(ended_by) => return self.truncate(ended_by),
            };
        }
        if self.remaining_bytes == Some(0) {
            match self.request.next_of(&mut self.source.body).await {
                BodyEvent::End => {}
                BodyEvent::Truncated(ended_by) => return self.truncate(ended_by),
                BodyEvent::Chunk(_) => return self.truncate(EndedBy::Proxy),
            }
        }
        let Relay {
            request,
            mut source,
            status,
            slot,
            ..
        } = self;
        source.in_flight.finish(outcome(status));
        source.body.return_connection(&request.shared);
        slot.put(chunk).await;
        Ok(())
    }

    fn truncate(self, ended_by: EndedBy) -> Result<(), Truncated> {
        self.source.fail(ended_by);
        Err(Truncated)
    }
}
