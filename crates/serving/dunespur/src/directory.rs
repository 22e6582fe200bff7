//! What a process knows of the control state, kept up to date by a watch on one core member, and its way to the
//! core for operations and reads.

mod touch;

use crate::clock::Clock;
use crate::deadline::within;
use crate::messages::{decode, encode, Heard, NodeLease, Reply, Request, WatchRequest, Watched};
use crate::status::LinkStatus;
use bytes::Bytes;
use dunespur_chain_replication::View;
use dunespur_configuration::{Document, Table};
use dunespur_control_state::{
    Change, GatewayEntry, Operation, Outcome, RetireState, ServerReport, StoreEntry,
};
use dunespur_rpc::{CallError, Client};
use dunespur_turn_replication::roster::Store;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};
use touch::Touch;

/// A core member answers a watch within this time, or another one is asked. It answers after 0.4 s at the latest.
const WATCH_TIMEOUT: Duration = Duration::from_millis(900);
/// One core member gets so long for an operation before another one is asked.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after all known members were asked in vain.
const ROUND_PAUSE: Duration = Duration::from_millis(60);
/// A process that knows of a view is asked for it with this limit.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);

/// No core member has answered in time: the operation may or may not be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable;

/// The parts of the control state that data planes and stores act on.
#[derive(Default)]
pub struct Known {
    /// Index of the control state; `None` until the first answer.
    pub index: Option<u64>,
    pub table: Option<Rc<Table>>,
    pub servers: BTreeMap<String, ServerReport>,
    /// The gateways that are there.
    pub gateways: BTreeMap<String, GatewayEntry>,
    pub stores: BTreeMap<String, Store>,
}

/// What a change of the control state concerns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Touched {
    pub configuration: bool,
    pub servers: bool,
    pub stores: bool,
    pub gateways: bool,
}

/// What is done after a change of the state.
type ChangeAction = Box<dyn Fn(Touched)>;

/// Follows the control state.
pub struct Directory {
    clock: Clock,
    known: RefCell<Known>,
    view: RefCell<Option<View>>,
    /// Addresses to ask while no view is known, or all of its members are silent.
    seeds: RefCell<Vec<SocketAddr>>,
    clients: RefCell<HashMap<SocketAddr, Rc<Client>>>,
    /// The member that answered last.
    attached: Cell<Option<SocketAddr>>,
    touch: Touch,
    /// Servers heard of since the last watch.
    heard: RefCell<BTreeSet<String>>,
    /// This process's own lease, if it holds one.
    lease: RefCell<Option<NodeLease>>,
    /// What became of calls so far.
    link: Cell<LinkStatus>,
    /// Told when the view or a part of the state has changed.
    changed: Notify,
    on_change: RefCell<Option<ChangeAction>>,
}

impl Directory {
    pub fn new(clock: Clock, seeds: Vec<SocketAddr>) -> Rc<Directory> {
        Rc::new(Directory {
            clock,
            known: RefCell::default(),
            view: RefCell::default(),
            seeds: RefCell::new(seeds),
            clients: RefCell::default(),
            attached: Cell::new(None),
            touch: Touch::default(),
            heard: RefCell::default(),
            lease: RefCell::default(),
            link: Cell::default(),
            changed: Notify::new(),
            on_change: RefCell::default(),
        })
    }

    /// Calls `action` after every change of the state.
    pub fn when_changed(&self, action: ChangeAction) {
        *self.on_change.borrow_mut() = Some(action);
    }

    /// The settings name other seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// Renews this lease with every watch.
    pub fn hold_lease(&self, lease: NodeLease) {
        *self.lease.borrow_mut() = Some(lease);
    }

    /// A server's heartbeat came in.
    pub fn heard(&self, server: &str) {
        self.heard.borrow_mut().insert(server.to_owned());
    }

    /// Whether a core member has answered lately.
    pub fn in_touch(&self) -> bool {
        self.touch.holds(self.clock.now())
    }

    /// Time since the newest watch was sent that a core member has answered; none until the first.
    pub fn silent_ms(&self) -> Option<u64> {
        self.touch.silent_ms(self.clock.now())
    }

    /// The core member that answered last.
    pub fn attached(&self) -> Option<SocketAddr> {
        self.attached.get()
    }

    /// What became of calls so far.
    pub fn link_counters(&self) -> LinkStatus {
        self.link.get()
    }

    /// Whether core members have answered before, but not lately.
    pub fn has_lost_touch(&self) -> bool {
        self.touch.is_lost(self.clock.now())
    }

    /// What is known now.
    pub fn known(&self) -> std::cell::Ref<'_, Known> {
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

    /// Follows the control state for as long as the task lives.
    pub async fn follow(self: Rc<Self>) {
        loop {
            for address in self.members() {
                while self.watch_once(address).await {}
            }
            self.look_for_view().await;
            sleep(ROUND_PAUSE).await;
        }
    }

    /// Core members to ask, the one that answered last first.
    fn members(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let members = view
            .as_ref()
            .map(|view| view.members.as_slice())
            .unwrap_or_default();
        let mut addresses: Vec<_> = members.iter().map(|peer| peer.address).collect();
        fastrand::shuffle(&mut addresses);
        let attached = self.attached.get();
        addresses.sort_by_key(|address| Some(*address) != attached);
        addresses
    }

    /// One watch at one member; false if another one has to be asked.
    async fn watch_once(&self, address: SocketAddr) -> bool {
        let servers = std::mem::take(&mut *self.heard.borrow_mut());
        let request = WatchRequest {
            after: self.known.borrow().index,
            view: self.view.borrow().as_ref().map_or(0, |view| view.number),
            heard: Heard {
                servers: servers.iter().cloned().collect(),
                nodes: self.lease.borrow().iter().cloned().collect(),
            },
        };
        let payload = encode(&Request::Watch(request));
        let sent_at = self.clock.now();
        match self.call(address, payload, WATCH_TIMEOUT).await {
            Ok(Reply::Watched(watched)) => {
                self.attached.set(Some(address));
                self.touch.answered(sent_at);
                self.take(watched);
                true
            }
            Ok(_) => self.keep_heard(servers),
            Err(error) => {
                if error == CallError::TimedOut {
                    // A connection behind a cut stays silent for long; the next call opens another one.
                    self.client(address).disconnect();
                }
                self.keep_heard(servers)
            }
        }
    }

    /// The watch failed: what was heard is told with the next one.
    fn keep_heard(&self, servers: BTreeSet<String>) -> bool {
        self.count(|link| link.watches_lost += 1);
        self.heard.borrow_mut().extend(servers);
        false
    }

    /// Asks all seeds at once, and goes on as soon as a view is learnt, from one of them or announced by a member.
    async fn look_for_view(self: &Rc<Self>) {
        let learnt = self.changed.notified();
        tokio::pin!(learnt);
        learnt.as_mut().enable();
        let mut asked = JoinSet::new();
        for seed in self.seeds.borrow().iter().copied() {
            let directory = self.clone();
            asked.spawn_local(async move {
                if let Some(view) = directory.hello(seed).await {
                    directory.learn_view(view);
                }
            });
        }
        tokio::select! {
            () = learnt => {}
            () = async { while asked.join_next().await.is_some() {} } => {}
        }
    }

    /// Tells a process of the view that this one knows.
    pub fn announce(&self, address: SocketAddr) {
        if let Some(view) = self.view() {
            let _ = self
                .client(address)
                .notify(encode(&Request::Announce(view)));
        }
    }

    /// Addresses that the settings name.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.borrow().clone()
    }

    /// Asks one process for the view it knows.
    pub async fn hello(&self, address: SocketAddr) -> Option<View> {
        match self
            .call(address, encode(&Request::Hello), HELLO_TIMEOUT)
            .await
        {
            Ok(Reply::View(view)) => view,
            _ => None,
        }
    }

    /// Takes what a watch brought. The index never goes back: an answer from a member that is behind says nothing.
    fn take(&self, watched: Watched) {
        if let Some(view) = watched.view {
            self.learn_view(view);
        }
        let mut known = self.known.borrow_mut();
        if known.index.is_some_and(|index| watched.index <= index) {
            return;
        }
        if watched.whole {
            known.servers.clear();
            known.stores.clear();
            known.gateways.clear();
        }
        let whole = watched.whole;
        let mut touched = Touched {
            configuration: false,
            servers: whole,
            stores: whole,
            gateways: whole,
        };
        for change in watched.changes {
            known.apply(change, &mut touched);
        }
        known.index = Some(watched.index);
        drop(known);
        if touched != Touched::default() {
            if let Some(action) = &*self.on_change.borrow() {
                action(touched);
            }
            self.changed.notify_waiters();
        }
    }

    /// Carries out an operation at the core.
    pub async fn execute(
        &self,
        operation: &Operation,
        limit: Duration,
    ) -> Result<Outcome, Unavailable> {
        let payload = encode(&Request::Execute(operation.clone()));
        match self.ask_core(payload, limit).await? {
            Reply::Executed(outcome) => Ok(outcome),
            _ => Err(Unavailable),
        }
    }

    /// The newest configuration, confirmed by the core.
    pub async fn read_configuration(&self, limit: Duration) -> Result<Option<String>, Unavailable> {
        match self
            .ask_core(encode(&Request::ReadConfiguration), limit)
            .await?
        {
            Reply::Configuration(json) => Ok(json),
            _ => Err(Unavailable),
        }
    }

    /// How far a retirement is, confirmed by the core.
    pub async fn read_retirement(
        &self,
        node: &str,
        limit: Duration,
    ) -> Result<Option<RetireState>, Unavailable> {
        let payload = encode(&Request::ReadRetirement {
            node: node.to_owned(),
        });
        match self.ask_core(payload, limit).await? {
            Reply::Retirement(state) => Ok(state),
            _ => Err(Unavailable),
        }
    }

    /// Asks core members in turn until one answers or the time is over. An answer that is found when it is over says
    /// nothing on the present state: this process may have been frozen since it came.
    async fn ask_core(&self, payload: Bytes, limit: Duration) -> Result<Reply, Unavailable> {
        let end = Instant::now() + limit;
        let reply = within(limit, async {
            loop {
                for address in self.members() {
                    let left = end.saturating_duration_since(Instant::now());
                    let attempt = ATTEMPT_TIMEOUT.min(left);
                    match self.call(address, payload.clone(), attempt).await {
                        Ok(Reply::Unavailable) | Err(_) => {}
                        Ok(reply) => return reply,
                    }
                }
                sleep(ROUND_PAUSE).await;
            }
        })
        .await;
        reply.ok_or(Unavailable)
    }

    /// Calls one process of the system.
    pub async fn call(
        &self,
        address: SocketAddr,
        payload: Bytes,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        self.count(|link| link.calls += 1);
        let answered = self.client(address).call(payload, limit).await;
        let reply = answered.and_then(|answer| decode(&answer).ok_or(CallError::Closed));
        if reply.is_err() {
            self.count(|link| link.failed += 1);
        }
        reply
    }

    fn count(&self, change: impl FnOnce(&mut LinkStatus)) {
        let mut link = self.link.get();
        change(&mut link);
        self.link.set(link);
    }

    fn client(&self, address: SocketAddr) -> Rc<Client> {
        self.clients
            .borrow_mut()
            .entry(address)
            .or_insert_with(|| Client::new(address))
            .clone()
    }

    /// The process's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }
}

impl Known {
    fn apply(&mut self, change: Change, touched: &mut Touched) {
        match change {
            Change::Configuration { generation, json } => {
                if self
                    .table
                    .as_ref()
                    .is_some_and(|table| table.generation() >= generation)
                {
                    return;
                }
                match Document::replace(json.as_bytes()) {
                    Ok(document) => self.table = Some(Rc::new(Table::new(&document))),
                    Err(findings) => {
                        log::error!("configuration {generation} can't be used: {findings}")
                    }
                }
                touched.configuration = true;
            }
            Change::Server(report) => {
                self.servers.insert(report.id.clone(), report);
                touched.servers = true;
            }
            Change::ServerGone { id } => {
                self.servers.remove(&id);
                touched.servers = true;
            }
            Change::Store(entry) => {
                self.stores.insert(entry.name.clone(), store(entry));
                touched.stores = true;
            }
            Change::StoreGone { name } => {
                self.stores.remove(&name);
                touched.stores = true;
            }
            Change::Gateway(entry) => {
                self.gateways.insert(entry.name.clone(), entry);
                touched.gateways = true;
            }
            Change::GatewayGone { name } => {
                self.gateways.remove(&name);
                touched.gateways = true;
            }
        }
    }
}

/// A store as the keeping of turns sees it.
fn store(entry: StoreEntry) -> Store {
    Store {
        name: entry.name,
        zone: entry.zone,
        address: entry.address,
        incarnation: entry.incarnation,
        disk: entry.disk,
        whole: entry.whole,
        present: entry.present,
        retiring: entry.retiring,
        retired: entry.retired,
        round: entry.round,
    }
}
