//! The control interface, HTTP/1.1 with JSON bodies: heartbeats of servers, configurations and retirements by the
//! operator.

mod handlers;
mod heartbeat;
mod request;
mod responses;

use crate::directory::Directory;
use crate::load_exchange::LoadExchange;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// A connection whose request head is not complete within this time is closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// State and clients that the request handlers use.
pub struct ControlApi {
    /// The known control state and the client of the core.
    pub directory: Rc<Directory>,
    /// Gives the addresses of the load aggregators.
    pub load_exchange: Rc<LoadExchange>,
    /// Port of the control interface, the same on all machines.
    pub control_port: u16,
    /// Number of machines that may be lost at the same time.
    pub tolerated_losses: u32,
}

/// Serves the control address for as long as the task runs.
pub async fn serve(api: Rc<ControlApi>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_connection(api.clone(), stream));
            }
            Err(error) => {
                log::warn!("control: accepting a connection failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(api: Rc<ControlApi>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let api = api.clone();
        async move { Ok::<_, Infallible>(api.respond(request).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("control: a connection failed: {error}");
    }
}
