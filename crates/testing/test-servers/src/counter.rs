//! The shared counter: names with totals that expire, spoken to in RESP, the protocol of Redis.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Instant};

/// How often a silent counter checks whether it may respond.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest lifetime of a name, in milliseconds.
const MAX_LIFETIME_MS: u64 = 60_000;
/// Expired names are removed once in this many calls.
const CALLS_BETWEEN_SWEEPS: u64 = 4096;
/// Most words of a call that are read.
const MAX_WORDS: usize = 8;

/// A name's total, and when it expires.
#[derive(Clone, Copy)]
struct Entry {
    total: f64,
    expires: Instant,
}

/// The counter: adds to names whose totals expire.
pub struct Counter {
    /// Address on loopback.
    pub address: SocketAddr,
    /// While set, no call is responded to.
    pub silent: Cell<bool>,
    /// Additions so far.
    pub calls: Cell<u64>,
    names: RefCell<BTreeMap<String, Entry>>,
}

impl Counter {
    /// Starts a counter without names.
    ///
    /// # Errors
    ///
    /// Fails where no port on loopback can be bound.
    pub async fn start() -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let counter = Rc::new(Counter {
            address: listener.local_addr()?,
            silent: Cell::new(false),
            calls: Cell::new(0),
            names: RefCell::default(),
        });
        let shared = counter.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let shared = shared.clone();
                tokio::task::spawn_local(async move { shared.serve(stream).await });
            }
        });
        Ok(counter)
    }

    /// Removes all names.
    pub fn empty(&self) {
        self.names.borrow_mut().clear();
    }

    /// Serves one connection until it ends or sends what is no call.
    async fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        loop {
            let header = lines.next_line().await.ok()??;
            let count: usize = header.strip_prefix('*')?.parse().ok()?;
            let mut call = Vec::new();
            for _ in 0..count.min(MAX_WORDS) {
                lines.next_line().await.ok()??;
                call.push(lines.next_line().await.ok()??);
            }
            while self.silent.get() {
                sleep(SILENCE_POLL_INTERVAL).await;
            }
            let words: Vec<&str> = call.iter().map(String::as_str).collect();
            let response = self.respond(&words)?;
            write.write_all(response.as_bytes()).await.ok()?;
        }
    }

    /// The response to a call; `None` where its numbers are malformed.
    fn respond(&self, words: &[&str]) -> Option<String> {
        Some(match words {
            ["CNT.ADD", name, amount, lifetime_ms] => {
                let total = format!("{:.6}", self.add(name, amount, lifetime_ms)?);
                format!("${}\r\n{total}\r\n", total.len())
            }
            ["PING"] => "+PONG\r\n".into(),
            ["CLIENT" | "SELECT", ..] => "+OK\r\n".into(),
            _ => "-ERR no such call\r\n".into(),
        })
    }

    /// Adds to a name; returns its total.
    fn add(&self, name: &str, amount: &str, lifetime_ms: &str) -> Option<f64> {
        self.calls.set(self.calls.get() + 1);
        let now = Instant::now();
        let lifetime_ms = lifetime_ms.parse::<u64>().ok()?.clamp(1, MAX_LIFETIME_MS);
        let mut names = self.names.borrow_mut();
        if self.calls.get().is_multiple_of(CALLS_BETWEEN_SWEEPS) {
            names.retain(|_, entry| entry.expires > now);
        }
        let fresh = Entry {
            total: 0.0,
            expires: now + Duration::from_millis(lifetime_ms),
        };
        let entry = names.entry(name.to_owned()).or_insert(fresh);
        if entry.expires <= now {
            *entry = fresh;
        }
        entry.total += amount.parse::<f64>().ok()?;
        Some(entry.total)
    }
}
