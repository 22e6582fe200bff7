//! The bodies of clients' requests: read completely before any endpoint is chosen, bounded in length, memory and time.
//!
//! Read first, as a slow client would otherwise occupy an endpoint, and as only a buffered body can be sent again.

use crate::body_memory::MemoryReservation;
use crate::deadline::RequestDeadline;
use crate::rejection::Rejection;
use bytes::{Bytes, BytesMut};
use http_body::Body;
use hyper::body::Incoming;
use std::future::poll_fn;
use std::pin::Pin;
use tokio::time::{timeout, Duration};

/// The most bytes of a body that are read only to be dropped, so that its connection can go on.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// How long they are waited for.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(300);

/// Reads all of a client's body.
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
            .bound(poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)))
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
        let beyond = (buffer.len + bytes.len()).saturating_sub(buffer.reserved);
        memory.grow(beyond)?;
        buffer.reserved += beyond;
        buffer.push(bytes);
    }
}

/// A body as it arrives; copied only if it arrives in several chunks.
struct BodyBuffer {
    first: Bytes,
    rest: BytesMut,
    len: usize,
    reserved: usize,
}

impl BodyBuffer {
    fn new(reserved: usize) -> BodyBuffer {
        BodyBuffer {
            first: Bytes::new(),
            rest: BytesMut::new(),
            len: 0,
            reserved,
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
            self.rest.reserve(self.reserved.max(self.len));
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

/// Whether a body that nobody wants could be read off its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Discarded {
    /// All of it was read: the connection can go on.
    Completely,
    /// It is too long or too slow for that.
    InPart,
}

/// Reads a body that nobody wants.
pub(crate) async fn discard_body(mut body: Incoming) -> Discarded {
    if body.is_end_stream() {
        return Discarded::Completely;
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
        Ok(Some(())) => Discarded::Completely,
        Ok(None) | Err(_) => Discarded::InPart,
    }
}
