//! Connections to the other core members: one client for each address, made when it is first needed.

use bytes::Bytes;
use dunespur_rpc::Client;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Called with the address of a member whose connection is lost.
pub type DisconnectHandler = Rc<dyn Fn(SocketAddr)>;

/// The clients of one core member.
pub struct PeerLinks {
    clients: RefCell<HashMap<SocketAddr, Rc<Client>>>,
    on_disconnect: DisconnectHandler,
}

impl PeerLinks {
    /// No connections yet.
    pub fn new(on_disconnect: DisconnectHandler) -> PeerLinks {
        PeerLinks {
            clients: RefCell::default(),
            on_disconnect,
        }
    }

    /// Queues a message. One that can't be queued is lost: the state machine sends again what is not acknowledged.
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
