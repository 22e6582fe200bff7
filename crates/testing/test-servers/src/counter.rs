//! A shared counter that speaks RESP, the protocol of Redis: it keeps a total for each name until the name expires.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Instant};

/// Interval at which a connection checks whether the counter is still silent.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest lifetime of a name, in milliseconds.
const MAX_LIFETIME_MS: u64 = 60_000;
/// Expired names are removed after each such number of calls.
const CALLS_BETWEEN_SWEEPS: u64 = 4096;
/// Maximum number of words that are read of a call. The rest of a longer call is taken for the next call.
const MAX_WORDS: usize = 8;

/// The total of a name and the time at which it expires.
#[derive(Clone, Copy)]
struct ExpiringTotal {
    total: f64,
    expires: Instant,
}

/// The shared counter: adds to the totals of names that expire.
pub struct Counter {
    /// Loopback address and port.
    pub address: SocketAddr,
    /// While set, the counter responds to no call.
    pub silent: Cell<bool>,
    /// `CNT.ADD` calls so far.
    pub calls: Cell<u64>,
    totals: RefCell<BTreeMap<String, ExpiringTotal>>,
}

impl Counter {
    /// Starts a counter that has no names yet.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port can be bound.
    pub async fn start() -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let counter = Rc::new(Counter {
            address: listener.local_addr()?,
            silent: Cell::new(false),
            calls: Cell::new(0),
            totals: RefCell::default(),
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
    pub fn clear(&self) {
        self.totals.borrow_mut().clear();
    }

    /// Serves one connection until it closes or sends a malformed call.
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

    /// Returns the response to a call, or `None` if one of its numbers is malformed.
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

    /// Adds to the total of a name and returns the new total, or `None` if a number is malformed.
    fn add(&self, name: &str, amount: &str, lifetime_ms: &str) -> Option<f64> {
        self.calls.set(self.calls.get() + 1);
        let now = Instant::now();
        let lifetime_ms = lifetime_ms.parse::<u64>().ok()?.clamp(1, MAX_LIFETIME_MS);
        let mut totals = self.totals.borrow_mut();
        if self.calls.get().is_multiple_of(CALLS_BETWEEN_SWEEPS) {
            totals.retain(|_, entry| entry.expires > now);
        }
        let new_total = ExpiringTotal {
            total: 0.0,
            expires: now + Duration::from_millis(lifetime_ms),
        };
        let entry = totals.entry(name.to_owned()).or_insert(new_total);
        if entry.expires <= now {
            *entry = new_total;
        }
        entry.total += amount.parse::<f64>().ok()?;
        Some(entry.total)
    }
}
