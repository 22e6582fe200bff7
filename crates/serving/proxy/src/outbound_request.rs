//! The request that is sent to endpoints.

use crate::body_memory::MemoryReservation;
use crate::http_headers;
use bytes::Bytes;
use dunespur_routing::Ticket;
use http::header::CONTENT_LENGTH;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Uri};
use smallvec::SmallVec;

/// The parts of a request that are the same for every endpoint.
pub(crate) struct OutboundRequest {
    pub(crate) method: Method,
    uri: Uri,
    headers: HeaderMap,
    pub(crate) body_chunks: SmallVec<[Bytes; 1]>,
    /// Keeps the memory of the body reserved.
    _memory: MemoryReservation,
}

impl OutboundRequest {
    /// Creates the request from the client's head and this body, without the client connection's hop-by-hop headers.
    pub(crate) fn new(
        head: Parts,
        body_chunks: SmallVec<[Bytes; 1]>,
        memory: MemoryReservation,
    ) -> OutboundRequest {
        let Parts {
            method,
            uri,
            mut headers,
            ..
        } = head;
        http_headers::prepare_request(&mut headers);
        let is_empty = body_chunks.iter().all(Bytes::is_empty);
        if is_empty && matches!(method, Method::POST | Method::PUT | Method::PATCH) {
            headers.insert(CONTENT_LENGTH, HeaderValue::from_static("0"));
        }
        OutboundRequest {
            method,
            uri: origin_form(uri),
            headers,
            body_chunks,
            _memory: memory,
        }
    }

    /// Makes further sends request only the events after `last_event_id`.
    pub(crate) fn resume_after(&mut self, last_event_id: u64) {
        self.headers.insert(
            http_headers::LAST_EVENT_ID,
            http_headers::number_value(last_event_id),
        );
    }

    /// Returns the head for one endpoint, with `remaining_ms` until the deadline.
    pub(crate) fn head_for(&self, ticket: &Ticket, remaining_ms: u64) -> Request<()> {
        let mut head = Request::new(());
        *head.method_mut() = self.method.clone();
        *head.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        headers.insert(
            http_headers::DEADLINE,
            http_headers::number_value(remaining_ms.max(1)),
        );
        if let Ok(id) = HeaderValue::from_str(&ticket.server.id) {
            headers.insert(http_headers::EXPECT_INSTANCE, id);
        }
        if let Some(priority) = ticket.engine_priority {
            headers.insert(
                http_headers::PRIORITY,
                http_headers::number_value(u64::from(priority)),
            );
        }
        *head.headers_mut() = headers;
        head
    }
}

/// Strips scheme and authority from a request target, so that path and query remain (RFC 9112 section 3.2.1).
fn origin_form(uri: Uri) -> Uri {
    if uri.authority().is_none() {
        return uri;
    }
    uri.path_and_query()
        .map(|path| Uri::from(path.clone()))
        .unwrap_or_default()
}
