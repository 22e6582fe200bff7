//! A server of requests that responds after a set time.

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

/// How often a hanging request checks whether it may proceed.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A server: responds 200 after `takes` seconds, or not at all while it hangs. The body is the request's id.
pub struct Server {
    /// Address on loopback.
    pub address: SocketAddr,
    /// Duration of each request, in seconds.
    pub takes: Cell<f64>,
    /// While set, no request is responded to.
    pub hangs: Cell<bool>,
    /// Requests that have begun so far.
    pub began: Cell<u64>,
}

impl Server {
    /// Starts a server whose requests take `takes` seconds.
    ///
    /// # Errors
    ///
    /// Fails where no port on loopback can be bound.
    pub async fn start(takes: f64) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (takes, hangs, began) = (Cell::new(takes), Cell::new(false), Cell::new(0));
        let server = Rc::new(Server {
            address,
            takes,
            hangs,
            began,
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
                server.began.set(server.began.get() + 1);
                sleep(Duration::from_secs_f64(server.takes.get())).await;
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
