//! The connection to the counter. Owns one pipelined RESP2 connection, the calls that wait to be written
//! and those that wait for an answer, in order. It must never repeat a call, and never call one not added
//! whose last byte was written.

use crate::hub::Hub;
use crate::message::{encode_count, take_counted};
use crate::reducer::Event;
use bytes::{Buf, Bytes, BytesMut};
use dunespur::types::Counted;
use std::cell::RefCell;
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

struct Unwritten {
    call: Option<u64>,
    bytes: Bytes,
    begun: bool,
}

#[derive(Default)]
struct Calls {
    unwritten: VecDeque<Unwritten>,
    /// Calls whose last byte went out; None where the call was given up and only its answer is awaited.
    written: VecDeque<Option<u64>>,
}

pub struct Counter {
    address: Option<SocketAddr>,
    dial: Duration,
    calls: RefCell<Calls>,
    more: Notify,
}

impl Counter {
    pub fn new(address: Option<SocketAddr>, dial: Duration) -> Self {
        Counter { address, dial, calls: RefCell::default(), more: Notify::new() }
    }

    pub fn call(&self, call: u64, name: u64, add: f64, life: f64) {
        let bytes = encode_count(name, add, life);
        self.calls.borrow_mut().unwritten.push_back(Unwritten { call: Some(call), bytes, begun: false });
        self.more.notify_one();
    }

    /// Stops waiting for a call: what was never written was not added.
    pub fn abandon(&self, hub: &Rc<Hub>, call: u64) {
        let mut calls = self.calls.borrow_mut();
        let before = calls.unwritten.len();
        calls.unwritten.retain(|c| c.begun || c.call != Some(call));
        let counted = if calls.unwritten.len() < before {
            Counted::Refused
        } else {
            // One that is written in part has to be finished, as others follow on the same connection.
            calls.unwritten.iter_mut().filter(|c| c.call == Some(call)).for_each(|c| c.call = None);
            calls.written.iter_mut().filter(|c| **c == Some(call)).for_each(|c| *c = None);
            Counted::Silent
        };
        drop(calls);
        hub.tell(Event::Counted { call, counted });
    }

    /// The connection is gone or never came: says of each call how far it had come.
    fn broken(&self, hub: &Rc<Hub>) {
        let calls = std::mem::take(&mut *self.calls.borrow_mut());
        for call in calls.written.into_iter().flatten() {
            hub.tell(Event::Counted { call, counted: Counted::Silent });
        }
        for call in calls.unwritten.into_iter().filter_map(|c| c.call) {
            hub.tell(Event::Counted { call, counted: Counted::Refused });
        }
    }

    /// Keeps the connection for as long as the process lives.
    pub async fn run(hub: Rc<Hub>) {
        let counter = &hub.counter;
        counter.broken(&hub);
        let Some(address) = counter.address else {
            loop {
                counter.more.notified().await;
                counter.broken(&hub);
            }
        };
        loop {
            match timeout(counter.dial, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => {
                    let _ = stream.set_nodelay(true);
                    let why = counter.serve(&hub, stream).await;
                    log::debug!("counter: {why}");
                }
                Ok(Err(e)) => log::debug!("counter: {e}"),
                Err(_) => log::debug!("counter: no connection came up"),
            }
            counter.broken(&hub);
            // The next call is worth another connection, none is kept for its own sake.
            while counter.calls.borrow().unwritten.is_empty() {
                counter.more.notified().await;
            }
        }
    }

    /// Writes and reads until the connection breaks; says why.
    async fn serve(&self, hub: &Rc<Hub>, stream: TcpStream) -> String {
        let mut buffer = BytesMut::with_capacity(4096);
        let mut heard = Instant::now();
        loop {
            if let Err(e) = self.write(&stream) {
                return e.to_string();
            }
            let (unwritten, waiting) = {
                let calls = self.calls.borrow();
                (!calls.unwritten.is_empty(), !calls.written.is_empty())
            };
            tokio::select! {
                ready = stream.readable() => match ready.and_then(|()| stream.try_read_buf(&mut buffer)) {
                    Ok(0) => return "closed".into(),
                    Ok(_) => heard = Instant::now(),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(e) => return e.to_string(),
                },
                _ = self.more.notified() => {
                    if !waiting {
                        heard = Instant::now();
                    }
                    continue;
                }
                ready = stream.writable(), if unwritten => {
                    if let Err(e) = ready {
                        return e.to_string();
                    }
                }
                _ = tokio::time::sleep_until(heard + DEAD), if waiting => return "silent".into(),
            }
            loop {
                match take_counted(&mut buffer) {
                    Ok(Some(counted)) => {
                        let Some(call) = self.calls.borrow_mut().written.pop_front() else {
                            return "an answer to no call".into();
                        };
                        if let Some(call) = call {
                            hub.tell(Event::Counted { call, counted });
                        }
                    }
                    Ok(None) => break,
                    Err(fault) => return fault.to_string(),
                }
            }
        }
    }

    fn write(&self, stream: &TcpStream) -> std::io::Result<()> {
        let calls = &mut *self.calls.borrow_mut();
        while let Some(next) = calls.unwritten.front_mut() {
            match stream.try_write(&next.bytes) {
                Ok(n) if n < next.bytes.len() => {
                    next.bytes.advance(n);
                    next.begun = true;
                }
                Ok(_) => {
                    calls.written.push_back(next.call);
                    calls.unwritten.pop_front();
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}
