//! The side that is called: accepts connections and hands each request to a [`Service`].

use crate::connection::{configure, MAX_QUEUED_FRAMES};
use crate::frame::{write_frames, CallId, Frame, FrameReader};
use bytes::Bytes;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Calls of one connection that may be in flight; further ones wait unread.
const MAX_CONCURRENT_CALLS: usize = 1024;
/// Delay after a failed accept (no descriptor left), against a loop that takes all processor time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Carries out calls.
pub trait Service: 'static {
    /// The response to one call; `None` ends the connection (a payload that can't be understood). For one-way messages
    /// the result only says whether the connection goes on.
    fn call(self: Rc<Self>, payload: Bytes) -> impl Future<Output = Option<Bytes>>;
}

/// Serves connections for as long as the task runs.
pub async fn serve<S: Service>(listener: TcpListener, service: Rc<S>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                spawn_local(serve_connection(stream, peer, service.clone()));
            }
            Err(error) => {
                log::warn!("accept failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<S: Service>(stream: TcpStream, peer: SocketAddr, service: Rc<S>) {
    if configure(&stream).is_err() {
        return;
    }
    let (input, output) = stream.into_split();
    let (responses, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
    let writer = spawn_local(write_frames(output, queue));
    let mut reader = FrameReader::new(input);
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
    let rejected = Rc::new(Notify::new());
    while let Ok(permit) = permits.clone().acquire_owned().await {
        let request = tokio::select! {
            request = reader.next() => request,
            () = rejected.notified() => break,
        };
        match request {
            Ok(request) => {
                let call = Call {
                    service: service.clone(),
                    responses: responses.clone(),
                    rejected: rejected.clone(),
                    permit,
                };
                spawn_local(call.run(request));
            }
            Err(error) => {
                log::debug!("connection from {peer} ended: {error}");
                break;
            }
        }
    }
    drop(responses);
    writer.abort();
}

/// What one call in flight needs of its connection.
struct Call<S> {
    service: Rc<S>,
    responses: mpsc::Sender<Frame>,
    /// Notified of a payload that can't be understood.
    rejected: Rc<Notify>,
    permit: OwnedSemaphorePermit,
}

impl<S: Service> Call<S> {
    async fn run(self, request: Frame) {
        let response = self.service.call(request.payload).await;
        drop(self.permit);
        match response {
            None => self.rejected.notify_one(),
            Some(payload) if request.call != CallId::ONE_WAY => {
                let call = request.call;
                let _ = self.responses.send(Frame { call, payload }).await;
            }
            Some(_) => {}
        }
    }
}
