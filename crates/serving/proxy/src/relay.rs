//! Forwards responses that are not event streams.
//!
//! The outcome is reported and the connection returned to the pool before the client gets the last byte: after the last
//! byte, the producer is not polled again.

use crate::active_request::ActiveRequest;
use crate::classification::EndedBy;
use crate::client_body::{ChunkSlot, ClientBody, TruncatedResponse};
use crate::client_connection::ClientConnection;
use crate::endpoint_response::{BodyEvent, EndpointResponse, ResponseSource};
use crate::http_headers;
use crate::node::Node;
use bytes::{Bytes, BytesMut};
use dunespur_routing::Outcome;
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http::{HeaderMap, Response, StatusCode, Version};
use std::rc::Rc;

/// The longest response that is buffered. If a buffered response is truncated, the request can still be sent again or
/// end with an error status. A longer response is forwarded as it arrives.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// The result of buffering a body.
pub(crate) enum BufferedBody {
    Complete(Bytes),
    /// The body exceeds [`MAX_BUFFERED_BYTES`]; holds the bytes received.
    OverLimit(Bytes),
    Truncated(EndedBy),
}

/// Buffers the body of a response up to [`MAX_BUFFERED_BYTES`].
pub(crate) async fn buffer_body<N: Node>(
    request: &mut ActiveRequest<N>,
    source: &mut ResponseSource<N>,
) -> BufferedBody {
    let mut rest = BytesMut::new();
    let mut first = Bytes::new();
    loop {
        match request.next_body_event(&mut source.body).await {
            BodyEvent::Chunk(bytes) if first.is_empty() && rest.is_empty() => first = bytes,
            BodyEvent::Chunk(bytes) => {
                rest.extend_from_slice(&std::mem::take(&mut first));
                rest.extend_from_slice(&bytes);
            }
            BodyEvent::End => return BufferedBody::Complete(join_chunks(first, rest)),
            BodyEvent::Truncated(ended_by) => return BufferedBody::Truncated(ended_by),
        }
        if first.len() + rest.len() > MAX_BUFFERED_BYTES {
            return BufferedBody::OverLimit(join_chunks(first, rest));
        }
    }
}

/// Joins the buffered chunks; a single chunk is not copied.
fn join_chunks(first: Bytes, rest: BytesMut) -> Bytes {
    if rest.is_empty() {
        first
    } else {
        rest.freeze()
    }
}

/// Turns the head of an endpoint's response into the head for the client.
pub(crate) fn client_head(mut head: Parts) -> Parts {
    http_headers::strip_hop_by_hop(&mut head.headers);
    // The version of the client's connection. In HTTP/1.0 a response without a length would end with the connection, and
    // look complete if it is truncated.
    head.version = Version::HTTP_11;
    if matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    ) {
        head.headers.remove(CONTENT_LENGTH);
    }
    head
}

/// Returns the client's response for a completely buffered endpoint response.
pub(crate) fn buffered_response<N: Node>(
    request: &ActiveRequest<N>,
    response: EndpointResponse<N>,
    body: Bytes,
    client: &Rc<ClientConnection>,
) -> Response<ClientBody> {
    let EndpointResponse { head, mut source } = response;
    source.in_flight.finish(outcome_of_complete(head.status));
    source.body.return_connection(&request.shared);
    Response::from_parts(client_head(head), ClientBody::complete(body, client))
}

/// Returns the client's response for an endpoint response whose rest is forwarded as it arrives.
pub(crate) fn streamed_response<N: Node>(
    request: Box<ActiveRequest<N>>,
    response: EndpointResponse<N>,
    beginning: Bytes,
    client: &Rc<ClientConnection>,
) -> Response<ClientBody> {
    let EndpointResponse { head, source } = response;
    let status = head.status;
    let length = stated_length(&head.headers);
    let slot = ChunkSlot::default();
    let relay = BodyRelay {
        request,
        source,
        status,
        remaining_bytes: length,
        slot: slot.clone(),
    };
    let body = ClientBody::produced(relay.run(beginning), slot, length, client);
    Response::from_parts(client_head(head), body)
}

/// Returns the outcome of a complete response with this status.
fn outcome_of_complete(status: StatusCode) -> Outcome {
    if status.is_server_error() {
        Outcome::Failed
    } else {
        Outcome::Served { tokens_out: 0 }
    }
}

/// Returns the `Content-Length` of a response.
fn stated_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Forwards the rest of a response.
struct BodyRelay<N: Node> {
    request: Box<ActiveRequest<N>>,
    source: ResponseSource<N>,
    status: StatusCode,
    /// Bytes still to be forwarded, if the response states its length.
    remaining_bytes: Option<u64>,
    slot: ChunkSlot,
}

impl<N: Node> BodyRelay<N> {
    async fn run(mut self, beginning: Bytes) -> Result<(), TruncatedResponse> {
        let mut chunk = beginning;
        loop {
            let chunk_bytes = chunk.len() as u64;
            self.remaining_bytes = self
                .remaining_bytes
                .map(|remaining| remaining.saturating_sub(chunk_bytes));
            // This future is not polled again after the last byte: the last chunk is forwarded after all other steps.
            if self.remaining_bytes == Some(0) {
                break;
            }
            self.slot.put(chunk).await;
            chunk = match self.request.next_body_event(&mut self.source.body).await {
                BodyEvent::Chunk(bytes) => bytes,
                BodyEvent::End => {
                    chunk = Bytes::new();
                    break;
                }
                BodyEvent::Truncated(ended_by) => return self.truncate(ended_by),
            };
        }
        if self.remaining_bytes == Some(0) {
            match self.request.next_body_event(&mut self.source.body).await {
                BodyEvent::End => {}
                BodyEvent::Truncated(ended_by) => return self.truncate(ended_by),
                BodyEvent::Chunk(_) => return self.truncate(EndedBy::Proxy),
            }
        }
        let BodyRelay {
            request,
            mut source,
            status,
            slot,
            ..
        } = self;
        source.in_flight.finish(outcome_of_complete(status));
        source.body.return_connection(&request.shared);
        slot.put(chunk).await;
        Ok(())
    }

    fn truncate(self, ended_by: EndedBy) -> Result<(), TruncatedResponse> {
        self.source.fail(ended_by);
        Err(TruncatedResponse)
    }
}
