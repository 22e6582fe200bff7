//! Connections to the servers, one delivery at a time on each. Owns them, those that stand idle, and the
//! count of bytes written that tells whether a delivery can have run. It must never send a delivery twice,
//! choose a server, or write once the module's choice no longer holds.

use crate::fault::Fault;
use crate::hub::Hub;
use crate::message::{decode_answer, encode_delivery, Answered, MOST_BODY};
use crate::reducer::{Delivery, Event};
use dunespur_decisions::types::AttemptResult;
use http_body_util::{BodyExt, Limited};
use hyper::client::conn::http1;
use hyper::header::CONNECTION;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{Error, ErrorKind, Result as Io};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// A connection rests for so long between an answer and the next delivery, in seconds. Guards against a
/// second copy of the answer, some milliseconds late: it would be taken for the answer to the next one.
const REST: f64 = 0.01;

/// How much of the present delivery has gone out.
#[derive(Clone, Copy, Default)]
struct Written {
    last_four: u32,
    head: bool,
    body_left: usize,
}

impl Written {
    fn count(&mut self, bytes: &[u8]) {
        let mut bytes = bytes.iter();
        while !self.head {
            let Some(&b) = bytes.next() else { return };
            self.last_four = self.last_four << 8 | u32::from(b);
            self.head = self.last_four == u32::from_be_bytes(*b"\r\n\r\n");
        }
        self.body_left = self.body_left.saturating_sub(bytes.len());
    }

    fn begun(self) -> bool {
        self.head || self.last_four != 0
    }

    fn whole(self) -> bool {
        self.head && self.body_left == 0
    }
}

/// One connection, shared between its task and whoever may have to close it at once.
struct Connection {
    tgt: usize,
    /// How often its server's connections had been retired when it was opened.
    retired: u64,
    stream: RefCell<Option<TokioIo<TcpStream>>>,
    job: RefCell<Option<Delivery>>,
    written: Cell<Written>,
    closed: Cell<bool>,
    idle_since: Cell<f64>,
    wake: Notify,
}

impl Connection {
    /// Closes the socket here and now, not when the task next runs: no second copy may cross it.
    fn close(&self) {
        self.closed.set(true);
        self.stream.borrow_mut().take();
        self.wake.notify_one();
    }

    fn poll<T>(&self, f: impl FnOnce(Pin<&mut TokioIo<TcpStream>>) -> Poll<Io<T>>) -> Poll<Io<T>> {
        match &mut *self.stream.borrow_mut() {
            Some(stream) => f(Pin::new(stream)),
            None => Poll::Ready(Err(Error::from(ErrorKind::NotConnected))),
        }
    }
}

/// What hyper reads and writes.
struct Wire(Rc<Connection>);

impl Read for Wire {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buffer: ReadBufCursor) -> Poll<Io<()>> {
        self.0.poll(|s| s.poll_read(cx, buffer))
    }
}

impl Write for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<Io<usize>> {
        let polled = self.0.poll(|s| s.poll_write(cx, bytes));
        if let Poll::Ready(Ok(n)) = polled {
            let mut written = self.0.written.get();
            written.count(&bytes[..n]);
            self.0.written.set(written);
        }
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Io<()>> {
        self.0.poll(|s| s.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Io<()>> {
        self.0.poll(|s| s.poll_shutdown(cx))
    }
}

pub struct Upstream {
    dial: Duration,
    idle_time: f64,
    most: usize,
    open: Cell<usize>,
    /// Idle connections of each server, the newest last.
    idle: RefCell<Vec<Vec<Rc<Connection>>>>,
    retired: RefCell<Vec<u64>>,
    out: RefCell<HashMap<(u64, usize), Rc<Connection>>>,
}

impl Upstream {
    pub fn new(dial: Duration, idle_time: f64, most: usize) -> Self {
        let (idle, retired, out) = Default::default();
        Upstream {
            dial,
            idle_time,
            most,
            open: Cell::new(0),
            idle,
            retired,
            out,
        }
    }

    pub fn send(&self, hub: &Rc<Hub>, delivery: Delivery) {
        let Delivery {
            num,
            n,
            tgt,
            address,
            ..
        } = delivery;
        if let Some(conn) = self.rested(tgt, hub.clock.now()) {
            conn.written.set(Written::default());
            *conn.job.borrow_mut() = Some(delivery);
            conn.wake.notify_one();
            self.out.borrow_mut().insert((num, n), conn);
            return;
        }
        if self.open.get() >= self.most && !self.close_oldest() {
            log::warn!("all {} connections to servers are in use", self.most);
            let answered = Answered::none(Fault::NotConnected.ending());
            return hub.tell(Event::Ended { num, n, answered });
        }
        let conn = Rc::new(Connection {
            tgt,
            retired: self.retired(tgt),
            stream: RefCell::default(),
            job: RefCell::new(Some(delivery)),
            written: Cell::default(),
            closed: Cell::new(false),
            idle_since: Cell::new(0.0),
            wake: Notify::new(),
        });
        self.open.set(self.open.get() + 1);
        self.out.borrow_mut().insert((num, n), conn.clone());
        let hub = hub.clone();
        tokio::task::spawn_local(async move {
            // Its end, a panic's too, is seen by the guard.
            let task = Task(&hub, &conn);
            let fault = task.run(address).await;
            log::trace!("server {}: {fault}", conn.tgt);
        });
    }

    /// Ends a delivery now. What was not written whole can never have run.
    pub fn abandon(&self, hub: &Rc<Hub>, num: u64, n: usize, ending: AttemptResult) {
        // With no connection left its task has panicked: the invocation is owed an end all the same.
        let conn = self.out.borrow_mut().remove(&(num, n));
        let unsent = conn.is_some_and(|conn| {
            conn.job.borrow_mut().take();
            conn.close();
            ending == AttemptResult::Timeout && !conn.written.get().whole()
        });
        let ending = if unsent {
            Fault::Unwritten.ending()
        } else {
            ending
        };
        hub.tell(Event::Ended {
            num,
            n,
            answered: Answered::none(ending),
        });
    }

    /// A server left, moved or started anew: its idle connections close, those in use after their answer.
    pub fn retire(&self, tgt: usize) {
        let mut retired = self.retired.borrow_mut();
        if retired.len() <= tgt {
            retired.resize(tgt + 1, 0);
        }
        retired[tgt] += 1;
        let connections = self.idle.borrow_mut().get_mut(tgt).map(std::mem::take);
        connections.into_iter().flatten().for_each(|l| l.close());
    }

    fn retired(&self, tgt: usize) -> u64 {
        self.retired.borrow().get(tgt).copied().unwrap_or(0)
    }

    /// Closes what has stood idle for so long that the server might close it first.
    pub fn sweep(&self, now: f64) {
        for connections in self.idle.borrow_mut().iter_mut() {
            let old = connections.partition_point(|l| now - l.idle_since.get() > self.idle_time);
            connections.drain(..old).for_each(|l| l.close());
        }
    }

    /// The idle connection of this server that was used last of those that have rested, else the one that has
    /// rested longest. Age is looked at here too: between two sweeps the server may close one just as it is
    /// used again.
    fn rested(&self, tgt: usize, now: f64) -> Option<Rc<Connection>> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(tgt)?;
        let old = connections.partition_point(|l| now - l.idle_since.get() > self.idle_time);
        connections.drain(..old).for_each(|l| l.close());
        let rested = connections.partition_point(|l| now - l.idle_since.get() >= REST);
        (!connections.is_empty()).then(|| connections.remove(rested.saturating_sub(1)))
    }

    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .iter_mut()
            .filter(|connections| !connections.is_empty());
        match oldest.min_by(|a, b| a[0].idle_since.get().total_cmp(&b[0].idle_since.get())) {
            Some(connections) => {
                connections.remove(0).close();
                true
            }
            None => false,
        }
    }

    fn keep(&self, conn: &Rc<Connection>, now: f64) {
        if conn.retired != self.retired(conn.tgt) {
            return conn.close();
        }
        conn.idle_since.set(now);
        let mut idle = self.idle.borrow_mut();
        if idle.len() <= conn.tgt {
            idle.resize_with(conn.tgt + 1, Vec::new);
        }
        idle[conn.tgt].push(conn.clone());
    }
}

/// A connection's task; whatever ends it, the delivery on it is accounted for and the place given back.
struct Task<'a>(&'a Rc<Hub>, &'a Rc<Connection>);

impl Drop for Task<'_> {
    fn drop(&mut self) {
        let Task(hub, conn) = self;
        conn.close();
        let upstream = &hub.upstream;
        upstream.open.set(upstream.open.get() - 1);
        if let Some(connections) = upstream.idle.borrow_mut().get_mut(conn.tgt) {
            connections.retain(|l| !Rc::ptr_eq(l, conn));
        }
        // A panic in here on top of another would end the process; the delivery's time-out ends it instead.
        if !std::thread::panicking() {
            let fault = if conn.written.get().whole() {
                Fault::Broken
            } else {
                Fault::Unwritten
            };
            self.ended(Err(fault));
        }
    }
}

impl Task<'_> {
    /// Tells how the delivery on this connection ended, once.
    fn ended(&self, result: Result<Answered, Fault>) {
        let Task(hub, conn) = self;
        let Some(Delivery { num, n, .. }) = conn.job.borrow_mut().take() else {
            return;
        };
        if hub.upstream.out.borrow_mut().remove(&(num, n)).is_none() {
            return;
        }
        let answered = result.unwrap_or_else(|fault| Answered::none(fault.ending()));
        hub.tell(Event::Ended { num, n, answered });
    }

    /// The connection ended. Guards against ones that were idle and broke in the moment of their use: of a
    /// delivery that no byte of was written, the server is as well reached over another one.
    fn elsewhere(&self) -> Fault {
        let Task(hub, conn) = self;
        let was_idle = conn.idle_since.get() > 0.0;
        if !was_idle || conn.written.get().begun() || conn.closed.get() {
            return Fault::Broken;
        }
        conn.close();
        let delivery = conn.job.borrow_mut().take();
        if let Some(delivery) = delivery {
            hub.upstream
                .out
                .borrow_mut()
                .remove(&(delivery.num, delivery.n));
            hub.upstream.send(hub, delivery);
        }
        Fault::Unwritten
    }

    /// Connects, then carries deliveries until the connection ends; says why it did.
    async fn run(&self, address: SocketAddr) -> Fault {
        let Task(hub, conn) = self;
        let connected = tokio::select! {
            biased;
            _ = conn.wake.notified() => return Fault::Withdrawn,
            connected = timeout(hub.upstream.dial, TcpStream::connect(address)) => connected,
        };
        let Ok(Ok(stream)) = connected else {
            return Fault::NotConnected;
        };
        let _ = stream.set_nodelay(true);
        *conn.stream.borrow_mut() = Some(TokioIo::new(stream));
        hub.tell(Event::ServerConnected);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MOST_BODY);
        let Ok((mut sender, connection)) = builder.handshake(Wire((*conn).clone())).await else {
            return Fault::Unwritten;
        };
        let mut connection = pin!(connection);
        loop {
            if conn.closed.get() {
                return Fault::Withdrawn;
            }
            let job = conn.job.borrow().clone();
            let Some(job) = job else {
                // Idle, until a delivery comes or either side closes.
                tokio::select! {
                    biased;
                    _ = conn.wake.notified() => {}
                    _ = &mut connection => return Fault::Broken,
                }
                continue;
            };
            let now = hub.clock.now();
            let rest = conn.idle_since.get() + REST - now;
            if rest > 0.0 {
                tokio::select! {
                    biased;
                    _ = conn.wake.notified() => {}
                    _ = &mut connection => return self.elsewhere(),
                    _ = sleep(Duration::from_secs_f64(rest)) => {}
                }
                continue;
            }
            // The connection took its time: the client may be gone and the server withdrawn since.
            hub.front.look_after(hub, job.num);
            if conn.closed.get() {
                continue;
            }
            if !hub.reducer.borrow().holds(&job, now) {
                hub.upstream.keep(conn, now);
                self.ended(Err(Fault::Unwritten));
                continue;
            }
            conn.written.set(Written {
                body_left: job.asked.body_len(),
                ..Written::default()
            });
            let request = encode_delivery(&job.asked, job.until - now);
            let mut exchange = pin!(async {
                sender.ready().await?;
                let (head, body) = sender.send_request(request).await?.into_parts();
                // What comes before the delivery is whole answers another one.
                if !conn.written.get().whole() {
                    return Ok(None);
                }
                let last = head
                    .headers
                    .get(CONNECTION)
                    .is_some_and(|v| v.as_bytes() == b"close");
                let body = Limited::new(body, MOST_BODY).collect().await;
                Ok::<_, hyper::Error>(Some(Exchanged { head, body, last }))
            });
            let mut up = true;
            let result = loop {
                tokio::select! {
                    biased;
                    result = &mut exchange => break result,
                    _ = conn.wake.notified() => if conn.closed.get() {
                        return Fault::Withdrawn;
                    },
                    // What was answered before the end is still to be had.
                    _ = &mut connection, if up => up = false,
                }
            };
            if let Some(fault) = self.exchanged(result, up) {
                return fault;
            }
        }
    }

    /// A request was answered or not; says why the connection ended if it did. `up` tells whether it still
    /// stood when the answer was whole.
    fn exchanged<E: std::fmt::Display>(
        &self,
        result: Result<Option<Exchanged<E>>, hyper::Error>,
        up: bool,
    ) -> Option<Fault> {
        let Task(hub, conn) = self;
        match result {
            Ok(Some(Exchanged {
                head,
                body: Ok(body),
                last,
            })) => {
                // It stands ready before the news of it asks for the next delivery.
                if up && !last && !conn.closed.get() {
                    hub.upstream.keep(conn, hub.clock.now());
                }
                self.ended(Ok(decode_answer(&head, body.to_bytes())));
                (!up || last).then_some(Fault::Broken)
            }
            Ok(Some(Exchanged { body: Err(e), .. })) => {
                log::debug!("server {}: {e}", conn.tgt);
                Some(Fault::Broken)
            }
            Ok(None) => Some(Fault::Unwritten),
            Err(e) => {
                log::debug!("server {}: {e}", conn.tgt);
                Some(self.elsewhere())
            }
        }
    }
}

/// What a server sent back.
struct Exchanged<E> {
    head: hyper::http::response::Parts,
    body: Result<http_body_util::Collected<bytes::Bytes>, E>,
    /// The server closes the connection after it.
    last: bool,
}

#[cfg(test)]
mod tests;
