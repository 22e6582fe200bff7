//! The client: one persistent connection to one address, opened by the first call.

use crate::connection::{connect, MAX_QUEUED_FRAMES};
use crate::frame::{write_frames, CallId, Frame, FrameError, FrameReader, MAX_PAYLOAD_BYTES};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use thiserror::Error;
use tokio::io::AsyncRead;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

/// Why a call failed. The server may have executed the call unless the request was not sent. The client never sends a
/// request twice: only the caller decides on retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// No connection could be established, so the request was not sent.
    #[error("no connection could be established")]
    Unreachable,
    /// The connection was closed before the response arrived.
    #[error("the connection was closed before the response arrived")]
    Closed,
    /// No response arrived within the caller's time limit.
    #[error("no response arrived within the time limit")]
    TimedOut,
    /// The connection's queue is full or the frame is too large, so the frame was not sent.
    #[error("the queue of the connection is full or the frame is too large")]
    Full,
}

/// A connection that is established or being opened.
struct Connection {
    queue: mpsc::Sender<Frame>,
    task: AbortHandle,
}

type PendingCalls = HashMap<CallId, oneshot::Sender<Result<Bytes, CallError>>>;

/// Sends calls and one-way messages to one address. Dropping the client closes its connection.
pub struct Client {
    address: SocketAddr,
    connection: RefCell<Option<Connection>>,
    /// Calls that wait for a response. Responses with other call ids are discarded.
    pending: RefCell<PendingCalls>,
    /// Id of the next call. Ids are never reused, even over new connections, so that a late or duplicate response to an
    /// earlier call can't be mistaken for the response to a later one.
    next_call: Cell<u64>,
    /// Called whenever a connection is closed or can't be established.
    on_closed: Option<Box<dyn Fn()>>,
}

impl Client {
    /// Creates a client of `address`, which connects at the first call or message.
    #[must_use]
    pub fn new(address: SocketAddr) -> Rc<Client> {
        Client::build(address, None)
    }

    /// Creates a client of `address` that calls `on_closed` whenever a connection is closed or can't be established.
    #[must_use]
    pub fn with_close_observer(address: SocketAddr, on_closed: Box<dyn Fn()>) -> Rc<Client> {
        Client::build(address, Some(on_closed))
    }

    fn build(address: SocketAddr, on_closed: Option<Box<dyn Fn()>>) -> Rc<Client> {
        Rc::new(Client {
            address,
            connection: RefCell::default(),
            pending: RefCell::default(),
            next_call: Cell::new(1),
            on_closed,
        })
    }

    /// The address that the client connects to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the response, at most for `time_limit`.
    ///
    /// # Errors
    /// Each [`CallError`] states whether the server may have executed the call.
    pub async fn call(
        self: &Rc<Self>,
        payload: Bytes,
        time_limit: Duration,
    ) -> Result<Bytes, CallError> {
        let call = CallId(self.next_call.replace(self.next_call.get() + 1));
        let (sender, response) = oneshot::channel();
        self.pending.borrow_mut().insert(call, sender);
        let _pending = PendingGuard { client: self, call };
        self.enqueue(Frame { call, payload })?;
        match timeout(time_limit, response).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(CallError::Closed),
            Err(_) => Err(CallError::TimedOut),
        }
    }

    /// Queues a one-way message. Messages on one connection arrive in order; if it is closed, unsent ones are lost.
    ///
    /// # Errors
    /// [`CallError::Full`]: the message was not queued.
    pub fn notify(self: &Rc<Self>, payload: Bytes) -> Result<(), CallError> {
        let call = CallId::ONE_WAY;
        self.enqueue(Frame { call, payload })
    }

    fn enqueue(self: &Rc<Self>, frame: Frame) -> Result<(), CallError> {
        if frame.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(CallError::Full);
        }
        let mut connection = self.connection.borrow_mut();
        let connected = connection.get_or_insert_with(|| self.open());
        if connected.queue.try_send(frame).is_ok() {
            return Ok(());
        }
        drop(connection);
        // Calls that were queued earlier may have been sent. Only the new frame certainly was not.
        self.close(CallError::Closed);
        Err(CallError::Full)
    }

    /// Closes the connection, if there is one. The next call opens a new connection.
    pub fn disconnect(&self) {
        self.close(CallError::Closed);
    }

    fn open(self: &Rc<Self>) -> Connection {
        let (queue, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
        let client = Rc::downgrade(self);
        let address = self.address;
        let task = spawn_local(async move {
            let error = run_connection(address, frames, client.clone()).await;
            if let Some(client) = client.upgrade() {
                client.close(error);
            }
        });
        Connection {
            queue,
            task: task.abort_handle(),
        }
    }

    fn close(&self, error: CallError) {
        let Some(connection) = self.connection.borrow_mut().take() else {
            return;
        };
        let pending = std::mem::take(&mut *self.pending.borrow_mut());
        for sender in pending.into_values() {
            let _ = sender.send(Err(error));
        }
        if let Some(on_closed) = &self.on_closed {
            on_closed();
        }
        connection.task.abort();
    }

    fn complete(&self, response: Frame) {
        if let Some(sender) = self.pending.borrow_mut().remove(&response.call) {
            let _ = sender.send(Ok(response.payload));
        }
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.borrow_mut().take() {
            connection.task.abort();
        }
    }
}

/// Removes a pending call when its future completes or is dropped.
struct PendingGuard<'a> {
    client: &'a Client,
    call: CallId,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.client.pending.borrow_mut().remove(&self.call);
    }
}

/// Runs one connection until it is closed. Returns the error for the calls that are still pending.
async fn run_connection(
    address: SocketAddr,
    frames: mpsc::Receiver<Frame>,
    client: Weak<Client>,
) -> CallError {
    let Some(stream) = connect(address).await else {
        return CallError::Unreachable;
    };
    let (input, output) = stream.into_split();
    tokio::select! {
        () = write_frames(output, frames) => CallError::Closed,
        error = read_responses(FrameReader::new(input), client) => {
            if error != FrameError::Closed {
                log::warn!("connection to {address} closed: {error}");
            }
            CallError::Closed
        }
    }
}

/// Completes calls with their responses until the connection or the client is closed. Returns why no further response
/// can be read.
async fn read_responses(
    mut reader: FrameReader<impl AsyncRead + Unpin>,
    client: Weak<Client>,
) -> FrameError {
    loop {
        let response = match reader.next().await {
            Ok(response) => response,
            Err(error) => return error,
        };
        let Some(client) = client.upgrade() else {
            return FrameError::Closed;
        };
        client.complete(response);
    }
}
