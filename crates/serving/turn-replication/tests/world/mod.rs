//! A seeded world for the turns: stores with simulated disks, a core that notices them, gateways that keep and
//! read turns for programs, and faults within what the deployment tolerates. No clock, no sleep: one queue of
//! events, the same for the same seed.

mod core;
mod digest;
mod faults;
mod machine;
mod programs;
mod windows;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use dunespur_control_state::{ControlState, Operation as CoreOperation};
use dunespur_turn_replication::guards::Guards;
use dunespur_turn_replication::message::{StoreReply, StoreRequest};
use dunespur_turn_replication::node::{AskId, DiskOutcome, JobId};
use dunespur_turn_replication::roster::Store;
use fastrand::Rng;

use digest::Digest;
pub use faults::{FaultKind, LONGEST_TROUBLE_MS};
use machine::Machine;
use programs::{Operation, Program, Truth};
pub use windows::Window;

/// As the pages give it for the first deployments.
pub const CATCH_UP_MS: u64 = 4_200;
/// Retention on the world's only route, in true time.
pub const RETENTION_MS: u64 = 20_000;

/// What a store of half a core takes in, of links that are faster.
const BYTES_A_MS: u64 = 20_000;

/// When a store that is not heard of is given up.
#[derive(Clone, Copy, Debug)]
pub struct Absence {
    /// A store that is not heard of for this long is absent.
    pub lease_ms: u64,
    /// One that is absent for this long is replaced by others.
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

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub stores: usize,
    pub zones: usize,
    /// Machines that may be lost at one time.
    pub tolerated: usize,
    pub programs: usize,
    /// The most bytes of a turn's input.
    pub most_input_bytes: usize,
    /// Trouble is begun until then.
    pub faults_until_ms: u64,
    /// The kinds of trouble, drawn from evenly.
    pub faults: Vec<FaultKind>,
    /// Everything loses power, and as many disks are lost as are tolerated, after the other trouble.
    pub final_fault: bool,
    pub absence: Absence,
    /// Those that stand at the stores.
    pub guards: Guards,
    /// Those that stand in the control state.
    pub core_guards: dunespur_control_state::Safeguards,
}

/// What was seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    pub kept: u64,
    pub unsure_writes: u64,
    /// Those of them that enough stores were there for.
    pub needless_unsure_writes: u64,
    pub chains: u64,
    pub unsure_reads: u64,
    pub unknown: u64,
    pub faults: u64,
    pub retired: u64,
    /// Orders to empty a store that were refused because too few would be left.
    pub too_few: u64,
    /// How long after each loss there was no spare copy.
    pub windows: Vec<Window>,
    /// The longest that a store with a new disk took to be whole, from its first list on.
    pub slowest_whole_ms: u64,
    /// The longest that a store took from being told to retire to saying that it is emptied.
    pub slowest_retire_ms: u64,
    pub largest_message: u64,
    /// The most turns that one store held.
    pub most_held: usize,
    /// Of all that happened, see [`Digest`].
    pub digest: u64,
}

/// Who waits for the answer of a store.
#[derive(Clone, Debug)]
enum Asker {
    Machine {
        machine: usize,
        life: u64,
        ask: AskId,
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
        asker: Asker,
    },
    Answer {
        asker: Asker,
        reply: Option<StoreReply>,
    },
    DiskDone {
        machine: usize,
        life: u64,
        job: JobId,
        outcome: Option<DiskOutcome>,
    },
    Tick {
        machine: usize,
        life: u64,
    },
    Heartbeats,
    ListToMachine {
        machine: usize,
        life: u64,
        version: u64,
        list: Vec<Store>,
    },
    ListToGateway {
        gateway: usize,
        version: u64,
        list: Vec<Store>,
    },
    OperationDue {
        operation: u64,
    },
    ProgramStep {
        program: usize,
    },
    Probe,
    NextFault {
        slot: usize,
    },
    Start {
        machine: usize,
    },
    Thaw {
        machine: usize,
    },
    Join {
        machine: usize,
    },
    CaughtUp {
        slot: usize,
    },
    FinalFault,
    CheckCopies,
    EmptiedHeard {
        machine: usize,
        operation: CoreOperation,
    },
    LookForSpares,
}

struct Gateway {
    list: Vec<Store>,
    version: u64,
    wall_offset_ms: i64,
    /// How far behind its list may be.
    most_lag_ms: u64,
}

/// The world.
pub struct World {
    plan: Plan,
    rng: Rng,
    now_ms: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    last_event: u64,
    machines: Vec<Machine>,
    core: core::Core,
    gateways: Vec<Gateway>,
    programs: Vec<Program>,
    operations: BTreeMap<u64, Operation>,
    last_operation: u64,
    truth: Truth,
    slots: Vec<faults::Slot>,
    /// Losses after which some turn has no spare copy yet.
    open_windows: Vec<windows::OpenWindow>,
    /// One turn that has no spare copy.
    without_spare: Option<String>,
    /// No trouble from then on.
    calm_since_ms: Option<u64>,
    seen: Seen,
    digest: Digest,
}

impl World {
    /// Plays a plan to its end; panics with the seed if a rule is broken.
    pub fn play(plan: Plan) -> Seen {
        let mut world = World::new(plan);
        world.play_until(world.plan.faults_until_ms + 45_000);
        world.check_end();
        world.finish()
    }

    /// Plays a plan up to some time, with all its trouble; nothing is checked at the end.
    pub fn play_part(plan: Plan, end_ms: u64) -> Seen {
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
            let event = self
                .events
                .remove(&number)
                .expect("each queued event is there");
            self.digest.event(at_ms, &event);
            self.handle(event);
        }
    }

    fn finish(mut self) -> Seen {
        self.digest.counts(&self.seen);
        self.seen.digest = self.digest.finish();
        self.seen
    }

    fn new(plan: Plan) -> Self {
        let mut world = World {
            rng: Rng::with_seed(plan.seed),
            now_ms: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            machines: Vec::new(),
            core: core::Core::new(ControlState::default().with_safeguards(plan.core_guards)),
            gateways: Vec::new(),
            programs: Vec::new(),
            operations: BTreeMap::new(),
            last_operation: 0,
            truth: Truth::default(),
            slots: Vec::new(),
            open_windows: Vec::new(),
            without_spare: None,
            calm_since_ms: None,
            seen: Seen::default(),
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
            let most_lag_ms = if gateway == 2 { 3_000 } else { 200 };
            self.gateways.push(Gateway {
                list: Vec::new(),
                version: 0,
                wall_offset_ms,
                most_lag_ms,
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
            // After the last of the other troubles has been caught up.
            self.at(self.plan.faults_until_ms + 16_000, Event::FinalFault);
        }
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.queue
            .push(Reverse((at_ms.max(self.now_ms), self.last_event)));
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.at(self.now_ms + delay_ms, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request { to, request, asker } => self.request_arrives(to, request, asker),
            Event::Answer { asker, reply } => self.answer_arrives(asker, reply),
            Event::DiskDone {
                machine,
                life,
                job,
                outcome,
            } => self.disk_done(machine, life, job, outcome),
            Event::Tick { machine, life } => self.tick(machine, life),
            Event::Heartbeats => self.heartbeats(),
            Event::ListToMachine {
                machine,
                life,
                version,
                list,
            } => {
                self.list_to_machine(machine, life, version, list);
            }
            Event::ListToGateway {
                gateway,
                version,
                list,
            } => self.list_to_gateway(gateway, version, list),
            Event::OperationDue { operation } => self.operation_due(operation),
            Event::ProgramStep { program } => self.program_step(program),
            Event::Probe => self.probe(),
            Event::NextFault { slot } => self.next_fault(slot),
            Event::Start { machine } => self.start(machine),
            Event::Thaw { machine } => self.thaw(machine),
            Event::Join { machine } => self.join(machine),
            Event::CaughtUp { slot } => self.caught_up(slot),
            Event::FinalFault => self.final_fault(),
            Event::CheckCopies => self.check_copies(),
            Event::EmptiedHeard { machine, operation } => self.emptied_heard(machine, &operation),
            Event::LookForSpares => self.look_for_spares(),
        }
    }

    /// How long a short message is on its way between machines.
    fn latency_ms(&mut self) -> u64 {
        1 + self.rng.u64(0..3)
    }

    /// How long a message of so many bytes of bodies is on its way, and worked on at both ends.
    fn transfer_ms(&mut self, bytes: u64) -> u64 {
        self.latency_ms() + bytes / BYTES_A_MS
    }

    fn fail(&self, what: &str) -> ! {
        panic!(
            "seed {}, {} ms: {what}\n{:?}",
            self.plan.seed, self.now_ms, self.seen
        );
    }
}
