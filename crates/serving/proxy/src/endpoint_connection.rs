//! A connection to an endpoint. It carries one request at a time, and makes progress only while its user polls it.

use crate::classification::{
    Attempt, EndedBy, Framing, ResponseKind, ResponseProgress, SendProgress,
};
use crate::connection_permit::ConnectionPermit;
use crate::endpoint_io::{OutboundBody, Transport, TransportIo};
use bytes::Bytes;
use dunespur_routing::ServerId;
use http::{Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use smallvec::SmallVec;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{sleep, Duration};

/// The size of the read and write buffers; the head of a response has to fit into it.
const BUFFER_BYTES: usize = 64 * 1024;
/// How long sent bytes may stay unacknowledged before the connection ends. Protects against a machine that has lost
/// power or is behind a network partition, and sends nothing.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
/// The longest request body that fits into the sockets' buffers even if the endpoint does not read it. The rest of a
/// longer body waits until the endpoint reads on. The operating system would take an endpoint that pauses reading for
/// dead, so for longer bodies the peer timeout is the request's remaining time.
const MAX_BUFFERED_BODY_BYTES: u64 = 32 * 1024;
/// The most headers of a response.
const MAX_HEADERS: usize = 160;

/// Why no connection could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum ConnectError {
    /// No process listens at the address, or the endpoint did not accept in time.
    #[error("the endpoint did not accept the connection, or not in time")]
    Unreachable,
    /// This process has reached its limit of endpoint connections, or the machine lacks descriptors, ports or buffers.
    #[error("no endpoint connection, file descriptor, port or buffer is left")]
    NoConnectionLeft,
    /// The endpoint closed the new connection at once because it has too many.
    #[error("the endpoint closed the new connection")]
    TurnedAway,
    /// The endpoint has started to leave since it was chosen; it gets no further requests.
    #[error("the endpoint is leaving")]
    Leaving,
    /// Another endpoint has the address; the chosen one is gone.
    #[error("another endpoint has the address")]
    Replaced,
    /// The deadline of the request passed before the connection was open.
    #[error("the request's deadline passed before the connection was open")]
    TimeUp,
}

/// An open connection, with hyper's sender and the driver that does its I/O.
pub(crate) struct EndpointConnection {
    endpoint: ServerId,
    transport: Rc<Transport>,
    sender: http1::SendRequest<OutboundBody>,
    /// None once the connection has ended.
    driver: Option<Driver>,
    _permit: ConnectionPermit,
}

/// hyper's connection future, which has to be polled for the connection to make progress.
type Driver = Box<http1::Connection<TransportIo, OutboundBody>>;

impl EndpointConnection {
    pub(crate) async fn new(
        endpoint: ServerId,
        stream: TcpStream,
        permit: ConnectionPermit,
    ) -> Result<EndpointConnection, ConnectError> {
        let transport = Transport::new(stream, PEER_TIMEOUT);
        let mut builder = http1::Builder::new();
        builder.max_headers(MAX_HEADERS).max_buf_size(BUFFER_BYTES);
        let handshake = builder.handshake(TransportIo(transport.clone())).await;
        let (sender, driver) = handshake.map_err(|_| ConnectError::Unreachable)?;
        Ok(EndpointConnection {
            endpoint,
            transport,
            sender,
            driver: Some(Box::new(driver)),
            _permit: permit,
        })
    }

    /// Watches the connection for `watch_time`. Returns whether it is still open then.
    pub(crate) async fn stays_open_for(&mut self, watch_time: Duration) -> bool {
        let mut timer = pin!(sleep(watch_time));
        poll_fn(|cx| {
            drive(&mut self.driver, cx);
            if self.driver.is_none() {
                return Poll::Ready(false);
            }
            timer.as_mut().poll(cx).map(|()| true)
        })
        .await
    }

    pub(crate) fn endpoint(&self) -> &ServerId {
        &self.endpoint
    }

    /// Whether neither bytes nor an end of the stream have arrived since the last response. Asks the operating system,
    /// because the event loop may not have seen the latest bytes yet.
    pub(crate) fn has_nothing_to_read(&self) -> bool {
        self.transport.has_nothing_to_read()
    }

    /// Returns how much of the current request has been written.
    pub(crate) fn send_progress(&self) -> SendProgress {
        self.transport.progress()
    }

    /// Returns who ended the connection, as far as a read or write has noticed it.
    pub(crate) fn ended_by(&self) -> EndedBy {
        self.transport.ended_by()
    }

    /// Sends a request whose deadline is in `remaining`, and waits for the head of its response.
    pub(crate) async fn exchange(
        &mut self,
        head: Request<()>,
        body_chunks: SmallVec<[Bytes; 1]>,
        remaining: Duration,
    ) -> Result<Response<Incoming>, Attempt> {
        let body_bytes = body_chunks.iter().map(|chunk| chunk.len() as u64).sum();
        self.transport.begin_request(body_bytes);
        let is_long = body_bytes > MAX_BUFFERED_BODY_BYTES;
        let peer_timeout = if is_long {
            remaining.max(PEER_TIMEOUT)
        } else {
            PEER_TIMEOUT
        };
        self.transport.set_peer_timeout(peer_timeout);
        let body = OutboundBody::new(body_chunks, body_bytes, self.transport.clone());
        let mut response = pin!(self.sender.send_request(head.map(|()| body)));
        let driver = &mut self.driver;
        let responded = poll_fn(|cx| {
            drive(driver, cx);
            response.as_mut().poll(cx)
        });
        responded.await.map_err(|error| self.failed_attempt(&error))
    }

    /// Describes the attempt that ended with `error` before the head of a response.
    fn failed_attempt(&self, error: &hyper::Error) -> Attempt {
        log::debug!("exchange with endpoint {} failed: {error}", self.endpoint);
        let response = if error.is_parse() {
            ResponseProgress::Partial {
                kind: ResponseKind::Unrelated,
                framing: Framing::Delimited,
                forwarded: false,
            }
        } else {
            ResponseProgress::Nothing
        };
        let ended_by = match self.ended_by() {
            EndedBy::Nobody => EndedBy::Proxy,
            other => other,
        };
        Attempt {
            request: self.send_progress(),
            response,
            ended_by,
        }
    }

    /// Polls for the next bytes of the response's body; None at its end.
    pub(crate) fn poll_body(
        &mut self,
        body: &mut Incoming,
        cx: &mut Context,
    ) -> Poll<Option<Result<Bytes, hyper::Error>>> {
        loop {
            drive(&mut self.driver, cx);
            match Pin::new(&mut *body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(bytes) => return Poll::Ready(Some(Ok(bytes))),
                    Err(_trailers) => {}
                },
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Some(Err(error))),
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    /// Whether the connection is open and can carry a request.
    pub(crate) fn is_ready(&mut self) -> bool {
        // An idle connection wakes no task; it is polled again when it is next used.
        drive(&mut self.driver, &mut Context::from_waker(Waker::noop()));
        self.driver.is_some() && self.sender.is_ready()
    }
}

/// Polls a connection's driver, and drops the driver once the connection has ended.
fn drive(driver: &mut Option<Driver>, cx: &mut Context) {
    let has_ended = driver
        .as_mut()
        .is_some_and(|driver| Pin::new(driver).poll(cx).is_ready());
    if has_ended {
        // A request that was not yet written completes, with an error, only when the driver is dropped.
        *driver = None;
    }
}
