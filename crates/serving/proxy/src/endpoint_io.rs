//! What the HTTP library reads and writes on an endpoint connection: the request's body, and the socket, with how much
//! of the request has been written.
//!
//! Counted at the socket, below the HTTP library's buffers: only bytes that were written can have reached the endpoint.

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

/// A socket, with how much of the present request has been written.
pub(crate) struct Transport {
    stream: RefCell<TokioIo<MonitoredStream>>,
    tracker: Cell<SendTracker>,
    peer_timeout: Cell<Duration>,
}

impl Transport {
    /// Over a socket whose unacknowledged bytes end it after `peer_timeout`.
    pub(crate) fn new(stream: TcpStream, peer_timeout: Duration) -> Rc<Transport> {
        Rc::new(Transport {
            stream: RefCell::new(TokioIo::new(MonitoredStream::new(stream))),
            tracker: Cell::new(SendTracker::of_request(0)),
            peer_timeout: Cell::new(peer_timeout),
        })
    }

    /// A request with so many bytes of body is to be written next.
    pub(crate) fn begin_request(&self, body_bytes: u64) {
        self.tracker.set(SendTracker::of_request(body_bytes));
    }

    /// How long the other side may leave bytes unacknowledged, or unread.
    pub(crate) fn set_peer_timeout(&self, peer_timeout: Duration) {
        if self.peer_timeout.replace(peer_timeout) != peer_timeout {
            let stream = self.stream.borrow();
            let set =
                SockRef::from(stream.inner().socket()).set_tcp_user_timeout(Some(peer_timeout));
            set.unwrap_or_else(|error| log::debug!("peer timeout: {error}"));
        }
    }

    /// How much of the present request was written.
    pub(crate) fn progress(&self) -> SendProgress {
        self.tracker.get().progress()
    }

    /// Who ended the connection, as far as a read or write has met the end.
    pub(crate) fn ended_by(&self) -> EndedBy {
        self.stream.borrow().inner().ended_by()
    }

    /// Whether the operating system has neither bytes nor an end of the connection to be read.
    pub(crate) fn is_quiet(&self) -> bool {
        let stream = self.stream.borrow();
        let peeked = SockRef::from(stream.inner().socket()).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    fn track(&self, change: impl FnOnce(&mut SendTracker)) {
        let mut tracker = self.tracker.get();
        change(&mut tracker);
        self.tracker.set(tracker);
    }
}

/// The body of a request to an endpoint.
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

/// The side of a transport that the HTTP library reads and writes.
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
        // hyper flushes once all that it had buffered is written.
        self.0.track(SendTracker::record_flushed);
        self.poll(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<IoResult<()>> {
        self.poll(|stream| stream.poll_shutdown(cx))
    }
}
