//! The platform's load balancer: checks each gateway's readiness every second and sends clients to those that are
//! ready.

use crate::client::call::{call, Call};
use crate::client::Client;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

/// Interval of the readiness checks.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// A readiness check fails after this time.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// A gateway that fails this many checks in a row receives no new connections.
const MAX_MISSED_PROBES: u32 = 2;

/// The addresses of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address for clients.
    pub front: SocketAddr,
}

/// Keeps a client's gateway addresses up to date until this is dropped.
#[derive(Debug)]
pub struct Ingress {
    entries: Arc<Mutex<Vec<Entry>>>,
    task: JoinHandle<()>,
}

impl Ingress {
    /// Begins to check `entries` and to keep the addresses of `client` up to date.
    #[must_use]
    pub fn start(client: Client, entries: Vec<Entry>) -> Ingress {
        let entries = Arc::new(Mutex::new(entries));
        let task = tokio::spawn(keep(client, entries.clone()));
        Ingress { entries, task }
    }

    /// Replaces the gateways.
    pub fn set_entries(&self, entries: Vec<Entry>) {
        *self.entries.lock().unwrap_or_else(PoisonError::into_inner) = entries;
    }
}

impl Drop for Ingress {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A gateway as the platform sees it.
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
        seen.retain(|gateway| listed.contains(&gateway.entry));
        for entry in listed {
            if !seen.iter().any(|gateway| gateway.entry == entry) {
                seen.push(Seen {
                    entry,
                    misses: MAX_MISSED_PROBES,
                });
            }
        }
        let mut answers = JoinSet::new();
        for (index, gateway) in seen.iter().enumerate() {
            let ready = gateway.entry.ready;
            answers.spawn(async move { (index, is_ready(ready).await) });
        }
        while let Some(Ok((index, ready))) = answers.join_next().await {
            let misses = &mut seen[index].misses;
            *misses = if ready { 0 } else { *misses + 1 };
        }
        client.set_fronts(open(&seen));
        sleep(PROBE_INTERVAL).await;
    }
}

/// Gateways for new connections: the ready ones, or all where fewer than half are ready.
fn open(seen: &[Seen]) -> Vec<SocketAddr> {
    let ready: Vec<SocketAddr> = seen
        .iter()
        .filter(|gateway| gateway.misses < MAX_MISSED_PROBES)
        .map(|gateway| gateway.entry.front)
        .collect();
    if ready.len() * 2 < seen.len() {
        return seen.iter().map(|gateway| gateway.entry.front).collect();
    }
    ready
}

async fn is_ready(address: SocketAddr) -> bool {
    let answer = call(address, &Call::get("/api/readyz"), PROBE_TIMEOUT).await;
    answer.is_ok_and(|answer| answer.status == 200)
}
