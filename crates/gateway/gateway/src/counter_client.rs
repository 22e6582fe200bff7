//! Client of the counter. Owns a few pipelined RESP2 connections, each with a queue of unwritten calls and of calls
//! that await their reply, in order. A call is never sent twice, a completely written call is never reported as not
//! added, and calls on one name never overtake each other.

use crate::event_loop::EventLoop;
use crate::protocol::{decode_counter_reply, encode_counter_call};
use crate::state_machine::Event;
use bytes::{Buf, Bytes, BytesMut};
use dunespur_decisions::types::CounterReply;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// A connection that receives nothing for this long while calls await replies is considered dead.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Unwritten calls of one connection.
#[derive(Default)]
struct CallQueue {
    unwritten: RefCell<VecDeque<(u64, Bytes)>>,
    /// Signals that a call was queued or the counter's address changed.
    changed: Notify,
}

pub struct CounterClient {
    address: Cell<Option<SocketAddr>>,
    connect_timeout: Duration,
    /// One queue per connection. A malformed reply or a reset also loses the calls pipelined behind it; several
    /// connections keep those few.
    queues: Vec<CallQueue>,
}

impl CounterClient {
    pub fn new(address: Option<SocketAddr>, connect_timeout: Duration, connections: usize) -> Self {
        let queues = (0..connections.max(1))
            .map(|_| CallQueue::default())
            .collect();
        CounterClient {
            address: Cell::new(address),
            connect_timeout,
            queues,
        }
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    pub fn connection_count(&self) -> usize {
        self.queues.len()
    }

    /// Queues a call that adds `add` to a name and keeps the name for `lifetime` seconds.
    pub fn call(&self, call: u64, name: u64, add: f64, lifetime: f64) {
        // All calls on a name use one connection, so that its totals arrive in the order of its calls.
        let queue = &self.queues[(name % self.queues.len() as u64) as usize];
        queue
            .unwritten
            .borrow_mut()
            .push_back((call, encode_counter_call(name, add, lifetime)));
        queue.changed.notify_one();
    }

    /// Stops waiting for a call and reports it. An unwritten call is removed and was not added. The reply to a
    /// written call is still read in its turn, and then ignored.
    pub fn abandon(&self, event_loop: &Rc<EventLoop>, call: u64) {
        let never_written = self.queues.iter().any(|queue| {
            let mut unwritten = queue.unwritten.borrow_mut();
            let position = unwritten.iter().position(|queued| queued.0 == call);
            position.and_then(|index| unwritten.remove(index)).is_some()
        });
        let reply = if never_written {
            CounterReply::Refused
        } else {
            CounterReply::NoReply
        };
        event_loop.handle(Event::CounterReplied { call, reply });
    }

    /// Sends further calls to this address.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        self.address.set(address);
        self.queues
            .iter()
            .for_each(|queue| queue.changed.notify_one());
    }
}

impl CallQueue {
    /// Reports all unwritten calls as refused, because no connection could be established.
    fn refuse_all(&self, event_loop: &Rc<EventLoop>) {
        let unwritten = std::mem::take(&mut *self.unwritten.borrow_mut());
        for (call, _) in unwritten {
            event_loop.handle(Event::CounterReplied {
                call,
                reply: CounterReply::Refused,
            });
        }
    }
}

impl CounterClient {
    /// Serves one call queue for as long as the process lives.
    pub async fn run(event_loop: Rc<EventLoop>, queue_index: usize) {
        let (counter, queue) = (
            &event_loop.counter_client,
            &event_loop.counter_client.queues[queue_index],
        );
        loop {
            // Connects only when there is a call to send.
            while queue.unwritten.borrow().is_empty() {
                queue.changed.notified().await;
            }
            let Some(address) = counter.address.get() else {
                queue.refuse_all(&event_loop);
                continue;
            };
            match timeout(counter.connect_timeout, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => {
                    let _ = stream.set_nodelay(true);
                    let mut connection = Connection::new(address, stream);
                    if connection.serve(&event_loop, queue).await {
                        // The address changed in a reload: the old connection still delivers the outstanding replies.
                        let event_loop = event_loop.clone();
                        tokio::task::spawn_local(async move {
                            connection.serve(&event_loop, &CallQueue::default()).await;
                            connection.report_unfinished(&event_loop);
                        });
                    } else {
                        connection.report_unfinished(&event_loop);
                    }
                }
                Ok(Err(e)) => {
                    log::debug!("counter: cannot connect to {address}: {e}");
                    queue.refuse_all(&event_loop);
                }
                Err(_) => {
                    log::debug!("counter: connect to {address} timed out");
                    queue.refuse_all(&event_loop);
                }
            }
        }
    }
}

/// A connection to the counter.
struct Connection {
    address: SocketAddr,
    stream: TcpStream,
    /// The unwritten rest of a partially written call.
    partial_call: Option<(u64, Bytes)>,
    /// Completely written calls that await their reply.
    written: VecDeque<u64>,
    buffer: BytesMut,
    /// When the last bytes arrived, or the wait for a reply began.
    last_read: Instant,
    /// The counter has moved: no further calls are written.
    draining: bool,
}

impl Connection {
    fn new(address: SocketAddr, stream: TcpStream) -> Self {
        let (partial_call, written, buffer) =
            (None, VecDeque::new(), BytesMut::with_capacity(4096));
        Connection {
            address,
            stream,
            partial_call,
            written,
            buffer,
            last_read: Instant::now(),
            draining: false,
        }
    }

    /// Writes calls and reads replies until the connection fails (false) or the counter's address changes (true).
    /// Called again after a change, it only finishes the calls already begun.
    async fn serve(&mut self, event_loop: &Rc<EventLoop>, queue: &CallQueue) -> bool {
        loop {
            if !self.draining && event_loop.counter_client.address.get() != Some(self.address) {
                self.draining = true;
                return true;
            }
            if let Err(e) = self.write(queue) {
                log::debug!("counter: writing calls failed: {e}");
                return false;
            }
            let awaiting_reply = !self.written.is_empty();
            let unwritten = self.partial_call.is_some()
                || (!self.draining && !queue.unwritten.borrow().is_empty());
            if self.draining && !awaiting_reply && !unwritten {
                return false;
            }
            let read = tokio::select! {
                ready = self.stream.readable() => {
                    ready.and_then(|()| self.stream.try_read_buf(&mut self.buffer))
                }
                _ = queue.changed.notified(), if !self.draining => {
                    if !awaiting_reply {
                        self.last_read = Instant::now();
                    }
                    continue;
                }
                ready = self.stream.writable(), if unwritten => match ready {
                    Ok(()) => continue,
                    Err(e) => Err(e),
                },
                _ = tokio::time::sleep_until(self.last_read + RESPONSE_TIMEOUT), if awaiting_reply || self.draining => {
                    Err(ErrorKind::TimedOut.into())
                }
            };
            match read {
                Ok(0) => return false,
                Ok(_) => self.last_read = Instant::now(),
                Err(e) if e.kind() == ErrorKind::WouldBlock => continue,
                Err(e) => {
                    log::debug!("counter: reading replies failed: {e}");
                    return false;
                }
            }
            loop {
                match decode_counter_reply(&mut self.buffer) {
                    Ok(Some(reply)) => match self.written.pop_front() {
                        Some(call) => event_loop.handle(Event::CounterReplied { call, reply }),
                        None => return false,
                    },
                    Ok(None) => break,
                    Err(error) => {
                        log::debug!("counter: invalid reply: {error}");
                        return false;
                    }
                }
            }
        }
    }

    fn write(&mut self, queue: &CallQueue) -> std::io::Result<()> {
        loop {
            if self.partial_call.is_none() && !self.draining {
                self.partial_call = queue.unwritten.borrow_mut().pop_front();
            }
            let Some((call, bytes)) = &mut self.partial_call else {
                return Ok(());
            };
            match self.stream.try_write(bytes) {
                Ok(n) if n < bytes.len() => bytes.advance(n),
                Ok(_) => {
                    self.written.push_back(*call);
                    self.partial_call = None;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
    }

    /// Reports the calls left on a closed connection: `NoReply` for written ones, `Refused` for a partially written
    /// one.
    fn report_unfinished(&mut self, event_loop: &Rc<EventLoop>) {
        for call in self.written.drain(..) {
            event_loop.handle(Event::CounterReplied {
                call,
                reply: CounterReply::NoReply,
            });
        }
        if let Some((call, _)) = self.partial_call.take() {
            event_loop.handle(Event::CounterReplied {
                call,
                reply: CounterReply::Refused,
            });
        }
    }
}
