//! A connection to an endpoint: one request at a time, driven by whoever waits for the response.

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

/// What is read ahead of a response, its head above all, and written ahead of what the endpoint reads.
const BUFFER_BYTES: usize = 64 * 1024;
/// Bytes that the other side has not acknowledged for so long end the connection. Protects against a machine without
/// power or behind a network partition, which sends nothing.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
/// The body of a request up to this length fits into the sockets' buffers whether the endpoint reads it or not. Of a
/// longer one the rest waits here until the endpoint reads on, and the operating system would take an endpoint that
/// leaves it unread for dead: it has as long as the request.
const MAX_BUFFERED_BODY_BYTES: u64 = 32 * 1024;
/// Headers of a response.
const MAX_HEADERS: usize = 160;

/// Why no connection came up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum ConnectError {
    /// Nobody listens there, or nobody answered in time.
    #[error("nobody accepts connections there, or not in time")]
    Unreachable,
    /// All connections that this process may have are in use.
    #[error("all connections that this process may have are in use")]
    NoConnectionLeft,
    /// The endpoint closed it as soon as it had come up: it has too many.
    #[error("the endpoint closed the new connection")]
    TurnedAway,
    /// The deadline of the request passed first.
    #[error("the request's deadline passed first")]
    TimeUp,
}

/// A connection to one endpoint.
pub(crate) struct EndpointConnection {
    endpoint: ServerId,
    transport: Rc<Transport>,
    sender: http1::SendRequest<OutboundBody>,
    /// None once it has ended.
    driver: Option<Driver>,
    _permit: ConnectionPermit,
}

/// The HTTP library's half of a connection, which has to be polled.
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

    /// Whether it is still open so long from now.
    pub(crate) async fn stays_open_for(&mut self, watch: Duration) -> bool {
        let mut watch = pin!(sleep(watch));
        poll_fn(|cx| {
            drive(&mut self.driver, cx);
            if self.driver.is_none() {
                return Poll::Ready(false);
            }
            watch.as_mut().poll(cx).map(|()| true)
        })
        .await
    }

    pub(crate) fn endpoint(&self) -> &ServerId {
        &self.endpoint
    }

    /// Whether the other side has sent nothing since the last response, not even the end of the connection. Asks the
    /// operating system: protects against bytes that the event loop has not seen yet.
    pub(crate) fn is_quiet(&self) -> bool {
        self.transport.is_quiet()
    }

    /// How much of the present request was written.
    pub(crate) fn send_progress(&self) -> SendProgress {
        self.transport.progress()
    }

    /// Who ended it, as far as a read or write has met the end.
    pub(crate) fn ended_by(&self) -> EndedBy {
        self.transport.ended_by()
    }

    /// Sends a request, whose deadline is in `remaining`, and waits for the head of its response.
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

    /// The attempt that ended with this error before the head of a response.
    fn failed_attempt(&self, error: &hyper::Error) -> Attempt {
        log::debug!("endpoint {}: {error}", self.endpoint);
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

    /// The next bytes of the response's body; None at its end.
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

    /// Whether it can carry a request.
    pub(crate) fn is_ready(&mut self) -> bool {
        // Nobody needs to be woken by it until it is used again.
        drive(&mut self.driver, &mut Context::from_waker(Waker::noop()));
        self.driver.is_some() && self.sender.is_ready()
    }
}

/// Lets a connection make progress; takes its driver out once it has ended.
fn drive(driver: &mut Option<Driver>, cx: &mut Context) {
    let has_ended = driver
        .as_mut()
        .is_some_and(|driver| Pin::new(driver).poll(cx).is_ready());
    if has_ended {
        // A request that it has not begun to write is completed only by this.
        *driver = None;
    }
}
