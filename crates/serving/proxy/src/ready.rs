//! The address at which the platform asks whether clients may come.

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

/// Where it asks.
const READY_PATH: &str = "/api/readyz";
/// A connection may stay open for so long.
const CONNECTION_TIME: Duration = Duration::from_secs(60);
/// Connections at once. Guards against callers that never leave.
const MOST_CONNECTIONS: usize = 64;
/// After a failure to accept, so long passes until the next attempt.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Answers `GET /api/readyz` at `listener` by what the node says. Runs within a `LocalSet`, without an end.
pub async fn serve_ready<N: Node>(node: Rc<N>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) if open.get() < MOST_CONNECTIONS => {
                let place = Place::new(&open);
                tokio::task::spawn_local(connection(node.clone(), stream, place));
            }
            Ok(_) => {}
            Err(error) => {
                log::warn!("accept: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

struct Place(Rc<Cell<usize>>);

impl Place {
    fn new(open: &Rc<Cell<usize>>) -> Place {
        open.set(open.get() + 1);
        Place(open.clone())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn connection<N: Node>(node: Rc<N>, stream: TcpStream, _place: Place) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request: http::Request<hyper::body::Incoming>| {
        let status = match (request.uri().path(), node.ready()) {
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
    let _ = timeout(
        CONNECTION_TIME,
        builder.serve_connection(TokioIo::new(stream), service),
    )
    .await;
}
