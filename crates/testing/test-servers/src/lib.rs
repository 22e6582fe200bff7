//! Test servers for what a limiter talks to, written from the published protocol: servers that take some time,
//! a counter that adds, discovery with its watch. They run on the caller's tokio, on loopback, and do what
//! their switches say. None of them knows what a right answer of the limiter would be.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// A server: answers 200 after `takes` seconds, or nothing at all while it hangs.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// Seconds from a request to its answer.
    pub takes: Cell<f64>,
    /// While set, requests are read and not answered.
    pub hangs: Cell<bool>,
    /// Requests that were read so far.
    pub began: Cell<u64>,
}

impl Server {
    /// Listens on a free port; answers after `takes` seconds.
    ///
    /// # Errors
    /// No port can be had.
    pub async fn start(takes: f64) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (takes, hangs, began) = (Cell::new(takes), Cell::new(false), Cell::new(0));
        let server = Rc::new(Server {
            address,
            takes,
            hangs,
            began,
        });
        let own = server.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(own.clone().serve(stream));
            }
        });
        Ok(server)
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(move |request: Request<Incoming>| {
            let me = self.clone();
            async move {
                let id = request.headers().get("x-request-id").cloned();
                let _ = request.into_body().collect().await;
                me.began.set(me.began.get() + 1);
                sleep(Duration::from_secs_f64(me.takes.get())).await;
                while me.hangs.get() {
                    sleep(Duration::from_millis(20)).await;
                }
                let body = id.map_or_else(Bytes::new, |v| Bytes::copy_from_slice(v.as_bytes()));
                Ok::<_, Infallible>(Response::new(Full::new(body)))
            }
        });
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }
}

/// The counter: names with totals that expire.
pub struct Counter {
    /// Where it listens.
    pub address: SocketAddr,
    /// While set, calls are read and not answered.
    pub silent: Cell<bool>,
    /// Adds so far.
    pub calls: Cell<u64>,
    names: RefCell<BTreeMap<String, (f64, tokio::time::Instant)>>,
}

impl Counter {
    /// Listens on a free port, with no names.
    ///
    /// # Errors
    /// No port can be had.
    pub async fn start() -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (silent, calls, names) = (Cell::new(false), Cell::new(0), RefCell::default());
        let counter = Rc::new(Counter {
            address,
            silent,
            calls,
            names,
        });
        let own = counter.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let own = own.clone();
                tokio::task::spawn_local(async move { own.serve(stream).await });
            }
        });
        Ok(counter)
    }

    /// Loses all names.
    pub fn empty(&self) {
        self.names.borrow_mut().clear();
    }

    async fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        loop {
            let count: usize = lines
                .next_line()
                .await
                .ok()??
                .strip_prefix('*')?
                .parse()
                .ok()?;
            let mut call = Vec::new();
            for _ in 0..count.min(8) {
                lines.next_line().await.ok()??;
                call.push(lines.next_line().await.ok()??);
            }
            while self.silent.get() {
                sleep(Duration::from_millis(20)).await;
            }
            let answer = match call
                .iter()
                .map(String::as_str)
                .collect::<Vec<_>>()
                .as_slice()
            {
                ["CNT.ADD", name, amount, life] => {
                    self.calls.set(self.calls.get() + 1);
                    let now = tokio::time::Instant::now();
                    let life = life.parse::<u64>().ok()?.clamp(1, 60_000);
                    let mut names = self.names.borrow_mut();
                    // Names expire; swept now and then, so that none stays for good.
                    if self.calls.get().is_multiple_of(4096) {
                        names.retain(|_, n| n.1 > now);
                    }
                    let fresh = (0.0, now + Duration::from_millis(life));
                    let entry = names.entry((*name).to_owned()).or_insert(fresh);
                    if entry.1 <= now {
                        *entry = fresh;
                    }
                    entry.0 += amount.parse::<f64>().ok()?;
                    let total = format!("{:.6}", entry.0);
                    format!("${}\r\n{total}\r\n", total.len())
                }
                ["PING"] => "+PONG\r\n".into(),
                ["CLIENT" | "SELECT", ..] => "+OK\r\n".into(),
                _ => "-ERR no such call\r\n".into(),
            };
            write.write_all(answer.as_bytes()).await.ok()?;
        }
    }
}

/// Discovery: a list, and watches that hear of each change.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    list: watch::Sender<(u64, String)>,
    /// Watches that stand open now.
    pub watches: Cell<usize>,
    /// Calls so far.
    pub calls: Cell<u64>,
}

struct Open(Rc<Discovery>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.watches.set(self.0.watches.get() - 1);
    }
}

impl Discovery {
    /// Listens on a free port and serves this list.
    ///
    /// # Errors
    /// No port can be had.
    pub async fn start(revision: u64, list: String) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (watches, calls) = (Cell::new(0), Cell::new(0));
        let discovery = Rc::new(Discovery {
            address,
            list: watch::channel((revision, list)).0,
            watches,
            calls,
        });
        let own = discovery.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(own.clone().serve(stream));
            }
        });
        Ok(discovery)
    }

    /// From now on this is the whole list.
    pub fn set(&self, revision: u64, list: String) {
        let _ = self.list.send_replace((revision, list));
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(move |request: Request<Incoming>| {
            let me = self.clone();
            async move {
                me.calls.set(me.calls.get() + 1);
                let (tx, mut rx) = mpsc::channel::<Result<Frame<Bytes>, Infallible>>(8);
                let follows = request
                    .uri()
                    .query()
                    .is_some_and(|q| q.contains("follow=1"));
                let mut list = me.list.subscribe();
                me.watches.set(me.watches.get() + 1);
                let open = Open(me);
                tokio::task::spawn_local(async move {
                    let _open = open;
                    loop {
                        let line = format!("{}\n", list.borrow_and_update().1);
                        if tx.send(Ok(Frame::data(line.into()))).await.is_err() || !follows {
                            return;
                        }
                        loop {
                            tokio::select! {
                                changed = list.changed() => match changed {
                                    Ok(()) => break,
                                    Err(_) => return,
                                },
                                _ = tx.closed() => return,
                                () = sleep(Duration::from_secs(2)) => {
                                    if tx.send(Ok(Frame::data(Bytes::from_static(b"\n")))).await.is_err() {
                                        return;
                                    }
                                }
                            }
                        }
                    }
                });
                let frames = futures(move |cx| rx.poll_recv(cx));
                Ok::<_, Infallible>(Response::new(StreamBody::new(frames)))
            }
        });
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }
}

fn futures<T>(
    poll: impl FnMut(&mut std::task::Context<'_>) -> std::task::Poll<Option<T>>,
) -> impl futures_core::Stream<Item = T> {
    struct Polled<F>(F);
    impl<T, F> futures_core::Stream for Polled<F>
    where
        F: FnMut(&mut std::task::Context<'_>) -> std::task::Poll<Option<T>> + Unpin,
    {
        type Item = T;

        fn poll_next(
            mut self: std::pin::Pin<&mut Self>,
            cx: &mut std::task::Context<'_>,
        ) -> std::task::Poll<Option<T>> {
            (self.0)(cx)
        }
    }
    Polled(Box::new(poll))
}

/// A list of servers in discovery's JSON: id, address, zone and phase of each.
#[must_use]
pub fn list(revision: u64, servers: &[(String, SocketAddr, String, &str)]) -> String {
    let members: Vec<_> = servers
        .iter()
        .map(|(id, address, zone, phase)| {
            serde_json::json!({"id": id, "host_port": address.to_string(), "locality": zone, "flavor": "m",
                "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": 0})
        })
        .collect();
    serde_json::json!({"revision": revision, "complete": true, "members": members}).to_string()
}
