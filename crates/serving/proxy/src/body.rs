//! The bodies of clients' requests: had whole before any server is asked, bounded in length, memory and time.

use crate::limit::TimeLimit;
use crate::memory::Room;
use crate::refusal::Refusal;
use bytes::{Bytes, BytesMut};
use http_body::Body;
use hyper::body::Incoming;
use std::future::poll_fn;
use std::pin::Pin;
use tokio::time::{timeout, Duration};

/// The most bytes of a body that are read only to be dropped, so that its connection can go on.
const MOST_DISCARDED: usize = 256 * 1024;
/// How long they are waited for.
const DISCARD_TIME: Duration = Duration::from_millis(300);

/// The body of a client's request, whole.
pub(crate) async fn collect(
    mut body: Incoming,
    most: usize,
    limit: &mut TimeLimit,
    room: &mut Room,
) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let stated = body.size_hint().lower();
    if stated > most as u64 {
        return Err(Refusal::TooLarge);
    }
    room.take(stated as usize)?;
    let mut pieces = Pieces::new(stated as usize);
    loop {
        let next = limit
            .bound(poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)))
            .await;
        let frame = match next {
            None => return Err(Refusal::Slow),
            Some(None) => return Ok(pieces.join()),
            Some(Some(Err(_))) => return Err(Refusal::Malformed),
            Some(Some(Ok(frame))) => frame,
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if pieces.len + bytes.len() > most {
            return Err(Refusal::TooLarge);
        }
        let beyond = (pieces.len + bytes.len()).saturating_sub(pieces.reserved);
        room.take(beyond)?;
        pieces.reserved += beyond;
        pieces.add(bytes);
    }
}

/// A body as it comes; copied only if it comes in several pieces.
struct Pieces {
    first: Bytes,
    more: BytesMut,
    len: usize,
    reserved: usize,
}

impl Pieces {
    fn new(reserved: usize) -> Pieces {
        Pieces {
            first: Bytes::new(),
            more: BytesMut::new(),
            len: 0,
            reserved,
        }
    }

    fn add(&mut self, bytes: Bytes) {
        let is_first = self.len == 0;
        self.len += bytes.len();
        if is_first {
            self.first = bytes;
            return;
        }
        if self.more.is_empty() {
            self.more.reserve(self.reserved.max(self.len));
            self.more
                .extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.more.extend_from_slice(&bytes);
    }

    fn join(self) -> Bytes {
        if self.more.is_empty() {
            self.first
        } else {
            self.more.freeze()
        }
    }
}

/// Reads a body that nobody wants; false where it is too long or too slow for that.
pub(crate) async fn discard(mut body: Incoming) -> bool {
    if body.is_end_stream() {
        return true;
    }
    let read_off = async {
        let mut left = MOST_DISCARDED;
        while let Some(frame) = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await {
            let bytes = frame.ok()?.into_data().map_or(0, |bytes| bytes.len());
            left = left.checked_sub(bytes)?;
        }
        Some(())
    };
    matches!(timeout(DISCARD_TIME, read_off).await, Ok(Some(())))
}
