//! An HTTP server that responds to each request after a configurable time.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Interval at which a request checks whether the server still hangs.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An HTTP server that responds 200 after `response_time`, with the request's `x-request-id` as the body.
pub struct Server {
    /// Loopback address and port.
    pub address: SocketAddr,
    /// Time that each request takes, in seconds.
    pub response_time: Cell<f64>,
    /// While set, the server responds to no request.
    pub hangs: Cell<bool>,
    /// Requests received so far.
    pub requests: Cell<u64>,
}

impl Server {
    /// Starts a server whose requests take `response_time` seconds.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port can be bound.
    pub async fn start(response_time: f64) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let server = Rc::new(Server {
            address,
            response_time: Cell::new(response_time),
            hangs: Cell::new(false),
            requests: Cell::new(0),
        });
        let shared = server.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(shared.clone().serve(stream));
            }
        });
        Ok(server)
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(move |request: Request<Incoming>| {
            let server = self.clone();
            async move {
                let id = request.headers().get("x-request-id").cloned();
                let _ = request.into_body().collect().await;
                server.requests.set(server.requests.get() + 1);
                sleep(Duration::from_secs_f64(server.response_time.get())).await;
                while server.hangs.get() {
                    sleep(HANG_POLL_INTERVAL).await;
                }
                let body = id.map_or_else(Bytes::new, |id| Bytes::copy_from_slice(id.as_bytes()));
                Ok::<_, Infallible>(Response::new(Full::new(body)))
            }
        });
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }
}
