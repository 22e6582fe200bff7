//! The side that calls: one persistent connection to one address, opened when it is needed.

use crate::connection::{connect, MAX_QUEUED_FRAMES};
use crate::frame::{write_frames, CallId, Frame, FrameReader, MAX_FRAME_BYTES};
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

/// What a frame takes besides its payload, generously.
const FRAME_OVERHEAD_BYTES: usize = 64;

/// Why a call has no response. Whether it was carried out is not known, unless nothing was sent. A call is sent once:
/// it is never sent again over another connection, so that its caller alone decides on retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// No connection could be opened: nothing was sent.
    #[error("no connection came up")]
    Unreachable,
    /// The connection ended before the response.
    #[error("the connection ended before the answer")]
    Closed,
    /// No response within the caller's time.
    #[error("no answer in time")]
    TimedOut,
    /// Too many frames are queued already, or this one is too large: nothing was sent.
    #[error("too much waits for this connection")]
    Full,
}

/// A connection that is established or being opened.
struct Connection {
    queue: mpsc::Sender<Frame>,
    task: AbortHandle,
}

type PendingCalls = HashMap<CallId, oneshot::Sender<Result<Bytes, CallError>>>;

/// Calls one address. Dropping it ends the connection.
pub struct Client {
    address: SocketAddr,
    connection: RefCell<Option<Connection>>,
    /// Calls without a response. A response to any other id is dropped.
    pending: RefCell<PendingCalls>,
    /// Never used twice, over however many connections. Against a late or second response to an earlier call: it would
    /// be taken for that to a later one.
    next_call: Cell<u64>,
    /// Called whenever a connection ends or can't be opened.
    on_closed: Option<Box<dyn Fn()>>,
}

impl Client {
    /// A client of `address`; it connects with the first call.
    #[must_use]
    pub fn new(address: SocketAddr) -> Rc<Client> {
        Client::build(address, None)
    }

    /// The same; `on_closed` is called whenever a connection ends or can't be opened.
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

    /// The address that it calls.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls and waits for the response, `time_limit` at most.
    ///
    /// # Errors
    /// See [`CallError`]: each tells whether the call may have been carried out.
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

    /// Sends a one-way message. Messages of one connection arrive in order; they are lost with it.
    ///
    /// # Errors
    /// [`CallError::Full`]: this message was not sent.
    pub fn notify(self: &Rc<Self>, payload: Bytes) -> Result<(), CallError> {
        let call = CallId::ONE_WAY;
        self.enqueue(Frame { call, payload })
    }

    fn enqueue(self: &Rc<Self>, frame: Frame) -> Result<(), CallError> {
        if frame.payload.len() + FRAME_OVERHEAD_BYTES > MAX_FRAME_BYTES {
            return Err(CallError::Full);
        }
        let mut connection = self.connection.borrow_mut();
        let open = connection.get_or_insert_with(|| self.open());
        if open.queue.try_send(frame).is_ok() {
            return Ok(());
        }
        drop(connection);
        // Calls that are queued already may have been sent: only this frame was not.
        self.close(CallError::Closed);
        Err(CallError::Full)
    }

    /// Ends the connection, if there is one; the next call opens another.
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

/// Removes a call from the pending ones however its future ends.
struct PendingGuard<'a> {
    client: &'a Client,
    call: CallId,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.client.pending.borrow_mut().remove(&self.call);
    }
}

/// One connection from its opening to its end; gives what calls without a response get.
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
        () = read_responses(FrameReader::new(input), client) => CallError::Closed,
    }
}

async fn read_responses(mut reader: FrameReader<impl AsyncRead + Unpin>, client: Weak<Client>) {
    while let Ok(response) = reader.next().await {
        let Some(client) = client.upgrade() else {
            return;
        };
        client.complete(response);
    }
}
