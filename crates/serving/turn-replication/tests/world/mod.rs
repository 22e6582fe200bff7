//! A seeded simulation: stores with simulated disks, a core that tracks them by heartbeats, gateways that write and
//! read turns for programs, and faults within what the deployment tolerates. No clock, no sleep: one queue of
//! events, the same for the same seed.

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

/// How long a machine has to catch up after a fault, as the operators' pages give it for the first deployments.
pub const CATCH_UP_MS: u64 = 4_200;
/// Retention on the world's only route, in true time.
pub const RETENTION_MS: u64 = 20_000;
/// How long a world goes on after the last fault may begin.
const CALM_MS: u64 = 45_000;
/// How fast a store on half a core takes bytes in, on links that are faster.
const BYTES_PER_MS: u64 = 20_000;

/// When a store without heartbeats is given up.
#[derive(Clone, Copy, Debug)]
pub struct Absence {
    /// After this long without a heartbeat a store is absent.
    pub lease_ms: u64,
    /// After being absent for this long it is replaced by others.
    pub repair_ms: u64,
}

impl Default for Absence {
    fn default() -> Absence {
        Absence {
            lease_ms: 1_500,
            repair_ms: 1_000,
        }
    }
}

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of stores at the start.
    pub stores: usize,
    /// Number of zones that they are spread over.
    pub zones: usize,
    /// Number of machines that may be lost at one time.
    pub tolerated: usize,
    /// Number of programs that take turns at the same time.
    pub programs: usize,
    /// Upper limit of the bytes of a turn's input.
    pub max_input_bytes: usize,
    /// Faults begin until then.
    pub faults_until_ms: u64,
    /// The kinds of faults, drawn from evenly.
    pub faults: Vec<FaultKind>,
    /// After the other faults everything loses power, and as many disks are lost as are tolerated.
    pub final_fault: bool,
    /// Faults at the same time strike machines of one zone, as far as there are.
    pub in_one_zone: bool,
    /// When a store without heartbeats is given up.
    pub absence: Absence,
    /// Those that are in place at the stores.
    pub safeguards: Safeguards,
    /// Those that are in place in the control state.
    pub core_safeguards: CoreSafeguards,
}

impl Plan {
    /// Three or four stores in three zones of which one may be lost, with faults for 90 s.
    pub fn new(seed: u64, faults: &[FaultKind]) -> Plan {
        Plan {
            seed,
            stores: 3 + (seed % 2) as usize,
            zones: 3,
            tolerated: 1,
            programs: 12,
            max_input_bytes: 4_000,
            faults_until_ms: 90_000,
            faults: faults.to_vec(),
            final_fault: false,
            in_one_zone: false,
            absence: Absence::default(),
            safeguards: Safeguards::default(),
            core_safeguards: CoreSafeguards::default(),
        }
    }
}

/// What was observed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// Turns that were acknowledged.
    pub stored_turns: u64,
    pub uncertain_writes: u64,
    /// Those of them that enough stores were available for.
    pub avoidable_uncertain_writes: u64,
    /// Chains that were read.
    pub chains: u64,
    pub uncertain_reads: u64,
    pub unknown_reads: u64,
    pub faults: u64,
    pub retired_stores: u64,
    /// Orders to drain a store that were rejected because too few would be left.
    pub rejected_retirements: u64,
    /// How long after each loss there was no spare replica.
    pub exposure_windows: Vec<ExposureWindow>,
    /// Longest time from the first membership that a store with a new disk got until it was complete.
    pub slowest_completion_ms: u64,
    /// Longest time from the order to retire a store until it was drained.
    pub slowest_drain_ms: u64,
    pub largest_message_bytes: u64,
    /// Maximum number of turns that one store held.
    pub max_stored_turns: usize,
    /// Of all that happened, see [`Digest`].
    pub digest: u64,
}

/// Who waits for the reply of a store.
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
    /// A reply arrives, or it turns out that none will come.
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
    /// A store's statement that it is drained arrives at the core.
    DrainedReceived {
        machine: usize,
        operation: CoreOperation,
    },
    CountSpares,
}

/// A gateway as far as its view of the membership goes.
struct Gateway {
    stores: Vec<StoreEntry>,
    version: u64,
    wall_offset_ms: i64,
    /// How far behind its membership may be.
    max_lag_ms: u64,
}

/// The simulated world.
pub struct World {
    plan: Plan,
    rng: Rng,
    now_ms: u64,
    /// Time and number of each event that is to come.
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
    slots: Vec<faults::Slot>,
    /// Losses after which some turn has no spare replica yet.
    open_exposures: Vec<exposure::OpenExposure>,
    /// One turn that has no spare replica.
    turn_without_spare: Option<String>,
    /// One turn that is on a single disk.
    turn_on_one_disk: Option<String>,
    /// There are no faults from then on.
    calm_since_ms: Option<u64>,
    statistics: Statistics,
    digest: Digest,
}

impl World {
    /// Plays a plan to its end; panics with the seed if an invariant is violated.
    pub fn play(plan: Plan) -> Statistics {
        let mut world = World::new(plan);
        world.play_until(world.plan.faults_until_ms + CALM_MS);
        world.check_end();
        world.finish()
    }

    /// Plays a plan up to some time, with all its faults; nothing is checked at the end.
    pub fn play_unchecked(plan: Plan, end_ms: u64) -> Statistics {
        let mut world = World::new(plan);
        world.play_until(end_ms);
        world.finish()
    }

    fn play_until(&mut self, end_ms: u64) {
        while let Some(Reverse((at_ms, number))) = self.queue.pop() {
            if at_ms > end_ms {
                break;
            }
            self.now_ms = at_ms;
            let event = self.events.remove(&number);
            let event = event.expect("each queued event is there");
            self.digest.event(at_ms, &event);
            self.handle(event);
        }
    }

    fn finish(mut self) -> Statistics {
        self.digest.statistics(&self.statistics);
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
            calm_since_ms: None,
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
            self.at(at_ms, Event::Start { machine });
        }
        for gateway in 0..3 {
            let wall_offset_ms = self.rng.i64(-2_000..2_000);
            // The last one lags far behind the core.
            let max_lag_ms = if gateway == 2 { 3_000 } else { 200 };
            self.gateways.push(Gateway {
                stores: Vec::new(),
                version: 0,
                wall_offset_ms,
                max_lag_ms,
            });
        }
        self.at(50, Event::Heartbeats);
        self.set_up_programs();
        for slot in 0..self.plan.tolerated {
            self.slots.push(faults::Slot::default());
            let at_ms = 8_000 + self.rng.u64(0..2_000);
            self.at(at_ms, Event::NextFault { slot });
        }
        if self.plan.final_fault {
            // By then the stores have caught up after the last of the other faults.
            self.at(self.plan.faults_until_ms + 16_000, Event::FinalFault);
        }
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        let at_ms = at_ms.max(self.now_ms);
        self.queue.push(Reverse((at_ms, self.last_event)));
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.at(self.now_ms + delay_ms, event);
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
            Event::Heartbeats => self.exchange_heartbeats(),
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

    /// How long a short message takes between machines.
    fn latency_ms(&mut self) -> u64 {
        1 + self.rng.u64(0..3)
    }

    /// How long a message with so many bytes of turns takes, processing at both ends included.
    fn transfer_ms(&mut self, bytes: u64) -> u64 {
        self.latency_ms() + bytes / BYTES_PER_MS
    }

    fn fail(&self, what: &str) -> ! {
        panic!(
            "seed {}, {} ms: {what}\n{:?}",
            self.plan.seed, self.now_ms, self.statistics
        );
    }
}
