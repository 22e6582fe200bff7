//! The owner of a core member: everything the chain's state machine asks for is carried out here.

use super::applied::AppliedState;
use super::disk::{Batch, DiskWriter};
use super::executing::{Answer, Executing, Taken};
use super::expiry::Leases;
use crate::clock::Clock;
use crate::deadline::within;
use crate::messages::{encode, Heard, NodeLease, Reply, Request, WatchRequest, Watched};
use crate::status::CoreStatus;
use anyhow::Context;
use dunespur_chain_replication::{
    Input, Member, MemberId, Message, Output, Peer, SnapshotRefusals, View,
};
use dunespur_control_state::{ControlState, Operation};
use dunespur_rpc::Client;
use dunespur_storage::core::CoreDisk;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout};

/// The file of a core member in its data folder.
const DISK_FILE: &str = "core.redb";
/// A watch without changes is answered after this time: the caller sees that we live.
const WATCH_LIMIT: Duration = Duration::from_millis(400);
/// An operation that is not committed after this time is answered with [`Reply::Unavailable`].
const EXECUTE_LIMIT: Duration = Duration::from_millis(1800);
/// How often leases are told to the other members and looked through, in milliseconds.
const LEASE_ROUND_MS: u64 = 500;
/// Answers that may wait for their commit; further operations are turned away.
const MOST_WAITING: usize = 4096;

/// Who this member is.
#[derive(Clone, Debug)]
pub struct CoreIdentity {
    pub node: String,
    pub address: SocketAddr,
    /// Whether it may take part in a first view.
    pub bootstrap: bool,
    pub heartbeat_ms: u64,
}

/// What a counter says of one program.
#[derive(Clone, Copy, Debug)]
pub struct CountedBudget {
    /// Tokens that were reported as used.
    pub used: u64,
    /// Tokens that limiters hold.
    pub held: u64,
}

/// A core member with its disk and links.
pub struct Coordinator {
    id: MemberId,
    address: SocketAddr,
    clock: Clock,
    inner: RefCell<Inner>,
    /// Told when there are changes or another view.
    changed: Notify,
    /// Told when the time of the next tick has changed.
    rescheduled: Notify,
    this: Weak<Coordinator>,
}

struct Inner {
    member: Member,
    applied: AppliedState,
    leases: Leases,
    disk: DiskWriter,
    links: HashMap<SocketAddr, Rc<Client>>,
    executing: Executing,
    reading: HashMap<u64, oneshot::Sender<()>>,
    next_ticket: u64,
    next_lease_round: u64,
    /// Whether this member decided on leases at the last round.
    decided_leases: bool,
    /// Refusals of snapshots when one was last looked for.
    told_refusals: SnapshotRefusals,
}

impl Coordinator {
    /// Opens the disk and starts the member's tasks.
    pub fn start(
        identity: CoreIdentity,
        data: &Path,
        clock: Clock,
    ) -> anyhow::Result<Rc<Coordinator>> {
        std::fs::create_dir_all(data).with_context(|| format!("making {}", data.display()))?;
        let (disk, disk_identity, saved) = CoreDisk::open(&data.join(DISK_FILE))?;
        let id = MemberId {
            node: identity.node.clone(),
            disk: disk_identity.disk,
        };
        let now = clock.now();
        let seed = fastrand::u64(..);
        let member = Member::new(
            id.clone(),
            identity.address,
            identity.bootstrap,
            saved,
            seed,
            now,
        );
        let (persisted, synced) = mpsc::unbounded_channel();
        let inner = Inner {
            member,
            applied: AppliedState::default(),
            leases: Leases::new(identity.heartbeat_ms),
            disk: DiskWriter::start(disk, persisted)?,
            links: HashMap::new(),
            executing: Executing::default(),
            reading: HashMap::new(),
            next_ticket: 1,
            next_lease_round: now + LEASE_ROUND_MS,
            decided_leases: false,
            told_refusals: SnapshotRefusals::default(),
        };
        let coordinator = Rc::new_cyclic(|this| Coordinator {
            id,
            address: identity.address,
            clock,
            inner: RefCell::new(inner),
            changed: Notify::new(),
            rescheduled: Notify::new(),
            this: this.clone(),
        });
        spawn_local(report_persisted(coordinator.clone(), synced));
        spawn_local(keep_ticking(coordinator.clone()));
        Ok(coordinator)
    }

    /// This member as others know it.
    pub fn peer(&self) -> Peer {
        Peer {
            id: self.id.clone(),
            address: self.address,
        }
    }

    /// The newest view that this member knows.
    pub fn view(&self) -> Option<View> {
        self.inner.borrow().member.view().cloned()
    }

    /// How this member gets on, with so many leases at most.
    pub fn status(&self, most_leases: usize) -> CoreStatus {
        let now = self.clock.now();
        let inner = self.inner.borrow();
        CoreStatus {
            current: inner.member.current(now),
            follows: inner.serves(now),
            committed: inner.member.committed(),
            waiting: inner.executing.len(),
            refused_snapshots: inner.member.snapshot_refusals().total(),
            programs: inner.applied.state().counters().programs(),
            disk: inner.disk.status(),
            leases: inner.leases.status(most_leases, now),
        }
    }

    /// A program's budget by the counter of this member.
    pub fn budget_of(&self, program: &str) -> CountedBudget {
        let inner = self.inner.borrow();
        let counters = inner.applied.state().counters();
        CountedBudget {
            used: counters.used(program),
            held: counters.held(program),
        }
    }

    /// Takes part in the first view of the system.
    pub fn found(&self, view: View) {
        self.step(Input::Found { view });
    }

    /// Asks the members at these addresses to take this one in.
    pub fn join(&self, contacts: Vec<SocketAddr>) {
        self.step(Input::Join { contacts });
    }

    /// Asks to be put out of the chain, before a planned end.
    pub fn leave(&self) {
        self.step(Input::Leave);
    }

    /// A message of another member.
    pub fn received(&self, from: MemberId, message: Message) {
        self.step(Input::Received { from, message });
    }

    /// Carries out an operation; answered once it is committed.
    pub async fn execute(&self, operation: &Operation) -> Reply {
        let Some(answer) = self.submit(operation) else {
            return Reply::Unavailable;
        };
        match within(EXECUTE_LIMIT, answer).await {
            Some(Ok(Some(outcome))) => Reply::Executed(outcome),
            _ => Reply::Unavailable,
        }
    }

    fn submit(&self, operation: &Operation) -> Option<Answer> {
        let payload = postcard::to_stdvec(operation).ok()?;
        let (ticket, taken) = {
            let mut inner = self.inner.borrow_mut();
            if inner.executing.len() >= MOST_WAITING || !inner.takes_orders(self.clock.now()) {
                return None;
            }
            let ticket = inner.take_ticket();
            (ticket, inner.executing.take(ticket, operation, &payload))
        };
        match taken {
            Taken::Joined(answer) => Some(answer),
            Taken::New(answer) => {
                self.step(Input::Submit { ticket, payload });
                Some(answer)
            }
        }
    }

    /// The newest configuration, confirmed by the whole chain.
    pub async fn read_configuration(&self) -> Reply {
        if !self.confirmed().await {
            return Reply::Unavailable;
        }
        let json = self
            .inner
            .borrow()
            .applied
            .state()
            .configuration()
            .map(|document| document.to_json());
        Reply::Configuration(json)
    }

    /// How far a retirement is, confirmed by the whole chain.
    pub async fn read_retirement(&self, node: &str) -> Reply {
        if !self.confirmed().await {
            return Reply::Unavailable;
        }
        Reply::Retirement(self.inner.borrow().applied.state().retirement(node))
    }

    /// Waits until all that was committed before is applied here.
    async fn confirmed(&self) -> bool {
        let (sender, answer) = oneshot::channel();
        let ticket = {
            let mut inner = self.inner.borrow_mut();
            inner.reading.retain(|_, waiting| !waiting.is_closed());
            let ticket = inner.take_ticket();
            inner.reading.insert(ticket, sender);
            ticket
        };
        self.step(Input::Read { ticket });
        matches!(within(EXECUTE_LIMIT, answer).await, Some(Ok(())))
    }

    /// Answers a watch: at once if there are changes, else when there are some or after [`WATCH_LIMIT`].
    pub async fn watch(&self, request: WatchRequest) -> Reply {
        let now = self.clock.now();
        if self.inner.borrow().member.current(now) {
            // One that was frozen finds renewals of long ago in its sockets.
            self.inner.borrow_mut().leases.heard(&request.heard, now);
        }
        if !self.inner.borrow().serves(now) {
            return Reply::Unavailable;
        }
        let changed = self.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if !self.news_for(&request) {
            let _ = timeout(WATCH_LIMIT, changed).await;
        }
        self.watched(&request)
    }

    fn news_for(&self, request: &WatchRequest) -> bool {
        let inner = self.inner.borrow();
        let newer_view = inner
            .member
            .view()
            .is_some_and(|view| view.number > request.view);
        newer_view
            || request
                .after
                .is_none_or(|after| inner.applied.changes().has_after(after))
    }

    fn watched(&self, request: &WatchRequest) -> Reply {
        let inner = self.inner.borrow();
        if !inner.serves(self.clock.now()) {
            return Reply::Unavailable;
        }
        let view = inner
            .member
            .view()
            .filter(|view| view.number > request.view)
            .cloned();
        let newest = inner.applied.changes().newest();
        let kept = request
            .after
            .and_then(|after| inner.applied.changes().after(after));
        let whole = kept.is_none();
        let changes = kept.unwrap_or_else(|| inner.applied.state().image());
        let index = if whole {
            newest
        } else {
            newest.max(request.after.unwrap_or(0))
        };
        Reply::Watched(Watched {
            index,
            whole,
            changes,
            view,
        })
    }

    /// Processes that may have lost the core: those that seeds name or that are remembered, and are not heard of. A
    /// machine without a disk that restarts knows only its seeds, and these may have restarted too. Empty unless this
    /// member follows the chain; remembered ones only at its head, which hears of all.
    pub fn unheard(&self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let inner = self.inner.borrow();
        if !inner.serves(now) {
            return Vec::new();
        }
        inner.unheard(&self.id, seeds, now)
    }

    /// Leases that another member was told of.
    pub fn told(&self, heard: &Heard) {
        self.inner.borrow_mut().leases.told(heard, self.clock.now());
    }

    /// Gives the state machine an input and carries out what it wants.
    fn step(&self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        let mut outputs = Vec::new();
        let mut changed = false;
        while let Some(input) = inputs.pop_front() {
            let now = self.clock.now();
            let mut inner = self.inner.borrow_mut();
            inner.member.step(input, now, &mut outputs);
            inner.tell_refusals();
            drop(inner);
            for output in outputs.drain(..) {
                changed |= self.carry_out(output, &mut inputs);
            }
        }
        if changed {
            self.changed.notify_waiters();
        }
        self.rescheduled.notify_one();
    }

    /// Carries one output out; says whether those who watch have to look.
    fn carry_out(&self, output: Output, inputs: &mut VecDeque<Input>) -> bool {
        let mut inner = self.inner.borrow_mut();
        match output {
            Output::Send { to, message } => {
                let link = inner.link(to.address, &self.this);
                drop(inner);
                self.send(&link, message);
            }
            Output::SendTo { address, message } => {
                let link = inner.link(address, &self.this);
                drop(inner);
                self.send(&link, message);
            }
            Output::Persist { batch, writes } => inner.disk.write(Batch {
                number: batch,
                writes,
            }),
            Output::Commit {
                index,
                payload,
                ticket,
            } => return inner.commit(index, &payload, ticket),
            Output::ReadReady { ticket } => {
                if let Some(waiting) = inner.reading.remove(&ticket) {
                    let _ = waiting.send(());
                }
            }
            Output::Dropped { ticket } => {
                inner.reading.remove(&ticket);
                inner.executing.ended(ticket, None);
            }
            Output::WantSnapshot => {
                // A state that has fallen behind isn't handed on as that of the newest index.
                if inner.applied.is_readable() {
                    let bytes = inner.applied.state().snapshot();
                    inputs.push_back(Input::Snapshot {
                        index: inner.applied.changes().newest(),
                        bytes,
                    });
                }
            }
            Output::Install { index, bytes } => {
                inner.applied.install(index, &bytes);
                return true;
            }
            Output::ViewChanged { view, current } => {
                log::info!(
                    "view {}: chain {:?}, current {current}",
                    view.number,
                    names(&view)
                );
                return true;
            }
        }
        false
    }

    fn send(&self, link: &Rc<Client>, message: Message) {
        let _ = link.notify(encode(&Request::Chain {
            from: self.id.clone(),
            message,
        }));
    }

    fn link_closed(&self, address: SocketAddr) {
        let peer = self.inner.borrow().member.view().and_then(|view| {
            view.members
                .iter()
                .find(|peer| peer.address == address)
                .map(|peer| peer.id.clone())
        });
        if let Some(peer) = peer {
            self.step(Input::Disconnected { peer });
        }
    }

    fn next_tick(&self) -> u64 {
        let inner = self.inner.borrow();
        inner.member.next_tick().min(inner.next_lease_round)
    }

    fn tick(&self) {
        let now = self.clock.now();
        if now >= self.inner.borrow().next_lease_round {
            self.look_after_leases(now);
        }
        if now >= self.inner.borrow().member.next_tick() {
            self.step(Input::Tick);
        }
    }

    /// Tells the others which leases were renewed here; the head of the chain lets lapsed ones go.
    fn look_after_leases(&self, now: u64) {
        let operations = {
            let mut inner = self.inner.borrow_mut();
            inner.next_lease_round = now + LEASE_ROUND_MS;
            inner.tell_leases(&self.id, &self.this);
            inner.lapsed(&self.id, now)
        };
        for operation in operations {
            log::info!("lapsed: {operation:?}");
            drop(self.submit(&operation));
        }
    }
}

impl Inner {
    /// Each reason is logged once in the life of the process; all are counted.
    fn tell_refusals(&mut self) {
        let refusals = self.member.snapshot_refusals();
        if refusals == self.told_refusals {
            return;
        }
        for refusal in refusals.first_since(&self.told_refusals) {
            log::warn!("a member's snapshot is not taken: {refusal}; later ones are only counted");
        }
        self.told_refusals = refusals;
    }

    /// Whether an operation may be submitted here. What it comes to, its commit tells.
    fn takes_orders(&self, now: u64) -> bool {
        self.member.takes_part(now) && self.applied.is_readable()
    }

    /// Whether this member may show its state: it follows the chain, and its state is that of what it has followed.
    fn serves(&self, now: u64) -> bool {
        self.member.follows(now) && self.applied.is_readable()
    }

    fn take_ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    fn link(&mut self, address: SocketAddr, owner: &Weak<Coordinator>) -> Rc<Client> {
        if let Some(link) = self.links.get(&address) {
            return link.clone();
        }
        let owner = owner.clone();
        let closed = move || {
            let Some(owner) = owner.upgrade() else { return };
            // Told from within `step`, possibly: the state machine takes it afterwards.
            spawn_local(async move { owner.link_closed(address) });
        };
        let link = Client::with_notice(address, Box::new(closed));
        self.links.insert(address, link.clone());
        link
    }

    fn unheard(&self, own: &MemberId, seeds: &[SocketAddr], now: u64) -> Vec<SocketAddr> {
        let view = self.member.view();
        let members = view.map(|view| view.members.as_slice()).unwrap_or_default();
        let is_head = view.is_some_and(|view| view.chain.first() == Some(own));
        let mut heard: BTreeSet<SocketAddr> = members.iter().map(|peer| peer.address).collect();
        let mut wanted: BTreeSet<SocketAddr> = seeds.iter().copied().collect();
        for (name, address) in remembered(self.applied.state()) {
            if self.leases.hears(&name, now) {
                heard.insert(address);
            } else if is_head {
                wanted.insert(address);
            }
        }
        wanted.difference(&heard).copied().collect()
    }

    /// Tells the other members of the view which leases were renewed here.
    fn tell_leases(&mut self, own: &MemberId, owner: &Weak<Coordinator>) {
        let heard = self.leases.take_untold();
        if heard == Heard::default() {
            return;
        }
        let payload = encode(&Request::Heard(heard));
        for address in self.other_members(own) {
            let _ = self.link(address, owner).notify(payload.clone());
        }
    }

    fn other_members(&self, own: &MemberId) -> Vec<SocketAddr> {
        let members = self
            .member
            .view()
            .map(|view| view.members.as_slice())
            .unwrap_or_default();
        members
            .iter()
            .filter(|peer| peer.id != *own)
            .map(|peer| peer.address)
            .collect()
    }

    /// Operations for what has lapsed, if this member decides on that: it is the head of the chain, and was at the
    /// last round.
    fn lapsed(&mut self, own: &MemberId, now: u64) -> Vec<Operation> {
        let heads = self
            .member
            .view()
            .is_some_and(|view| view.chain.first() == Some(own));
        let decides = heads && self.member.current(now) && self.applied.is_readable();
        if !decides || !self.decided_leases {
            self.leases.renew_all(now);
            self.decided_leases = decides;
            return Vec::new();
        }
        let state = self.applied.state();
        self.leases
            .keep_servers(state.servers().map(|server| server.id.as_str()), now);
        self.leases
            .keep_nodes(store_leases(state).chain(gateway_leases(state)), now);
        let names: Vec<String> = remembered(state).map(|(name, _)| name).collect();
        self.leases.keep_heard(names.iter().map(String::as_str));
        let servers = self.leases.lapsed_servers(now);
        let mut nodes = self.leases.lapsed_nodes(store_leases(state), now);
        nodes.extend(self.leases.lapsed_nodes(gateway_leases(state), now));
        let gone = servers.into_iter().filter_map(|id| {
            let last_sequence = state.server(&id)?.sequence;
            Some(Operation::ServerExpired { id, last_sequence })
        });
        let absent = nodes.into_iter().map(|node| Operation::NodeGone {
            name: node.name,
            incarnation: node.incarnation,
        });
        gone.chain(absent).collect()
    }

    /// Applies a committed operation and answers whoever waits for it.
    fn commit(&mut self, index: u64, payload: &[u8], ticket: Option<u64>) -> bool {
        let outcome = self.applied.commit(index, payload);
        if let Some(ticket) = ticket {
            self.executing.ended(ticket, outcome);
        }
        self.applied.changes().has_after(index - 1)
    }
}

/// The leases of the stores that are there.
fn store_leases(state: &ControlState) -> impl Iterator<Item = NodeLease> + '_ {
    let present = state.stores().filter(|store| store.present);
    present.map(|store| NodeLease {
        name: store.name,
        incarnation: store.incarnation,
    })
}

/// Names and addresses of all gateways and stores that may come back.
fn remembered(state: &ControlState) -> impl Iterator<Item = (String, SocketAddr)> + '_ {
    let gateways = state
        .remembered_gateways()
        .map(|gateway| (gateway.name.clone(), gateway.address));
    let stores = state
        .stores()
        .filter(|store| !store.retired)
        .map(|store| (store.name, store.address));
    gateways.chain(stores)
}

/// The leases of the gateways that are there.
fn gateway_leases(state: &ControlState) -> impl Iterator<Item = NodeLease> + '_ {
    let present = state.gateways();
    present.map(|gateway| NodeLease {
        name: gateway.name.clone(),
        incarnation: gateway.incarnation,
    })
}

fn names(view: &View) -> Vec<&str> {
    view.chain.iter().map(|id| id.node.as_str()).collect()
}

async fn report_persisted(coordinator: Rc<Coordinator>, mut synced: mpsc::UnboundedReceiver<u64>) {
    while let Some(batch) = synced.recv().await {
        coordinator.step(Input::Persisted { batch });
    }
}

async fn keep_ticking(coordinator: Rc<Coordinator>) {
    loop {
        let due = coordinator.clock.instant(coordinator.next_tick());
        tokio::select! {
            () = sleep_until(due.into()) => coordinator.tick(),
            () = coordinator.rescheduled.notified() => {}
        }
    }
}
