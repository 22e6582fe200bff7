//! Store machines: a process around the state machine, with its disk and its connections.

use std::collections::BTreeMap;

use dunespur_turn_replication::ids::{CallerId, JobId};
use dunespur_turn_replication::membership::StoreEntry;
use dunespur_turn_replication::message::{StoreReply, StoreRequest};
use dunespur_turn_replication::node::{Declaration, DiskOutcome, DiskWork, Effect, StoreNode};
use dunespur_turn_replication::turn::Turn;

use super::{Event, Requester, World, BYTES_PER_MS};

/// Whether a machine runs, and what impairs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    Running,
    /// Not yet started, or its process has ended.
    Down,
    Frozen,
    /// Nothing reaches it and it reaches nothing.
    Partitioned,
    /// Only the gateways reach it, neither the core nor the other stores.
    PartitionedFromPeers,
    /// Taken away for good.
    Removed,
}

impl MachineState {
    /// Whether it runs but is frozen or partitioned: what is sent to it arrives later, if at all.
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

/// What the disk holds whatever happens to the process.
#[derive(Debug, Default)]
pub struct Disk {
    /// Identifies its contents; drawn when the process first starts on it.
    pub number: u64,
    pub complete: bool,
    pub turns: BTreeMap<String, Turn>,
}

pub struct Machine {
    pub name: String,
    pub zone: String,
    pub state: MachineState,
    /// Since when nothing impairs it.
    pub running_since_ms: u64,
    /// Counts the starts of its process.
    pub incarnation: u64,
    pub node: Option<StoreNode>,
    pub disk: Disk,
    /// Work handed to the disk that it has not completed.
    pub(super) unsynced: BTreeMap<JobId, DiskWork>,
    pub(super) disk_busy_until_ms: u64,
    pub(super) last_caller: u64,
    pub(super) callers: BTreeMap<CallerId, Requester>,
    /// What arrived while the machine was frozen or partitioned.
    pub(super) delayed_events: Vec<Event>,
    pub(super) tick_at_ms: u64,
    /// The newest membership that the process got.
    pub(super) membership_version: u64,
    pub(super) first_membership_at_ms: Option<u64>,
    pub retirement_ordered_at_ms: Option<u64>,
    pub is_retired: bool,
}

impl Machine {
    pub(super) fn is_reachable(&self) -> bool {
        self.state == MachineState::Running && self.node.is_some()
    }

    /// Whether this incarnation of the process runs, be it impaired.
    fn runs(&self, incarnation: u64) -> bool {
        self.incarnation == incarnation && self.node.is_some()
    }
}

impl World {
    /// Sends a request to a store by its name.
    pub(super) fn send(&mut self, store: &str, request: StoreRequest, requester: Requester) {
        let mut machines = self.machines.iter();
        let to = machines
            .position(|machine| machine.name == store)
            .expect("only stores of a membership are sent requests");
        let delay_ms = self.transfer_ms(request_bytes(&request));
        let event = Event::Request {
            to,
            request,
            requester,
        };
        self.after(delay_ms, event);
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
                return self.after(delay_ms, Event::Reply { requester, reply });
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

    pub(super) fn disk_done(&mut self, number: usize, incarnation: u64, job: JobId) {
        let now_ms = self.now_ms;
        let machine = &mut self.machines[number];
        if !machine.runs(incarnation) {
            return;
        }
        if machine.state == MachineState::Frozen {
            return machine.delayed_events.push(Event::DiskDone {
                machine: number,
                incarnation,
                job,
            });
        }
        let Some(work) = machine.unsynced.remove(&job) else {
            return;
        };
        let outcome = apply(&mut machine.disk, &work);
        self.node(number).disk_done(job, outcome, now_ms);
        let stored_turns = self.node(number).index().len();
        let statistics = &mut self.statistics;
        statistics.max_stored_turns = statistics.max_stored_turns.max(stored_turns);
        self.drain_effects(number);
    }

    pub(super) fn tick(&mut self, number: usize, incarnation: u64) {
        let machine = &mut self.machines[number];
        if !machine.runs(incarnation) {
            return;
        }
        if machine.state == MachineState::Frozen {
            return machine.delayed_events.push(Event::Tick {
                machine: number,
                incarnation,
            });
        }
        machine.tick_at_ms = u64::MAX;
        let now_ms = self.now_ms;
        self.node(number).tick(now_ms);
        if self.node(number).next_due() <= now_ms {
            self.fail("a store wants to be called at once again");
        }
        self.drain_effects(number);
    }

    pub(super) fn membership_to_machine(
        &mut self,
        number: usize,
        incarnation: u64,
        version: u64,
        stores: Vec<StoreEntry>,
    ) {
        let machine = &mut self.machines[number];
        if !machine.runs(incarnation) || machine.state != MachineState::Running {
            return;
        }
        // A process that follows the core always knows which of two memberships is newer.
        if version < machine.membership_version {
            return;
        }
        machine.membership_version = version;
        machine.first_membership_at_ms.get_or_insert(self.now_ms);
        let now_ms = self.now_ms;
        self.node(number).membership_changed(stores, now_ms);
        self.drain_effects(number);
    }

    fn node(&mut self, number: usize) -> &mut StoreNode {
        let node = self.machines[number].node.as_mut();
        node.expect("the caller has checked that the process runs")
    }

    /// Carries out all effects of a node.
    pub(super) fn drain_effects(&mut self, number: usize) {
        while let Some(effect) = self.node(number).poll() {
            self.carry_out(number, effect);
        }
        let due_ms = self.node(number).next_due();
        let machine = &mut self.machines[number];
        if due_ms < machine.tick_at_ms {
            machine.tick_at_ms = due_ms;
            let tick = Event::Tick {
                machine: number,
                incarnation: machine.incarnation,
            };
            self.at(due_ms, tick);
        }
    }

    fn carry_out(&mut self, number: usize, effect: Effect) {
        match effect {
            Effect::Reply { caller, reply } => self.send_reply(number, caller, reply),
            Effect::SendRequest {
                request_id,
                store,
                request,
            } => {
                let machine = &self.machines[number];
                let requester = Requester::Machine {
                    machine: number,
                    incarnation: machine.incarnation,
                    request: request_id,
                };
                if machine.state.reaches(&requester) {
                    self.send(&store, request, requester);
                }
            }
            Effect::Disk { job, work } => self.begin_disk_work(number, job, work),
            Effect::Declare(declaration) => self.declared(number, declaration),
        }
    }

    fn send_reply(&mut self, number: usize, caller: CallerId, reply: StoreReply) {
        let bytes = reply_bytes(&reply);
        let statistics = &mut self.statistics;
        statistics.largest_message_bytes = statistics.largest_message_bytes.max(bytes);
        let machine = &mut self.machines[number];
        let requester = machine.callers.remove(&caller);
        let requester = requester.expect("each caller gets one reply");
        if machine.state.reaches(&requester) {
            let delay_ms = self.transfer_ms(bytes);
            let reply = Some(reply);
            self.after(delay_ms, Event::Reply { requester, reply });
        }
    }

    fn begin_disk_work(&mut self, number: usize, job: JobId, work: DiskWork) {
        self.digest.disk_work(&work);
        let takes_ms = 1 + self.rng.u64(0..4) + work_bytes(&work) / BYTES_PER_MS;
        let machine = &mut self.machines[number];
        machine.disk_busy_until_ms = machine.disk_busy_until_ms.max(self.now_ms) + takes_ms;
        machine.unsynced.insert(job, work);
        let done = Event::DiskDone {
            machine: number,
            incarnation: machine.incarnation,
            job,
        };
        let at_ms = machine.disk_busy_until_ms;
        self.at(at_ms, done);
    }

    fn declared(&mut self, number: usize, declaration: Declaration) {
        self.digest.declaration(declaration);
        match declaration {
            Declaration::Complete => {
                let machine = &self.machines[number];
                if let Some(first_ms) = machine.first_membership_at_ms {
                    let took_ms = self.now_ms - first_ms;
                    let slowest_ms = &mut self.statistics.slowest_completion_ms;
                    *slowest_ms = took_ms.max(*slowest_ms);
                }
            }
            // It is reported with the heartbeats.
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

/// Does a piece of work on the disk.
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
