//! Connections to the other core members: one client per address, created on first use.

use bytes::Bytes;
use dunespur_rpc::Client;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Called with the address of a member to which the connection was lost.
pub type DisconnectHandler = Rc<dyn Fn(SocketAddr)>;

/// RPC clients for the other members of the core.
pub struct PeerLinks {
    clients: RefCell<HashMap<SocketAddr, Rc<Client>>>,
    on_disconnect: DisconnectHandler,
}

impl PeerLinks {
    /// Creates the links without any connection.
    pub fn new(on_disconnect: DisconnectHandler) -> PeerLinks {
        PeerLinks {
            clients: RefCell::default(),
            on_disconnect,
        }
    }

    /// Queues a message. A message that can't be queued is dropped: the state machine resends unacknowledged messages.
    pub fn send(&self, address: SocketAddr, payload: Bytes) {
        let _ = self.client(address).notify(payload);
    }

    fn client(&self, address: SocketAddr) -> Rc<Client> {
        let mut clients = self.clients.borrow_mut();
        let client = clients.entry(address).or_insert_with(|| {
            let on_disconnect = self.on_disconnect.clone();
            Client::with_close_observer(address, Box::new(move || on_disconnect(address)))
        });
        client.clone()
    }
}
