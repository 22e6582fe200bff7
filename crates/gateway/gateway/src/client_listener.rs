//! Accepts connections from clients: a tower service over hyper, `/-/ready` included. Owns the listener, the client
//! connections and the responses still owed. A connection with an invocation in flight is never closed before its
//! response is sent, and this module never delays an invocation itself.

use crate::error::GatewayError;
use crate::event_loop::EventLoop;
use crate::protocol::{
    decode_request, encode_error, encode_response, text_response, ClientResponse, MAX_BODY_BYTES,
    READY_PATH,
};
use crate::state_machine::Event;
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

/// Seconds for the rest of a message to arrive once its connection is closing.
const PARTIAL_MESSAGE_GRACE_S: f64 = 0.1;
/// Seconds for a complete message to arrive, counted from the opening of the connection or the first byte of the
/// message.
const MESSAGE_TIMEOUT_S: f64 = 2.0;
/// Seconds after the client's deadline during which its response may still be written; after that nobody reads it.
const WRITE_GRACE_S: f64 = 0.5;
/// How long a connection whose write side is shut down waits for the client to close; input is discarded meanwhile.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// A closing listener or idle connection ends once nothing has arrived for this long: enough for the kernel to report
/// everything it has accepted.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(5);
/// Longest time that new connections wait in the kernel's backlog for the first endpoint list: much longer than
/// discovery takes, much shorter than clients wait.
const FIRST_LIST_WAIT: Duration = Duration::from_millis(200);
/// Input discarded after the write side is shut down, in bytes; then the connection closes.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// Bytes read while an invocation is in flight. A client that sends more violates the protocol and is treated as
/// disconnected.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024 * 1024;
/// Reads from one connection before the task yields to other connections.
const READS_PER_TURN: usize = 16;
/// Bytes buffered while an invocation is in flight; clients of this protocol send none. With more input the
/// connection closes after its response.
const MAX_BUFFERED_BYTES: usize = 16 * 1024;
/// How often connections are checked for overdue messages.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// State of a connection's current message.
#[derive(Clone, Copy)]
enum Stage {
    /// The connection waits for its next message.
    Idle { since: f64 },
    /// The first message is awaited, or a later one has started to arrive.
    Receiving { since: f64 },
    /// An invocation is in flight; its client waits until this time.
    InFlight { until: f64 },
    /// The response is being written; at this time writing is given up.
    Responding { until: f64 },
    /// The write side is shut down; remaining input is discarded.
    Closing { since: f64 },
}

/// A client connection, shared by its task, by hyper's stream and by the code that may close it.
struct ClientConnection {
    stream: RefCell<TokioIo<TcpStream>>,
    stage: Cell<Stage>,
    /// When closing started; infinite while the connection stays open.
    closing_since: Cell<f64>,
    /// The connection must close at once to make room for another.
    evicted: Cell<bool>,
    /// Input received while an invocation is in flight; hyper reads it after the response.
    buffered_input: RefCell<BytesMut>,
    read_ahead: Cell<usize>,
    /// Hyper tried to read while an invocation was in flight.
    read_pending: Cell<bool>,
    /// Signals a change of any field above. The task then acts on the current state alone, so that a permit left over
    /// from one message has no effect on the next.
    changed: Notify,
}

impl ClientConnection {
    fn new(stream: TcpStream, now: f64) -> Rc<Self> {
        Rc::new(ClientConnection {
            stream: RefCell::new(TokioIo::new(stream)),
            stage: Cell::new(Stage::Receiving { since: now }),
            closing_since: Cell::new(f64::INFINITY),
            evicted: Cell::new(false),
            buffered_input: RefCell::default(),
            read_ahead: Cell::new(0),
            read_pending: Cell::new(false),
            changed: Notify::new(),
        })
    }

    fn start_closing(&self, now: f64) {
        if self.closing_since.get().is_infinite() {
            self.closing_since.set(now);
            self.changed.notify_one();
        }
    }

    fn is_closing(&self) -> bool {
        self.closing_since.get().is_finite()
    }

    /// Whether the client has sent part of a message and is late with the rest, or does not read its response in
    /// time.
    fn is_overdue(&self, now: f64) -> bool {
        match self.stage.get() {
            Stage::Receiving { since } => {
                now > (since + MESSAGE_TIMEOUT_S)
                    .min(self.closing_since.get() + PARTIAL_MESSAGE_GRACE_S)
            }
            Stage::Responding { until } => now > until,
            Stage::Idle { .. } => now > self.closing_since.get() + PARTIAL_MESSAGE_GRACE_S,
            Stage::InFlight { .. } | Stage::Closing { .. } => false,
        }
    }

    /// Ready once the client of the invocation in flight is found to be disconnected.
    fn poll_disconnected(&self, cx: &mut Context) -> Poll<()> {
        while let Stage::InFlight { .. } = self.stage.get() {
            ready!(self.stream.borrow().inner().poll_read_ready(cx)).ok();
            if self.is_disconnected() {
                return Poll::Ready(());
            }
        }
        Poll::Pending
    }

    /// Whether the kernel reports the client as disconnected. Buffers input that arrived during the invocation: hyper
    /// stops reading once it holds some bytes, so an end of stream behind them would go unseen. A client that shut
    /// down only its write side counts as disconnected too, since the two cases look alike.
    fn is_disconnected(&self) -> bool {
        for _ in 0..READS_PER_TURN {
            let mut bytes = [0; 4096];
            let read = match self.stream.borrow().inner().try_read(&mut bytes) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Ok(0) | Err(_) => return true,
                Ok(read) => read,
            };
            self.read_ahead.set(self.read_ahead.get() + read);
            if !self.has_excess_input() {
                self.buffered_input
                    .borrow_mut()
                    .extend_from_slice(&bytes[..read]);
            }
            if self.read_ahead.get() > MAX_READ_AHEAD_BYTES {
                return true;
            }
        }
        false
    }

    /// Whether more input arrived during the invocation than is buffered; the excess is dropped and the connection
    /// closes after its response.
    fn has_excess_input(&self) -> bool {
        self.read_ahead.get() > MAX_BUFFERED_BYTES
    }

    /// Reads the next bytes; `None` at the end of the stream or after a read error.
    fn poll_read_bytes(&self, cx: &mut Context, bytes: &mut [u8]) -> Poll<Option<usize>> {
        let mut buffer = ReadBuf::new(bytes);
        let mut stream = self.stream.borrow_mut();
        let read = ready!(Pin::new(stream.inner_mut()).poll_read(cx, &mut buffer));
        Poll::Ready(read.ok().map(|()| buffer.filled().len()).filter(|&n| n > 0))
    }

    /// Shuts down the write side, discards the remaining input, then closes. Closing a socket with unread input would
    /// reset the connection and destroy the part of the response that the client has not read yet.
    async fn shut_down(&self, now: f64) {
        self.stage.set(Stage::Closing { since: now });
        self.buffered_input.take();
        if poll_fn(|cx| Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx))
            .await
            .is_err()
        {
            return;
        }
        let discard_input = async {
            let (mut bytes, mut left) = ([0; 4096], MAX_DISCARDED_BYTES);
            while let Some(n) = poll_fn(|cx| self.poll_read_bytes(cx, &mut bytes)).await {
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
            _ = tokio::time::timeout(CLOSE_TIMEOUT, discard_input) => {}
            () = evicted => {}
        }
    }
}

/// The stream that hyper reads and writes. Detects when a message starts to arrive and when a response is fully
/// written.
struct ClientStream {
    event_loop: Rc<EventLoop>,
    client: Rc<ClientConnection>,
}

impl Read for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        mut buffer: ReadBufCursor,
    ) -> Poll<Io<()>> {
        let client = &self.client;
        if matches!(
            client.stage.get(),
            Stage::InFlight { .. } | Stage::Responding { .. }
        ) {
            client.read_pending.set(true);
            return Poll::Pending;
        }
        let mut buffered_input = client.buffered_input.borrow_mut();
        if buffered_input.is_empty() {
            let mut stream = client.stream.borrow_mut();
            ready!(Pin::new(&mut *stream).poll_read(cx, buffer))?;
        } else {
            let bytes = buffered_input.len().min(buffer.remaining());
            buffer.put_slice(&buffered_input.split_to(bytes));
        }
        if let Stage::Idle { .. } = client.stage.get() {
            client.stage.set(Stage::Receiving {
                since: self.event_loop.clock.now(),
            });
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<Io<usize>> {
        Pin::new(&mut *self.client.stream.borrow_mut()).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Io<()>> {
        let client = &self.client;
        ready!(Pin::new(&mut *client.stream.borrow_mut()).poll_flush(cx))?;
        // Hyper flushes only after it has written its whole buffer.
        if let Stage::Responding { .. } = client.stage.get() {
            client.stage.set(Stage::Idle {
                since: self.event_loop.clock.now(),
            });
            if client.read_pending.take() {
                cx.waker().wake_by_ref();
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Io<()>> {
        Pin::new(&mut *self.client.stream.borrow_mut()).poll_shutdown(cx)
    }
}

/// Lifecycle of the listener, as reported by `/-/ready`.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Starting,
    Open,
    ShuttingDown,
    Closing,
}

/// An invocation in flight whose client still waits for the response.
struct PendingResponse {
    sender: oneshot::Sender<ClientResponse>,
    client: Rc<ClientConnection>,
}

pub struct ClientListener {
    max_connections: usize,
    /// Limit on the memory reserved for request bodies, in bytes.
    max_body_memory: usize,
    body_memory_used: Cell<usize>,
    pending_responses: RefCell<HashMap<u64, PendingResponse>>,
    /// Request ids of the invocations in flight.
    request_ids: RefCell<HashSet<HeaderValue>>,
    last_id: Cell<u64>,
    clients: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    phase: Cell<Phase>,
    /// Signals that the phase has changed or a connection has closed.
    changed: Notify,
}

impl ClientListener {
    pub fn new(max_connections: usize, max_body_memory: usize) -> Self {
        ClientListener {
            max_connections,
            max_body_memory,
            body_memory_used: Cell::new(0),
            pending_responses: RefCell::default(),
            request_ids: RefCell::default(),
            last_id: Cell::new(0),
            clients: RefCell::default(),
            phase: Cell::new(Phase::Starting),
            changed: Notify::new(),
        }
    }

    pub fn respond(&self, invocation_id: u64, response: ClientResponse) {
        if let Some(pending) = self.pending_responses.borrow_mut().remove(&invocation_id) {
            // The send fails if the client has just disconnected.
            let _ = pending.sender.send(response);
        }
    }

    /// Checks whether the client has disconnected and reports it before an attempt is written. The kernel may know of
    /// the disconnect before the connection's task has run.
    pub fn detect_disconnect(&self, event_loop: &Rc<EventLoop>, invocation_id: u64) {
        let disconnected = self
            .pending_responses
            .borrow()
            .get(&invocation_id)
            .is_some_and(|pending| pending.client.is_disconnected());
        if disconnected
            && self
                .pending_responses
                .borrow_mut()
                .remove(&invocation_id)
                .is_some()
        {
            event_loop.handle(Event::ClientDisconnected { invocation_id });
        }
    }

    fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }

    /// Opens the listener for invocations, unless it is already shutting down.
    pub fn open(&self) {
        if self.phase.get() == Phase::Starting {
            self.phase.set(Phase::Open);
            self.changed.notify_one();
        }
    }

    /// Waits until the listener is open. Clients that connect before the gateway is ready would otherwise be routed
    /// by an outdated endpoint list.
    async fn wait_until_open(&self) {
        while self.phase.get() == Phase::Starting {
            self.changed.notified().await;
        }
    }

    /// Reports the gateway as shutting down; invocations that still arrive are served.
    pub fn start_shutdown(&self) {
        self.phase.set(Phase::ShuttingDown);
    }

    /// Accepts only the connections that the kernel has already accepted, and closes every connection after its
    /// outstanding response.
    pub fn close(&self, now: f64) {
        self.phase.set(Phase::Closing);
        self.changed.notify_one();
        self.clients
            .borrow()
            .values()
            .for_each(|client| client.start_closing(now));
    }

    /// Number of open connections, closing ones included.
    pub fn connection_count(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Closes one connection to make room for new ones. With `immediately`, a connection that is already closing is
    /// dropped at once; otherwise the connection that has been idle or receiving longest starts to close.
    fn make_room(&self, now: f64, immediately: bool) {
        let clients = self.clients.borrow();
        let since = |client: &ClientConnection| match client.stage.get() {
            Stage::Closing { since } if immediately => Some((false, since)),
            Stage::Idle { since } | Stage::Receiving { since } if !client.is_closing() => {
                Some((true, since))
            }
            _ => None,
        };
        let candidates = clients
            .values()
            .filter_map(|client| Some((since(client)?, client)));
        match candidates.min_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))) {
            Some(((true, _), client)) => client.start_closing(now),
            Some((_, client)) => {
                client.evicted.set(true);
                client.changed.notify_one();
            }
            None => {}
        }
    }

    /// Wakes the tasks of overdue connections. Clients that send nothing, never complete a message or do not read
    /// their response would otherwise occupy connections forever.
    pub fn sweep(&self, now: f64) {
        self.clients
            .borrow()
            .values()
            .filter(|client| client.is_overdue(now))
            .for_each(|client| client.changed.notify_one());
    }

    pub async fn serve(event_loop: Rc<EventLoop>, listener: TcpListener) {
        let client_listener = &event_loop.client_listener;
        let crowded_at =
            client_listener.max_connections - (client_listener.max_connections / 16).max(1);
        let mut closing_since = None;
        let _ = tokio::time::timeout(FIRST_LIST_WAIT, client_listener.wait_until_open()).await;
        loop {
            let now = event_loop.clock.now();
            let closing = client_listener.phase.get() == Phase::Closing;
            // Connections that the kernel accepts meanwhile wait in its backlog, but only for this long after the
            // close.
            if closing && now > *closing_since.get_or_insert(now) + PARTIAL_MESSAGE_GRACE_S {
                return;
            }
            let open = client_listener.connection_count();
            if open >= crowded_at {
                client_listener.make_room(now, open >= client_listener.max_connections);
            }
            if open >= client_listener.max_connections {
                let _ = tokio::time::timeout(
                    Duration::from_millis(10),
                    client_listener.changed.notified(),
                )
                .await;
                continue;
            }
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = tokio::time::sleep(FINAL_ACCEPT_TIMEOUT), if closing => return,
                () = client_listener.changed.notified() => continue,
            };
            match accepted {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    // Registered before its task runs, so that a close does not miss it and the connection limit
                    // holds.
                    let now = event_loop.clock.now();
                    let client = ClientConnection::new(stream, now);
                    // Checked again: the close may have happened during the accept, before this connection was
                    // registered.
                    if client_listener.phase.get() == Phase::Closing {
                        client.start_closing(now);
                    }
                    let entry = ConnectionEntry::new(&event_loop, &client);
                    tokio::task::spawn_local(Self::serve_connection(
                        event_loop.clone(),
                        client,
                        entry,
                    ));
                }
                Err(e) => {
                    log::warn!("cannot accept a client connection: {e}");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    async fn serve_connection(
        event_loop: Rc<EventLoop>,
        client: Rc<ClientConnection>,
        _entry: ConnectionEntry,
    ) {
        event_loop.handle(Event::ClientConnected);
        {
            let service = TowerToHyperService::new(ClientService {
                event_loop: event_loop.clone(),
                client: client.clone(),
            });
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder.auto_date_header(false).max_buf_size(MAX_BODY_BYTES);
            let stream = ClientStream {
                event_loop: event_loop.clone(),
                client: client.clone(),
            };
            let mut connection = pin!(builder.serve_connection(stream, service));
            let mut final_read_done = false;
            loop {
                // An overdue or idle closing connection ends only after one more wait: input that has not been read
                // yet may hold a message or the rest of one. A connection with an invocation in flight ends after its
                // response.
                let overdue = client.is_overdue(event_loop.clock.now());
                let idle_and_closing =
                    client.is_closing() && matches!(client.stage.get(), Stage::Idle { .. });
                final_read_done &= overdue || idle_and_closing;
                if final_read_done && overdue {
                    break;
                }
                if final_read_done {
                    connection.as_mut().graceful_shutdown();
                }
                tokio::select! {
                    biased;
                    ended = &mut connection => {
                        if let Err(e) = ended {
                            log::debug!("client connection ended: {e}");
                        }
                        break;
                    }
                    () = poll_fn(|cx| client.poll_disconnected(cx)) => return,
                    () = client.changed.notified() => {}
                    () = tokio::time::sleep(FINAL_ACCEPT_TIMEOUT), if (overdue || idle_and_closing) && !final_read_done => final_read_done = true,
                }
            }
            // Dropping hyper's connection cancels its invocation in flight before the shutdown below.
        }
        client.shut_down(event_loop.clock.now()).await;
    }
}

/// Registration of a client connection, removed whenever its task ends.
struct ConnectionEntry {
    event_loop: Rc<EventLoop>,
    id: u64,
}

impl ConnectionEntry {
    fn new(event_loop: &Rc<EventLoop>, client: &Rc<ClientConnection>) -> Self {
        let id = event_loop.client_listener.next_id();
        event_loop
            .client_listener
            .clients
            .borrow_mut()
            .insert(id, client.clone());
        ConnectionEntry {
            event_loop: event_loop.clone(),
            id,
        }
    }
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.event_loop
            .client_listener
            .clients
            .borrow_mut()
            .remove(&self.id);
        self.event_loop.client_listener.changed.notify_one();
    }
}

/// Memory reserved for the body of one message. Clients that each send a large body at once, or part of one, could
/// otherwise exceed the memory limit of the process together.
struct BodyMemory<'a> {
    event_loop: &'a Rc<EventLoop>,
    bytes: usize,
}

impl<'a> BodyMemory<'a> {
    fn reserve(event_loop: &'a Rc<EventLoop>, bytes: usize) -> Result<Self, GatewayError> {
        let taken = event_loop.client_listener.body_memory_used.get() + bytes;
        if bytes > 0 && taken > event_loop.client_listener.max_body_memory {
            return Err(GatewayError::OutOfBodyMemory);
        }
        event_loop.client_listener.body_memory_used.set(taken);
        Ok(BodyMemory { event_loop, bytes })
    }
}

impl Drop for BodyMemory<'_> {
    fn drop(&mut self) {
        self.event_loop
            .client_listener
            .body_memory_used
            .set(self.event_loop.client_listener.body_memory_used.get() - self.bytes);
    }
}

/// An invocation in flight; hyper drops this guard when the client disconnects.
struct InFlightGuard<'a> {
    event_loop: &'a Rc<EventLoop>,
    invocation_id: u64,
    id: HeaderValue,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.event_loop
            .client_listener
            .request_ids
            .borrow_mut()
            .remove(&self.id);
        let unanswered = self
            .event_loop
            .client_listener
            .pending_responses
            .borrow_mut()
            .remove(&self.invocation_id)
            .is_some();
        // After a panic the invocation ends by its own deadline.
        if unanswered && !std::thread::panicking() {
            self.event_loop.handle(Event::ClientDisconnected {
                invocation_id: self.invocation_id,
            });
        }
    }
}

/// The service that hyper calls for each message of a connection.
#[derive(Clone)]
struct ClientService {
    event_loop: Rc<EventLoop>,
    client: Rc<ClientConnection>,
}

type ServiceResult = Result<Response<Full<Bytes>>, Infallible>;

impl tower::Service<Request<Incoming>> for ClientService {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = ServiceResult>>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let service = self.clone();
        Box::pin(async move {
            let mut response = service.respond(request).await;
            let until = match service.client.stage.get() {
                Stage::InFlight { until } => until + WRITE_GRACE_S,
                _ => service.event_loop.clock.now() + MESSAGE_TIMEOUT_S,
            };
            service.client.stage.set(Stage::Responding { until });
            if service.client.has_excess_input() || service.client.is_closing() {
                response
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(response)
        })
    }
}

impl ClientService {
    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() == READY_PATH {
            return match self.event_loop.client_listener.phase.get() {
                Phase::Starting => text_response(StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
                Phase::Open => text_response(StatusCode::OK, "ready\n"),
                Phase::ShuttingDown | Phase::Closing => {
                    text_response(StatusCode::SERVICE_UNAVAILABLE, "leaving\n")
                }
            };
        }
        match self.invoke(request).await {
            Ok(response) => encode_response(response),
            Err(error) => {
                self.event_loop.handle(Event::RequestRejected);
                log::debug!("client request rejected: {error}");
                encode_error(&error)
            }
        }
    }

    async fn invoke(&self, request: Request<Incoming>) -> Result<ClientResponse, GatewayError> {
        let (head, body) = request.into_parts();
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return Err(GatewayError::TooLarge);
        }
        let _body_memory =
            BodyMemory::reserve(&self.event_loop, body.size_hint().lower() as usize)?;
        let body = Limited::new(body, MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(|e| {
                if e.is::<LengthLimitError>() {
                    GatewayError::TooLarge
                } else {
                    GatewayError::Malformed(e.to_string())
                }
            })?;
        let request = Rc::new(decode_request(
            head,
            body.to_bytes(),
            &self.event_loop.names,
        )?);
        let (invocation_id, (sender, receiver), id) = (
            self.event_loop.client_listener.next_id(),
            oneshot::channel(),
            request.id().clone(),
        );
        // Rejects a request id that is already in flight: the server would run the invocation a second time.
        if !self
            .event_loop
            .client_listener
            .request_ids
            .borrow_mut()
            .insert(id.clone())
        {
            return Err(GatewayError::DuplicateId);
        }
        let _in_flight = InFlightGuard {
            event_loop: &self.event_loop,
            invocation_id,
            id,
        };
        // The request is complete from here on. Before, its connection could be closed to make room for others.
        self.client
            .read_ahead
            .set(self.client.buffered_input.borrow().len());
        self.client.stage.set(Stage::InFlight {
            until: self.event_loop.clock.now() + request.timeout,
        });
        let pending = PendingResponse {
            sender,
            client: self.client.clone(),
        };
        self.event_loop
            .client_listener
            .pending_responses
            .borrow_mut()
            .insert(invocation_id, pending);
        self.event_loop.handle(Event::RequestReceived {
            invocation_id,
            request,
        });
        Ok(receiver.await.unwrap_or(ClientResponse::Errored))
    }
}

#[cfg(test)]
mod tests;
