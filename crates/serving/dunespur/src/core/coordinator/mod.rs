//! Runs a core member: feeds inputs to the chain's state machine and performs its outputs.

mod lease_sweeps;
mod requests;
mod status;
mod watches;

use super::disk_writer::{Batch, DiskWriter};
use super::encoded_updates::EncodedUpdates;
use super::lease_expiry::LeaseExpiry;
use super::peer_links::PeerLinks;
use super::pending_operations::PendingOperations;
use super::pending_reads::PendingReads;
use super::replica::Replica;
use crate::clock::Clock;
use crate::messages::{encode, Request};
use anyhow::Context;
use dunespur_chain_replication::{
    Input, Member, MemberConfig, MemberId, Message, Output, Peer, View,
};
use dunespur_storage::core::CoreDisk;
use dunespur_storage::OpenedDisk;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::{Rc, Weak};
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// File name of a core member's database in its data folder.
const DATABASE_FILE: &str = "core.redb";

/// Identity and settings of this process as a core member.
#[derive(Clone, Debug)]
pub struct CoreIdentity {
    /// The machine's name.
    pub node: String,
    /// Internal address, at which other processes of the system call this one.
    pub address: SocketAddr,
    /// Whether this machine may take part in the first view.
    pub bootstrap: bool,
    /// Interval between a server's heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
}

/// Whether an output changed the control state or the view, so that watches have to be notified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchEffect {
    Unchanged,
    Changed,
}

/// A core member with its disk and its connections to other members.
pub struct Coordinator {
    own_peer: Peer,
    clock: Clock,
    replica: RefCell<Replica>,
    leases: RefCell<LeaseExpiry>,
    disk: DiskWriter,
    links: PeerLinks,
    operations: RefCell<PendingOperations>,
    reads: RefCell<PendingReads>,
    encoded_updates: RefCell<EncodedUpdates>,
    last_ticket: Cell<u64>,
    /// Notified when the control state or the view has changed.
    state_changed: Notify,
    /// Notified when the time of the next tick may have changed.
    rescheduled: Notify,
}

impl Coordinator {
    /// Opens the disk and starts the tasks of the member.
    ///
    /// # Errors
    ///
    /// If the data folder can't be created, its database can't be opened, or the disk thread can't be started.
    pub fn start(
        identity: CoreIdentity,
        data_dir: &Path,
        clock: Clock,
    ) -> anyhow::Result<Rc<Coordinator>> {
        std::fs::create_dir_all(data_dir)
            .with_context(|| format!("creating the data folder {}", data_dir.display()))?;
        let OpenedDisk {
            disk,
            identity: disk_identity,
            contents: durable,
        } = CoreDisk::open(&data_dir.join(DATABASE_FILE))?;
        let id = MemberId {
            node: identity.node.clone(),
            disk: disk_identity.disk,
        };
        let now = clock.now();
        let config = MemberConfig {
            peer: Peer {
                id: id.clone(),
                address: identity.address,
            },
            may_bootstrap: identity.bootstrap,
            seed: fastrand::u64(..),
        };
        let member = Member::new(config, durable, now);
        let (persisted, synced) = mpsc::unbounded_channel();
        let disk = DiskWriter::start(disk, persisted)?;
        let coordinator = Rc::new_cyclic(|this: &Weak<Coordinator>| {
            let owner = this.clone();
            Coordinator {
                own_peer: Peer {
                    id,
                    address: identity.address,
                },
                clock,
                replica: RefCell::new(Replica::new(member)),
                leases: RefCell::new(LeaseExpiry::new(identity.heartbeat_ms, now)),
                disk,
                links: PeerLinks::new(Rc::new(move |address| report_disconnected(&owner, address))),
                operations: RefCell::default(),
                reads: RefCell::default(),
                encoded_updates: RefCell::default(),
                last_ticket: Cell::new(1),
                state_changed: Notify::new(),
                rescheduled: Notify::new(),
            }
        });
        spawn_local(report_persisted(coordinator.clone(), synced));
        spawn_local(drive_timers(coordinator.clone()));
        Ok(coordinator)
    }

    /// Id and address of this member.
    pub fn peer(&self) -> Peer {
        self.own_peer.clone()
    }

    /// The newest view known to this member.
    pub fn view(&self) -> Option<View> {
        self.replica.borrow().view().cloned()
    }

    /// Starts the chain with the first view of the system.
    pub fn bootstrap(&self, view: View) {
        self.step(Input::Bootstrap { view });
    }

    /// Requests membership from the members at these addresses.
    pub fn join(&self, contacts: Vec<SocketAddr>) {
        self.step(Input::Join { contacts });
    }

    /// Requests removal from the chain before a planned shutdown.
    pub fn leave(&self) {
        self.step(Input::Leave);
    }

    /// Receives a message from another member.
    pub fn receive(&self, from: MemberId, message: Message) {
        self.step(Input::Received { from, message });
    }

    /// Feeds an input to the state machine and performs its outputs.
    fn step(&self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        let mut outputs = Vec::new();
        let mut effect = WatchEffect::Unchanged;
        while let Some(input) = inputs.pop_front() {
            self.replica
                .borrow_mut()
                .step(input, self.clock.now(), &mut outputs);
            for output in outputs.drain(..) {
                if self.perform(output, &mut inputs) == WatchEffect::Changed {
                    effect = WatchEffect::Changed;
                }
            }
        }
        if effect == WatchEffect::Changed {
            self.state_changed.notify_waiters();
        }
        self.rescheduled.notify_one();
    }

    /// Performs one output; resulting inputs are appended to `inputs`.
    fn perform(&self, output: Output, inputs: &mut VecDeque<Input>) -> WatchEffect {
        match output {
            Output::Send { to, message } => self.send_message(to.address, message),
            Output::SendToAddress { address, message } => self.send_message(address, message),
            Output::Persist { batch, writes } => self.disk.write(Batch {
                number: batch,
                writes,
            }),
            Output::Apply {
                index,
                payload,
                ticket,
            } => {
                let effect = self.apply_committed(index, &payload, ticket);
                if self
                    .replica
                    .borrow_mut()
                    .applied_mut()
                    .take_compaction_due()
                {
                    inputs.push_back(Input::Compact);
                }
                return effect;
            }
            Output::ReadReady { ticket } => self.reads.borrow_mut().complete(ticket),
            Output::Dropped { ticket } => self.drop_ticket(ticket),
            Output::TakeSnapshot => inputs.extend(self.replica.borrow().snapshot()),
            Output::InstallSnapshot { index, bytes } => {
                self.replica
                    .borrow_mut()
                    .applied_mut()
                    .install(index, &bytes);
                return WatchEffect::Changed;
            }
            Output::ViewChanged { view, has_quorum } => {
                log::info!(
                    "view {}: chain {:?}, quorum {has_quorum}",
                    view.number,
                    chain_nodes(&view)
                );
                return WatchEffect::Changed;
            }
        }
        WatchEffect::Unchanged
    }

    /// Sends a message from the state machine to the member at an address.
    fn send_message(&self, address: SocketAddr, message: Message) {
        let request = Request::Chain {
            from: self.own_peer.id.clone(),
            message,
        };
        self.links.send(address, encode(&request));
    }

    /// Applies a committed operation and sends its outcome to waiting callers.
    fn apply_committed(&self, index: u64, payload: &[u8], ticket: Option<u64>) -> WatchEffect {
        let mut replica = self.replica.borrow_mut();
        let outcome = replica.applied_mut().commit(index, payload);
        if let Some(ticket) = ticket {
            self.operations.borrow_mut().complete(ticket, outcome);
        }
        if replica.applied().changes().has_changes_after(index - 1) {
            WatchEffect::Changed
        } else {
            WatchEffect::Unchanged
        }
    }

    /// Answers the callers of an operation or read that the state machine has dropped.
    fn drop_ticket(&self, ticket: u64) {
        self.reads.borrow_mut().drop_ticket(ticket);
        self.operations.borrow_mut().complete(ticket, None);
    }

    /// Allocates the number that identifies one operation or read of this process.
    fn allocate_ticket(&self) -> u64 {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        ticket
    }

    fn disconnected(&self, address: SocketAddr) {
        let peer = self.replica.borrow().member_at(address);
        if let Some(peer) = peer {
            self.step(Input::Disconnected { peer });
        }
    }

    /// Time of the next tick of the state machine or the next lease sweep, in steady milliseconds.
    fn next_tick(&self) -> u64 {
        self.replica
            .borrow()
            .next_tick()
            .min(self.leases.borrow().next_sweep())
    }

    fn tick(&self) {
        let now = self.clock.now();
        if now >= self.leases.borrow().next_sweep() {
            self.run_lease_sweep(now);
        }
        if now >= self.replica.borrow().next_tick() {
            self.step(Input::Tick);
        }
    }
}

fn chain_nodes(view: &View) -> Vec<&str> {
    view.chain.iter().map(|id| id.node.as_str()).collect()
}

/// Reports a lost connection to the state machine. This runs in a task of its own, as a connection may be lost during
/// [`Coordinator::step`].
fn report_disconnected(owner: &Weak<Coordinator>, address: SocketAddr) {
    let Some(coordinator) = owner.upgrade() else {
        return;
    };
    spawn_local(async move { coordinator.disconnected(address) });
}

async fn report_persisted(coordinator: Rc<Coordinator>, mut synced: mpsc::UnboundedReceiver<u64>) {
    while let Some(batch) = synced.recv().await {
        coordinator.step(Input::Persisted { batch });
    }
}

async fn drive_timers(coordinator: Rc<Coordinator>) {
    loop {
        let next_tick = coordinator.clock.instant(coordinator.next_tick());
        tokio::select! {
            () = sleep_until(next_tick.into()) => coordinator.tick(),
            () = coordinator.rescheduled.notified() => {}
        }
    }
}
