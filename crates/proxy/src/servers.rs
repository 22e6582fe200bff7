//! Connections to servers: one request at a time on each, kept for the next where that is safe.
//!
//! A connection has no task of its own. Whoever waits for an answer drives it, and whoever stops waiting drops it,
//! which closes its socket at once.

use crate::clock::Clock;
use crate::hop;
use bytes::Bytes;
use dunespur_routing::{Server, ServerId};
use http::{Request, Response};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use smallvec::SmallVec;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::io::{ErrorKind, IoSlice, Result as Io};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{timeout, Duration};

/// A connection that has not come up by then does not: its server is unreachable.
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Bytes that the other side has not acknowledged for so long end the connection. Guards against a machine
/// without power or behind a cut, which says nothing.
const USER_TIMEOUT: Duration = Duration::from_millis(1000);
/// A connection rests for so long between an answer and the next request. Guards against a second copy of the
/// answer, some milliseconds late: it would stand in the place of the next one.
const REST_MS: u64 = 10;
/// A stated idle time is used up to so much before its end: the server counts from its last byte, and the next
/// request takes its way.
const IDLE_MARGIN_MS: u64 = 500;
/// The longest that a connection stays idle, whatever the server states.
const MOST_IDLE_MS: u64 = 10_000;
/// The longest that one stays idle whose server states no time: it is below the second that could be stated.
const UNSTATED_IDLE_MS: u64 = 700;
/// The longest that one may have rested for a request that can't be repeated. Guards against a connection that
/// the server has given up meanwhile: the request might have run, and could go nowhere else.
const MOST_FRESH_MS: u64 = 5_000;
/// The same where the server states no idle time.
const UNSTATED_FRESH_MS: u64 = 100;
/// Idle connections kept to one server.
const MOST_IDLE_OF_SERVER: usize = 16;
/// Headers of an answer.
const MOST_HEADERS: usize = 256;

/// Why no answer came over a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No connection came up.
    Unreachable,
    /// All connections that this process may have are in use.
    NoConnectionLeft,
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

    /// Whether the other side has said nothing since, not even that it ends. Asks the machine: guards against
    /// news that the event loop has not looked at yet.
    fn is_quiet(&self) -> bool {
        let stream = self.stream.borrow();
        let peeked = SockRef::from(stream.inner()).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
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
    idle_since_ms: u64,
    idle_for_ms: Option<u64>,
    _place: Place,
}

impl Link {
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
    fn is_ready(&mut self) -> bool {
        // Its news concern nobody until it is used again.
        drive(&mut self.connection, &mut Context::from_waker(Waker::noop()));
        self.connection.is_some() && self.sender.is_ready()
    }

    /// How long it may stay idle.
    fn may_idle_ms(&self) -> u64 {
        let stated = self.idle_for_ms.map(|stated| stated.saturating_sub(IDLE_MARGIN_MS));
        stated.unwrap_or(UNSTATED_IDLE_MS).min(MOST_IDLE_MS)
    }

    /// How long it may have rested for a request that can't be repeated.
    fn fresh_for_ms(&self) -> u64 {
        let bound = if self.idle_for_ms.is_some() { MOST_FRESH_MS } else { UNSTATED_FRESH_MS };
        self.may_idle_ms().min(bound)
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

/// All connections to servers.
pub(crate) struct Servers {
    most: usize,
    open: Rc<Cell<usize>>,
    opened: Cell<u64>,
    idle: RefCell<HashMap<ServerId, Vec<Link>>>,
}

/// One of the connections that there may be.
struct Place(Rc<Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Servers {
    pub(crate) fn new(most: usize) -> Servers {
        Servers { most, open: Rc::default(), opened: Cell::new(0), idle: RefCell::default() }
    }

    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// A kept connection that is safe for the request, the one used last first.
    pub(crate) fn kept(&self, server: &Server, idempotent: bool, clock: &Clock) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&server.id)?;
        let now = clock.now_ms();
        loop {
            let at = links.iter().rposition(|link| now - link.idle_since_ms >= REST_MS)?;
            let mut link = links.remove(at);
            let rested = now - link.idle_since_ms;
            let bound = if idempotent { link.may_idle_ms() } else { link.fresh_for_ms() };
            if rested >= bound {
                if rested < link.may_idle_ms() {
                    links.insert(at, link);
                }
                return None;
            }
            if link.is_ready() && (idempotent || link.line.is_quiet()) {
                return Some(link);
            }
        }
    }

    /// A new connection.
    pub(crate) async fn connect(&self, server: &Server) -> Result<Link, Fault> {
        if self.open.get() >= self.most && !self.close_oldest() {
            return Err(Fault::NoConnectionLeft);
        }
        self.open.set(self.open.get() + 1);
        self.opened.set(self.opened.get() + 1);
        let place = Place(self.open.clone());
        let stream = match timeout(CONNECT_TIME, dial(server.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                log::debug!("server {} at {}: {error}", server.id, server.address);
                return Err(Fault::Unreachable);
            }
            Err(_) => return Err(Fault::Unreachable),
        };
        let line = Rc::new(Line {
            stream: RefCell::new(TokioIo::new(stream)),
            written: Cell::new(false),
            body_taken: Cell::new(false),
            whole: Cell::new(false),
        });
        let mut builder = http1::Builder::new();
        builder.max_headers(MOST_HEADERS);
        let handshake = builder.handshake(Wire(line.clone())).await;
        let (sender, connection) = handshake.map_err(|_| Fault::Unreachable)?;
        Ok(Link {
            server: server.id.clone(),
            line,
            sender,
            connection: Some(Box::new(connection)),
            idle_since_ms: 0,
            idle_for_ms: None,
            _place: place,
        })
    }

    /// Keeps a connection after a whole answer, unless something speaks against it.
    pub(crate) fn keep(&self, mut link: Link, answer: &KeepTerms, clock: &Clock) {
        if answer.closes || !link.sent_whole() || !link.is_ready() {
            return;
        }
        link.idle_since_ms = clock.now_ms();
        link.idle_for_ms = answer.idle_for_ms;
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(link.server.clone()).or_default();
        if links.len() >= MOST_IDLE_OF_SERVER {
            links.remove(0);
        }
        links.push(link);
    }

    /// Closes what has stood idle for so long that the server might close it first, and what has ended.
    pub(crate) fn sweep(&self, now_ms: u64) {
        self.idle.borrow_mut().retain(|_, links| {
            links.retain_mut(|link| now_ms - link.idle_since_ms < link.may_idle_ms() && link.is_ready());
            !links.is_empty()
        });
    }

    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest =
            idle.values_mut().filter(|links| !links.is_empty()).min_by_key(|links| links[0].idle_since_ms);
        match oldest {
            Some(links) => {
                links.remove(0);
                true
            }
            None => false,
        }
    }
}

/// What an answer says about its connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeepTerms {
    closes: bool,
    idle_for_ms: Option<u64>,
}

impl KeepTerms {
    pub(crate) fn read(headers: &http::HeaderMap) -> KeepTerms {
        KeepTerms { closes: hop::says_close(headers), idle_for_ms: hop::keep_alive_ms(headers) }
    }
}

async fn dial(address: SocketAddr) -> Io<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    SockRef::from(&socket).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_nodelay(true)?;
    socket.connect(address).await
}
