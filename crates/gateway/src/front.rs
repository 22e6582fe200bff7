//! The clients' side: a tower service over hyper, `/-/ready` included. Owns the listener, the connections
//! of clients and the answers they wait for. It must never end a connection that has an invocation in hand
//! without its answer, and never hold an invocation by itself.

use crate::fault::Fault;
use crate::hub::Hub;
use crate::message::{decode_asked, encode_fault, encode_reply, plain, Reply, MOST_BODY, READY};
use crate::reducer::Event;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::convert::Infallible;
use std::future::Future;
use std::io::Result as Io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};

/// What a connection that is to close gets to finish writing, or to send the rest of a message.
const LINGER: Duration = Duration::from_millis(100);

/// Time for a message to come in whole, from the connection's opening or the message's first byte.
const WHOLE: f64 = 2.0;
/// How often that is looked after.
pub const SWEEP: Duration = Duration::from_millis(250);

/// A client's connection.
struct Client {
    /// It has an invocation in hand.
    busy: Cell<bool>,
    leaving: Cell<bool>,
    idle_since: Cell<f64>,
    /// Since when a message is awaited that has begun, or the first one; infinite while none is.
    coming_since: Cell<f64>,
    close: Notify,
    cut: Notify,
}

impl Client {
    /// It has sent half of a message, or nothing yet.
    fn half(&self) -> bool {
        !self.busy.get() && self.coming_since.get().is_finite()
    }
}

/// What hyper reads and writes; notes when a message begins.
struct Wire {
    stream: TokioIo<TcpStream>,
    hub: Rc<Hub>,
    client: Rc<Client>,
}

impl Read for Wire {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buffer: ReadBufCursor) -> Poll<Io<()>> {
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if polled.is_ready() && self.client.coming_since.get().is_infinite() {
            self.client.coming_since.set(self.hub.clock.now());
        }
        polled
    }
}

impl Write for Wire {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<Io<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Io<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Io<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

pub struct Front {
    most: usize,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Reply>>>,
    /// The ids that clients gave to what is in hand.
    ids: RefCell<HashSet<HeaderValue>>,
    last: Cell<u64>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    open: Cell<bool>,
    closing: Notify,
    freed: Notify,
}

impl Front {
    pub fn new(most: usize) -> Self {
        Front {
            most,
            waiting: RefCell::default(),
            ids: RefCell::default(),
            last: Cell::new(0),
            clients: RefCell::default(),
            open: Cell::new(true),
            closing: Notify::new(),
            freed: Notify::new(),
        }
    }

    pub fn reply(&self, num: u64, reply: Reply) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&num) {
            // One that has just left takes no answer.
            let _ = waiting.send(reply);
        }
    }

    fn next(&self) -> u64 {
        self.last.set(self.last.get() + 1);
        self.last.get()
    }

    /// No new invocations: `/-/ready` says so.
    pub fn leave(&self) {
        self.open.set(false);
    }

    /// Takes no further connections and ends those there are after the answers they wait for.
    pub fn close(&self) {
        self.closing.notify_one();
        self.clients.borrow().values().for_each(|c| c.close.notify_one());
    }

    /// Connections that wait for an answer, and all.
    pub fn clients(&self) -> (usize, usize) {
        let clients = self.clients.borrow();
        (clients.values().filter(|c| c.busy.get()).count(), clients.len())
    }

    /// Makes room for a new connection: the one that has waited longest for its next invocation closes.
    fn close_oldest(&self) {
        let clients = self.clients.borrow();
        let idle = clients.values().filter(|c| !c.busy.get() && !c.leaving.get());
        if let Some(c) = idle.min_by(|a, b| a.idle_since.get().total_cmp(&b.idle_since.get())) {
            c.close.notify_one();
        }
    }

    /// Guards against clients that say nothing, or begin a message and never end it: they would keep their
    /// places for good.
    pub fn sweep(&self, now: f64) {
        let clients = self.clients.borrow();
        let late = clients.values().filter(|c| c.half() && now - c.coming_since.get() > WHOLE);
        late.for_each(|c| c.cut.notify_one());
    }

    pub async fn serve(hub: Rc<Hub>, listener: TcpListener) {
        let front = &hub.front;
        loop {
            if front.clients.borrow().len() >= front.most {
                front.close_oldest();
                // Those that the machine accepts meanwhile wait in its own line.
                let _ = tokio::time::timeout(Duration::from_millis(10), front.freed.notified()).await;
                continue;
            }
            let accepted = tokio::select! {
                biased;
                _ = front.closing.notified() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    tokio::task::spawn_local(Self::connection(hub.clone(), stream));
                }
                Err(e) => {
                    log::warn!("accept: {e}");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    async fn connection(hub: Rc<Hub>, stream: TcpStream) {
        let (idle_since, coming_since) = (Cell::new(hub.clock.now()), Cell::new(hub.clock.now()));
        let (busy, leaving, close, cut) = (Cell::new(false), Cell::new(false), Notify::new(), Notify::new());
        let client = Rc::new(Client { busy, leaving, idle_since, coming_since, close, cut });
        let _place = Place::new(&hub, &client);
        hub.tell(Event::ClientConnected);
        let door = TowerToHyperService::new(Door { hub: hub.clone(), client: client.clone() });
        let mut builder = hyper::server::conn::http1::Builder::new();
        builder.auto_date_header(false).max_buf_size(MOST_BODY);
        let wire = Wire { stream: TokioIo::new(stream), hub: hub.clone(), client: client.clone() };
        let mut connection = pin!(builder.serve_connection(wire, door));
        let ended = loop {
            tokio::select! {
                biased;
                ended = &mut connection => break ended,
                _ = client.close.notified() => {
                    client.leaving.set(true);
                    connection.as_mut().graceful_shutdown();
                }
                _ = client.cut.notified(), if client.half() => break Ok(()),
                // An answer that is still being written is let out, a half message is not waited for.
                _ = tokio::time::sleep(LINGER), if client.leaving.get() && client.half() => break Ok(()),
            }
        };
        if let Err(e) = ended {
            log::debug!("client: {e}");
        }
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
        Place { hub: hub.clone(), at }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.hub.front.clients.borrow_mut().remove(&self.at);
        self.hub.front.freed.notify_one();
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
        let left = self.hub.front.waiting.borrow_mut().remove(&self.num).is_some();
        // After a panic the invocation ends by its own time.
        if left && !std::thread::panicking() {
            self.hub.tell(Event::ClientGone { num: self.num });
        }
    }
}

/// The service that hyper calls for each message of one connection.
#[derive(Clone)]
struct Door {
    hub: Rc<Hub>,
    client: Rc<Client>,
}

type Answer = Result<Response<Full<Bytes>>, Infallible>;

impl tower::Service<Request<Incoming>> for Door {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Answer>>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let door = self.clone();
        Box::pin(async move {
            let response = door.answer(request).await;
            door.client.coming_since.set(f64::INFINITY);
            door.client.idle_since.set(door.hub.clock.now());
            Ok(response)
        })
    }
}

impl Door {
    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() == READY {
            return match self.hub.front.open.get() {
                true => plain(StatusCode::OK, "ready\n"),
                false => plain(StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
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
        let body = Limited::new(body, MOST_BODY).collect().await.map_err(|e| {
            if e.is::<LengthLimitError>() {
                Fault::TooLarge
            } else {
                Fault::Malformed(e.to_string())
            }
        })?;
        let asked = Rc::new(decode_asked(head, body.to_bytes(), &self.hub.names)?);
        let (num, (tell, told), id) = (self.hub.front.next(), oneshot::channel(), asked.id().clone());
        // Guards against a copy of what another client has in hand: to a server it would be a second one.
        if !self.hub.front.ids.borrow_mut().insert(id.clone()) {
            return Err(Fault::InHand);
        }
        self.hub.front.waiting.borrow_mut().insert(num, tell);
        let _in_hand = InHand { hub: &self.hub, num, id };
        // Until its last byte was there it was not taken, and its connection could be closed for others.
        self.client.busy.set(true);
        self.client.coming_since.set(f64::INFINITY);
        self.hub.tell(Event::Taken { num, asked });
        let reply = told.await.unwrap_or(Reply::Errored);
        self.client.busy.set(false);
        Ok(reply)
    }
}
