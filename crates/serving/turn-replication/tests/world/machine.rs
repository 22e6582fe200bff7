//! Store machines: a process around the state machine, with its disk and the links to it.

use std::collections::BTreeMap;

use dunespur_turn_replication::message::{StoreReply, StoreRequest};
use dunespur_turn_replication::node::{
    Declaration, DiskOutcome, DiskState, DiskWork, Effect, JobId, Settings, StoreNode,
};
use dunespur_turn_replication::roster::Store;
use dunespur_turn_replication::turn::Turn;

use super::{Asker, Event, World, BYTES_A_MS};

/// By how much the wall clock of a machine may be off when its process starts.
const CLOCK_STEP_MS: i64 = 60_000;

/// What holds the machine up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// Not yet started, or its process has ended.
    Down,
    Frozen,
    /// Nothing reaches it and it reaches nothing.
    CutOff,
    /// Only the gateways reach it, neither the core nor the other stores.
    CutFromStores,
    /// Taken away for good.
    Gone,
}

/// What the disk holds whatever happens to the process.
#[derive(Debug, Default)]
pub struct Disk {
    pub number: u64,
    pub whole: bool,
    pub turns: BTreeMap<String, Turn>,
}

pub struct Machine {
    pub name: String,
    pub zone: String,
    pub trouble: Trouble,
    /// Since when nothing holds it up.
    pub well_since_ms: u64,
    /// Counts the starts of its process.
    pub life: u64,
    pub node: Option<StoreNode>,
    pub disk: Disk,
    /// Writes handed to the disk and not yet acknowledged by it.
    unsynced: BTreeMap<JobId, DiskWork>,
    disk_busy_until_ms: u64,
    last_caller: u64,
    callers: BTreeMap<u64, Asker>,
    /// What came while the machine was frozen or cut off.
    held_up: Vec<Event>,
    tick_at_ms: u64,
    /// The newest list that the process got.
    list_version: u64,
    pub listed_at_ms: Option<u64>,
    pub whole_told: bool,
    pub retire_told_at_ms: Option<u64>,
    pub retired: bool,
}

impl Machine {
    pub(super) fn is_reachable(&self) -> bool {
        self.trouble == Trouble::None && self.node.is_some()
    }
}

impl World {
    /// A new machine with an empty disk; it is started by an event.
    pub(super) fn add_machine(&mut self) -> usize {
        let number = self.machines.len();
        self.machines.push(Machine {
            name: format!("storage-{number}"),
            zone: format!("zone-{}", number % self.plan.zones),
            trouble: Trouble::Down,
            well_since_ms: 0,
            life: 0,
            node: None,
            disk: Disk::default(),
            unsynced: BTreeMap::new(),
            disk_busy_until_ms: 0,
            last_caller: 0,
            callers: BTreeMap::new(),
            held_up: Vec::new(),
            tick_at_ms: u64::MAX,
            list_version: 0,
            listed_at_ms: None,
            whole_told: false,
            retire_told_at_ms: None,
            retired: false,
        });
        number
    }

    /// The process starts, on whatever its disk holds.
    pub(super) fn start(&mut self, number: usize) {
        if self.machines[number].trouble != Trouble::Down {
            return;
        }
        let drawn = self.rng.u64(1..);
        let wall_offset_ms = self.rng.i64(-CLOCK_STEP_MS..CLOCK_STEP_MS);
        let copies = self.plan.tolerated + 1;
        let guards = self.plan.guards;
        let absent_repair_ms = self.plan.absence.repair_ms;
        let machine = &mut self.machines[number];
        machine.life += 1;
        if machine.disk.number == 0 {
            machine.disk.number = drawn;
        }
        let entries = machine.disk.turns.values().map(Turn::header).collect();
        let disk = DiskState {
            disk: machine.disk.number,
            fresh: !machine.disk.whole,
            entries,
        };
        let settings = Settings {
            name: machine.name.clone(),
            incarnation: machine.life,
            copies,
            capacity_bytes: 64 << 20,
            capacity_turns: 100_000,
            absent_repair_ms,
        };
        let wall_ms = wall(self.now_ms, wall_offset_ms);
        machine.node = Some(StoreNode::with_guards(
            settings,
            disk,
            wall_ms,
            self.now_ms,
            guards,
        ));
        machine.trouble = Trouble::None;
        machine.well_since_ms = self.now_ms;
        machine.list_version = 0;
        machine.listed_at_ms = None;
        machine.whole_told = false;
        machine.tick_at_ms = u64::MAX;
        machine.disk_busy_until_ms = self.now_ms;
        self.drain(number);
    }

    /// The process ends. Of the writes under way each is on the disk or not.
    pub(super) fn end_process(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        if let Some(node) = machine.node.take() {
            drop(node);
        }
        for (_, work) in std::mem::take(&mut machine.unsynced) {
            if self.rng.bool() {
                apply(&mut machine.disk, &work);
            }
        }
        let callers: Vec<Asker> = std::mem::take(&mut machine.callers).into_values().collect();
        machine.held_up.clear();
        machine.trouble = Trouble::Down;
        for asker in callers {
            let delay_ms = self.latency_ms();
            self.after(delay_ms, Event::Answer { asker, reply: None });
        }
    }

    pub(super) fn lose_disk(&mut self, number: usize) {
        self.machines[number].disk = Disk::default();
    }

    /// A frozen or cut-off machine goes on: what was held up comes now, some of it is lost.
    pub(super) fn thaw(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        let was = machine.trouble;
        if !matches!(
            was,
            Trouble::Frozen | Trouble::CutOff | Trouble::CutFromStores
        ) {
            return;
        }
        machine.trouble = Trouble::None;
        machine.well_since_ms = self.now_ms;
        for event in std::mem::take(&mut machine.held_up) {
            let lost = was != Trouble::Frozen && self.rng.bool();
            if !lost {
                let delay_ms = self.latency_ms();
                self.after(delay_ms, event);
            }
        }
    }

    /// Sends a request to a store by its name.
    pub(super) fn send(&mut self, store: &str, request: StoreRequest, asker: Asker) {
        let to = self
            .machines
            .iter()
            .position(|machine| machine.name == store)
            .expect("stores are known");
        let delay_ms = self.transfer_ms(request_bytes(&request));
        self.after(delay_ms, Event::Request { to, request, asker });
    }

    pub(super) fn request_arrives(&mut self, to: usize, request: StoreRequest, asker: Asker) {
        match self.machines[to].trouble {
            Trouble::None if self.machines[to].node.is_some() => {}
            Trouble::CutFromStores if matches!(asker, Asker::Gateway { .. }) => {}
            Trouble::Frozen | Trouble::CutOff | Trouble::CutFromStores => {
                return self.machines[to]
                    .held_up
                    .push(Event::Request { to, request, asker });
            }
            _ => {
                let delay_ms = self.latency_ms();
                return self.after(delay_ms, Event::Answer { asker, reply: None });
            }
        }
        let machine = &mut self.machines[to];
        machine.last_caller += 1;
        machine.callers.insert(machine.last_caller, asker);
        let caller = machine.last_caller;
        let now_ms = self.now_ms;
        self.node(to).request(caller, request, now_ms);
        self.drain(to);
    }

    pub(super) fn answer_arrives(&mut self, asker: Asker, reply: Option<StoreReply>) {
        match asker {
            Asker::Gateway {
                operation,
                store,
                id,
            } => self.operation_answered(operation, &store, &id, reply),
            Asker::Machine { machine, life, ask } => {
                let asking = &mut self.machines[machine];
                if asking.life != life {
                    return;
                }
                match asking.trouble {
                    Trouble::None if asking.node.is_some() => {}
                    Trouble::Frozen | Trouble::CutOff | Trouble::CutFromStores => {
                        let asker = Asker::Machine { machine, life, ask };
                        return asking.held_up.push(Event::Answer { asker, reply });
                    }
                    _ => return,
                }
                let now_ms = self.now_ms;
                self.node(machine).peer_answered(ask, reply, now_ms);
                self.drain(machine);
            }
        }
    }

    pub(super) fn disk_done(
        &mut self,
        number: usize,
        life: u64,
        job: JobId,
        outcome: Option<DiskOutcome>,
    ) {
        let now_ms = self.now_ms;
        let machine = &mut self.machines[number];
        if machine.life != life || machine.node.is_none() {
            return;
        }
        if machine.trouble == Trouble::Frozen {
            return machine.held_up.push(Event::DiskDone {
                machine: number,
                life,
                job,
                outcome,
            });
        }
        let outcome = match machine.unsynced.remove(&job) {
            Some(DiskWork::Get(ids)) => DiskOutcome::Turns(
                ids.iter()
                    .filter_map(|id| machine.disk.turns.get(id).cloned())
                    .collect(),
            ),
            Some(work) => {
                apply(&mut machine.disk, &work);
                DiskOutcome::Done
            }
            None => return,
        };
        self.node(number).disk_done(job, outcome, now_ms);
        let held = self.node(number).index().len();
        self.seen.most_held = self.seen.most_held.max(held);
        self.drain(number);
    }

    pub(super) fn tick(&mut self, number: usize, life: u64) {
        let machine = &mut self.machines[number];
        if machine.life != life || machine.node.is_none() {
            return;
        }
        if machine.trouble == Trouble::Frozen {
            return machine.held_up.push(Event::Tick {
                machine: number,
                life,
            });
        }
        machine.tick_at_ms = u64::MAX;
        let now_ms = self.now_ms;
        self.node(number).tick(now_ms);
        if self.node(number).next_due() <= now_ms {
            self.fail("a store wants to be called at once again");
        }
        self.drain(number);
    }

    pub(super) fn list_to_machine(
        &mut self,
        number: usize,
        life: u64,
        version: u64,
        list: Vec<Store>,
    ) {
        let machine = &mut self.machines[number];
        if machine.life != life || machine.node.is_none() || machine.trouble != Trouble::None {
            return;
        }
        // Which of two lists is newer, a process that follows the core always knows.
        if version < machine.list_version {
            return;
        }
        machine.list_version = version;
        machine.listed_at_ms.get_or_insert(self.now_ms);
        let now_ms = self.now_ms;
        self.node(number).list_changed(list, now_ms);
        self.drain(number);
    }

    fn node(&mut self, number: usize) -> &mut StoreNode {
        self.machines[number]
            .node
            .as_mut()
            .expect("checked by the caller")
    }

    /// Carries all effects of a node out.
    fn drain(&mut self, number: usize) {
        while let Some(effect) = self.node(number).poll() {
            self.carry_out(number, effect);
        }
        let due_ms = self.node(number).next_due();
        if due_ms < self.machines[number].tick_at_ms {
            self.machines[number].tick_at_ms = due_ms;
            let life = self.machines[number].life;
            self.at(
                due_ms,
                Event::Tick {
                    machine: number,
                    life,
                },
            );
        }
    }

    fn carry_out(&mut self, number: usize, effect: Effect) {
        let life = self.machines[number].life;
        match effect {
            Effect::Reply { caller, reply } => {
                let bytes = reply_bytes(&reply);
                self.seen.largest_message = self.seen.largest_message.max(bytes);
                let asker = self.machines[number]
                    .callers
                    .remove(&caller)
                    .expect("one reply to each caller");
                let cut = match self.machines[number].trouble {
                    Trouble::CutOff => true,
                    Trouble::CutFromStores => matches!(asker, Asker::Machine { .. }),
                    _ => false,
                };
                if !cut {
                    let delay_ms = self.transfer_ms(bytes);
                    self.after(
                        delay_ms,
                        Event::Answer {
                            asker,
                            reply: Some(reply),
                        },
                    );
                }
            }
            Effect::Ask {
                ask,
                store,
                request,
            } => {
                let cut = [Trouble::CutOff, Trouble::CutFromStores]
                    .contains(&self.machines[number].trouble);
                if !cut {
                    self.send(
                        &store,
                        request,
                        Asker::Machine {
                            machine: number,
                            life,
                            ask,
                        },
                    );
                }
            }
            Effect::Disk { job, work } => {
                self.digest.disk_work(&work);
                let takes_ms = 1 + self.rng.u64(0..4) + work_bytes(&work) / BYTES_A_MS;
                let machine = &mut self.machines[number];
                machine.disk_busy_until_ms = machine.disk_busy_until_ms.max(self.now_ms) + takes_ms;
                machine.unsynced.insert(job, work);
                let done = Event::DiskDone {
                    machine: number,
                    life,
                    job,
                    outcome: None,
                };
                let at_ms = machine.disk_busy_until_ms;
                self.at(at_ms, done);
            }
            Effect::Declare(declaration) => self.declared(number, declaration),
        }
    }

    fn declared(&mut self, number: usize, declaration: Declaration) {
        self.digest.declaration(declaration);
        match declaration {
            Declaration::Whole => {
                let machine = &mut self.machines[number];
                machine.whole_told = true;
                if let Some(listed_at_ms) = machine.listed_at_ms {
                    let took_ms = self.now_ms - listed_at_ms;
                    self.seen.slowest_whole_ms = self.seen.slowest_whole_ms.max(took_ms);
                }
            }
            // It says so with its heartbeats.
            Declaration::Emptied { .. } => {}
        }
    }
}

fn reply_bytes(reply: &StoreReply) -> u64 {
    match reply {
        StoreReply::Found { turns, .. } => turns.iter().map(Turn::size).sum(),
        StoreReply::Fetched { turns } => turns.iter().map(|held| held.turn.size()).sum(),
        StoreReply::Listed { turns, .. } => {
            turns.iter().map(|listed| listed.id.len() as u64 + 8).sum()
        }
        _ => 0,
    }
}

fn work_bytes(work: &DiskWork) -> u64 {
    match work {
        DiskWork::Put(turns) => turns.iter().map(Turn::size).sum(),
        _ => 0,
    }
}

fn request_bytes(request: &StoreRequest) -> u64 {
    match request {
        StoreRequest::Put { turn, .. } => turn.size(),
        StoreRequest::Handoff { turns } => turns.iter().map(|held| held.turn.size()).sum(),
        _ => 0,
    }
}

pub(super) fn wall(now_ms: u64, offset_ms: i64) -> u64 {
    (1_000_000_000 + now_ms).saturating_add_signed(offset_ms)
}

fn apply(disk: &mut Disk, work: &DiskWork) {
    match work {
        DiskWork::Put(turns) => {
            disk.turns
                .extend(turns.iter().map(|turn| (turn.id.clone(), turn.clone())));
        }
        DiskWork::Remove(ids) => ids.iter().for_each(|id| {
            disk.turns.remove(id);
        }),
        DiskWork::MarkWhole => disk.whole = true,
        DiskWork::Get(_) => {}
    }
}
