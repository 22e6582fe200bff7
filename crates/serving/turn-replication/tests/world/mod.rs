//! A seeded simulation of stores with simulated disks, a core that tracks the stores by heartbeats, and gateways that
//! write and read turns for programs, under faults that the deployment tolerates. A single event queue replaces clocks
//! and sleeps, so that the same seed always gives the same run.

mod core;
mod digest;
mod exposure;
mod faults;
mod history;
mod machine;
mod processes;
mod programs;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use dunespur_control_state::{ControlState, Operation as CoreOperation};
use dunespur_turn_replication::ids::{JobId, PeerRequestId};
use dunespur_turn_replication::membership::StoreEntry;
use dunespur_turn_replication::message::{StoreReply, StoreRequest};
use dunespur_turn_replication::safeguards::Safeguards;
use fastrand::Rng;

pub use dunespur_control_state::Safeguards as CoreSafeguards;

use digest::Digest;
pub use exposure::ExposureWindow;
pub use faults::{FaultKind, MAX_IMPAIRMENT_MS};
use history::History;
use machine::Machine;
use programs::{Operation, Program};

/// Time that a machine has to catch up after a fault, in milliseconds, as the operators state it for the first
/// deployments.
pub const CATCH_UP_MS: u64 = 4_200;
/// Retention of all turns, in milliseconds of simulated time.
pub const RETENTION_MS: u64 = 20_000;
/// Simulated time after the last possible begin of a fault, in milliseconds.
const FAULT_FREE_MS: u64 = 45_000;
/// Bytes per millisecond that a store on half a core can process; its network links are faster.
const BYTES_PER_MS: u64 = 20_000;

/// Timeouts for stores without heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct AbsenceTimeouts {
    /// Time without a heartbeat after which a store is absent.
    pub lease_ms: u64,
    /// Time of absence after which other stores replace the store.
    pub repair_ms: u64,
}

impl Default for AbsenceTimeouts {
    fn default() -> AbsenceTimeouts {
        AbsenceTimeouts {
            lease_ms: 1_500,
            repair_ms: 1_000,
        }
    }
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of stores at the start.
    pub stores: usize,
    /// Number of zones that the stores are spread over.
    pub zones: usize,
    /// Number of machines that may be lost at the same time.
    pub tolerated_losses: usize,
    /// Number of programs that take turns at the same time.
    pub programs: usize,
    /// Upper limit of the bytes of a turn's input.
    pub max_input_bytes: usize,
    /// Time until which faults may begin.
    pub faults_until_ms: u64,
    /// The kinds of faults, drawn with equal probability.
    pub faults: Vec<FaultKind>,
    /// Whether, after the other faults, all machines lose power and as many disks as tolerated are lost.
    pub final_fault: bool,
    /// Whether simultaneous faults affect machines of the same zone, as far as possible.
    pub faults_in_one_zone: bool,
    /// Timeouts for stores without heartbeats.
    pub absence: AbsenceTimeouts,
    /// Safeguards that are in place at the stores.
    pub safeguards: Safeguards,
    /// Safeguards that are in place in the control state.
    pub core_safeguards: CoreSafeguards,
}

impl Plan {
    /// Three or four stores in three zones, of which one store may be lost, with faults for 90 s.
    pub fn new(seed: u64, faults: &[FaultKind]) -> Plan {
        Plan {
            seed,
            stores: 3 + (seed % 2) as usize,
            zones: 3,
            tolerated_losses: 1,
            programs: 12,
            max_input_bytes: 4_000,
            faults_until_ms: 90_000,
            faults: faults.to_vec(),
            final_fault: false,
            faults_in_one_zone: false,
            absence: AbsenceTimeouts::default(),
            safeguards: Safeguards::default(),
            core_safeguards: CoreSafeguards::default(),
        }
    }
}

/// Observations of a simulation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// Number of acknowledged turns.
    pub stored_turns: u64,
    pub uncertain_writes: u64,
    /// Uncertain writes for which enough stores were available.
    pub avoidable_uncertain_writes: u64,
    /// Number of chains that were read.
    pub chains: u64,
    pub uncertain_reads: u64,
    pub unknown_reads: u64,
    pub faults: u64,
    pub retired_stores: u64,
    /// Requests to retire a store that were rejected because too few stores would be left.
    pub rejected_retirements: u64,
    /// For each loss: how long there was no spare replica.
    pub exposure_windows: Vec<ExposureWindow>,
    /// Longest time from the first membership that a store with a new disk received until the store was complete.
    pub slowest_completion_ms: u64,
    /// Longest time from the request to retire a store until the store was drained.
    pub slowest_drain_ms: u64,
    pub largest_message_bytes: u64,
    /// Maximum number of turns that one store held.
    pub max_stored_turns: usize,
    /// Digest of all events and outcomes, see [`Digest`].
    pub digest: u64,
}

/// The sender of a request, to which the store's reply is sent.
#[derive(Clone, Debug)]
enum Requester {
    Machine {
        machine: usize,
        incarnation: u64,
        request: PeerRequestId,
    },
    Gateway {
        operation: u64,
        store: String,
        id: String,
    },
}

#[derive(Debug)]
enum Event {
    Request {
        to: usize,
        request: StoreRequest,
        requester: Requester,
    },
    /// A reply arrives, or the requester learns that no reply will arrive (`None`).
    Reply {
        requester: Requester,
        reply: Option<StoreReply>,
    },
    DiskDone {
        machine: usize,
        incarnation: u64,
        job: JobId,
    },
    Tick {
        machine: usize,
        incarnation: u64,
    },
    Heartbeats,
    MembershipToMachine {
        machine: usize,
        incarnation: u64,
        version: u64,
        stores: Vec<StoreEntry>,
    },
    MembershipToGateway {
        gateway: usize,
        version: u64,
        stores: Vec<StoreEntry>,
    },
    OperationDue {
        operation: u64,
    },
    ProgramStep {
        program: usize,
    },
    ProbeRead,
    NextFault {
        slot: usize,
    },
    Start {
        machine: usize,
    },
    Resume {
        machine: usize,
    },
    Join {
        machine: usize,
    },
    CatchUpEnd {
        slot: usize,
    },
    FinalFault,
    CheckReplicas,
    /// A store's "drained" report arrives at the core.
    DrainedReceived {
        machine: usize,
        operation: CoreOperation,
    },
    CountSpares,
}

/// A gateway: its membership and its wall clock.
struct Gateway {
    stores: Vec<StoreEntry>,
    version: u64,
    wall_offset_ms: i64,
    /// Maximum delay until the gateway receives a new membership.
    max_delay_ms: u64,
}

/// A simulation: stores, core, gateways and programs, with the events that are scheduled for them.
pub struct World {
    plan: Plan,
    rng: Rng,
    now_ms: u64,
    /// Time and number of each scheduled event.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    last_event: u64,
    machines: Vec<Machine>,
    core: core::Core,
    gateways: Vec<Gateway>,
    programs: Vec<Program>,
    operations: BTreeMap<u64, Operation>,
    last_operation: u64,
    history: History,
    slots: Vec<faults::FaultSlot>,
    /// Losses since which some turn has no spare replica.
    open_exposures: Vec<exposure::OpenExposure>,
    /// A turn that has no spare replica, if any is known.
    turn_without_spare: Option<String>,
    /// A turn that is on a single disk, if any is known.
    turn_on_one_disk: Option<String>,
    /// Time from which there are no more faults.
    fault_free_since_ms: Option<u64>,
    statistics: Statistics,
    digest: Digest,
}

impl World {
    /// Runs a simulation to its end; panics with the seed if an invariant is violated.
    pub fn run(plan: Plan) -> Statistics {
        let mut world = World::new(plan);
        world.run_until(world.plan.faults_until_ms + FAULT_FREE_MS);
        world.check_end();
        world.finish()
    }

    /// Runs a simulation until `end_ms`, with faults until then, and skips the checks at the end.
    pub fn run_unchecked(plan: Plan, end_ms: u64) -> Statistics {
        let mut world = World::new(plan);
        world.run_until(end_ms);
        world.finish()
    }

    fn run_until(&mut self, end_ms: u64) {
        while let Some(Reverse((at_ms, number))) = self.queue.pop() {
            if at_ms > end_ms {
                break;
            }
            self.now_ms = at_ms;
            let event = self.events.remove(&number);
            let event = event.expect("each queued number has an event");
            self.digest.hash_event(at_ms, &event);
            self.handle(event);
        }
    }

    fn finish(mut self) -> Statistics {
        self.digest.hash_statistics(&self.statistics);
        self.statistics.digest = self.digest.finish();
        self.statistics
    }

    fn new(plan: Plan) -> Self {
        let mut world = World {
            rng: Rng::with_seed(plan.seed),
            now_ms: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            machines: Vec::new(),
            core: core::Core::new(ControlState::default().with_safeguards(plan.core_safeguards)),
            gateways: Vec::new(),
            programs: Vec::new(),
            operations: BTreeMap::new(),
            last_operation: 0,
            history: History::default(),
            slots: Vec::new(),
            open_exposures: Vec::new(),
            turn_without_spare: None,
            turn_on_one_disk: None,
            fault_free_since_ms: None,
            statistics: Statistics::default(),
            digest: Digest::default(),
            plan,
        };
        world.set_up();
        world
    }

    fn set_up(&mut self) {
        for _ in 0..self.plan.stores {
            let machine = self.add_machine();
            let at_ms = self.rng.u64(0..300);
            self.schedule_at(at_ms, Event::Start { machine });
        }
        for gateway in 0..3 {
            let wall_offset_ms = self.rng.i64(-2_000..2_000);
            // The last gateway lags far behind the core.
            let max_delay_ms = if gateway == 2 { 3_000 } else { 200 };
            self.gateways.push(Gateway {
                stores: Vec::new(),
                version: 0,
                wall_offset_ms,
                max_delay_ms,
            });
        }
        self.schedule_at(50, Event::Heartbeats);
        self.set_up_programs();
        for slot in 0..self.plan.tolerated_losses {
            self.slots.push(faults::FaultSlot::default());
            let at_ms = 8_000 + self.rng.u64(0..2_000);
            self.schedule_at(at_ms, Event::NextFault { slot });
        }
        if self.plan.final_fault {
            // By then the stores have caught up after the last of the regular faults.
            self.schedule_at(self.plan.faults_until_ms + 16_000, Event::FinalFault);
        }
    }

    fn schedule_at(&mut self, at_ms: u64, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        let at_ms = at_ms.max(self.now_ms);
        self.queue.push(Reverse((at_ms, self.last_event)));
    }

    fn schedule_after(&mut self, delay_ms: u64, event: Event) {
        self.schedule_at(self.now_ms + delay_ms, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request {
                to,
                request,
                requester,
            } => self.request_arrived(to, request, requester),
            Event::Reply { requester, reply } => self.reply_arrived(requester, reply),
            Event::DiskDone {
                machine,
                incarnation,
                job,
            } => self.disk_done(machine, incarnation, job),
            Event::Tick {
                machine,
                incarnation,
            } => self.tick(machine, incarnation),
            Event::Heartbeats => self.process_heartbeats(),
            Event::MembershipToMachine {
                machine,
                incarnation,
                version,
                stores,
            } => self.membership_to_machine(machine, incarnation, version, stores),
            Event::MembershipToGateway {
                gateway,
                version,
                stores,
            } => self.membership_to_gateway(gateway, version, stores),
            Event::OperationDue { operation } => self.operation_due(operation),
            Event::ProgramStep { program } => self.program_step(program),
            Event::ProbeRead => self.probe_read(),
            Event::NextFault { slot } => self.next_fault(slot),
            Event::Start { machine } | Event::Join { machine } => self.start(machine),
            Event::Resume { machine } => self.resume(machine),
            Event::CatchUpEnd { slot } => self.end_catch_up(slot),
            Event::FinalFault => self.final_fault(),
            Event::CheckReplicas => self.check_replicas(),
            Event::DrainedReceived { machine, operation } => {
                self.drained_received(machine, &operation);
            }
            Event::CountSpares => self.count_spares(),
        }
    }

    /// Draws the latency of a short message between machines.
    fn latency_ms(&mut self) -> u64 {
        1 + self.rng.u64(0..3)
    }

    /// Draws the time that a message with `bytes` bytes of turns takes, including the processing at both ends.
    fn transfer_ms(&mut self, bytes: u64) -> u64 {
        self.latency_ms() + bytes / BYTES_PER_MS
    }

    /// Ends the test with the seed, the simulated time and the statistics.
    fn fail(&self, violation: &str) -> ! {
        panic!(
            "seed {}, {} ms: {violation}\n{:?}",
            self.plan.seed, self.now_ms, self.statistics
        );
    }
}
