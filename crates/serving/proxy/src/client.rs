//! A client's connection: how far it has come with its present message, and how it ends.

use crate::clock::Clock;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{IoSlice, Result as Io};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{timeout, Duration};

/// How long bytes of a refused request are read off behind its answer.
const READ_OFF_TIME: Duration = Duration::from_secs(1);
/// The most of them; nothing beyond is read.
const MOST_READ_OFF: usize = 1024 * 1024;
/// The answer to a head that does not come whole.
const SLOW_HEAD: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// How far a connection has come with its present message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Between messages.
    Resting { since_ms: u64 },
    /// The head of a message has begun.
    Coming { since_ms: u64 },
    /// A request is in hand.
    InHand,
    /// Its answer is being written, and given up then.
    Answering { until_ms: u64 },
    /// The answer has been handed over whole, and is being written.
    Finishing { until_ms: u64 },
}

impl Stage {
    /// What is to be done about it, by the time that has passed.
    pub(crate) fn due(self, now_ms: u64, header_timeout_ms: u64, idle_timeout_ms: u64) -> Order {
        match self {
            Stage::Resting { since_ms } if now_ms >= since_ms + idle_timeout_ms => Order::Leave,
            Stage::Coming { since_ms } if now_ms >= since_ms + header_timeout_ms => Order::TooSlow,
            Stage::Answering { until_ms } | Stage::Finishing { until_ms } if now_ms >= until_ms => {
                Order::Cut
            }
            _ => Order::Stay,
        }
    }
}

/// What its task is told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// Go on.
    Stay,
    /// End as soon as no message is in hand.
    Leave,
    /// Answer that the message came too slowly, and end.
    TooSlow,
    /// End now.
    Cut,
}

/// Shared by its task, by what hyper reads and writes, and by whoever may end it.
pub(crate) struct Client {
    stream: RefCell<TokioIo<TcpStream>>,
    stage: Cell<Stage>,
    order: Cell<Order>,
    /// Its request was refused with bytes of it unread.
    refused_unread: Cell<bool>,
    /// The order has changed.
    changed: Notify,
}

impl Client {
    pub(crate) fn new(stream: TcpStream, now_ms: u64) -> Rc<Client> {
        Rc::new(Client {
            stream: RefCell::new(TokioIo::new(stream)),
            stage: Cell::new(Stage::Resting { since_ms: now_ms }),
            order: Cell::new(Order::Stay),
            refused_unread: Cell::new(false),
            changed: Notify::new(),
        })
    }

    pub(crate) fn stage(&self) -> Stage {
        self.stage.get()
    }

    pub(crate) fn set_stage(&self, stage: Stage) {
        self.stage.set(stage);
    }

    pub(crate) fn order(&self) -> Order {
        self.order.get()
    }

    /// Tells its task; an order is never taken back.
    pub(crate) fn tell(&self, order: Order) {
        if self.order.get() == Order::Stay || order == Order::Cut {
            self.order.set(order);
            self.changed.notify_one();
        }
    }

    pub(crate) async fn told(&self) {
        self.changed.notified().await;
    }

    /// The answer says that the request was refused before it was read whole.
    pub(crate) fn refuse_unread(&self) {
        self.refused_unread.set(true);
    }

    /// Whether it ends with its present answer.
    pub(crate) fn is_ending(&self) -> bool {
        self.refused_unread.get() || self.order.get() != Order::Stay
    }

    /// The whole answer has been handed over.
    pub(crate) fn answer_over(&self) {
        if let Stage::Answering { until_ms } = self.stage.get() {
            self.stage.set(Stage::Finishing { until_ms });
        }
    }

    /// Whether bytes of a next message lie there that were not read yet.
    pub(crate) fn has_unread(&self) -> bool {
        let stream = self.stream.borrow();
        SockRef::from(stream.inner())
            .peek(&mut [MaybeUninit::uninit()])
            .is_ok_and(|bytes| bytes > 0)
    }

    /// Says that the message came too slowly.
    pub(crate) async fn answer_slow(&self) {
        self.refused_unread.set(true);
        let mut left = SLOW_HEAD;
        let write = poll_fn(|cx| loop {
            let mut stream = self.stream.borrow_mut();
            match ready!(Pin::new(stream.inner_mut()).poll_write(cx, left)) {
                Ok(written) if written > 0 => left = &left[written..],
                _ => return Poll::Ready(()),
            }
            if left.is_empty() {
                return Poll::Ready(());
            }
        });
        let _ = timeout(READ_OFF_TIME, write).await;
    }

    /// Ends it in order. Behind a refusal the end is sent first, then what still comes is read off and dropped: a
    /// close over unread bytes would be a reset, which takes the refusal with it. Otherwise nothing more is read:
    /// a request that comes now is unread, and its client may send it again.
    pub(crate) async fn end(&self) {
        if !self.refused_unread.get() {
            return;
        }
        let ended = poll_fn(|cx| Pin::new(self.stream.borrow_mut().inner_mut()).poll_shutdown(cx));
        if ended.await.is_ok() {
            let _ = timeout(READ_OFF_TIME, self.read_off()).await;
        }
    }

    async fn read_off(&self) {
        let (mut bytes, mut left) = ([0; 4096], MOST_READ_OFF);
        while left > 0 {
            let read = poll_fn(|cx| self.poll_bytes(cx, &mut bytes)).await;
            if read == 0 {
                return;
            }
            left = left.saturating_sub(read);
        }
    }

    /// The next bytes; 0 at the end, orderly or not.
    fn poll_bytes(&self, cx: &mut Context, bytes: &mut [u8]) -> Poll<usize> {
        let mut buffer = ReadBuf::new(bytes);
        let mut stream = self.stream.borrow_mut();
        let read = ready!(Pin::new(stream.inner_mut()).poll_read(cx, &mut buffer));
        Poll::Ready(read.map_or(0, |()| buffer.filled().len()))
    }
}

/// What hyper reads and writes; notes when a message begins and when an answer is out.
pub(crate) struct Wire {
    pub(crate) client: Rc<Client>,
    pub(crate) clock: Rc<Clock>,
}

impl Wire {
    fn poll<T>(&self, f: impl FnOnce(Pin<&mut TokioIo<TcpStream>>) -> Poll<Io<T>>) -> Poll<Io<T>> {
        f(Pin::new(&mut *self.client.stream.borrow_mut()))
    }
}

impl Read for Wire {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buffer: ReadBufCursor) -> Poll<Io<()>> {
        ready!(self.poll(|stream| stream.poll_read(cx, buffer)))?;
        if let Stage::Resting { .. } = self.client.stage.get() {
            self.client.stage.set(Stage::Coming {
                since_ms: self.clock.now_ms(),
            });
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<Io<usize>> {
        self.poll(|stream| stream.poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        slices: &[IoSlice],
    ) -> Poll<Io<usize>> {
        self.poll(|stream| stream.poll_write_vectored(cx, slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Io<()>> {
        ready!(self.poll(|stream| stream.poll_flush(cx)))?;
        // Hyper flushes when all that it held has been written.
        if let Stage::Finishing { .. } = self.client.stage.get() {
            self.client.stage.set(Stage::Resting {
                since_ms: self.clock.now_ms(),
            });
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Io<()>> {
        self.poll(|stream| stream.poll_shutdown(cx))
    }
}

#[cfg(test)]
mod tests;
