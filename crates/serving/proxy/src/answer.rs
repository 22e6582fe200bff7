//! The body of an answer to a client: whole in memory, or made piece by piece while the client reads it.

use crate::client::Client;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// An answer that can't be finished: its connection ends, so that it looks as broken as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("the answer can't be finished")
    }
}

impl std::error::Error for Broken {}

/// Where the pieces of an answer are handed over, one at a time.
#[derive(Clone, Default)]
pub(crate) struct Outlet(Rc<RefCell<Option<Bytes>>>);

impl Outlet {
    /// Hands a piece over; goes on once it is taken.
    pub(crate) async fn put(&self, piece: Bytes) {
        if piece.is_empty() {
            return;
        }
        *self.0.borrow_mut() = Some(piece);
        // Taking it polls this anew.
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

type Pump = Pin<Box<dyn Future<Output = Result<(), Broken>>>>;

enum Source {
    Whole(Bytes),
    Pumped {
        pump: Pump,
        outlet: Outlet,
        length: Option<u64>,
    },
    /// What was handed over is written first, then the answer ends broken.
    Breaking(Broken),
    Over,
}

/// The body of an answer.
pub(crate) struct AnswerBody {
    source: Source,
    client: Rc<Client>,
}

impl AnswerBody {
    pub(crate) fn whole(bytes: Bytes, client: &Rc<Client>) -> AnswerBody {
        let source = if bytes.is_empty() {
            Source::Over
        } else {
            Source::Whole(bytes)
        };
        AnswerBody {
            source,
            client: client.clone(),
        }
    }

    /// One whose pieces `pump` puts into `outlet`; `length` in bytes, where it is known.
    pub(crate) fn pumped(
        pump: impl Future<Output = Result<(), Broken>> + 'static,
        outlet: Outlet,
        length: Option<u64>,
        client: &Rc<Client>,
    ) -> AnswerBody {
        let source = Source::Pumped {
            pump: Box::pin(pump),
            outlet,
            length,
        };
        AnswerBody {
            source,
            client: client.clone(),
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match std::mem::replace(&mut self.source, Source::Over) {
            Source::Over => Poll::Ready(None),
            Source::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Source::Breaking(broken) => Poll::Ready(Some(Err(broken))),
            Source::Pumped {
                mut pump,
                outlet,
                length,
            } => {
                let polled = pump.as_mut().poll(cx);
                match polled {
                    Poll::Ready(Ok(())) => return Poll::Ready(None),
                    Poll::Ready(Err(broken)) => {
                        self.source = Source::Breaking(broken);
                        cx.waker().wake_by_ref();
                        return Poll::Pending;
                    }
                    Poll::Pending => {}
                }
                let piece = outlet.take();
                self.source = Source::Pumped {
                    pump,
                    outlet,
                    length,
                };
                match piece {
                    Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                    None => Poll::Pending,
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, Source::Over)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Over => SizeHint::with_exact(0),
            Source::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Source::Pumped {
                length: Some(length),
                ..
            } => SizeHint::with_exact(*length),
            Source::Pumped { length: None, .. } | Source::Breaking(_) => SizeHint::default(),
        }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.client.answer_over();
    }
}
