//! The clients' side: a tower service over hyper, `/-/ready` included. Owns the listener, the connections
//! of clients and the answers they wait for. It must never end a connection that has an invocation in hand
//! without its answer, and never hold an invocation by itself.

use crate::fault::Fault;
use crate::hub::Hub;
use crate::message::{decode_asked, encode_fault, encode_reply, plain, Reply, MOST_BODY, READY};
use crate::reducer::Event;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::io::{ErrorKind, Result as Io};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};

/// Time for the rest of a message to arrive once its connection is to end, in seconds.
const PARTIAL_MESSAGE_GRACE_S: f64 = 0.1;
/// Time for a message to arrive completely, from the connection's opening or the message's first byte, in seconds.
const MESSAGE_TIMEOUT_S: f64 = 2.0;
/// A response may still be written for so long after its client's deadline; then nobody reads it. Seconds.
const WRITE_GRACE_S: f64 = 0.5;
/// Time that a connection which has shut down its sending side waits for the client to close; what arrives is discarded.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The listener, and an idle connection, stay open for so long after the last that arrived once they are to close: long
/// enough for the kernel to report all that it has accepted.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(5);
/// Connections wait in the kernel's backlog for so long until the first endpoint list has arrived: much longer than
/// discovery takes, much shorter than clients wait.
const FIRST_LIST_WAIT: Duration = Duration::from_millis(200);
/// Bytes discarded behind an end; nothing beyond is read.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// Bytes read behind a message in flight; who sends more is no client of this protocol and counts as disconnected.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024 * 1024;
/// Reads of one connection at a time; then others have their turn.
const READS_PER_TURN: usize = 16;
/// Bytes buffered of those behind a message in flight; clients of this protocol send none. With more the connection
/// closes.
const MAX_BUFFERED_BYTES: usize = 16 * 1024;
/// How often late messages are looked for.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// How far a connection has come with its present message.
#[derive(Clone, Copy)]
enum Stage {
    /// Between messages.
    Resting { since: f64 },
    /// A message is awaited that has begun, or the first one.
    Coming { since: f64 },
    /// An invocation is in hand, its client waits until then.
    InHand { until: f64 },
    /// Its answer is being written, and given up then.
    Answering { until: f64 },
    /// The end has been sent; what still comes is read off.
    Ended { since: f64 },
}

/// A client's connection, shared by its task, by what hyper reads and writes, and by whoever may end it.
struct Client {
    stream: RefCell<TokioIo<TcpStream>>,
    stage: Cell<Stage>,
    /// Since when it is to end; infinite while it may stay.
    leaving_since: Cell<f64>,
    /// Its place is needed at once.
    evicted: Cell<bool>,
    /// What came behind the message in hand: hyper reads it when that one is answered.
    ahead: RefCell<BytesMut>,
    read_ahead: Cell<usize>,
    /// Hyper wanted to read while a message was in hand.
    held: Cell<bool>,
    /// One of these has changed. It only wakes: the state alone decides what to do, so that no
    /// permit left over from one message acts on the next.
    changed: Notify,
}

impl Client {
    fn new(stream: TcpStream, now: f64) -> Rc<Self> {
        Rc::new(Client {
            stream: RefCell::new(TokioIo::new(stream)),
            stage: Cell::new(Stage::Coming { since: now }),
            leaving_since: Cell::new(f64::INFINITY),
            evicted: Cell::new(false),
            ahead: RefCell::default(),
            read_ahead: Cell::new(0),
            held: Cell::new(false),
            changed: Notify::new(),
        })
    }

    fn leave(&self, now: f64) {
        if self.leaving_since.get().is_infinite() {
            self.leaving_since.set(now);
            self.changed.notify_one();
        }
    }

    fn leaving(&self) -> bool {
        self.leaving_since.get().is_finite()
    }

    /// It has sent half of a message and is slow with the rest, or does not take its answer.
    fn late(&self, now: f64) -> bool {
        match self.stage.get() {
            Stage::Coming { since } => {
                now > (since + MESSAGE_TIMEOUT_S)
                    .min(self.leaving_since.get() + PARTIAL_MESSAGE_GRACE_S)
            }
            Stage::Answering { until } => now > until,
            Stage::Resting { .. } => now > self.leaving_since.get() + PARTIAL_MESSAGE_GRACE_S,
            Stage::InHand { .. } | Stage::Ended { .. } => false,
        }
    }

    /// Ready once the client of the message in hand is found to have gone.
    fn poll_gone(&self, cx: &mut Context) -> Poll<()> {
        while let Stage::InHand { .. } = self.stage.get() {
            ready!(self.stream.borrow().inner().poll_read_ready(cx)).ok();
            if self.has_gone() {
                return Poll::Ready(());
            }
        }
        Poll::Pending
    }

    /// Whether the client has gone, by all that the machine knows now. Reads what came behind the message in
    /// hand: guards against an end that stands behind bytes, as hyper reads no further once it holds some.
    /// One that only ended its sending has gone too, nothing tells the two apart.
    fn has_gone(&self) -> bool {
        for _ in 0..READS_PER_TURN {
            let mut bytes = [0; 4096];
            let read = match self.stream.borrow().inner().try_read(&mut bytes) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Ok(0) | Err(_) => return true,
                Ok(read) => read,
            };
            self.read_ahead.set(self.read_ahead.get() + read);
            if !self.flooded() {
                self.ahead.borrow_mut().extend_from_slice(&bytes[..read]);
            }
            if self.read_ahead.get() > MAX_READ_AHEAD_BYTES {
                return true;
            }
        }
        false
    }

    /// More came behind one message than is kept: it is dropped, and the connection ends.
    fn flooded(&self) -> bool {
        self.read_ahead.get() > MAX_BUFFERED_BYTES
    }

    /// The next bytes; None at the end, orderly or not.
    fn poll_bytes(&self, cx: &mut Context, bytes: &mut [u8]) -> Poll<Option<usize>> {
        let mut buffer = ReadBuf::new(bytes);
        let mut stream = self.stream.borrow_mut();
        let read = ready!(Pin::new(stream.inner_mut()).poll_read(cx, &mut buffer));
        Poll::Ready(read.ok().map(|()| buffer.filled().len()).filter(|&n| n > 0))
    }

    /// The end is sent first, then what still comes is read off and dropped, then the connection closes. A
    /// close over unread bytes would be a reset, which takes with it what the client has not yet read.
    async fn end(&self, now: f64) {
        self.stage.set(Stage::Ended { since: now });
        self.ahead.take();
        if poll_fn(|cx| Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx))
            .await
            .is_err()
        {
            return;
        }
        let read_off = async {
            let (mut bytes, mut left) = ([0; 4096], MAX_DISCARDED_BYTES);
            while let Some(n) = poll_fn(|cx| self.poll_bytes(cx, &mut bytes)).await {
                left = left.saturating_sub(n);
                if left == 0 {
                    return;
                }
            }
        };
        let evicted = async {
            while !self.evicted.get() {
                self.changed.notified().await;
            }
        };
        tokio::select! {
            _ = tokio::time::timeout(CLOSE_TIMEOUT, read_off) => {}
            () = evicted => {}
        }
    }
}

/// What hyper reads and writes; notes when a message begins and when an answer is out.
struct Wire {
    hub: Rc<Hub>,
    client: Rc<Client>,
}

impl Read for Wire {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        mut buffer: ReadBufCursor,
    ) -> Poll<Io<()>> {
        let client = &self.client;
        if matches!(
            client.stage.get(),
            Stage::InHand { .. } | Stage::Answering { .. }
        ) {
            client.held.set(true);
            return Poll::Pending;
        }
        let mut ahead = client.ahead.borrow_mut();
        if ahead.is_empty() {
            let mut stream = client.stream.borrow_mut();
            ready!(Pin::new(&mut *stream).poll_read(cx, buffer))?;
        } else {
            let bytes = ahead.len().min(buffer.remaining());
            buffer.put_slice(&ahead.split_to(bytes));
        }
        if let Stage::Resting { .. } = client.stage.get() {
            client.stage.set(Stage::Coming {
                since: self.hub.clock.now(),
            });
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<Io<usize>> {
        Pin::new(&mut *self.client.stream.borrow_mut()).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Io<()>> {
        let client = &self.client;
        ready!(Pin::new(&mut *client.stream.borrow_mut()).poll_flush(cx))?;
        // Hyper flushes when all it held has been written.
        if let Stage::Answering { .. } = client.stage.get() {
            client.stage.set(Stage::Resting {
                since: self.hub.clock.now(),
            });
            if client.held.take() {
                cx.waker().wake_by_ref();
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Io<()>> {
        Pin::new(&mut *self.client.stream.borrow_mut()).poll_shutdown(cx)
    }
}

/// Whether invocations are wanted: `/-/ready` says so.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Starting,
    Open,
    Leaving,
    Closing,
}

/// An invocation in hand.
struct Waiting {
    answer: oneshot::Sender<Reply>,
    client: Rc<Client>,
}

pub struct Front {
    most: usize,
    /// Bytes that the bodies of all messages under way may take, and those they take.
    most_bodies: usize,
    bodies: Cell<usize>,
    waiting: RefCell<HashMap<u64, Waiting>>,
    /// The ids that clients gave to what is in hand.
    ids: RefCell<HashSet<HeaderValue>>,
    last: Cell<u64>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    phase: Cell<Phase>,
    /// The phase has changed, or a place is free; the state tells which.
    changed: Notify,
}

impl Front {
    pub fn new(most: usize, most_bodies: usize) -> Self {
        Front {
            most,
            most_bodies,
            bodies: Cell::new(0),
            waiting: RefCell::default(),
            ids: RefCell::default(),
            last: Cell::new(0),
            clients: RefCell::default(),
            phase: Cell::new(Phase::Starting),
            changed: Notify::new(),
        }
    }

    pub fn reply(&self, num: u64, reply: Reply) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&num) {
            // One that has just left takes no answer.
            let _ = waiting.answer.send(reply);
        }
    }

    /// Guards against a delivery for a client whose end is known to the machine, but whose connection's task
    /// has not had its turn since: its leaving is told before the delivery is written.
    pub fn look_after(&self, hub: &Rc<Hub>, num: u64) {
        let gone = self
            .waiting
            .borrow()
            .get(&num)
            .is_some_and(|w| w.client.has_gone());
        if gone && self.waiting.borrow_mut().remove(&num).is_some() {
            hub.tell(Event::ClientGone { num });
        }
    }

    fn next(&self) -> u64 {
        self.last.set(self.last.get() + 1);
        self.last.get()
    }

    /// Invocations are wanted from now on, unless it is leaving by now.
    pub fn open(&self) {
        if self.phase.get() == Phase::Starting {
            self.phase.set(Phase::Open);
            self.changed.notify_one();
        }
    }

    /// Ends with the start. Guards against clients that come before they are told to, which would be served by
    /// a list that may be old.
    async fn started(&self) {
        while self.phase.get() == Phase::Starting {
            self.changed.notified().await;
        }
    }

    /// No new invocations are wanted; those that come are still served.
    pub fn leave(&self) {
        self.phase.set(Phase::Leaving);
    }

    /// Takes what the machine has accepted and no more, and ends all connections after the answers that
    /// they wait for.
    pub fn close(&self, now: f64) {
        self.phase.set(Phase::Closing);
        self.changed.notify_one();
        self.clients.borrow().values().for_each(|c| c.leave(now));
    }

    /// Connections that have not closed.
    pub fn clients(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Makes room for new connections. One that has sent its end, or is cut short, gives its place at once
    /// where it has to be `at_once`; else the one that has waited longest for its next invocation ends.
    fn make_room(&self, now: f64, at_once: bool) {
        let clients = self.clients.borrow();
        let since = |c: &Client| match c.stage.get() {
            Stage::Ended { since } if at_once => Some((false, since)),
            Stage::Resting { since } | Stage::Coming { since } if !c.leaving() => {
                Some((true, since))
            }
            _ => None,
        };
        let candidates = clients.values().filter_map(|c| Some((since(c)?, c)));
        match candidates.min_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))) {
            Some(((true, _), c)) => c.leave(now),
            Some((_, c)) => {
                c.evicted.set(true);
                c.changed.notify_one();
            }
            None => {}
        }
    }

    /// Guards against clients that say nothing, begin a message and never end it, or do not take their
    /// answer: they would keep their places for good.
    pub fn sweep(&self, now: f64) {
        self.clients
            .borrow()
            .values()
            .filter(|c| c.late(now))
            .for_each(|c| c.changed.notify_one());
    }

    pub async fn serve(hub: Rc<Hub>, listener: TcpListener) {
        let front = &hub.front;
        let few = front.most - (front.most / 16).max(1);
        let mut last_call = None;
        let _ = tokio::time::timeout(FIRST_LIST_WAIT, front.started()).await;
        loop {
            let now = hub.clock.now();
            let closing = front.phase.get() == Phase::Closing;
            // Those that the machine accepts meanwhile wait in its own queue, though not beyond the close.
            if closing && now > *last_call.get_or_insert(now) + PARTIAL_MESSAGE_GRACE_S {
                return;
            }
            let open = front.clients();
            if open >= few {
                front.make_room(now, open >= front.most);
            }
            if open >= front.most {
                let _ =
                    tokio::time::timeout(Duration::from_millis(10), front.changed.notified()).await;
                continue;
            }
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = tokio::time::sleep(FINAL_ACCEPT_TIMEOUT), if closing => return,
                () = front.changed.notified() => continue,
            };
            match accepted {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    // It has its place before its task runs: none is overlooked by a close, none is over
                    // the bound.
                    let now = hub.clock.now();
                    let client = Client::new(stream, now);
                    // Looked at anew: the close may have come while the listener waited, and has passed over it.
                    if front.phase.get() == Phase::Closing {
                        client.leave(now);
                    }
                    let place = Place::new(&hub, &client);
                    tokio::task::spawn_local(Self::connection(hub.clone(), client, place));
                }
                Err(e) => {
                    log::warn!("accept: {e}");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    async fn connection(hub: Rc<Hub>, client: Rc<Client>, _place: Place) {
        hub.tell(Event::ClientConnected);
        {
            let service = TowerToHyperService::new(Handler {
                hub: hub.clone(),
                client: client.clone(),
            });
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder.auto_date_header(false).max_buf_size(MOST_BODY);
            let wire = Wire {
                hub: hub.clone(),
                client: client.clone(),
            };
            let mut connection = pin!(builder.serve_connection(wire, service));
            let mut looked = false;
            loop {
                // One that is late, or rests and has to end, does so a moment after: a message, or the rest of
                // one, may lie there that was not looked at yet. One in hand ends with its answer.
                let late = client.late(hub.clock.now());
                let ends = client.leaving() && matches!(client.stage.get(), Stage::Resting { .. });
                looked &= late || ends;
                if looked && late {
                    break;
                }
                if looked {
                    connection.as_mut().graceful_shutdown();
                }
                tokio::select! {
                    biased;
                    ended = &mut connection => {
                        if let Err(e) = ended {
                            log::debug!("client: {e}");
                        }
                        break;
                    }
                    () = poll_fn(|cx| client.poll_gone(cx)) => return,
                    () = client.changed.notified() => {}
                    () = tokio::time::sleep(FINAL_ACCEPT_TIMEOUT), if (late || ends) && !looked => looked = true,
                }
            }
            // What is in hand ends with hyper's side, before anything else happens here.
        }
        client.end(hub.clock.now()).await;
    }
}

/// A connection's entry among the clients, taken out however its task ends.
struct Place {
    hub: Rc<Hub>,
    at: u64,
}

impl Place {
    fn new(hub: &Rc<Hub>, client: &Rc<Client>) -> Self {
        let at = hub.front.next();
        hub.front.clients.borrow_mut().insert(at, client.clone());
        Place {
            hub: hub.clone(),
            at,
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.hub.front.clients.borrow_mut().remove(&self.at);
        self.hub.front.changed.notify_one();
    }
}

/// What the body of a message under way takes of the memory for all. Guards against clients that each send a
/// large one at once, or half of one: together they would take more than the process may have.
struct Room<'a> {
    hub: &'a Rc<Hub>,
    bytes: usize,
}

impl<'a> Room<'a> {
    fn take(hub: &'a Rc<Hub>, bytes: usize) -> Result<Self, Fault> {
        let taken = hub.front.bodies.get() + bytes;
        if bytes > 0 && taken > hub.front.most_bodies {
            return Err(Fault::Crowded);
        }
        hub.front.bodies.set(taken);
        Ok(Room { hub, bytes })
    }
}

impl Drop for Room<'_> {
    fn drop(&mut self) {
        self.hub
            .front
            .bodies
            .set(self.hub.front.bodies.get() - self.bytes);
    }
}

/// An invocation that waits for its answer; hyper drops it when the client leaves.
struct InHand<'a> {
    hub: &'a Rc<Hub>,
    num: u64,
    id: HeaderValue,
}

impl Drop for InHand<'_> {
    fn drop(&mut self) {
        self.hub.front.ids.borrow_mut().remove(&self.id);
        let left = self
            .hub
            .front
            .waiting
            .borrow_mut()
            .remove(&self.num)
            .is_some();
        // After a panic the invocation ends by its own time.
        if left && !std::thread::panicking() {
            self.hub.tell(Event::ClientGone { num: self.num });
        }
    }
}

/// The service that hyper calls for each message of one connection.
#[derive(Clone)]
struct Handler {
    hub: Rc<Hub>,
    client: Rc<Client>,
}

type Answer = Result<Response<Full<Bytes>>, Infallible>;

impl tower::Service<Request<Incoming>> for Handler {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Answer>>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let handler = self.clone();
        Box::pin(async move {
            let mut response = handler.answer(request).await;
            let until = match handler.client.stage.get() {
                Stage::InHand { until } => until + WRITE_GRACE_S,
                _ => handler.hub.clock.now() + MESSAGE_TIMEOUT_S,
            };
            handler.client.stage.set(Stage::Answering { until });
            if handler.client.flooded() || handler.client.leaving() {
                response
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(response)
        })
    }
}

impl Handler {
    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() == READY {
            return match self.hub.front.phase.get() {
                Phase::Starting => plain(StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
                Phase::Open => plain(StatusCode::OK, "ready\n"),
                Phase::Leaving | Phase::Closing => {
                    plain(StatusCode::SERVICE_UNAVAILABLE, "leaving\n")
                }
            };
        }
        match self.invoke(request).await {
            Ok(reply) => encode_reply(reply),
            Err(fault) => {
                self.hub.tell(Event::TurnedDown);
                log::debug!("client: {fault}");
                encode_fault(&fault)
            }
        }
    }

    async fn invoke(&self, request: Request<Incoming>) -> Result<Reply, Fault> {
        let (head, body) = request.into_parts();
        if body.size_hint().lower() > MOST_BODY as u64 {
            return Err(Fault::TooLarge);
        }
        let _room = Room::take(&self.hub, body.size_hint().lower() as usize)?;
        let body = Limited::new(body, MOST_BODY).collect().await.map_err(|e| {
            if e.is::<LengthLimitError>() {
                Fault::TooLarge
            } else {
                Fault::Malformed(e.to_string())
            }
        })?;
        let asked = Rc::new(decode_asked(head, body.to_bytes(), &self.hub.names)?);
        let (num, (answer, answered), id) = (
            self.hub.front.next(),
            oneshot::channel(),
            asked.id().clone(),
        );
        // Guards against a copy of what another client has in hand: to a server it would be a second one.
        if !self.hub.front.ids.borrow_mut().insert(id.clone()) {
            return Err(Fault::InHand);
        }
        let _in_hand = InHand {
            hub: &self.hub,
            num,
            id,
        };
        // Until its last byte was there it was not taken, and its connection could be closed for others.
        self.client.read_ahead.set(self.client.ahead.borrow().len());
        self.client.stage.set(Stage::InHand {
            until: self.hub.clock.now() + asked.wait,
        });
        let waiting = Waiting {
            answer,
            client: self.client.clone(),
        };
        self.hub.front.waiting.borrow_mut().insert(num, waiting);
        self.hub.tell(Event::Taken { num, asked });
        Ok(answered.await.unwrap_or(Reply::Errored))
    }
}

#[cfg(test)]
mod tests;
