//! Store machines: the process around a store node, with its disk and its connections.

use std::collections::BTreeMap;

use dunespur_turn_replication::ids::{CallerId, JobId};
use dunespur_turn_replication::membership::StoreEntry;
use dunespur_turn_replication::message::{StoreReply, StoreRequest};
use dunespur_turn_replication::node::{Declaration, DiskOutcome, DiskWork, Effect, StoreNode};
use dunespur_turn_replication::turn::Turn;

use super::{Event, Requester, World, BYTES_PER_MS};

/// Whether a machine runs, is impaired or is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    Running,
    /// The process has not started yet or has ended.
    Down,
    Frozen,
    /// The machine can neither send nor receive messages.
    Partitioned,
    /// The machine exchanges messages with the gateways, but not with the core and the other stores.
    PartitionedFromPeers,
    /// The machine has been removed for ever.
    Removed,
}

impl MachineState {
    /// Whether the machine runs but is frozen or partitioned: messages to it arrive late or not at all.
    pub(super) fn is_impaired(self) -> bool {
        matches!(
            self,
            MachineState::Frozen | MachineState::Partitioned | MachineState::PartitionedFromPeers
        )
    }

    /// Whether a message from this machine reaches the requester.
    fn reaches(self, requester: &Requester) -> bool {
        match self {
            MachineState::Partitioned => false,
            MachineState::PartitionedFromPeers => matches!(requester, Requester::Gateway { .. }),
            _ => true,
        }
    }
}

/// The contents of a disk, which survive the end of the process.
#[derive(Debug, Default)]
pub struct Disk {
    /// Identifies the contents of the disk; drawn when a process first starts on the disk.
    pub id: u64,
    pub complete: bool,
    pub turns: BTreeMap<String, Turn>,
}

pub struct Machine {
    pub name: String,
    pub zone: String,
    pub state: MachineState,
    /// Since when the machine has been running without impairment.
    pub running_since_ms: u64,
    /// Number of starts of the process.
    pub incarnation: u64,
    pub node: Option<StoreNode>,
    pub disk: Disk,
    /// Disk jobs that have not been completed.
    pub(super) unsynced: BTreeMap<JobId, DiskWork>,
    pub(super) disk_busy_until_ms: u64,
    pub(super) last_caller: u64,
    pub(super) callers: BTreeMap<CallerId, Requester>,
    /// Events that arrived while the machine was frozen or partitioned.
    pub(super) delayed_events: Vec<Event>,
    pub(super) tick_at_ms: u64,
    /// Version of the newest membership that the process received.
    pub(super) membership_version: u64,
    pub(super) first_membership_at_ms: Option<u64>,
    pub retirement_requested_at_ms: Option<u64>,
    pub is_retired: bool,
}

impl Machine {
    pub(super) fn is_reachable(&self) -> bool {
        self.state == MachineState::Running && self.node.is_some()
    }

    /// Whether this incarnation of the process runs, possibly impaired.
    fn runs(&self, incarnation: u64) -> bool {
        self.incarnation == incarnation && self.node.is_some()
    }
}

impl World {
    /// Sends a request to the store with this name.
    pub(super) fn send(&mut self, store: &str, request: StoreRequest, requester: Requester) {
        let mut machines = self.machines.iter();
        let to = machines
            .position(|machine| machine.name == store)
            .expect("requests are sent only to stores of a membership");
        let delay_ms = self.transfer_ms(request_bytes(&request));
        let event = Event::Request {
            to,
            request,
            requester,
        };
        self.schedule_after(delay_ms, event);
    }

    pub(super) fn request_arrived(
        &mut self,
        to: usize,
        request: StoreRequest,
        requester: Requester,
    ) {
        let machine = &mut self.machines[to];
        let is_gateway = matches!(requester, Requester::Gateway { .. });
        match machine.state {
            MachineState::Running if machine.node.is_some() => {}
            MachineState::PartitionedFromPeers if is_gateway => {}
            state if state.is_impaired() => {
                return machine.delayed_events.push(Event::Request {
                    to,
                    request,
                    requester,
                });
            }
            _ => {
                let delay_ms = self.latency_ms();
                let reply = None;
                return self.schedule_after(delay_ms, Event::Reply { requester, reply });
            }
        }
        machine.last_caller += 1;
        let caller = CallerId(machine.last_caller);
        machine.callers.insert(caller, requester);
        let now_ms = self.now_ms;
        self.node(to).request(caller, request, now_ms);
        self.drain_effects(to);
    }

    pub(super) fn reply_arrived(&mut self, requester: Requester, reply: Option<StoreReply>) {
        match requester {
            Requester::Gateway {
                operation,
                store,
                id,
            } => self.operation_replied(operation, &store, &id, reply),
            Requester::Machine {
                machine,
                incarnation,
                request,
            } => {
                let requesting = &mut self.machines[machine];
                if requesting.incarnation != incarnation {
                    return;
                }
                if requesting.state.is_impaired() {
                    let delayed = Event::Reply { requester, reply };
                    return requesting.delayed_events.push(delayed);
                }
                if !requesting.is_reachable() {
                    return;
                }
                let now_ms = self.now_ms;
                self.node(machine).peer_replied(request, reply, now_ms);
                self.drain_effects(machine);
            }
        }
    }

    pub(super) fn disk_done(&mut self, machine_index: usize, incarnation: u64, job: JobId) {
        let now_ms = self.now_ms;
        let machine = &mut self.machines[machine_index];
        if !machine.runs(incarnation) {
            return;
        }
        if machine.state == MachineState::Frozen {
            return machine.delayed_events.push(Event::DiskDone {
                machine: machine_index,
                incarnation,
                job,
            });
        }
        let Some(work) = machine.unsynced.remove(&job) else {
            return;
        };
        let outcome = apply(&mut machine.disk, &work);
        self.node(machine_index).disk_done(job, outcome, now_ms);
        let stored_turns = self.node(machine_index).index().len();
        let statistics = &mut self.statistics;
        statistics.max_stored_turns = statistics.max_stored_turns.max(stored_turns);
        self.drain_effects(machine_index);
    }

    pub(super) fn tick(&mut self, machine_index: usize, incarnation: u64) {
        let machine = &mut self.machines[machine_index];
        if !machine.runs(incarnation) {
            return;
        }
        if machine.state == MachineState::Frozen {
            return machine.delayed_events.push(Event::Tick {
                machine: machine_index,
                incarnation,
            });
        }
        machine.tick_at_ms = u64::MAX;
        let now_ms = self.now_ms;
        self.node(machine_index).tick(now_ms);
        if self.node(machine_index).next_due() <= now_ms {
            self.fail("the next tick of a store is due immediately again");
        }
        self.drain_effects(machine_index);
    }

    pub(super) fn membership_to_machine(
        &mut self,
        machine_index: usize,
        incarnation: u64,
        version: u64,
        stores: Vec<StoreEntry>,
    ) {
        let machine = &mut self.machines[machine_index];
        if !machine.runs(incarnation) || machine.state != MachineState::Running {
            return;
        }
        // Memberships may arrive out of order; the process ignores an older one.
        if version < machine.membership_version {
            return;
        }
        machine.membership_version = version;
        machine.first_membership_at_ms.get_or_insert(self.now_ms);
        let now_ms = self.now_ms;
        self.node(machine_index).membership_changed(stores, now_ms);
        self.drain_effects(machine_index);
    }

    fn node(&mut self, machine_index: usize) -> &mut StoreNode {
        let node = self.machines[machine_index].node.as_mut();
        node.expect("the caller has checked that the process is running")
    }

    /// Carries out all effects of a node and schedules its next tick.
    pub(super) fn drain_effects(&mut self, machine_index: usize) {
        while let Some(effect) = self.node(machine_index).poll() {
            self.carry_out(machine_index, effect);
        }
        let due_ms = self.node(machine_index).next_due();
        let machine = &mut self.machines[machine_index];
        if due_ms < machine.tick_at_ms {
            machine.tick_at_ms = due_ms;
            let tick = Event::Tick {
                machine: machine_index,
                incarnation: machine.incarnation,
            };
            self.schedule_at(due_ms, tick);
        }
    }

    fn carry_out(&mut self, machine_index: usize, effect: Effect) {
        match effect {
            Effect::Reply { caller, reply } => self.send_reply(machine_index, caller, reply),
            Effect::SendRequest {
                request_id,
                store,
                request,
            } => {
                let machine = &self.machines[machine_index];
                let requester = Requester::Machine {
                    machine: machine_index,
                    incarnation: machine.incarnation,
                    request: request_id,
                };
                if machine.state.reaches(&requester) {
                    self.send(&store, request, requester);
                }
            }
            Effect::Disk { job, work } => self.begin_disk_work(machine_index, job, work),
            Effect::Declare(declaration) => self.declared(machine_index, declaration),
        }
    }

    fn send_reply(&mut self, machine_index: usize, caller: CallerId, reply: StoreReply) {
        let bytes = reply_bytes(&reply);
        let statistics = &mut self.statistics;
        statistics.largest_message_bytes = statistics.largest_message_bytes.max(bytes);
        let machine = &mut self.machines[machine_index];
        let requester = machine.callers.remove(&caller);
        let requester = requester.expect("each caller is sent exactly one reply");
        if machine.state.reaches(&requester) {
            let delay_ms = self.transfer_ms(bytes);
            let reply = Some(reply);
            self.schedule_after(delay_ms, Event::Reply { requester, reply });
        }
    }

    fn begin_disk_work(&mut self, machine_index: usize, job: JobId, work: DiskWork) {
        self.digest.hash_disk_work(&work);
        let takes_ms = 1 + self.rng.u64(0..4) + work_bytes(&work) / BYTES_PER_MS;
        let machine = &mut self.machines[machine_index];
        machine.disk_busy_until_ms = machine.disk_busy_until_ms.max(self.now_ms) + takes_ms;
        machine.unsynced.insert(job, work);
        let done = Event::DiskDone {
            machine: machine_index,
            incarnation: machine.incarnation,
            job,
        };
        let at_ms = machine.disk_busy_until_ms;
        self.schedule_at(at_ms, done);
    }

    fn declared(&mut self, machine_index: usize, declaration: Declaration) {
        self.digest.hash_declaration(declaration);
        match declaration {
            Declaration::Complete => {
                let machine = &self.machines[machine_index];
                if let Some(first_ms) = machine.first_membership_at_ms {
                    let took_ms = self.now_ms - first_ms;
                    let slowest_ms = &mut self.statistics.slowest_completion_ms;
                    *slowest_ms = took_ms.max(*slowest_ms);
                }
            }
            // The store reports this declaration with its heartbeats.
            Declaration::Drained { .. } => {}
        }
    }
}

fn reply_bytes(reply: &StoreReply) -> u64 {
    match reply {
        StoreReply::Found { turns, .. } => turns.iter().map(Turn::size).sum(),
        StoreReply::Fetched { turns } => turns.iter().map(|retained| retained.turn.size()).sum(),
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
        StoreRequest::Handoff { turns } => turns.iter().map(|retained| retained.turn.size()).sum(),
        _ => 0,
    }
}

pub(super) fn wall_ms(now_ms: u64, offset_ms: i64) -> u64 {
    (1_000_000_000 + now_ms).saturating_add_signed(offset_ms)
}

/// Applies the work of a disk job to the disk.
pub(super) fn apply(disk: &mut Disk, work: &DiskWork) -> DiskOutcome {
    match work {
        DiskWork::Put(turns) => {
            let rows = turns.iter().map(|turn| (turn.id.clone(), turn.clone()));
            disk.turns.extend(rows);
        }
        DiskWork::Remove(ids) => ids.iter().for_each(|id| {
            disk.turns.remove(id);
        }),
        DiskWork::MarkComplete => disk.complete = true,
        DiskWork::Get(ids) => {
            let found = ids.iter().filter_map(|id| disk.turns.get(id).cloned());
            return DiskOutcome::Turns(found.collect());
        }
    }
    DiskOutcome::Done
}
