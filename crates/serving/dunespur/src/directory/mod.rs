//! What a process knows of the control state, updated by a watch on one core member, and its way to the
//! core for operations and reads.

mod contact;
mod core_calls;
mod known_state;
mod process_links;
mod unavailable;
mod watching;

pub use known_state::{KnownState, StateChanges};
pub use unavailable::Unavailable;

use crate::clock::Clock;
use crate::messages::{encode, LeaseRenewals, NodeLease, Request};
use crate::status::LinkStatus;
use contact::Contact;
use dunespur_chain_replication::View;
use process_links::ProcessLinks;
use std::cell::{Cell, Ref, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Called after a change of the state.
type ChangeHandler = Box<dyn Fn(StateChanges)>;

/// Follows the control state.
pub struct Directory {
    clock: Clock,
    known: RefCell<KnownState>,
    view: RefCell<Option<View>>,
    /// Addresses to query while no view is known, or none of its members answers.
    seeds: RefCell<Vec<SocketAddr>>,
    links: ProcessLinks,
    /// The member that answered last.
    followed_member: Cell<Option<SocketAddr>>,
    contact: Contact,
    /// Servers whose heartbeats came in since the last watch.
    renewed_servers: RefCell<BTreeSet<String>>,
    /// This process's own lease, if it has one.
    own_lease: RefCell<Option<NodeLease>>,
    /// Notified when the view or a part of the state has changed.
    changed: Notify,
    change_handler: RefCell<Option<ChangeHandler>>,
}

impl Directory {
    /// Knows nothing yet.
    pub fn new(clock: Clock, seeds: Vec<SocketAddr>) -> Rc<Directory> {
        Rc::new(Directory {
            clock,
            known: RefCell::default(),
            view: RefCell::default(),
            seeds: RefCell::new(seeds),
            links: ProcessLinks::default(),
            followed_member: Cell::new(None),
            contact: Contact::default(),
            renewed_servers: RefCell::default(),
            own_lease: RefCell::default(),
            changed: Notify::new(),
            change_handler: RefCell::default(),
        })
    }

    /// The process's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Calls `handler` after every change of the state.
    pub fn on_change(&self, handler: ChangeHandler) {
        *self.change_handler.borrow_mut() = Some(handler);
    }

    /// Addresses that the settings name.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.borrow().clone()
    }

    /// The settings name other seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Renews this lease with every watch.
    pub fn set_own_lease(&self, lease: NodeLease) {
        *self.own_lease.borrow_mut() = Some(lease);
    }

    /// Renews this process's own lease with the head of the chain, if another member is followed.
    pub fn renew_lease_with_head(&self) {
        let head = self.view.borrow().as_ref().and_then(head_address);
        let Some(head) = head.filter(|head| self.followed_member.get() != Some(*head)) else {
            return;
        };
        let renewals = LeaseRenewals {
            servers: Vec::new(),
            nodes: self.own_lease.borrow().iter().cloned().collect(),
        };
        self.links
            .notify(head, encode(&Request::LeaseRenewals(renewals)));
    }

    /// Renews the lease of a server, whose heartbeat came in, with the next watch.
    pub fn renew_server_lease(&self, server: &str) {
        self.renewed_servers.borrow_mut().insert(server.to_owned());
    }

    /// Whether a core member has answered lately.
    pub fn has_contact(&self) -> bool {
        self.contact.is_present(self.clock.now())
    }

    /// Whether core members have answered before, but not lately.
    pub fn has_lost_contact(&self) -> bool {
        self.contact.is_lost(self.clock.now())
    }

    /// Time since the newest watch was sent that a core member has answered; none until the first.
    pub fn silent_ms(&self) -> Option<u64> {
        self.contact.silent_ms(self.clock.now())
    }

    /// The core member that answered last.
    pub fn followed_member(&self) -> Option<SocketAddr> {
        self.followed_member.get()
    }

    /// Calls made so far, and how they ended.
    pub fn link_counters(&self) -> LinkStatus {
        self.links.counters()
    }

    /// What is known now.
    pub fn known(&self) -> Ref<'_, KnownState> {
        self.known.borrow()
    }

    /// The newest view that this process knows of.
    pub fn view(&self) -> Option<View> {
        self.view.borrow().clone()
    }

    /// Learns a view; older ones are ignored.
    pub fn learn_view(&self, view: View) {
        let mut known = self.view.borrow_mut();
        if known
            .as_ref()
            .is_some_and(|known| known.number >= view.number)
        {
            return;
        }
        *known = Some(view);
        drop(known);
        self.changed.notify_waiters();
    }

    /// Waits for the next change of the view or of the state.
    pub async fn next_change(&self) {
        self.changed.notified().await;
    }

    /// Core members in the order in which they are tried: the one that answered last first.
    fn members(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let members = view
            .as_ref()
            .map(|view| view.members.as_slice())
            .unwrap_or_default();
        let mut addresses: Vec<_> = members.iter().map(|peer| peer.address).collect();
        fastrand::shuffle(&mut addresses);
        let followed = self.followed_member.get();
        addresses.sort_by_key(|address| Some(*address) != followed);
        addresses
    }
}

/// Where the head of the chain takes requests.
fn head_address(view: &View) -> Option<SocketAddr> {
    let head = view.chain.first()?;
    let mut members = view.members.iter();
    members
        .find(|member| member.id == *head)
        .map(|member| member.address)
}
