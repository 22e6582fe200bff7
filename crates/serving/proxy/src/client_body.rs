//! The body of a response to a client: complete in memory, or produced chunk by chunk while the client reads it.
//!
//! A producer is polled only when the client's connection can take more, so that a slow client slows its endpoint down
//! instead of filling memory.

use crate::client_connection::ClientConnection;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use thiserror::Error;

/// A response that can't be finished: its connection closes, so that it looks as truncated as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the response can't be finished")]
pub(crate) struct Truncated;

/// Where a producer hands over the chunks of a response, one at a time.
#[derive(Clone, Default)]
pub(crate) struct ChunkSlot(Rc<RefCell<Option<Bytes>>>);

impl ChunkSlot {
    /// Hands a chunk over; goes on once it is taken.
    pub(crate) async fn put(&self, chunk: Bytes) {
        if chunk.is_empty() {
            return;
        }
        *self.0.borrow_mut() = Some(chunk);
        // No waker is needed: whoever takes the chunk polls the producer again for the next one.
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

type Producer = Pin<Box<dyn Future<Output = Result<(), Truncated>>>>;

enum State {
    Complete(Bytes),
    Producing {
        producer: Producer,
        slot: ChunkSlot,
        length: Option<u64>,
    },
    /// What was handed over is written first, then the response ends truncated.
    Truncating(Truncated),
    Finished,
}

/// The body of a response to a client.
pub(crate) struct ClientBody {
    state: State,
    client: Rc<ClientConnection>,
}

impl ClientBody {
    pub(crate) fn complete(bytes: Bytes, client: &Rc<ClientConnection>) -> ClientBody {
        let state = if bytes.is_empty() {
            State::Finished
        } else {
            State::Complete(bytes)
        };
        ClientBody {
            state,
            client: client.clone(),
        }
    }

    /// One whose chunks `producer` puts into `slot`; `length` in bytes, where it is known.
    pub(crate) fn produced(
        producer: impl Future<Output = Result<(), Truncated>> + 'static,
        slot: ChunkSlot,
        length: Option<u64>,
        client: &Rc<ClientConnection>,
    ) -> ClientBody {
        let state = State::Producing {
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
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match producer.as_mut().poll(cx) {
            Poll::Ready(Ok(())) => return Poll::Ready(None),
            Poll::Ready(Err(truncated)) => {
                self.state = State::Truncating(truncated);
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            Poll::Pending => {}
        }
        let chunk = slot.take();
        self.state = State::Producing {
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
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match std::mem::replace(&mut self.state, State::Finished) {
            State::Finished => Poll::Ready(None),
            State::Complete(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            State::Truncating(truncated) => Poll::Ready(Some(Err(truncated))),
            State::Producing {
                producer,
                slot,
                length,
            } => self.poll_producer(producer, slot, length, cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.state, State::Finished)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.state {
            State::Finished => SizeHint::with_exact(0),
            State::Complete(bytes) => SizeHint::with_exact(bytes.len() as u64),
            State::Producing {
                length: Some(length),
                ..
            } => SizeHint::with_exact(*length),
            State::Producing { length: None, .. } | State::Truncating(_) => SizeHint::default(),
        }
    }
}

impl Drop for ClientBody {
    fn drop(&mut self) {
        self.client.finish_response();
    }
}
