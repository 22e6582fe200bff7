//! The `control` address: heartbeats of servers, the operator's configurations and retirements, as HTTP/1.1 with
//! JSON bodies.

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

/// A caller that sends its head slower than this is disconnected.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What the interface reads and calls.
pub struct ControlApi {
    /// The way to the core.
    pub directory: Rc<Directory>,
    /// Where the load aggregators are.
    pub load_exchange: Rc<LoadExchange>,
    /// The port of this interface, the same on all machines.
    pub control_port: u16,
    /// Machines that may be lost at once.
    pub tolerated_losses: u32,
}

/// Serves the control address for as long as the task runs.
pub async fn serve(api: Rc<ControlApi>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(connection(api.clone(), stream));
            }
            Err(error) => {
                log::warn!("control: accept failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn connection(api: Rc<ControlApi>, stream: TcpStream) {
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
        log::debug!("control: a connection ended: {error}");
    }
}
