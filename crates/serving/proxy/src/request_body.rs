//! Reads the bodies of client requests, bounded in length, memory and time.
//!
//! The whole body is read before an endpoint is chosen: a slow client must not occupy an endpoint, and only a buffered
//! body can be sent again.

use crate::body_memory::MemoryReservation;
use crate::deadline::RequestDeadline;
use crate::rejection::Rejection;
use bytes::{Bytes, BytesMut};
use http_body::Body;
use hyper::body::Incoming;
use std::future::poll_fn;
use std::pin::Pin;
use tokio::time::{timeout, Duration};

/// The most bytes of an unwanted body that are read and discarded, so that its connection can be used again.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// The longest that discarding a body may take.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(300);

/// Reads the whole body of a client's request.
pub(crate) async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    deadline: &mut RequestDeadline,
    memory: &mut MemoryReservation,
) -> Result<Bytes, Rejection> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let stated_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated_bytes > max_bytes {
        return Err(Rejection::BodyTooLarge);
    }
    memory.grow(stated_bytes)?;
    let mut buffer = BodyBuffer::new(stated_bytes);
    loop {
        let next = deadline
            .limit(poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)))
            .await;
        let frame = match next {
            None => return Err(Rejection::RequestTimeout),
            Some(None) => return Ok(buffer.into_bytes()),
            Some(Some(Err(_))) => return Err(Rejection::Malformed),
            Some(Some(Ok(frame))) => frame,
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if buffer.len + bytes.len() > max_bytes {
            return Err(Rejection::BodyTooLarge);
        }
        let additional_bytes = (buffer.len + bytes.len()).saturating_sub(buffer.reserved_bytes);
        memory.grow(additional_bytes)?;
        buffer.reserved_bytes += additional_bytes;
        buffer.push(bytes);
    }
}

/// Collects the chunks of a body; copies them only if there are several.
struct BodyBuffer {
    first: Bytes,
    rest: BytesMut,
    len: usize,
    /// Bytes reserved for this body in its [`MemoryReservation`].
    reserved_bytes: usize,
}

impl BodyBuffer {
    fn new(reserved_bytes: usize) -> BodyBuffer {
        BodyBuffer {
            first: Bytes::new(),
            rest: BytesMut::new(),
            len: 0,
            reserved_bytes,
        }
    }

    fn push(&mut self, bytes: Bytes) {
        let is_first = self.len == 0;
        self.len += bytes.len();
        if is_first {
            self.first = bytes;
            return;
        }
        if self.rest.is_empty() {
            self.rest.reserve(self.reserved_bytes.max(self.len));
            self.rest
                .extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.rest.extend_from_slice(&bytes);
    }

    fn into_bytes(self) -> Bytes {
        if self.rest.is_empty() {
            self.first
        } else {
            self.rest.freeze()
        }
    }
}

/// Whether an unwanted body was read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiscardResult {
    /// The whole body was read: the connection can be used again.
    Complete,
    /// The body is too long, too slow or broken: the connection has to close.
    Partial,
}

/// Reads and discards the body of a request that was rejected because of its head, before the body was read.
pub(crate) async fn discard_body(mut body: Incoming) -> DiscardResult {
    if body.is_end_stream() {
        return DiscardResult::Complete;
    }
    let read_all = async {
        let mut remaining = MAX_DISCARDED_BYTES;
        while let Some(frame) = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await {
            let bytes = frame.ok()?.into_data().map_or(0, |bytes| bytes.len());
            remaining = remaining.checked_sub(bytes)?;
        }
        Some(())
    };
    match timeout(DISCARD_TIMEOUT, read_all).await {
        Ok(Some(())) => DiscardResult::Complete,
        Ok(None) | Err(_) => DiscardResult::Partial,
    }
}
