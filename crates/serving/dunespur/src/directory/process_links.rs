//! Connections to the other processes of the system: one client for each address, made when it is first needed, and
//! counters of the calls over them.

use crate::messages::{decode, Reply};
use crate::status::LinkStatus;
use bytes::Bytes;
use dunespur_rpc::{CallError, Client};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The clients of one process.
#[derive(Default)]
pub(super) struct ProcessLinks {
    clients: RefCell<HashMap<SocketAddr, Rc<Client>>>,
    counters: Cell<LinkStatus>,
}

impl ProcessLinks {
    /// Calls one process.
    pub(super) async fn call(
        &self,
        address: SocketAddr,
        payload: Bytes,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        self.count(|counters| counters.calls += 1);
        let response = self.client(address).call(payload, timeout).await;
        let reply = response.and_then(|bytes| decode(&bytes).ok_or(CallError::Closed));
        if reply.is_err() {
            self.count(|counters| counters.failed += 1);
        }
        reply
    }

    /// Queues a message that is not answered. One that can't be queued is lost.
    pub(super) fn notify(&self, address: SocketAddr, payload: Bytes) {
        let _ = self.client(address).notify(payload);
    }

    /// Ends the connection; the next call opens another one.
    pub(super) fn disconnect(&self, address: SocketAddr) {
        self.client(address).disconnect();
    }

    /// A watch has failed.
    pub(super) fn count_lost_watch(&self) {
        self.count(|counters| counters.watches_lost += 1);
    }

    /// Calls made so far, and how they ended.
    pub(super) fn counters(&self) -> LinkStatus {
        self.counters.get()
    }

    fn count(&self, change: impl FnOnce(&mut LinkStatus)) {
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
