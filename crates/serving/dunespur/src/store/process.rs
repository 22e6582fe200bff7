//! One store process: passes requests to the state machine and performs the resulting effects.

use super::capacity::Capacity;
use super::disk_thread::{self, DiskCompletion, DiskJob};
use crate::clock::{wall_clock_ms, Clock};
use crate::directory::Directory;
use crate::messages::{decode, encode_reply, NodeLease, Reply, Request};
use crate::request_events::{self, Stopwatch, StoreSubject};
use crate::settings::{Role, Settings};
use crate::status::{DiskStatus, Status, TurnsStatus};
use crate::status_collection::common_status;
use crate::store_client::{call_store, store_address};
use anyhow::Context;
use bytes::Bytes;
use dunespur_control_state::{NodeKind, NodeReport};
use dunespur_rpc::Service;
use dunespur_storage::recovery::set_aside_bytes;
use dunespur_storage::turns::TurnDisk;
use dunespur_storage::OpenedDisk;
use dunespur_turn_replication::ids::{CallerId, PeerRequestId};
use dunespur_turn_replication::message::{StoreReply, StoreRequest};
use dunespur_turn_replication::node::{
    Declaration, DiskOutcome, DiskState, Effect, StoreNode, StoreSettings, PEER_REQUEST_TIMEOUT_MS,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::sync::mpsc as thread_queue;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// File name of a store's database in its data folder.
const DATABASE_FILE: &str = "turns.redb";
/// Delay in milliseconds between the expiry of a store's lease and the replication of its turns elsewhere; a store that
/// was only slow has registered again by then. A machine that is lost for good may have a successor a tenth of a second
/// later and stops counting as lost after the successor's time to catch up, about four seconds. By then there must be
/// enough replicas again, with time in reserve.
const ABSENT_REPAIR_MS: u64 = 100;

/// Receives the jobs that the disk thread has completed.
pub type Completions = mpsc::UnboundedReceiver<DiskCompletion>;

/// A store process: its state machine, disk thread and callers.
pub struct StoreProcess {
    clock: Clock,
    pub(super) directory: Rc<Directory>,
    pub(super) node: RefCell<StoreNode>,
    callers: RefCell<HashMap<CallerId, oneshot::Sender<StoreReply>>>,
    next_caller: Cell<u64>,
    jobs: thread_queue::Sender<DiskJob>,
    /// The report that the core has to hold of this store.
    pub(super) report: RefCell<NodeReport>,
    settings: Settings,
    capacity: Capacity,
    disk: Cell<DiskStatus>,
    /// Notified when the time of the next tick may have changed.
    rescheduled: Notify,
    /// Notified when there may be a new report for the core.
    pub(super) report_changed: Notify,
    this: Weak<StoreProcess>,
}

impl StoreProcess {
    /// Opens the disk and starts the disk thread.
    ///
    /// # Errors
    ///
    /// If the settings name no data folder, or its database can't be opened.
    pub fn open(
        settings: &Settings,
        directory: Rc<Directory>,
        clock: Clock,
    ) -> anyhow::Result<(Rc<StoreProcess>, Completions)> {
        let data_dir = settings
            .data_dir
            .as_deref()
            .context("the settings have no data_dir: a store needs a disk")?;
        std::fs::create_dir_all(data_dir)
            .with_context(|| format!("creating the data folder {}", data_dir.display()))?;
        let file = data_dir.join(DATABASE_FILE);
        let OpenedDisk {
            disk,
            identity,
            contents: headers,
        } = TurnDisk::open(&file)?;
        let report = NodeReport {
            name: settings.node.clone(),
            kind: NodeKind::Store,
            zone: settings.zone.clone(),
            address: settings.internal_address(),
            incarnation: wall_clock_ms(),
            disk: identity.disk,
            complete: !identity.fresh,
        };
        directory.set_own_lease(NodeLease::of(&report));
        let capacity = Capacity::of(settings, set_aside_bytes(&file));
        let state = DiskState {
            disk: identity.disk,
            fresh: identity.fresh,
            headers,
        };
        let node_settings = node_settings(settings, report.incarnation, capacity);
        let node = StoreNode::new(node_settings, state, wall_clock_ms(), clock.now());
        let (completed, completions) = mpsc::unbounded_channel();
        let process = Rc::new_cyclic(|this| StoreProcess {
            clock,
            directory,
            node: RefCell::new(node),
            callers: RefCell::default(),
            next_caller: Cell::new(1),
            jobs: disk_thread::start(disk, completed),
            report: RefCell::new(report),
            settings: settings.clone(),
            capacity,
            disk: Cell::default(),
            rescheduled: Notify::new(),
            report_changed: Notify::new(),
            this: this.clone(),
        });
        Ok((process, completions))
    }

    /// Passes the core's changed list of stores to the state machine.
    pub fn stores_changed(&self) {
        let stores = self.directory.known().stores.values().cloned().collect();
        self.with_node(|node, now| node.membership_changed(stores, now));
        self.report_changed.notify_one();
    }

    /// Answers a request once the state machine has replied, possibly after disk work. `None` if it drops the request.
    async fn store_request(&self, request: StoreRequest) -> Option<StoreReply> {
        let caller = CallerId(self.next_caller.replace(self.next_caller.get() + 1));
        let (sender, reply) = oneshot::channel();
        self.callers.borrow_mut().insert(caller, sender);
        let subject = StoreSubject::of(&request);
        let stopwatch = Stopwatch::start(self.clock);
        self.with_node(|node, now| node.request(caller, request, now));
        let reply = reply.await.ok();
        if let (Some(subject), Some(took_ms)) = (subject, stopwatch.took_ms()) {
            request_events::store_answered(&subject, reply.as_ref(), took_ms);
        }
        reply
    }

    /// Runs `act` on the state machine and performs the resulting effects.
    fn with_node(&self, act: impl FnOnce(&mut StoreNode, u64)) {
        act(&mut self.node.borrow_mut(), self.clock.now());
        loop {
            let effect = self.node.borrow_mut().poll();
            let Some(effect) = effect else { break };
            self.perform(effect);
        }
        self.rescheduled.notify_one();
    }

    fn perform(&self, effect: Effect) {
        match effect {
            Effect::Reply { caller, reply } => {
                if let Some(sender) = self.callers.borrow_mut().remove(&caller) {
                    let _ = sender.send(reply);
                }
            }
            Effect::SendRequest {
                request_id,
                store,
                request,
            } => self.call_peer_store(request_id, &store, request),
            Effect::Disk { job, work } => {
                self.update_disk_status(|disk| disk.waiting += 1);
                let _ = self.jobs.send(DiskJob { id: job, work });
            }
            Effect::Declare(Declaration::Complete) => {
                self.report.borrow_mut().complete = true;
                self.report_changed.notify_one();
            }
            Effect::Declare(Declaration::Drained { .. }) => self.report_changed.notify_one(),
        }
    }

    /// Sends a request from the state machine to another store.
    fn call_peer_store(&self, request_id: PeerRequestId, store: &str, request: StoreRequest) {
        let Some(process) = self.this.upgrade() else {
            return;
        };
        let stores: Vec<_> = self.directory.known().stores.values().cloned().collect();
        let address = store_address(&stores, store);
        spawn_local(async move {
            let timeout = Duration::from_millis(PEER_REQUEST_TIMEOUT_MS);
            let reply = match address {
                Some(address) => call_store(&process.directory, address, request, timeout).await,
                None => None,
            };
            process.with_node(|node, now| node.peer_replied(request_id, reply, now));
        });
    }

    fn update_disk_status(&self, change: impl FnOnce(&mut DiskStatus)) {
        let mut disk = self.disk.get();
        change(&mut disk);
        self.disk.set(disk);
    }

    fn status(&self) -> Status {
        let node = self.node.borrow();
        let turns = TurnsStatus {
            turns: node.index().len(),
            bytes: node.index().bytes(),
            capacity_bytes: self.capacity.bytes,
            complete: node.is_complete(),
            emptied: node.is_drained(),
            incomplete: node.index().has_dangling(),
            missing: node.missing_turns(),
            waiting: self.callers.borrow().len(),
            disk: self.disk.get(),
        };
        Status {
            turns: Some(turns),
            ..common_status(&self.settings, Role::Store, &self.directory)
        }
    }
}

fn node_settings(settings: &Settings, incarnation: u64, capacity: Capacity) -> StoreSettings {
    StoreSettings {
        name: settings.node.clone(),
        incarnation,
        replication_factor: settings.required_replicas(),
        capacity_bytes: capacity.bytes,
        capacity_turns: capacity.turns,
        absent_repair_ms: ABSENT_REPAIR_MS,
    }
}

impl Service for StoreProcess {
    async fn call(self: Rc<Self>, payload: Bytes) -> Option<Bytes> {
        let reply = match decode::<Request>(&payload)? {
            Request::Store(request) => Reply::Store(self.store_request(request).await?),
            Request::QueryView => Reply::View(self.directory.view()),
            Request::Announce(view) => {
                self.directory.learn_view(view);
                Reply::View(None)
            }
            Request::Status { .. } => Reply::Status(self.status().to_json()),
            _ => Reply::Unavailable,
        };
        Some(encode_reply(&reply))
    }
}

/// Passes completed disk jobs to the state machine.
pub async fn report_completions(process: Rc<StoreProcess>, mut completions: Completions) {
    while let Some(DiskCompletion { id, outcome }) = completions.recv().await {
        process.update_disk_status(|disk| {
            disk.waiting = disk.waiting.saturating_sub(1);
            disk.done += 1;
            disk.failed += u64::from(outcome == DiskOutcome::Failed);
        });
        process.with_node(|node, now| node.disk_done(id, outcome, now));
    }
}

/// Ticks the state machine whenever its next tick is due.
pub async fn drive_timers(process: Rc<StoreProcess>) {
    loop {
        let next_tick = process.node.borrow().next_due();
        tokio::select! {
            () = sleep_until(process.clock.instant(next_tick).into()) => {
                process.with_node(|node, now| node.tick(now));
            }
            () = process.rescheduled.notified() => {}
        }
    }
}
