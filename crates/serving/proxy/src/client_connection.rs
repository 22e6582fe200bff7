//! A client's connection: how far it has come with its present message, and how it closes.
//!
//! hyper owns the protocol and tells neither when a head begins nor when a response is written. [`ClientIo`] sees both
//! at the socket, so that the server can expire clients that make no progress.

use crate::clock::Clock;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{IoSlice, Result as IoResult};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{timeout, Duration};

/// How long bytes of a rejected request are read and dropped behind its response.
const DRAIN_UNREAD_TIMEOUT: Duration = Duration::from_secs(1);
/// The most of them; nothing beyond is read.
const MAX_UNREAD_BYTES: usize = 1024 * 1024;
/// The response to a head that does not arrive in time.
const SLOW_HEAD_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// How far a connection has come with its present message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Between messages.
    Idle { since_ms: u64 },
    /// The head of a message has begun.
    ReadingHead { since_ms: u64 },
    /// A request is being handled.
    Handling,
    /// Its response is being written, and given up then.
    Responding { until_ms: u64 },
    /// The response has been handed to the HTTP library completely, and is being written.
    Flushing { until_ms: u64 },
}

impl Stage {
    /// What is to be done about it, by the time that has passed.
    pub(crate) fn due(self, now_ms: u64, header_timeout_ms: u64, idle_timeout_ms: u64) -> Command {
        match self {
            Stage::Idle { since_ms } if now_ms >= since_ms + idle_timeout_ms => Command::Close,
            Stage::ReadingHead { since_ms } if now_ms >= since_ms + header_timeout_ms => {
                Command::RejectSlowHead
            }
            Stage::Responding { until_ms } | Stage::Flushing { until_ms } if now_ms >= until_ms => {
                Command::Abort
            }
            _ => Command::Continue,
        }
    }
}

/// What the server wants of the connection's task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Go on.
    Continue,
    /// Close as soon as no message is being handled.
    Close,
    /// Respond that the message came too slowly, and close.
    RejectSlowHead,
    /// Close now.
    Abort,
}

/// Shared by its task, by what the HTTP library reads and writes, and by the server, which may close it.
pub(crate) struct ClientConnection {
    stream: RefCell<TokioIo<TcpStream>>,
    stage: Cell<Stage>,
    command: Cell<Command>,
    /// Its request was rejected with bytes of it unread.
    rejected_unread: Cell<bool>,
    /// The command has changed.
    changed: Notify,
}

impl ClientConnection {
    pub(crate) fn new(stream: TcpStream, now_ms: u64) -> Rc<ClientConnection> {
        Rc::new(ClientConnection {
            stream: RefCell::new(TokioIo::new(stream)),
            stage: Cell::new(Stage::Idle { since_ms: now_ms }),
            command: Cell::new(Command::Continue),
            rejected_unread: Cell::new(false),
            changed: Notify::new(),
        })
    }

    pub(crate) fn stage(&self) -> Stage {
        self.stage.get()
    }

    pub(crate) fn set_stage(&self, stage: Stage) {
        self.stage.set(stage);
    }

    pub(crate) fn last_command(&self) -> Command {
        self.command.get()
    }

    /// Commands its task; a command is never taken back.
    pub(crate) fn command(&self, command: Command) {
        if self.command.get() == Command::Continue || command == Command::Abort {
            self.command.set(command);
            self.changed.notify_one();
        }
    }

    /// Ready once there is a new command.
    pub(crate) async fn commanded(&self) {
        self.changed.notified().await;
    }

    /// The response says that the request was rejected before all of it was read.
    pub(crate) fn reject_unread(&self) {
        self.rejected_unread.set(true);
    }

    /// Whether it closes with its present response.
    pub(crate) fn is_closing(&self) -> bool {
        self.rejected_unread.get() || self.command.get() != Command::Continue
    }

    /// The response has been handed over completely.
    pub(crate) fn finish_response(&self) {
        if let Stage::Responding { until_ms } = self.stage.get() {
            self.stage.set(Stage::Flushing { until_ms });
        }
    }

    /// Whether bytes of a next message have arrived that were not read yet.
    pub(crate) fn has_unread(&self) -> bool {
        let stream = self.stream.borrow();
        SockRef::from(stream.inner())
            .peek(&mut [MaybeUninit::uninit()])
            .is_ok_and(|bytes| bytes > 0)
    }

    /// Responds that the message came too slowly.
    pub(crate) async fn respond_slow_head(&self) {
        self.rejected_unread.set(true);
        let mut remaining = SLOW_HEAD_RESPONSE;
        let write = poll_fn(|cx| loop {
            let mut stream = self.stream.borrow_mut();
            match ready!(Pin::new(stream.inner_mut()).poll_write(cx, remaining)) {
                Ok(written) if written > 0 => remaining = &remaining[written..],
                _ => return Poll::Ready(()),
            }
            if remaining.is_empty() {
                return Poll::Ready(());
            }
        });
        let _ = timeout(DRAIN_UNREAD_TIMEOUT, write).await;
    }

    /// Closes it in order. Behind a rejection the end is sent first, then what still comes is read and dropped: a close
    /// over unread bytes would be a reset, which takes the rejection with it (RFC 9112 section 9.6). Otherwise
    /// nothing more is read: a request that comes now is unread, and its client may send it again.
    pub(crate) async fn close(&self) {
        if !self.rejected_unread.get() {
            return;
        }
        let shutdown =
            poll_fn(|cx| Pin::new(self.stream.borrow_mut().inner_mut()).poll_shutdown(cx));
        if shutdown.await.is_ok() {
            let _ = timeout(DRAIN_UNREAD_TIMEOUT, self.drain_unread()).await;
        }
    }

    async fn drain_unread(&self) {
        let (mut bytes, mut remaining) = ([0; 4096], MAX_UNREAD_BYTES);
        while remaining > 0 {
            let read = poll_fn(|cx| self.poll_bytes(cx, &mut bytes)).await;
            if read == 0 {
                return;
            }
            remaining = remaining.saturating_sub(read);
        }
    }

    /// How many bytes were read; 0 at the end, orderly or not.
    fn poll_bytes(&self, cx: &mut Context, bytes: &mut [u8]) -> Poll<usize> {
        let mut buffer = ReadBuf::new(bytes);
        let mut stream = self.stream.borrow_mut();
        let read = ready!(Pin::new(stream.inner_mut()).poll_read(cx, &mut buffer));
        Poll::Ready(read.map_or(0, |()| buffer.filled().len()))
    }
}

/// The side of a client's connection that the HTTP library reads and writes; it notes when a message begins and when a
/// response has been written.
pub(crate) struct ClientIo {
    pub(crate) client: Rc<ClientConnection>,
    pub(crate) clock: Rc<Clock>,
}

impl ClientIo {
    fn poll<T>(
        &self,
        poll: impl FnOnce(Pin<&mut TokioIo<TcpStream>>) -> Poll<IoResult<T>>,
    ) -> Poll<IoResult<T>> {
        poll(Pin::new(&mut *self.client.stream.borrow_mut()))
    }
}

impl Read for ClientIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buffer: ReadBufCursor,
    ) -> Poll<IoResult<()>> {
        ready!(self.poll(|stream| stream.poll_read(cx, buffer)))?;
        if let Stage::Idle { .. } = self.client.stage.get() {
            let since_ms = self.clock.now_ms();
            self.client.stage.set(Stage::ReadingHead { since_ms });
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for ClientIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<IoResult<usize>> {
        self.poll(|stream| stream.poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        slices: &[IoSlice],
    ) -> Poll<IoResult<usize>> {
        self.poll(|stream| stream.poll_write_vectored(cx, slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<IoResult<()>> {
        ready!(self.poll(|stream| stream.poll_flush(cx)))?;
        // hyper flushes once all that it had buffered is written.
        if let Stage::Flushing { .. } = self.client.stage.get() {
            let since_ms = self.clock.now_ms();
            self.client.stage.set(Stage::Idle { since_ms });
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<IoResult<()>> {
        self.poll(|stream| stream.poll_shutdown(cx))
    }
}

#[cfg(test)]
mod tests;
