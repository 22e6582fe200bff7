//! Serves the readiness check of the platform.

use crate::connection_permit::ConnectionPermit;
use crate::node::Node;
use http::{Response, StatusCode};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Duration};

/// The path of the readiness check.
const READY_PATH: &str = "/api/readyz";
/// The longest that a connection may stay open.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);
/// The most concurrent connections. Protects against callers that never close their connections.
const MAX_CONNECTIONS: usize = 64;
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Responds to `GET /api/readyz` at `listener` with the readiness of the node: 200 or 503. Never returns. Must run
/// within a `LocalSet`.
pub async fn serve_readiness<N: Node>(node: Rc<N>, listener: TcpListener) {
    let open_count = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) if open_count.get() < MAX_CONNECTIONS => {
                let permit = ConnectionPermit::new(&open_count);
                tokio::task::spawn_local(serve_connection(node.clone(), stream, permit));
            }
            Ok(_) => {}
            Err(error) => {
                log::warn!("accepting a readiness connection failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<N: Node>(node: Rc<N>, stream: TcpStream, _permit: ConnectionPermit) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request: http::Request<hyper::body::Incoming>| {
        let status = match (request.uri().path(), node.is_ready()) {
            (READY_PATH, true) => StatusCode::OK,
            (READY_PATH, false) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        let mut response = Response::new(String::new());
        *response.status_mut() = status;
        async move { Ok::<_, Infallible>(response) }
    });
    let mut builder = http1::Builder::new();
    builder.auto_date_header(false).header_read_timeout(None);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let _ = timeout(CONNECTION_TIMEOUT, connection).await;
}
