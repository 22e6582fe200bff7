//! The I/O of an endpoint connection that the HTTP library uses: the request's body and the socket.
//!
//! Tracks at the socket, below the HTTP library's buffers, how much of the request was written: only bytes written to
//! the socket can have reached the endpoint.

use crate::classification::{EndedBy, SendProgress};
use crate::monitored_stream::MonitoredStream;
use crate::send_tracker::SendTracker;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use smallvec::SmallVec;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io::{ErrorKind, IoSlice, Result as IoResult};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::net::TcpStream;
use tokio::time::Duration;

/// The socket of an endpoint connection, with the send progress of its current request.
pub(crate) struct Transport {
    stream: RefCell<TokioIo<MonitoredStream>>,
    tracker: Cell<SendTracker>,
    peer_timeout: Cell<Duration>,
}

impl Transport {
    /// Wraps a socket whose TCP user timeout is already `peer_timeout`.
    pub(crate) fn new(stream: TcpStream, peer_timeout: Duration) -> Rc<Transport> {
        Rc::new(Transport {
            stream: RefCell::new(TokioIo::new(MonitoredStream::new(stream))),
            tracker: Cell::new(SendTracker::new(0)),
            peer_timeout: Cell::new(peer_timeout),
        })
    }

    /// Resets the send progress for a request with `body_bytes` of body.
    pub(crate) fn begin_request(&self, body_bytes: u64) {
        self.tracker.set(SendTracker::new(body_bytes));
    }

    /// Sets how long the endpoint may leave bytes unacknowledged or unread (the TCP user timeout).
    pub(crate) fn set_peer_timeout(&self, peer_timeout: Duration) {
        if self.peer_timeout.replace(peer_timeout) != peer_timeout {
            let stream = self.stream.borrow();
            let set =
                SockRef::from(stream.inner().socket()).set_tcp_user_timeout(Some(peer_timeout));
            set.unwrap_or_else(|error| {
                log::debug!("setting the TCP user timeout to {peer_timeout:?} failed: {error}");
            });
        }
    }

    /// Returns how much of the current request has been written.
    pub(crate) fn progress(&self) -> SendProgress {
        self.tracker.get().progress()
    }

    /// Returns who ended the connection, as far as a read or write has noticed it.
    pub(crate) fn ended_by(&self) -> EndedBy {
        self.stream.borrow().inner().ended_by()
    }

    /// Whether the operating system has neither bytes nor an end of the stream to read.
    pub(crate) fn has_nothing_to_read(&self) -> bool {
        let stream = self.stream.borrow();
        let peeked = SockRef::from(stream.inner().socket()).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    fn track(&self, update: impl FnOnce(&mut SendTracker)) {
        let mut tracker = self.tracker.get();
        update(&mut tracker);
        self.tracker.set(tracker);
    }
}

/// The body of a request to an endpoint, which records when its last chunk is taken.
pub(crate) struct OutboundBody {
    chunks: smallvec::IntoIter<[Bytes; 1]>,
    remaining_bytes: u64,
    transport: Rc<Transport>,
}

impl OutboundBody {
    pub(crate) fn new(
        chunks: SmallVec<[Bytes; 1]>,
        remaining_bytes: u64,
        transport: Rc<Transport>,
    ) -> OutboundBody {
        OutboundBody {
            chunks: chunks.into_iter(),
            remaining_bytes,
            transport,
        }
    }
}

impl Body for OutboundBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(chunk) = self.chunks.find(|chunk| !chunk.is_empty()) else {
            return Poll::Ready(None);
        };
        self.remaining_bytes -= chunk.len() as u64;
        if self.remaining_bytes == 0 {
            self.transport.track(SendTracker::record_body_taken);
        }
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining_bytes)
    }
}

/// The I/O half of a transport that the HTTP library uses.
pub(crate) struct TransportIo(pub(crate) Rc<Transport>);

impl TransportIo {
    fn poll<T>(
        &self,
        poll: impl FnOnce(Pin<&mut TokioIo<MonitoredStream>>) -> Poll<IoResult<T>>,
    ) -> Poll<IoResult<T>> {
        poll(Pin::new(&mut *self.0.stream.borrow_mut()))
    }
}

impl Read for TransportIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buffer: ReadBufCursor,
    ) -> Poll<IoResult<()>> {
        self.poll(|stream| stream.poll_read(cx, buffer))
    }
}

impl Write for TransportIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<IoResult<usize>> {
        let written = ready!(self.poll(|stream| stream.poll_write(cx, bytes)))?;
        self.0
            .track(|tracker| tracker.record_written(&bytes[..written]));
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        slices: &[IoSlice],
    ) -> Poll<IoResult<usize>> {
        let written = ready!(self.poll(|stream| stream.poll_write_vectored(cx, slices)))?;
        let mut remaining = written;
        for slice in slices {
            let bytes = &slice[..remaining.min(slice.len())];
            remaining -= bytes.len();
            self.0.track(|tracker| tracker.record_written(bytes));
        }
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<IoResult<()>> {
        // hyper flushes the socket once its write buffer is empty.
        self.0.track(SendTracker::record_flushed);
        self.poll(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<IoResult<()>> {
        self.poll(|stream| stream.poll_shutdown(cx))
    }
}
