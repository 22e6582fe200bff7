//! Connections to the servers, with one attempt at a time on each. Owns the connections in use and idle, and counts
//! the bytes written, which tells whether the server can have run an attempt. An attempt is never sent twice, or
//! written once the state machine no longer wants it; servers are chosen elsewhere.

mod exchange;
mod write_progress;

use crate::error::GatewayError;
use crate::event_loop::EventLoop;
use crate::protocol::{decode_response, encode_server_request, ServerResponse, MAX_BODY_BYTES};
use crate::state_machine::{Attempt, Event};
use dunespur_decisions::types::AttemptResult;
use exchange::{Exchange, ExchangeError};
use http_body_util::{BodyExt, Limited};
use hyper::client::conn::http1;
use hyper::header::CONNECTION;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{Error, ErrorKind, Result as Io};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use write_progress::WriteProgress;

/// Seconds that a connection stays idle between a response and the next attempt. A duplicate of the response that
/// arrives some milliseconds late would otherwise be taken for the response to the next attempt.
const MIN_IDLE_S: f64 = 0.01;

/// A connection to a server, shared between its task and the code that may close it.
struct Connection {
    server: usize,
    /// Number of times that the server's connections had been retired when this one was opened.
    retirements: u64,
    stream: RefCell<Option<TokioIo<TcpStream>>>,
    attempt: RefCell<Option<Attempt>>,
    written: Cell<WriteProgress>,
    closed: Cell<bool>,
    idle_since: Cell<f64>,
    wake: Notify,
}

impl Connection {
    /// Closes the socket immediately rather than when the task next runs, so that the server receives nothing more
    /// over it.
    fn close(&self) {
        self.closed.set(true);
        self.stream.borrow_mut().take();
        self.wake.notify_one();
    }

    fn poll<T>(
        &self,
        poll_stream: impl FnOnce(Pin<&mut TokioIo<TcpStream>>) -> Poll<Io<T>>,
    ) -> Poll<Io<T>> {
        match &mut *self.stream.borrow_mut() {
            Some(stream) => poll_stream(Pin::new(stream)),
            None => Poll::Ready(Err(Error::from(ErrorKind::NotConnected))),
        }
    }
}

/// The stream that hyper reads and writes; counts the bytes of the current attempt.
struct ServerStream(Rc<Connection>);

impl Read for ServerStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buffer: ReadBufCursor) -> Poll<Io<()>> {
        self.0.poll(|stream| stream.poll_read(cx, buffer))
    }
}

impl Write for ServerStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<Io<usize>> {
        let result = self.0.poll(|stream| stream.poll_write(cx, bytes));
        if let Poll::Ready(Ok(n)) = result {
            let mut written = self.0.written.get();
            written.record(&bytes[..n]);
            self.0.written.set(written);
        }
        result
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Io<()>> {
        self.0.poll(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Io<()>> {
        self.0.poll(|stream| stream.poll_shutdown(cx))
    }
}

/// The connections to all servers.
pub struct ServerConnections {
    connect_timeout: Duration,
    max_idle_s: f64,
    max_open: usize,
    open: Cell<usize>,
    /// Idle connections by server, the most recently used last.
    idle: RefCell<Vec<Vec<Rc<Connection>>>>,
    /// Number of retirements by server.
    retirements: RefCell<Vec<u64>>,
    /// Connections with an attempt, by invocation id and attempt index.
    in_use: RefCell<HashMap<(u64, usize), Rc<Connection>>>,
}

impl ServerConnections {
    pub fn new(connect_timeout: Duration, max_idle_s: f64, max_open: usize) -> Self {
        let (idle, retirements, in_use) = Default::default();
        ServerConnections {
            connect_timeout,
            max_idle_s,
            max_open,
            open: Cell::new(0),
            idle,
            retirements,
            in_use,
        }
    }

    pub fn send(&self, event_loop: &Rc<EventLoop>, attempt: Attempt) {
        let Attempt {
            invocation_id,
            index,
            server,
            address,
            ..
        } = attempt;
        if let Some(connection) = self.take_idle(server, event_loop.clock.now()) {
            connection.written.set(WriteProgress::default());
            *connection.attempt.borrow_mut() = Some(attempt);
            connection.wake.notify_one();
            self.in_use
                .borrow_mut()
                .insert((invocation_id, index), connection);
            return;
        }
        if self.open.get() >= self.max_open && !self.close_oldest() {
            log::warn!(
                "no server connection available: all {} are in use",
                self.max_open
            );
            let response =
                ServerResponse::without_response(GatewayError::ConnectFailed.attempt_result());
            return event_loop.handle(Event::AttemptEnded {
                invocation_id,
                attempt: index,
                response,
            });
        }
        let connection = Rc::new(Connection {
            server,
            retirements: self.retirements(server),
            stream: RefCell::default(),
            attempt: RefCell::new(Some(attempt)),
            written: Cell::default(),
            closed: Cell::new(false),
            idle_since: Cell::new(0.0),
            wake: Notify::new(),
        });
        self.open.set(self.open.get() + 1);
        self.in_use
            .borrow_mut()
            .insert((invocation_id, index), connection.clone());
        let event_loop = event_loop.clone();
        tokio::task::spawn_local(async move {
            // `ConnectionTask` reports the end of the task on drop, even after a panic.
            let task = ConnectionTask(&event_loop, &connection);
            let error = task.run(address).await;
            log::trace!("server {}: connection ended: {error}", connection.server);
        });
    }

    /// Cancels an attempt at once. An attempt that was not completely written cannot have run.
    pub fn cancel(
        &self,
        event_loop: &Rc<EventLoop>,
        invocation_id: u64,
        attempt: usize,
        result: AttemptResult,
    ) {
        // Without a connection, its task has panicked; the state machine still needs the end of the attempt.
        let connection = self.in_use.borrow_mut().remove(&(invocation_id, attempt));
        let unsent = connection.is_some_and(|connection| {
            connection.attempt.borrow_mut().take();
            connection.close();
            result == AttemptResult::Timeout && !connection.written.get().is_complete()
        });
        let result = if unsent {
            GatewayError::ClosedBeforeSent.attempt_result()
        } else {
            result
        };
        event_loop.handle(Event::AttemptEnded {
            invocation_id,
            attempt,
            response: ServerResponse::without_response(result),
        });
    }

    /// Retires the connections of a server that left, moved or restarted: idle ones close now, those in use after
    /// their response.
    pub fn retire(&self, server: usize) {
        let mut retirements = self.retirements.borrow_mut();
        if retirements.len() <= server {
            retirements.resize(server + 1, 0);
        }
        retirements[server] += 1;
        let connections = self.idle.borrow_mut().get_mut(server).map(std::mem::take);
        connections
            .into_iter()
            .flatten()
            .for_each(|connection| connection.close());
    }

    fn retirements(&self, server: usize) -> u64 {
        self.retirements.borrow().get(server).copied().unwrap_or(0)
    }

    /// Closes connections that have been idle so long that the server might close them first.
    pub fn sweep(&self, now: f64) {
        for connections in self.idle.borrow_mut().iter_mut() {
            let expired = connections
                .partition_point(|connection| now - connection.idle_since.get() > self.max_idle_s);
            connections
                .drain(..expired)
                .for_each(|connection| connection.close());
        }
    }

    /// Takes the most recently used idle connection of the server that has been idle for `MIN_IDLE_S`, or else the
    /// one idle longest. Expired connections are closed here too: between two sweeps the server might close one just
    /// as it is reused.
    fn take_idle(&self, server: usize, now: f64) -> Option<Rc<Connection>> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(server)?;
        let expired = connections
            .partition_point(|connection| now - connection.idle_since.get() > self.max_idle_s);
        connections
            .drain(..expired)
            .for_each(|connection| connection.close());
        let usable = connections
            .partition_point(|connection| now - connection.idle_since.get() >= MIN_IDLE_S);
        (!connections.is_empty()).then(|| connections.remove(usable.saturating_sub(1)))
    }

    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .iter_mut()
            .filter(|connections| !connections.is_empty());
        match oldest.min_by(|a, b| a[0].idle_since.get().total_cmp(&b[0].idle_since.get())) {
            Some(connections) => {
                connections.remove(0).close();
                true
            }
            None => false,
        }
    }

    fn keep(&self, connection: &Rc<Connection>, now: f64) {
        if connection.retirements != self.retirements(connection.server) {
            return connection.close();
        }
        connection.idle_since.set(now);
        let mut idle = self.idle.borrow_mut();
        if idle.len() <= connection.server {
            idle.resize_with(connection.server + 1, Vec::new);
        }
        idle[connection.server].push(connection.clone());
    }
}

/// The task of a connection. However it ends, dropping it reports the attempt on the connection and frees its slot.
struct ConnectionTask<'a>(&'a Rc<EventLoop>, &'a Rc<Connection>);

impl Drop for ConnectionTask<'_> {
    fn drop(&mut self) {
        let ConnectionTask(event_loop, connection) = self;
        connection.close();
        let server_connections = &event_loop.server_connections;
        server_connections
            .open
            .set(server_connections.open.get() - 1);
        if let Some(connections) = server_connections
            .idle
            .borrow_mut()
            .get_mut(connection.server)
        {
            connections.retain(|idle| !Rc::ptr_eq(idle, connection));
        }
        // A second panic during unwinding would abort the process; the deadline of the attempt ends it instead.
        if !std::thread::panicking() {
            let error = if connection.written.get().is_complete() {
                GatewayError::ClosedAfterSent
            } else {
                GatewayError::ClosedBeforeSent
            };
            self.report(Err(error));
        }
    }
}

impl ConnectionTask<'_> {
    /// Reports the result of the attempt on this connection, once.
    fn report(&self, result: Result<ServerResponse, GatewayError>) {
        let ConnectionTask(event_loop, connection) = self;
        let Some(Attempt {
            invocation_id,
            index,
            ..
        }) = connection.attempt.borrow_mut().take()
        else {
            return;
        };
        if event_loop
            .server_connections
            .in_use
            .borrow_mut()
            .remove(&(invocation_id, index))
            .is_none()
        {
            return;
        }
        let response =
            result.unwrap_or_else(|error| ServerResponse::without_response(error.attempt_result()));
        event_loop.handle(Event::AttemptEnded {
            invocation_id,
            attempt: index,
            response,
        });
    }

    /// Handles the end of the connection. If it was idle before and no byte of the attempt has been written, the
    /// server closed it just as it was reused; the attempt is then sent over another connection.
    fn retry_on_other_connection(&self) -> GatewayError {
        let ConnectionTask(event_loop, connection) = self;
        let was_idle = connection.idle_since.get() > 0.0;
        if !was_idle || connection.written.get().has_begun() || connection.closed.get() {
            return GatewayError::ClosedAfterSent;
        }
        connection.close();
        let attempt = connection.attempt.borrow_mut().take();
        if let Some(attempt) = attempt {
            event_loop
                .server_connections
                .in_use
                .borrow_mut()
                .remove(&(attempt.invocation_id, attempt.index));
            event_loop.server_connections.send(event_loop, attempt);
        }
        GatewayError::ClosedBeforeSent
    }

    /// Connects, then carries attempts until the connection ends; returns the reason for the end.
    async fn run(&self, address: SocketAddr) -> GatewayError {
        let ConnectionTask(event_loop, connection) = self;
        let connected = tokio::select! {
            biased;
            _ = connection.wake.notified() => return GatewayError::Cancelled,
            connected = timeout(event_loop.server_connections.connect_timeout, TcpStream::connect(address)) => connected,
        };
        let Ok(Ok(stream)) = connected else {
            return GatewayError::ConnectFailed;
        };
        let _ = stream.set_nodelay(true);
        *connection.stream.borrow_mut() = Some(TokioIo::new(stream));
        event_loop.handle(Event::ServerConnected);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BODY_BYTES);
        let Ok((mut sender, driver)) = builder.handshake(ServerStream((*connection).clone())).await
        else {
            return GatewayError::ClosedBeforeSent;
        };
        let mut driver = pin!(driver);
        loop {
            if connection.closed.get() {
                return GatewayError::Cancelled;
            }
            let attempt = connection.attempt.borrow().clone();
            let Some(attempt) = attempt else {
                // Idle until an attempt arrives or either side closes.
                tokio::select! {
                    biased;
                    _ = connection.wake.notified() => {}
                    _ = &mut driver => return GatewayError::ClosedAfterSent,
                }
                continue;
            };
            let now = event_loop.clock.now();
            let idle_time_left = connection.idle_since.get() + MIN_IDLE_S - now;
            if idle_time_left > 0.0 {
                tokio::select! {
                    biased;
                    _ = connection.wake.notified() => {}
                    _ = &mut driver => return self.retry_on_other_connection(),
                    _ = sleep(Duration::from_secs_f64(idle_time_left)) => {}
                }
                continue;
            }
            // While the connection was being set up, the client may have disconnected or the server been withdrawn.
            event_loop
                .client_listener
                .detect_disconnect(event_loop, attempt.invocation_id);
            if connection.closed.get() {
                continue;
            }
            if !event_loop
                .state_machine
                .borrow()
                .is_still_wanted(&attempt, now)
            {
                event_loop.server_connections.keep(connection, now);
                self.report(Err(GatewayError::ClosedBeforeSent));
                continue;
            }
            let written = WriteProgress::of_attempt(attempt.request.body_len());
            connection.written.set(written);
            let request = encode_server_request(&attempt.request, attempt.deadline - now);
            let mut exchange = pin!(async {
                sender.ready().await?;
                let (head, body) = sender.send_request(request).await?.into_parts();
                // A response that arrives before the request is completely written belongs to another request.
                if !connection.written.get().is_complete() {
                    return Err(ExchangeError::BeforeRequest);
                }
                // The body of such a response would be read by a guess, and might look complete.
                dunespur_response_head::validate(&head)?;
                let server_closes = head
                    .headers
                    .get(CONNECTION)
                    .is_some_and(|v| v.as_bytes() == b"close");
                let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
                Ok::<_, ExchangeError>(Exchange {
                    head,
                    body,
                    server_closes,
                })
            });
            let mut still_open = true;
            let result = loop {
                tokio::select! {
                    biased;
                    result = &mut exchange => break result,
                    _ = connection.wake.notified() => if connection.closed.get() {
                        return GatewayError::Cancelled;
                    },
                    // A response received before the connection closed is still valid.
                    _ = &mut driver, if still_open => still_open = false,
                }
            };
            if let Some(error) = self.finish_exchange(result, still_open) {
                return error;
            }
        }
    }

    /// Handles the end of an exchange; returns an error if the connection ended with it. `still_open` tells whether
    /// the connection was open when the response was complete.
    fn finish_exchange<E: std::fmt::Display>(
        &self,
        result: Result<Exchange<E>, ExchangeError>,
        still_open: bool,
    ) -> Option<GatewayError> {
        let ConnectionTask(event_loop, connection) = self;
        match result {
            Ok(Exchange {
                head,
                body: Ok(body),
                server_closes,
            }) => {
                // Kept as idle before the result is reported, so that the next attempt can reuse the connection.
                if still_open && !server_closes && !connection.closed.get() {
                    event_loop
                        .server_connections
                        .keep(connection, event_loop.clock.now());
                }
                self.report(Ok(decode_response(&head, body.to_bytes())));
                (!still_open || server_closes).then_some(GatewayError::ClosedAfterSent)
            }
            Ok(Exchange { body: Err(e), .. }) => {
                log::debug!(
                    "server {}: response body incomplete: {e}",
                    connection.server
                );
                Some(GatewayError::ClosedAfterSent)
            }
            Err(ExchangeError::BeforeRequest) => Some(GatewayError::ClosedBeforeSent),
            Err(ExchangeError::InvalidHead(e)) => {
                log::debug!("server {}: response not used: {e}", connection.server);
                Some(GatewayError::ClosedAfterSent)
            }
            Err(ExchangeError::Connection(e)) => {
                log::debug!("server {}: request failed: {e}", connection.server);
                Some(self.retry_on_other_connection())
            }
        }
    }
}
