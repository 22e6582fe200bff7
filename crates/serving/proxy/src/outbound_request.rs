//! The request that is sent, whichever endpoint gets it.

use crate::body_memory::MemoryReservation;
use crate::http_headers;
use bytes::Bytes;
use dunespur_routing::Ticket;
use http::header::CONTENT_LENGTH;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Uri};
use smallvec::SmallVec;

/// What all endpoints get alike.
pub(crate) struct OutboundRequest {
    pub(crate) method: Method,
    uri: Uri,
    headers: HeaderMap,
    pub(crate) body_chunks: SmallVec<[Bytes; 1]>,
    /// What the body takes of the memory for all.
    _memory: MemoryReservation,
}

impl OutboundRequest {
    /// The client's request with this body, without what concerned only the client's connection.
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

    /// From now on only the events behind this one are requested.
    pub(crate) fn resume_after(&mut self, last_event_id: u64) {
        self.headers.insert(
            http_headers::LAST_EVENT_ID,
            http_headers::number(last_event_id),
        );
    }

    /// The head for one endpoint, which has so much time left.
    pub(crate) fn head_for(&self, ticket: &Ticket, remaining_ms: u64) -> Request<()> {
        let mut head = Request::new(());
        *head.method_mut() = self.method.clone();
        *head.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        headers.insert(
            http_headers::DEADLINE,
            http_headers::number(remaining_ms.max(1)),
        );
        if let Ok(id) = HeaderValue::from_str(&ticket.server.id) {
            headers.insert(http_headers::EXPECT_INSTANCE, id);
        }
        if let Some(priority) = ticket.engine_priority {
            headers.insert(
                http_headers::PRIORITY,
                http_headers::number(u64::from(priority)),
            );
        }
        *head.headers_mut() = headers;
        head
    }
}

/// Path and query as they came, without scheme and host (RFC 9112 section 3.2.1).
fn origin_form(uri: Uri) -> Uri {
    if uri.authority().is_none() {
        return uri;
    }
    uri.path_and_query()
        .map(|path| Uri::from(path.clone()))
        .unwrap_or_default()
}
