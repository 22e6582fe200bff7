//! The state of a client connection: the progress of its current message, and how it closes.
//!
//! hyper handles the protocol but does not report when a request head begins or when a response has been written.
//! [`ClientIo`] observes both at the socket, so that the server can expire clients that make no progress.

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

/// How long the unread bytes of a rejected request are read and discarded after its response. Also limits writing the
/// response to a slow head.
const DRAIN_UNREAD_TIMEOUT: Duration = Duration::from_secs(1);
/// The most unread bytes of a rejected request that are discarded.
const MAX_UNREAD_BYTES: usize = 1024 * 1024;
/// The response to a request head that does not arrive in time.
const SLOW_HEAD_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// The progress of a connection's current message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Between messages.
    Idle { since_ms: u64 },
    /// The head of a request is arriving.
    ReadingHead { since_ms: u64 },
    /// A request is being handled.
    Handling,
    /// The response is being written, and is aborted at the given time.
    Responding { abort_at_ms: u64 },
    /// The HTTP library has all of the response and is still writing it; aborted at the given time.
    Flushing { abort_at_ms: u64 },
}

impl Stage {
    /// Returns the command for a connection that has been in this stage until `now_ms`.
    pub(crate) fn overdue_command(
        self,
        now_ms: u64,
        header_timeout_ms: u64,
        idle_timeout_ms: u64,
    ) -> Command {
        match self {
            Stage::Idle { since_ms } if now_ms >= since_ms + idle_timeout_ms => Command::Close,
            Stage::ReadingHead { since_ms } if now_ms >= since_ms + header_timeout_ms => {
                Command::RejectSlowHead
            }
            Stage::Responding { abort_at_ms } | Stage::Flushing { abort_at_ms }
                if now_ms >= abort_at_ms =>
            {
                Command::Abort
            }
            _ => Command::Continue,
        }
    }
}

/// A command of the server to a connection's task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Keep serving.
    Continue,
    /// Close as soon as no request is being handled.
    Close,
    /// Respond with a 408 to the slow request head, and close.
    RejectSlowHead,
    /// Close at once.
    Abort,
}

/// A client connection, shared by its task, its [`ClientIo`] and the server.
pub(crate) struct ClientConnection {
    stream: RefCell<TokioIo<TcpStream>>,
    stage: Cell<Stage>,
    command: Cell<Command>,
    /// Whether a request was rejected before all of it was read.
    has_unread_rejection: Cell<bool>,
    /// Notified when the command changes.
    command_changed: Notify,
}

impl ClientConnection {
    pub(crate) fn new(stream: TcpStream, now_ms: u64) -> Rc<ClientConnection> {
        Rc::new(ClientConnection {
            stream: RefCell::new(TokioIo::new(stream)),
            stage: Cell::new(Stage::Idle { since_ms: now_ms }),
            command: Cell::new(Command::Continue),
            has_unread_rejection: Cell::new(false),
            command_changed: Notify::new(),
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

    /// Sends a command to the connection's task. Commands are never withdrawn; only `Abort` replaces an earlier one.
    pub(crate) fn send_command(&self, command: Command) {
        if self.command.get() == Command::Continue || command == Command::Abort {
            self.command.set(command);
            self.command_changed.notify_one();
        }
    }

    /// Waits for a new command.
    pub(crate) async fn command_received(&self) {
        self.command_changed.notified().await;
    }

    /// Records that a request was rejected before all of it was read.
    pub(crate) fn record_unread_rejection(&self) {
        self.has_unread_rejection.set(true);
    }

    /// Whether the connection closes after the current response.
    pub(crate) fn is_closing(&self) -> bool {
        self.has_unread_rejection.get() || self.command.get() != Command::Continue
    }

    /// Records that the HTTP library has taken all of the response.
    pub(crate) fn finish_response(&self) {
        if let Stage::Responding { abort_at_ms } = self.stage.get() {
            self.stage.set(Stage::Flushing { abort_at_ms });
        }
    }

    /// Whether the operating system holds bytes of a further request that were not read yet.
    pub(crate) fn has_unread_bytes(&self) -> bool {
        let stream = self.stream.borrow();
        SockRef::from(stream.inner())
            .peek(&mut [MaybeUninit::uninit()])
            .is_ok_and(|bytes| bytes > 0)
    }

    /// Responds with a 408 to a request head that did not arrive in time.
    pub(crate) async fn respond_slow_head(&self) {
        self.has_unread_rejection.set(true);
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

    /// Closes the connection. After the rejection of a partly read request, shuts down the write side first, then reads
    /// and discards the rest: closing with unread bytes would reset the connection and lose the response (RFC 9112
    /// section 9.6). Otherwise nothing more is read; a request that arrives now was not read, so the client may retry.
    pub(crate) async fn close(&self) {
        if !self.has_unread_rejection.get() {
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

    /// Returns the number of bytes read; 0 at the end of the stream and after an error.
    fn poll_bytes(&self, cx: &mut Context, bytes: &mut [u8]) -> Poll<usize> {
        let mut buffer = ReadBuf::new(bytes);
        let mut stream = self.stream.borrow_mut();
        let read = ready!(Pin::new(stream.inner_mut()).poll_read(cx, &mut buffer));
        Poll::Ready(read.map_or(0, |()| buffer.filled().len()))
    }
}

/// The I/O half of a client connection that the HTTP library uses. It records when a request head begins and when a
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
        // hyper flushes the socket once its write buffer is empty.
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
