//! Connections to the other processes of the system, one client per address, created on first use, with counters of
//! their calls.

use crate::messages::{decode, Reply};
use crate::status::LinkStatus;
use bytes::Bytes;
use dunespur_rpc::{CallError, Client};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// RPC clients of this process, by address.
#[derive(Default)]
pub(super) struct ProcessLinks {
    clients: RefCell<HashMap<SocketAddr, Rc<Client>>>,
    counters: Cell<LinkStatus>,
}

impl ProcessLinks {
    /// Calls the process at `address` and decodes its reply.
    pub(super) async fn call(
        &self,
        address: SocketAddr,
        payload: Bytes,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        self.update_counters(|counters| counters.calls += 1);
        let response = self.client(address).call(payload, timeout).await;
        let reply = response.and_then(|bytes| decode(&bytes).ok_or(CallError::Closed));
        if reply.is_err() {
            self.update_counters(|counters| counters.failed += 1);
        }
        reply
    }

    /// Queues a message that is not answered. A message that can't be queued is dropped.
    pub(super) fn notify(&self, address: SocketAddr, payload: Bytes) {
        let _ = self.client(address).notify(payload);
    }

    /// Closes the connection; the next call opens a new one.
    pub(super) fn disconnect(&self, address: SocketAddr) {
        self.client(address).disconnect();
    }

    /// Counts a failed watch.
    pub(super) fn count_lost_watch(&self) {
        self.update_counters(|counters| counters.watches_lost += 1);
    }

    /// Counters of calls made so far and of their failures.
    pub(super) fn counters(&self) -> LinkStatus {
        self.counters.get()
    }

    fn update_counters(&self, change: impl FnOnce(&mut LinkStatus)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    fn client(&self, address: SocketAddr) -> Rc<Client> {
        let mut clients = self.clients.borrow_mut();
        clients
            .entry(address)
            .or_insert_with(|| Client::new(address))
            .clone()
    }
}
