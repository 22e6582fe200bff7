//! The connections to the counter. Owns a few pipelined RESP2 connections, each with the calls that wait to
//! be written and those that wait for an answer, in order. It must never repeat a call, never call one not
//! added whose last byte was written, and never let calls on one name overtake each other.

use crate::hub::Hub;
use crate::message::{encode_count, take_counted};
use crate::reducer::Event;
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

/// A connection that answers nothing for this long while calls wait is taken for dead.
const DEAD: Duration = Duration::from_secs(1);

/// A connection's calls.
#[derive(Default)]
struct CallQueue {
    unwritten: RefCell<VecDeque<(u64, Bytes)>>,
    /// There are calls to write, or the counter moved.
    more: Notify,
}

pub struct Counter {
    address: Cell<Option<SocketAddr>>,
    dial: Duration,
    /// Guards against a spoilt answer or a reset: it costs the calls behind it too, and here few are.
    queues: Vec<CallQueue>,
}

impl Counter {
    pub fn new(address: Option<SocketAddr>, dial: Duration, connections: usize) -> Self {
        let queues = (0..connections.max(1))
            .map(|_| CallQueue::default())
            .collect();
        Counter {
            address: Cell::new(address),
            dial,
            queues,
        }
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    pub fn connections(&self) -> usize {
        self.queues.len()
    }

    pub fn call(&self, call: u64, name: u64, add: f64, life: f64) {
        // A name keeps to its connection, so that its totals come in the order of its calls.
        let queue = &self.queues[(name % self.queues.len() as u64) as usize];
        queue
            .unwritten
            .borrow_mut()
            .push_back((call, encode_count(name, add, life)));
        queue.more.notify_one();
    }

    /// Stops waiting for a call: what was never written was not added. The answer to one that was, which
    /// keeps its turn among the others, finds nobody who waits.
    pub fn abandon(&self, hub: &Rc<Hub>, call: u64) {
        let never = self.queues.iter().any(|queue| {
            let mut unwritten = queue.unwritten.borrow_mut();
            let at = unwritten.iter().position(|c| c.0 == call);
            at.and_then(|at| unwritten.remove(at)).is_some()
        });
        let counted = if never {
            CounterReply::Refused
        } else {
            CounterReply::NoReply
        };
        hub.tell(Event::Counted { call, counted });
    }

    /// From now on calls go to this address.
    pub fn move_to(&self, address: Option<SocketAddr>) {
        self.address.set(address);
        self.queues.iter().for_each(|queue| queue.more.notify_one());
    }
}

impl CallQueue {
    /// No connection came up.
    fn refuse(&self, hub: &Rc<Hub>) {
        let unwritten = std::mem::take(&mut *self.unwritten.borrow_mut());
        for (call, _) in unwritten {
            hub.tell(Event::Counted {
                call,
                counted: CounterReply::Refused,
            });
        }
    }
}

impl Counter {
    /// Keeps the connection with this number for as long as the process lives.
    pub async fn run(hub: Rc<Hub>, at: usize) {
        let (counter, queue) = (&hub.counter, &hub.counter.queues[at]);
        loop {
            // A call is worth a connection, none is kept for its own sake.
            while queue.unwritten.borrow().is_empty() {
                queue.more.notified().await;
            }
            let Some(address) = counter.address.get() else {
                queue.refuse(&hub);
                continue;
            };
            match timeout(counter.dial, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => {
                    let _ = stream.set_nodelay(true);
                    let mut link = Link::new(address, stream);
                    if link.serve(&hub, queue).await {
                        // Guards against losing what is under way when the configuration names another
                        // counter: the old connection brings the answers it owes.
                        let hub = hub.clone();
                        tokio::task::spawn_local(async move {
                            link.serve(&hub, &CallQueue::default()).await;
                            link.broken(&hub);
                        });
                    } else {
                        link.broken(&hub);
                    }
                }
                Ok(Err(e)) => {
                    log::debug!("counter: {e}");
                    queue.refuse(&hub);
                }
                Err(_) => {
                    log::debug!("counter: no connection came up");
                    queue.refuse(&hub);
                }
            }
        }
    }
}

/// One connection.
struct Link {
    address: SocketAddr,
    stream: TcpStream,
    /// The rest of a call that is written in part.
    part: Option<(u64, Bytes)>,
    /// Calls whose last byte went out.
    written: VecDeque<u64>,
    buffer: BytesMut,
    heard: Instant,
    leaving: bool,
}

impl Link {
    fn new(address: SocketAddr, stream: TcpStream) -> Self {
        let (part, written, buffer) = (None, VecDeque::new(), BytesMut::with_capacity(4096));
        Link {
            address,
            stream,
            part,
            written,
            buffer,
            heard: Instant::now(),
            leaving: false,
        }
    }

    /// Writes and reads until the connection breaks or the counter has moved, says whether it has; after
    /// that only until what was begun is answered.
    async fn serve(&mut self, hub: &Rc<Hub>, queue: &CallQueue) -> bool {
        loop {
            if !self.leaving && hub.counter.address.get() != Some(self.address) {
                self.leaving = true;
                return true;
            }
            if let Err(e) = self.write(queue) {
                log::debug!("counter: {e}");
                return false;
            }
            let waiting = !self.written.is_empty();
            let unwritten =
                self.part.is_some() || (!self.leaving && !queue.unwritten.borrow().is_empty());
            if self.leaving && !waiting && !unwritten {
                return false;
            }
            let read = tokio::select! {
                ready = self.stream.readable() => {
                    ready.and_then(|()| self.stream.try_read_buf(&mut self.buffer))
                }
                _ = queue.more.notified(), if !self.leaving => {
                    if !waiting {
                        self.heard = Instant::now();
                    }
                    continue;
                }
                ready = self.stream.writable(), if unwritten => match ready {
                    Ok(()) => continue,
                    Err(e) => Err(e),
                },
                _ = tokio::time::sleep_until(self.heard + DEAD), if waiting || self.leaving => {
                    Err(ErrorKind::TimedOut.into())
                }
            };
            match read {
                Ok(0) => return false,
                Ok(_) => self.heard = Instant::now(),
                Err(e) if e.kind() == ErrorKind::WouldBlock => continue,
                Err(e) => {
                    log::debug!("counter: {e}");
                    return false;
                }
            }
            loop {
                match take_counted(&mut self.buffer) {
                    Ok(Some(counted)) => match self.written.pop_front() {
                        Some(call) => hub.tell(Event::Counted { call, counted }),
                        None => return false,
                    },
                    Ok(None) => break,
                    Err(fault) => {
                        log::debug!("counter: {fault}");
                        return false;
                    }
                }
            }
        }
    }

    fn write(&mut self, queue: &CallQueue) -> std::io::Result<()> {
        loop {
            if self.part.is_none() && !self.leaving {
                self.part = queue.unwritten.borrow_mut().pop_front();
            }
            let Some((call, bytes)) = &mut self.part else {
                return Ok(());
            };
            match self.stream.try_write(bytes) {
                Ok(n) if n < bytes.len() => bytes.advance(n),
                Ok(_) => {
                    self.written.push_back(*call);
                    self.part = None;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
    }

    /// The connection is gone: says of each call on it how far it had come.
    fn broken(&mut self, hub: &Rc<Hub>) {
        for call in self.written.drain(..) {
            hub.tell(Event::Counted {
                call,
                counted: CounterReply::NoReply,
            });
        }
        if let Some((call, _)) = self.part.take() {
            hub.tell(Event::Counted {
                call,
                counted: CounterReply::Refused,
            });
        }
    }
}
