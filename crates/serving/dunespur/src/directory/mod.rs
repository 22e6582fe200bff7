//! A process's copy of the control state, updated by a watch on one core member, and its client for operations and
//! reads at the core.

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

/// Called after a change of the known control state.
type ChangeHandler = Box<dyn Fn(StateChanges)>;

/// Follows the control state and calls the core.
pub struct Directory {
    clock: Clock,
    known: RefCell<KnownState>,
    view: RefCell<Option<View>>,
    /// Addresses queried for a view while none is known or no member of the known view answers.
    seeds: RefCell<Vec<SocketAddr>>,
    links: ProcessLinks,
    /// The core member that last answered a watch.
    followed_member: Cell<Option<SocketAddr>>,
    contact: Contact,
    /// Servers whose heartbeats arrived since the last watch.
    renewed_servers: RefCell<BTreeSet<String>>,
    /// This process's own lease, if it has one.
    own_lease: RefCell<Option<NodeLease>>,
    /// Notified when the view or the known state has changed.
    changed: Notify,
    change_handler: RefCell<Option<ChangeHandler>>,
}

impl Directory {
    /// Creates a directory without a known view or control state.
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

    /// The clock of the process.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Sets the handler that is called after every change of the known control state.
    pub fn on_change(&self, handler: ChangeHandler) {
        *self.change_handler.borrow_mut() = Some(handler);
    }

    /// Seed addresses from the settings.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.borrow().clone()
    }

    /// Replaces the seed addresses after a reload of the settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Sets this process's lease, which every watch renews.
    pub fn set_own_lease(&self, lease: NodeLease) {
        *self.own_lease.borrow_mut() = Some(lease);
    }

    /// Renews this process's lease directly with the head of the chain, unless the watch already goes there.
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

    /// Renews a server's lease with the next watch, after its heartbeat has arrived.
    pub fn renew_server_lease(&self, server: &str) {
        self.renewed_servers.borrow_mut().insert(server.to_owned());
    }

    /// Whether a core member has recently answered a watch.
    pub fn has_contact(&self) -> bool {
        self.contact.is_present(self.clock.now())
    }

    /// Whether core members have answered watches before, but not recently.
    pub fn has_lost_contact(&self) -> bool {
        self.contact.is_lost(self.clock.now())
    }

    /// Time since the newest answered watch was sent; `None` until the first answer.
    pub fn silent_ms(&self) -> Option<u64> {
        self.contact.silent_ms(self.clock.now())
    }

    /// The core member that last answered a watch.
    pub fn followed_member(&self) -> Option<SocketAddr> {
        self.followed_member.get()
    }

    /// Counters of calls made so far and of their failures.
    pub fn link_counters(&self) -> LinkStatus {
        self.links.counters()
    }

    /// The known control state.
    pub fn known(&self) -> Ref<'_, KnownState> {
        self.known.borrow()
    }

    /// The newest view known to this process.
    pub fn view(&self) -> Option<View> {
        self.view.borrow().clone()
    }

    /// Stores a view if it is newer than the known one.
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

    /// Waits for the next change of the view or of the known state.
    pub async fn next_change(&self) {
        self.changed.notified().await;
    }

    /// Addresses of the core members in random order, except that the followed member comes first.
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

/// Address of the head of the chain.
fn head_address(view: &View) -> Option<SocketAddr> {
    let head = view.chain.first()?;
    let mut members = view.members.iter();
    members
        .find(|member| member.id == *head)
        .map(|member| member.address)
}
