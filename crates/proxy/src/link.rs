//! A connection to a server: one request at a time, driven by whoever waits for the answer.

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
use std::task::{Context, Poll, Waker};
use tokio::net::TcpStream;
use tokio::time::{sleep, Duration};

/// What is read ahead of an answer, its head above all, and written ahead of what the server takes.
const BUFFER: usize = 64 * 1024;
/// Headers of an answer.
const MOST_HEADERS: usize = 160;

/// Why no answer came over a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No connection came up.
    Unreachable,
    /// All connections that this process may have are in use.
    NoConnectionLeft,
    /// The server ended it as soon as it had come up: it has too many.
    TurnedAway,
    /// It ended before the request was written whole, so the request has not run.
    Unsent,
    /// It ended after that.
    Broken,
    /// Nothing came in time, and the request was written whole.
    Silent,
    /// What came is no answer.
    Spoilt,
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
        let Some(piece) = self.pieces.find(|piece| !piece.is_empty()) else { return Poll::Ready(None) };
        self.left -= piece.len() as u64;
        self.line.body_taken.set(self.left == 0);
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
    stream: RefCell<TokioIo<TcpStream>>,
    written: Cell<bool>,
    body_taken: Cell<bool>,
    whole: Cell<bool>,
}

impl Line {
    fn begin(&self, body_left: u64) {
        self.written.set(false);
        self.body_taken.set(body_left == 0);
        self.whole.set(false);
    }
}

/// What hyper reads and writes.
struct Wire(Rc<Line>);

impl Wire {
    fn poll<T>(&self, f: impl FnOnce(Pin<&mut TokioIo<TcpStream>>) -> Poll<Io<T>>) -> Poll<Io<T>> {
        f(Pin::new(&mut *self.0.stream.borrow_mut()))
    }

    fn note_written(&self, written: &Poll<Io<usize>>) {
        if matches!(written, Poll::Ready(Ok(bytes)) if *bytes > 0) {
            self.0.written.set(true);
        }
    }
}

impl Read for Wire {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buffer: ReadBufCursor) -> Poll<Io<()>> {
        self.poll(|stream| stream.poll_read(cx, buffer))
    }
}

impl Write for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<Io<usize>> {
        let written = self.poll(|stream| stream.poll_write(cx, bytes));
        self.note_written(&written);
        written
    }

    fn poll_write_vectored(self: Pin<&mut Self>, cx: &mut Context, slices: &[IoSlice]) -> Poll<Io<usize>> {
        let written = self.poll(|stream| stream.poll_write_vectored(cx, slices));
        self.note_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Io<()>> {
        // Hyper flushes when all that it held has been written.
        if self.0.written.get() && self.0.body_taken.get() {
            self.0.whole.set(true);
        }
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
    pub(crate) async fn new(server: ServerId, stream: TcpStream, place: Place) -> Result<Link, Fault> {
        let line = Rc::new(Line {
            stream: RefCell::new(TokioIo::new(stream)),
            written: Cell::new(false),
            body_taken: Cell::new(false),
            whole: Cell::new(false),
        });
        let mut builder = http1::Builder::new();
        builder.max_headers(MOST_HEADERS).max_buf_size(BUFFER);
        let handshake = builder.handshake(Wire(line.clone())).await;
        let (sender, connection) = handshake.map_err(|_| Fault::Unreachable)?;
        Ok(Link { server, line, sender, connection: Some(Box::new(connection)), _place: place })
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
        let peeked = SockRef::from(stream.inner()).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the present request was written whole, so that it may run.
    pub(crate) fn sent_whole(&self) -> bool {
        self.line.whole.get()
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn exchange(
        &mut self,
        head: Request<()>,
        pieces: SmallVec<[Bytes; 1]>,
    ) -> Result<Response<Incoming>, Fault> {
        let left = pieces.iter().map(|piece| piece.len() as u64).sum();
        self.line.begin(left);
        let body = Outgoing { pieces: pieces.into_iter(), left, line: self.line.clone() };
        let mut answer = pin!(self.sender.send_request(head.map(|()| body)));
        let connection = &mut self.connection;
        let answered = poll_fn(|cx| {
            drive(connection, cx);
            answer.as_mut().poll(cx)
        });
        answered.await.map_err(|error| self.fault(&error))
    }

    fn fault(&self, error: &hyper::Error) -> Fault {
        log::debug!("server {}: {error}", self.server);
        if !self.sent_whole() {
            return Fault::Unsent;
        }
        if error.is_parse() {
            Fault::Spoilt
        } else {
            Fault::Broken
        }
    }

    /// The next bytes of the answer's body; None at its end.
    pub(crate) fn poll_body(
        &mut self,
        body: &mut Incoming,
        cx: &mut Context,
    ) -> Poll<Option<Result<Bytes, Fault>>> {
        loop {
            drive(&mut self.connection, cx);
            match Pin::new(&mut *body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(bytes) => return Poll::Ready(Some(Ok(bytes))),
                    Err(_trailers) => continue,
                },
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(self.fault(&error)))),
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    /// Whether it stands ready for a request.
    pub(crate) fn is_ready(&mut self) -> bool {
        // Its news concern nobody until it is used again.
        drive(&mut self.connection, &mut Context::from_waker(Waker::noop()));
        self.connection.is_some() && self.sender.is_ready()
    }
}

/// Lets a connection go on; takes it out once it has ended.
fn drive(connection: &mut Option<Box<http1::Connection<Wire, Outgoing>>>, cx: &mut Context) {
    let ended = connection.as_mut().is_some_and(|connection| Pin::new(connection).poll(cx).is_ready());
    if ended {
        // A request that it has not begun to write gets its end only by this.
        *connection = None;
    }
}
