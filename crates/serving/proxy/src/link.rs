//! A connection to a server: one request at a time, driven by whoever waits for the answer.

use crate::disposition::{AnswerKind, Attempt, EndedBy, Framing, Received, Sent};
use crate::progress::Progress;
use crate::watched_stream::WatchedStream;
use bytes::Bytes;
use dunespur_routing::ServerId;
use http::{Request, Response};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use smallvec::SmallVec;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::io::{ErrorKind, IoSlice, Result as Io};
use std::mem::MaybeUninit;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use tokio::net::TcpStream;
use tokio::time::{sleep, Duration};

/// What is read ahead of an answer, its head above all, and written ahead of what the server takes.
const BUFFER: usize = 64 * 1024;
/// Bytes that the other side has not acknowledged for so long end the connection. Guards against a machine without
/// power or behind a cut, which says nothing.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
/// The body of a request up to this length finds room at its server whether that reads it or not. Of a longer one a part
/// waits here until the server reads on, and the system takes a server that leaves it unread for one that is gone: it
/// has as long as the request.
const MOST_UNREAD: u64 = 32 * 1024;
/// Headers of an answer.
const MOST_HEADERS: usize = 160;

/// Why no connection came up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// Nobody listens there, or nobody answered in time.
    Unreachable,
    /// All connections that this process may have are in use.
    NoConnectionLeft,
    /// The server ended it as soon as it had come up: it has too many.
    TurnedAway,
    /// The time of the request was over first.
    TimeUp,
}

/// The body of a request to a server.
pub(crate) struct Outgoing {
    pieces: smallvec::IntoIter<[Bytes; 1]>,
    left: u64,
    line: Rc<Line>,
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(piece) = self.pieces.find(|piece| !piece.is_empty()) else {
            return Poll::Ready(None);
        };
        self.left -= piece.len() as u64;
        if self.left == 0 {
            self.line.change(Progress::note_body_taken);
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

/// A socket, with what has gone out of the present request.
struct Line {
    stream: RefCell<TokioIo<WatchedStream>>,
    progress: Cell<Progress>,
    peer_timeout: Cell<Duration>,
}

impl Line {
    /// How long the other side may leave bytes unacknowledged, or unread.
    fn set_peer_timeout(&self, peer_timeout: Duration) {
        if self.peer_timeout.replace(peer_timeout) != peer_timeout {
            let stream = self.stream.borrow();
            let set =
                SockRef::from(stream.inner().stream()).set_tcp_user_timeout(Some(peer_timeout));
            set.unwrap_or_else(|error| log::debug!("peer timeout: {error}"));
        }
    }

    fn change(&self, change: impl FnOnce(&mut Progress)) {
        let mut progress = self.progress.get();
        change(&mut progress);
        self.progress.set(progress);
    }
}

/// What hyper reads and writes.
struct Wire(Rc<Line>);

impl Wire {
    fn poll<T>(
        &self,
        f: impl FnOnce(Pin<&mut TokioIo<WatchedStream>>) -> Poll<Io<T>>,
    ) -> Poll<Io<T>> {
        f(Pin::new(&mut *self.0.stream.borrow_mut()))
    }
}

impl Read for Wire {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buffer: ReadBufCursor) -> Poll<Io<()>> {
        self.poll(|stream| stream.poll_read(cx, buffer))
    }
}

impl Write for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<Io<usize>> {
        let written = ready!(self.poll(|stream| stream.poll_write(cx, bytes)))?;
        self.0
            .change(|progress| progress.note_written(&bytes[..written]));
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        slices: &[IoSlice],
    ) -> Poll<Io<usize>> {
        let written = ready!(self.poll(|stream| stream.poll_write_vectored(cx, slices)))?;
        let mut left = written;
        for slice in slices {
            let bytes = &slice[..left.min(slice.len())];
            left -= bytes.len();
            self.0.change(|progress| progress.note_written(bytes));
        }
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Io<()>> {
        // Hyper flushes when all that it held has been written.
        self.0.change(Progress::note_flushed);
        self.poll(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Io<()>> {
        self.poll(|stream| stream.poll_shutdown(cx))
    }
}

/// A connection to one server.
pub(crate) struct Link {
    server: ServerId,
    line: Rc<Line>,
    sender: http1::SendRequest<Outgoing>,
    /// None once it has ended.
    connection: Option<Box<http1::Connection<Wire, Outgoing>>>,
    _place: Place,
}

/// One of the connections that there may be.
pub(crate) struct Place(Rc<Cell<usize>>);

impl Place {
    pub(crate) fn new(open: &Rc<Cell<usize>>) -> Place {
        open.set(open.get() + 1);
        Place(open.clone())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Link {
    pub(crate) async fn new(
        server: ServerId,
        stream: TcpStream,
        place: Place,
    ) -> Result<Link, ConnectError> {
        let line = Rc::new(Line {
            stream: RefCell::new(TokioIo::new(WatchedStream::new(stream))),
            progress: Cell::new(Progress::of_request(0)),
            peer_timeout: Cell::new(PEER_TIMEOUT),
        });
        let mut builder = http1::Builder::new();
        builder.max_headers(MOST_HEADERS).max_buf_size(BUFFER);
        let handshake = builder.handshake(Wire(line.clone())).await;
        let (sender, connection) = handshake.map_err(|_| ConnectError::Unreachable)?;
        Ok(Link {
            server,
            line,
            sender,
            connection: Some(Box::new(connection)),
            _place: place,
        })
    }

    /// Whether it stays open for a moment after it has come up.
    pub(crate) async fn settles(&mut self, moment: Duration) -> bool {
        let mut moment = pin!(sleep(moment));
        poll_fn(|cx| {
            drive(&mut self.connection, cx);
            if self.connection.is_none() {
                return Poll::Ready(false);
            }
            moment.as_mut().poll(cx).map(|()| true)
        })
        .await
    }

    pub(crate) fn server(&self) -> &ServerId {
        &self.server
    }

    /// Whether the other side has said nothing since the last answer, not even that it ends. Asks the machine:
    /// guards against news that the event loop has not looked at yet.
    pub(crate) fn is_quiet(&self) -> bool {
        let stream = self.line.stream.borrow();
        let peeked = SockRef::from(stream.inner().stream()).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// How much of the present request was written.
    pub(crate) fn sent(&self) -> Sent {
        self.line.progress.get().sent()
    }

    /// Who ended it, as far as a read or write has met the end.
    pub(crate) fn ended_by(&self) -> EndedBy {
        self.line.stream.borrow().inner().ended_by()
    }

    /// Sends a request, whose time is over after `time_left`, and waits for the head of its answer.
    pub(crate) async fn exchange(
        &mut self,
        head: Request<()>,
        pieces: SmallVec<[Bytes; 1]>,
        time_left: Duration,
    ) -> Result<Response<Incoming>, Attempt> {
        let left = pieces.iter().map(|piece| piece.len() as u64).sum();
        self.line.progress.set(Progress::of_request(left));
        let is_long = left > MOST_UNREAD;
        self.line.set_peer_timeout(if is_long {
            time_left.max(PEER_TIMEOUT)
        } else {
            PEER_TIMEOUT
        });
        let body = Outgoing {
            pieces: pieces.into_iter(),
            left,
            line: self.line.clone(),
        };
        let mut answer = pin!(self.sender.send_request(head.map(|()| body)));
        let connection = &mut self.connection;
        let answered = poll_fn(|cx| {
            drive(connection, cx);
            answer.as_mut().poll(cx)
        });
        answered.await.map_err(|error| self.failed(&error))
    }

    /// The attempt that ended with this error before the head of an answer.
    fn failed(&self, error: &hyper::Error) -> Attempt {
        log::debug!("server {}: {error}", self.server);
        let received = if error.is_parse() {
            Received::PartOfAnswer {
                kind: AnswerKind::NotOurs,
                framing: Framing::Delimited,
                passed_on: false,
            }
        } else {
            Received::Nothing
        };
        let ended_by = match self.ended_by() {
            EndedBy::Nobody => EndedBy::Proxy,
            other => other,
        };
        Attempt {
            sent: self.sent(),
            received,
            ended_by,
        }
    }

    /// The next bytes of the answer's body; None at its end.
    pub(crate) fn poll_body(
        &mut self,
        body: &mut Incoming,
        cx: &mut Context,
    ) -> Poll<Option<Result<Bytes, hyper::Error>>> {
        loop {
            drive(&mut self.connection, cx);
            match Pin::new(&mut *body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(bytes) => return Poll::Ready(Some(Ok(bytes))),
                    Err(_trailers) => continue,
                },
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(error))),
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    /// Whether it stands ready for a request.
    pub(crate) fn is_ready(&mut self) -> bool {
        // Its news concern nobody until it is used again.
        drive(
            &mut self.connection,
            &mut Context::from_waker(Waker::noop()),
        );
        self.connection.is_some() && self.sender.is_ready()
    }
}

/// Lets a connection go on; takes it out once it has ended.
fn drive(connection: &mut Option<Box<http1::Connection<Wire, Outgoing>>>, cx: &mut Context) {
    let ended = connection
        .as_mut()
        .is_some_and(|connection| Pin::new(connection).poll(cx).is_ready());
    if ended {
        // A request that it has not begun to write gets its end only by this.
        *connection = None;
    }
}
