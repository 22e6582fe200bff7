//! The side that calls: one kept connection to one address, opened when it is needed.

use crate::frame::{encode, FrameReader, MOST_FRAME};
use crate::{prepare, CONNECT_TIMEOUT, FURTHER_ATTEMPT, MOST_QUEUED};
use bytes::{Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_local, AbortHandle, JoinSet};
use tokio::time::timeout;

/// Why a call has no answer. Whether it was carried out is not known, unless nothing was sent. A call is sent once: it
/// is never sent again over another connection, so that its caller alone decides on what is repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection came up: nothing was sent.
    Unreachable,
    /// The connection ended before the answer.
    Closed,
    /// No answer within the caller's time.
    TimedOut,
    /// Too many frames wait already, or this one is too large: nothing was sent.
    Full,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            CallError::Unreachable => "no connection came up",
            CallError::Closed => "the connection ended before the answer",
            CallError::TimedOut => "no answer in time",
            CallError::Full => "too much waits for this connection",
        };
        f.write_str(text)
    }
}

impl std::error::Error for CallError {}

/// A connection that is up or coming up.
struct Connection {
    queue: mpsc::Sender<(u64, Bytes)>,
    task: AbortHandle,
}

type Waiting = HashMap<u64, oneshot::Sender<Result<Bytes, CallError>>>;

/// Calls one address. Dropping it ends the connection.
pub struct Client {
    address: SocketAddr,
    connection: RefCell<Option<Connection>>,
    /// Calls without an answer. An answer to any other number is dropped.
    waiting: RefCell<Waiting>,
    /// Never used twice, over however many connections. Guards against a late or second answer to an earlier call: it
    /// would be taken for that to a later one.
    next_number: Cell<u64>,
    /// Told whenever a connection ends or does not come up.
    on_closed: Option<Box<dyn Fn()>>,
}

impl Client {
    /// A client of `address`; it connects with the first call.
    pub fn new(address: SocketAddr) -> Rc<Self> {
        Client::build(address, None)
    }

    /// The same; `on_closed` is called whenever a connection ends or does not come up.
    pub fn with_notice(address: SocketAddr, on_closed: Box<dyn Fn()>) -> Rc<Self> {
        Client::build(address, Some(on_closed))
    }

    fn build(address: SocketAddr, on_closed: Option<Box<dyn Fn()>>) -> Rc<Self> {
        Rc::new(Client {
            address,
            connection: RefCell::default(),
            waiting: RefCell::default(),
            next_number: Cell::new(1),
            on_closed,
        })
    }

    /// Where it calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls and waits for the answer, `limit` at most.
    pub async fn call(
        self: &Rc<Self>,
        payload: Bytes,
        limit: Duration,
    ) -> Result<Bytes, CallError> {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, sender);
        let _forget = Forget {
            client: self,
            number,
        };
        self.enqueue(number, payload)?;
        match timeout(limit, answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(CallError::Closed),
            Err(_) => Err(CallError::TimedOut),
        }
    }

    /// Sends a message that has no answer. Messages of one connection arrive in order; they are lost with it.
    pub fn notify(self: &Rc<Self>, payload: Bytes) -> Result<(), CallError> {
        self.enqueue(0, payload)
    }

    fn enqueue(self: &Rc<Self>, number: u64, payload: Bytes) -> Result<(), CallError> {
        if payload.len() + 64 > MOST_FRAME {
            return Err(CallError::Full);
        }
        let mut connection = self.connection.borrow_mut();
        let open = connection.get_or_insert_with(|| self.connect());
        if open.queue.try_send((number, payload)).is_ok() {
            return Ok(());
        }
        drop(connection);
        // What waits already may have been sent: only this frame was not.
        self.close(CallError::Closed);
        Err(CallError::Full)
    }

    /// Ends the connection, if there is one; the next call opens another.
    pub fn disconnect(&self) {
        self.close(CallError::Closed);
    }

    fn connect(self: &Rc<Self>) -> Connection {
        let (queue, frames) = mpsc::channel(MOST_QUEUED);
        let client = Rc::downgrade(self);
        let address = self.address;
        let task = spawn_local(async move {
            let error = run(address, frames, client.clone()).await;
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
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        for sender in waiting.into_values() {
            let _ = sender.send(Err(error));
        }
        if let Some(notice) = &self.on_closed {
            notice();
        }
        connection.task.abort();
    }

    fn answered(&self, number: u64, payload: Bytes) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&number) {
            let _ = sender.send(Ok(payload));
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

/// Takes a call off the waiting ones however its future ends.
struct Forget<'a> {
    client: &'a Client,
    number: u64,
}

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        self.client.waiting.borrow_mut().remove(&self.number);
    }
}

/// One connection from its opening to its end; says what calls without an answer get.
async fn run(
    address: SocketAddr,
    frames: mpsc::Receiver<(u64, Bytes)>,
    client: Weak<Client>,
) -> CallError {
    let Ok(Some(stream)) = timeout(CONNECT_TIMEOUT, open(address)).await else {
        return CallError::Unreachable;
    };
    if prepare(&stream).is_err() {
        return CallError::Unreachable;
    }
    let (input, output) = stream.into_split();
    tokio::select! {
        () = write_frames(output, frames) => CallError::Closed,
        () = read_answers(FrameReader::new(input), client) => CallError::Closed,
    }
}

/// Opens a connection. An attempt without an answer is joined by a further one after a short time. Guards against a
/// machine that was dark when the first packet came: that is sent again only after a second, while the machine
/// may be back long before.
async fn open(address: SocketAddr) -> Option<TcpStream> {
    let mut attempts = JoinSet::new();
    loop {
        attempts.spawn_local(TcpStream::connect(address));
        match timeout(FURTHER_ATTEMPT, attempts.join_next()).await {
            Ok(Some(Ok(connected))) => return connected.ok(),
            Ok(_) => return None,
            Err(_) => {}
        }
    }
}

async fn write_frames(mut output: OwnedWriteHalf, mut frames: mpsc::Receiver<(u64, Bytes)>) {
    let mut buffer = BytesMut::new();
    while let Some((number, payload)) = frames.recv().await {
        encode(number, &payload, &mut buffer);
        while let Ok((number, payload)) = frames.try_recv() {
            encode(number, &payload, &mut buffer);
        }
        if output.write_all(&buffer).await.is_err() {
            return;
        }
        buffer = BytesMut::new();
    }
}

async fn read_answers<R: tokio::io::AsyncRead + Unpin>(
    mut reader: FrameReader<R>,
    client: Weak<Client>,
) {
    while let Ok(frame) = reader.next().await {
        let Some(client) = client.upgrade() else {
            return;
        };
        client.answered(frame.number, frame.payload);
    }
}
