//! The platform's entry: asks each limiter every second whether it is ready, and hands clients on to those that are.

use crate::client::call::{call, Call};
use crate::client::Client;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

/// How often each limiter is asked.
const ASK_PAUSE: Duration = Duration::from_secs(1);
/// An answer that comes later is none.
const ASK_LIMIT: Duration = Duration::from_secs(1);
/// A limiter that misses so often receives no new connections.
const MISSES: u32 = 2;

/// Where a limiter is asked, and where its clients go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Where the gateway says whether it is ready.
    pub ready: SocketAddr,
    /// Where it takes requests.
    pub front: SocketAddr,
}

/// Keeps a client's list of limiters. Ends when this is dropped.
#[derive(Debug)]
pub struct Ingress {
    entries: Arc<Mutex<Vec<Entry>>>,
    task: JoinHandle<()>,
}

impl Ingress {
    /// Begins to look which entries are ready.
    #[must_use]
    pub fn start(client: Client, entries: Vec<Entry>) -> Ingress {
        let entries = Arc::new(Mutex::new(entries));
        let task = tokio::spawn(keep(client, entries.clone()));
        Ingress { entries, task }
    }

    /// The limiters that exist from now on.
    pub fn set_entries(&self, entries: Vec<Entry>) {
        *self.entries.lock().unwrap_or_else(PoisonError::into_inner) = entries;
    }
}

impl Drop for Ingress {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A limiter as the platform sees it.
struct Seen {
    entry: Entry,
    misses: u32,
}

async fn keep(client: Client, entries: Arc<Mutex<Vec<Entry>>>) {
    let mut seen: Vec<Seen> = Vec::new();
    loop {
        let listed = entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        seen.retain(|limiter| listed.contains(&limiter.entry));
        for entry in listed {
            if !seen.iter().any(|limiter| limiter.entry == entry) {
                seen.push(Seen {
                    entry,
                    misses: MISSES,
                });
            }
        }
        let mut answers = JoinSet::new();
        for (place, limiter) in seen.iter().enumerate() {
            let ready = limiter.entry.ready;
            answers.spawn(async move { (place, is_ready(ready).await) });
        }
        while let Some(Ok((place, ready))) = answers.join_next().await {
            let misses = &mut seen[place].misses;
            *misses = if ready { 0 } else { *misses + 1 };
        }
        client.set_fronts(open(&seen));
        sleep(ASK_PAUSE).await;
    }
}

/// Those that are in; all where fewer than half are.
fn open(seen: &[Seen]) -> Vec<SocketAddr> {
    let ready: Vec<SocketAddr> = seen
        .iter()
        .filter(|limiter| limiter.misses < MISSES)
        .map(|limiter| limiter.entry.front)
        .collect();
    if ready.len() * 2 < seen.len() {
        return seen.iter().map(|limiter| limiter.entry.front).collect();
    }
    ready
}

async fn is_ready(address: SocketAddr) -> bool {
    let answer = call(address, &Call::get("/api/readyz"), ASK_LIMIT).await;
    answer.is_ok_and(|answer| answer.status == 200)
}
