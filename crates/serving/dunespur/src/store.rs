//! The `store` process: keeps turns on its disk, around the state machine of `dunespur-turns`.

use crate::clock::{wall_clock_ms, Clock};
use crate::directory::Directory;
use crate::gateway::listen;
use crate::keeping::{address_of, ask_store};
use crate::messages::{decode, encode, NodeLease, Reply, Request};
use crate::settings::{Role, Settings};
use crate::signals;
use crate::status::{basics, DiskStatus, Status, TurnsStatus};
use crate::trace::{self, Stopwatch, StoreSubject};
use anyhow::Context;
use bytes::Bytes;
use dunespur_control_state::{NodeKind, NodeReport, Operation};
use dunespur_rpc::Service;
use dunespur_storage::recovery::set_aside_bytes;
use dunespur_storage::turns::TurnDisk;
use dunespur_storage::Opened;
use dunespur_turn_replication::message::{StoreReply, StoreRequest};
use dunespur_turn_replication::node::{
    Declaration, DiskOutcome, DiskState, DiskWork, Effect, JobId, Settings as NodeSettings,
    StoreNode, ASK_TIMEOUT_MS,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::path::PathBuf;
use std::rc::{Rc, Weak};
use std::sync::mpsc as thread_queue;
use std::thread;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

/// The file of a store in its data folder.
const DISK_FILE: &str = "turns.redb";
/// Stack of the disk's thread in bytes.
const STACK_SIZE: usize = 512 * 1024;
/// Share of the disk, in hundredths, that bodies may take. The library doubles the file when it needs more, so that it
/// takes up to four times the bodies in it (crates/serving/storage/tests/growth.rs).
const DISK_PERCENT: u64 = 25;
/// Of a disk of unknown size, in megabytes.
const UNKNOWN_DISK_MB: u64 = 256;
/// The index of turns may take this part of the memory.
const MEMORY_DIVISOR: u64 = 8;
/// What the index takes for one turn.
const TURN_MEMORY_BYTES: u64 = 250;
/// A store whose lease has lapsed for this long has its turns copied elsewhere, in milliseconds. A machine that is gone
/// for good may have a successor a second later, and stops counting as lost once that had its time to catch up (some
/// four seconds); by then there have to be enough copies again.
const ABSENT_REPAIR_MS: u64 = 300;
/// Pause before the core is told again what it did not take.
const REPORT_PAUSE: Duration = Duration::from_millis(200);
/// The core gets so long for a report.
const REPORT_LIMIT: Duration = Duration::from_millis(1_000);

/// One store process.
struct StoreProcess {
    clock: Clock,
    directory: Rc<Directory>,
    node: RefCell<StoreNode>,
    callers: RefCell<HashMap<u64, oneshot::Sender<StoreReply>>>,
    next_caller: Cell<u64>,
    jobs: thread_queue::Sender<(JobId, DiskWork)>,
    /// What the core is to be told of this store.
    report: RefCell<NodeReport>,
    settings: Settings,
    capacity_bytes: u64,
    disk: Cell<DiskStatus>,
    rescheduled: Notify,
    report_changed: Notify,
    this: Weak<StoreProcess>,
}

/// Runs the process until it is asked to leave.
pub async fn run(settings: Settings, path: PathBuf) -> anyhow::Result<()> {
    let clock = Clock::start();
    let directory = Directory::new(clock, settings.seed_addresses());
    let (process, done) = StoreProcess::open(&settings, directory.clone(), clock)?;
    let listener = listen(settings.internal_address()).await?;
    spawn_local(dunespur_rpc::serve(listener, process.clone()));
    let weak = Rc::downgrade(&process);
    directory.when_changed(Box::new(move |touched| {
        if let Some(process) = weak.upgrade().filter(|_| touched.stores) {
            process.list_changed();
        }
    }));
    spawn_local(take_completions(process.clone(), done));
    spawn_local(keep_ticking(process.clone()));
    spawn_local(keep_reported(process.clone()));
    spawn_local(directory.clone().follow());
    spawn_local(signals::follow_settings(path, Role::Store, directory));
    log::info!("{} serves", settings.node);
    signals::asked_to_leave().await?;
    log::info!("{} leaves", settings.node);
    Ok(())
}

type Done = mpsc::UnboundedReceiver<(JobId, DiskOutcome)>;

impl StoreProcess {
    fn open(
        settings: &Settings,
        directory: Rc<Directory>,
        clock: Clock,
    ) -> anyhow::Result<(Rc<StoreProcess>, Done)> {
        let data = settings
            .data_dir
            .as_deref()
            .context("data_dir: a store needs a disk")?;
        std::fs::create_dir_all(data).with_context(|| format!("making {}", data.display()))?;
        let file = data.join(DISK_FILE);
        let Opened {
            disk,
            identity,
            contents: entries,
        } = TurnDisk::open(&file)?;
        let report = NodeReport {
            name: settings.node.clone(),
            kind: NodeKind::Store,
            zone: settings.zone.clone(),
            address: settings.internal_address(),
            incarnation: wall_clock_ms(),
            disk: identity.disk,
            whole: !identity.fresh,
        };
        directory.hold_lease(NodeLease::of(&report));
        let disk_bytes = settings.limits.disk_mb.unwrap_or(UNKNOWN_DISK_MB) << 20;
        let disk_bytes = disk_bytes.saturating_sub(set_aside_bytes(&file));
        let capacity_bytes = disk_bytes * DISK_PERCENT / 100;
        let index_bytes = (settings.limits.memory_mb << 20) / MEMORY_DIVISOR;
        let capacity_turns = (index_bytes / TURN_MEMORY_BYTES) as usize;
        let node_settings = NodeSettings {
            name: settings.node.clone(),
            incarnation: report.incarnation,
            copies: settings.copies(),
            capacity_bytes,
            capacity_turns,
            absent_repair_ms: ABSENT_REPAIR_MS,
        };
        let state = DiskState {
            disk: identity.disk,
            fresh: identity.fresh,
            entries,
        };
        let node = StoreNode::new(node_settings, state, wall_clock_ms(), clock.now());
        let (completions, done) = mpsc::unbounded_channel();
        let process = Rc::new_cyclic(|this| StoreProcess {
            clock,
            directory,
            node: RefCell::new(node),
            callers: RefCell::default(),
            next_caller: Cell::new(1),
            jobs: start_disk(disk, completions),
            report: RefCell::new(report),
            settings: settings.clone(),
            capacity_bytes,
            disk: Cell::default(),
            rescheduled: Notify::new(),
            report_changed: Notify::new(),
            this: this.clone(),
        });
        Ok((process, done))
    }

    /// Answers a request; the node may take its time with the disk.
    async fn store_request(&self, request: StoreRequest) -> Option<StoreReply> {
        let caller = self.next_caller.replace(self.next_caller.get() + 1);
        let (sender, reply) = oneshot::channel();
        self.callers.borrow_mut().insert(caller, sender);
        let subject = StoreSubject::of(&request);
        let stopwatch = Stopwatch::start(self.clock);
        self.with_node(|node, now| node.request(caller, request, now));
        let reply = reply.await.ok();
        if let (Some(subject), Some(took_ms)) = (subject, stopwatch.took_ms()) {
            trace::store_answered(&subject, reply.as_ref(), took_ms);
        }
        reply
    }

    fn list_changed(&self) {
        let stores = self.directory.known().stores.values().cloned().collect();
        self.with_node(|node, now| node.list_changed(stores, now));
        self.report_changed.notify_one();
    }

    /// Lets the state machine act, and carries out what it wants.
    fn with_node(&self, act: impl FnOnce(&mut StoreNode, u64)) {
        act(&mut self.node.borrow_mut(), self.clock.now());
        loop {
            let effect = self.node.borrow_mut().poll();
            let Some(effect) = effect else { break };
            self.carry_out(effect);
        }
        self.rescheduled.notify_one();
    }

    fn carry_out(&self, effect: Effect) {
        match effect {
            Effect::Reply { caller, reply } => {
                if let Some(sender) = self.callers.borrow_mut().remove(&caller) {
                    let _ = sender.send(reply);
                }
            }
            Effect::Ask {
                ask,
                store,
                request,
            } => self.ask(ask, &store, request),
            Effect::Disk { job, work } => {
                self.count(|disk| disk.waiting += 1);
                let _ = self.jobs.send((job, work));
            }
            Effect::Declare(Declaration::Whole) => {
                self.report.borrow_mut().whole = true;
                self.report_changed.notify_one();
            }
            Effect::Declare(Declaration::Emptied { .. }) => self.report_changed.notify_one(),
        }
    }

    fn count(&self, change: impl FnOnce(&mut DiskStatus)) {
        let mut disk = self.disk.get();
        change(&mut disk);
        self.disk.set(disk);
    }

    fn status(&self) -> Status {
        let node = self.node.borrow();
        let turns = TurnsStatus {
            turns: node.index().len(),
            bytes: node.index().bytes(),
            capacity_bytes: self.capacity_bytes,
            whole: node.is_whole(),
            emptied: node.is_emptied(),
            incomplete: node.index().has_dangling(),
            waiting: self.callers.borrow().len(),
            disk: self.disk.get(),
        };
        Status {
            turns: Some(turns),
            ..basics(&self.settings, Role::Store, &self.directory)
        }
    }

    fn ask(&self, ask: u64, store: &str, request: StoreRequest) {
        let Some(process) = self.this.upgrade() else {
            return;
        };
        let stores: Vec<_> = self.directory.known().stores.values().cloned().collect();
        let address = address_of(&stores, store);
        spawn_local(async move {
            let limit = Duration::from_millis(ASK_TIMEOUT_MS);
            let reply = match address {
                Some(address) => ask_store(&process.directory, address, request, limit).await,
                None => None,
            };
            process.with_node(|node, now| node.peer_answered(ask, reply, now));
        });
    }

    /// What the core still has to be told.
    fn untold(&self) -> Option<Operation> {
        let known = self.directory.known();
        known.index?;
        let mut report = self.report.borrow_mut();
        let Some(held) = known.stores.get(&report.name) else {
            return Some(Operation::Node(report.clone()));
        };
        if held.incarnation > report.incarnation {
            // The clock went back between two lives of this process: the present life is the newer one.
            report.incarnation = held.incarnation + 1;
            self.node.borrow_mut().set_incarnation(report.incarnation);
            self.directory.hold_lease(NodeLease::of(&report));
        }
        let told = held.disk == report.disk
            && held.whole == report.whole
            && held.address == report.address;
        if !told || !held.present || held.incarnation != report.incarnation {
            return Some(Operation::Node(report.clone()));
        }
        let round = self
            .node
            .borrow()
            .emptied_in()
            .filter(|round| held.retiring && held.round == *round)?;
        Some(Operation::RetireDone {
            node: report.name.clone(),
            incarnation: report.incarnation,
            round,
        })
    }
}

impl Service for StoreProcess {
    async fn call(self: Rc<Self>, payload: Bytes) -> Option<Bytes> {
        let reply = match decode::<Request>(&payload)? {
            Request::Store(request) => Reply::Store(self.store_request(request).await?),
            Request::Hello => Reply::View(self.directory.view()),
            Request::Announce(view) => {
                self.directory.learn_view(view);
                Reply::View(None)
            }
            Request::Status { .. } => Reply::Status(self.status().to_json()),
            _ => Reply::Unavailable,
        };
        Some(encode(&reply))
    }
}

/// Starts the thread that works on the disk: what is asked first is done first.
fn start_disk(
    disk: TurnDisk,
    completions: mpsc::UnboundedSender<(JobId, DiskOutcome)>,
) -> thread_queue::Sender<(JobId, DiskWork)> {
    let (jobs, queue) = thread_queue::channel::<(JobId, DiskWork)>();
    let work = move || {
        while let Ok((job, work)) = queue.recv() {
            let outcome = disk.perform(&work).unwrap_or_else(|error| {
                log::error!(
                    "the disk does not take a piece of work: {}",
                    error.with_causes()
                );
                DiskOutcome::Failed
            });
            if completions.send((job, outcome)).is_err() {
                return;
            }
        }
    };
    if let Err(error) = thread::Builder::new()
        .name("turns".to_owned())
        .stack_size(STACK_SIZE)
        .spawn(work)
    {
        log::error!("no thread for the disk: {error}");
    }
    jobs
}

async fn take_completions(process: Rc<StoreProcess>, mut done: Done) {
    while let Some((job, outcome)) = done.recv().await {
        process.count(|disk| {
            disk.waiting = disk.waiting.saturating_sub(1);
            disk.done += 1;
            disk.failed += u64::from(outcome == DiskOutcome::Failed);
        });
        process.with_node(|node, now| node.disk_done(job, outcome, now));
    }
}

async fn keep_ticking(process: Rc<StoreProcess>) {
    loop {
        let due = process.node.borrow().next_due();
        tokio::select! {
            () = sleep_until(process.clock.instant(due).into()) => {
                process.with_node(|node, now| node.tick(now));
            }
            () = process.rescheduled.notified() => {}
        }
    }
}

/// Tells the core what it does not know of this store yet.
async fn keep_reported(process: Rc<StoreProcess>) {
    loop {
        match process.untold() {
            Some(operation) => {
                let _ = process.directory.execute(&operation, REPORT_LIMIT).await;
                sleep(REPORT_PAUSE).await;
            }
            None => {
                tokio::select! {
                    () = process.report_changed.notified() => {}
                    () = process.directory.next_change() => {}
                }
            }
        }
    }
}
