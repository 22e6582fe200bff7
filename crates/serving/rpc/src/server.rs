//! The server: accepts connections and passes each request to a [`Service`].

use crate::connection::{set_socket_options, MAX_QUEUED_FRAMES};
use crate::frame::{write_frames, CallId, Frame, FrameReader, MAX_PAYLOAD_BYTES};
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

/// Maximum number of calls in flight on one connection. Further requests stay unread in the socket.
const MAX_CONCURRENT_CALLS: usize = 1024;
/// Delay after a failed accept, e.g. for lack of file descriptors. Without it, the loop would occupy the processor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Executes calls.
pub trait Service: 'static {
    /// Executes a call and returns the response, or `None` for an invalid payload, which closes the connection. The
    /// response to a one-way message is not sent, nor is one that is larger than [`MAX_PAYLOAD_BYTES`].
    fn call(self: Rc<Self>, payload: Bytes) -> impl Future<Output = Option<Bytes>>;
}

/// Accepts and serves connections until the task is aborted.
pub async fn serve<S: Service>(listener: TcpListener, service: Rc<S>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                spawn_local(serve_connection(stream, peer, service.clone()));
            }
            Err(error) => {
                log::warn!("accepting a connection failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<S: Service>(stream: TcpStream, peer: SocketAddr, service: Rc<S>) {
    if set_socket_options(&stream).is_err() {
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
                log::debug!("connection from {peer} closed: {error}");
                break;
            }
        }
    }
    drop(responses);
    writer.abort();
}

/// A call in flight on a connection.
struct Call<S> {
    service: Rc<S>,
    responses: mpsc::Sender<Frame>,
    /// Notified if the service rejects a payload as invalid.
    rejected: Rc<Notify>,
    permit: OwnedSemaphorePermit,
}

impl<S: Service> Call<S> {
    async fn run(self, request: Frame) {
        let response = self.service.call(request.payload).await;
        drop(self.permit);
        match response {
            None => self.rejected.notify_one(),
            Some(payload) if payload.len() > MAX_PAYLOAD_BYTES => {
                // The client would close the connection, and all calls on it would fail.
                log::error!(
                    "a response of {} bytes is not sent, as a frame carries at most {MAX_PAYLOAD_BYTES}",
                    payload.len()
                );
            }
            Some(payload) if request.call != CallId::ONE_WAY => {
                let call = request.call;
                let _ = self.responses.send(Frame { call, payload }).await;
            }
            Some(_) => {}
        }
    }
}
