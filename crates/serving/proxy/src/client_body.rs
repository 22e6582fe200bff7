//! The body of a response to a client: either complete in memory, or produced chunk by chunk as the client reads it.
//!
//! A producer is polled only when the client connection can take more bytes: a slow client slows its endpoint down
//! instead of filling the proxy's memory.

use crate::client_connection::ClientConnection;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use thiserror::Error;

/// A response that cannot be completed. Its client connection closes, so that the client sees the truncation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the response is truncated")]
pub(crate) struct TruncatedResponse;

/// Passes the chunks of a response from its producer to its body, one at a time.
#[derive(Clone, Default)]
pub(crate) struct ChunkSlot(Rc<RefCell<Option<Bytes>>>);

impl ChunkSlot {
    /// Puts a chunk into the slot and waits until the body has taken it. Skips empty chunks.
    pub(crate) async fn put(&self, chunk: Bytes) {
        if chunk.is_empty() {
            return;
        }
        *self.0.borrow_mut() = Some(chunk);
        // No waker is needed: the body polls the producer again for the next chunk.
        poll_fn(|_| {
            if self.0.borrow().is_none() {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }

    fn take(&self) -> Option<Bytes> {
        self.0.borrow_mut().take()
    }
}

type Producer = Pin<Box<dyn Future<Output = Result<(), TruncatedResponse>>>>;

enum BodyState {
    Complete(Bytes),
    Producing {
        producer: Producer,
        slot: ChunkSlot,
        length: Option<u64>,
    },
    /// The producer has failed: the bytes so far are written, then the body ends with the error.
    Truncating(TruncatedResponse),
    Finished,
}

/// The body of a response to a client.
pub(crate) struct ClientBody {
    state: BodyState,
    client: Rc<ClientConnection>,
}

impl ClientBody {
    pub(crate) fn complete(bytes: Bytes, client: &Rc<ClientConnection>) -> ClientBody {
        let state = if bytes.is_empty() {
            BodyState::Finished
        } else {
            BodyState::Complete(bytes)
        };
        ClientBody {
            state,
            client: client.clone(),
        }
    }

    /// Creates a body whose chunks `producer` puts into `slot`. `length` is in bytes, if it is known.
    pub(crate) fn produced(
        producer: impl Future<Output = Result<(), TruncatedResponse>> + 'static,
        slot: ChunkSlot,
        length: Option<u64>,
        client: &Rc<ClientConnection>,
    ) -> ClientBody {
        let state = BodyState::Producing {
            producer: Box::pin(producer),
            slot,
            length,
        };
        ClientBody {
            state,
            client: client.clone(),
        }
    }

    fn poll_producer(
        &mut self,
        mut producer: Producer,
        slot: ChunkSlot,
        length: Option<u64>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        match producer.as_mut().poll(cx) {
            Poll::Ready(Ok(())) => return Poll::Ready(None),
            Poll::Ready(Err(truncated)) => {
                self.state = BodyState::Truncating(truncated);
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            Poll::Pending => {}
        }
        let chunk = slot.take();
        self.state = BodyState::Producing {
            producer,
            slot,
            length,
        };
        match chunk {
            Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            None => Poll::Pending,
        }
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        match std::mem::replace(&mut self.state, BodyState::Finished) {
            BodyState::Finished => Poll::Ready(None),
            BodyState::Complete(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            BodyState::Truncating(truncated) => Poll::Ready(Some(Err(truncated))),
            BodyState::Producing {
                producer,
                slot,
                length,
            } => self.poll_producer(producer, slot, length, cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.state, BodyState::Finished)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.state {
            BodyState::Finished => SizeHint::with_exact(0),
            BodyState::Complete(bytes) => SizeHint::with_exact(bytes.len() as u64),
            BodyState::Producing {
                length: Some(length),
                ..
            } => SizeHint::with_exact(*length),
            BodyState::Producing { length: None, .. } | BodyState::Truncating(_) => {
                SizeHint::default()
            }
        }
    }
}

impl Drop for ClientBody {
    fn drop(&mut self) {
        self.client.finish_response();
    }
}
