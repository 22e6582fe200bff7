//! Experiments drawn at random from a seed: machines, load and faults. Losses of core members and stores never overlap.

use super::file::{
    Experiment, Fault, Machines, ModelService, ProgramClass, RequestClass, RequestClassKind,
};
use super::file::{FaultKind, Services, ToolService};

/// A machine counts as lost for this long after its return, in seconds.
const CATCH_UP_S: f64 = 4.2;
/// Time from the start of the traffic to the first fault, in seconds.
const FIRST_FAULT_S: f64 = 2.0;
/// Upper bound of the random addition to the time between two faults, in seconds.
const MAX_EXTRA_GAP_S: f64 = 1.0;
/// Grace period after SIGTERM, in seconds.
const GRACE_S: f64 = 8.0;
/// Longest duration of a fault, in seconds.
const MAX_FAULT_S: f64 = 2.0;

/// Faults by which core members or stores are lost; they never overlap.
const MACHINE_LOSSES: [FaultKind; 11] = [
    FaultKind::KillCore,
    FaultKind::KillStore,
    FaultKind::KillAll,
    FaultKind::TerminateCore,
    FaultKind::FreezeCore,
    FaultKind::FreezeStore,
    FaultKind::WipeCore,
    FaultKind::WipeStore,
    FaultKind::ReplaceCore,
    FaultKind::ReplaceStore,
    FaultKind::RetireStore,
];

/// Faults that may happen at any time.
const OTHER_FAULTS: [FaultKind; 8] = [
    FaultKind::KillGateway,
    FaultKind::TerminateGateway,
    FaultKind::AddGateway,
    FaultKind::AddStore,
    FaultKind::LoseAnswers,
    FaultKind::ReplaceModel,
    FaultKind::CrashModel,
    FaultKind::Patch,
];

/// Draws the experiment of a seed.
pub fn draw(seed: u64, traffic_s: f64) -> Experiment {
    let mut random = fastrand::Rng::with_seed(seed);
    let machines = Machines {
        zones: ["zone-a", "zone-b", "zone-c"].map(str::to_owned).to_vec(),
        core: random.usize(3..=5),
        gateways: random.usize(1..=3),
        stores: random.usize(3..=5),
        tolerated_losses: 1,
        heartbeat_ms: random.u64(400..=1_200),
    };
    let models = ModelService {
        servers: 4,
        slots: 8,
        step_us: 2_000,
        ..ModelService::default()
    };
    let tools = ToolService {
        servers: 3,
        slots: 4,
        work_ms: 10,
        ..ToolService::default()
    };
    let faults = faults(&mut random, traffic_s);
    Experiment {
        seed,
        traffic_s,
        idle_s: 0.0,
        machines,
        services: Services { models, tools },
        programs: vec![
            program("kept", true, &mut random),
            program("whole", false, &mut random),
        ],
        requests: vec![lookups()],
        faults,
    }
}

fn program(name: &str, persisted: bool, random: &mut fastrand::Rng) -> ProgramClass {
    ProgramClass {
        name: name.to_owned(),
        rate: 3.0,
        persisted,
        turns: random.u32(2..=5),
        shared_tokens: 500,
        input_tokens: 100,
        input_bytes: random.usize(20..=2_000),
        max_tokens: 12,
        budget: Some(random.u64(30..=200)),
        lookups: 1,
        records: 1,
        sub_agents: 0.3,
        target_ms: 2_000,
        retries: 1,
    }
}

fn lookups() -> RequestClass {
    RequestClass {
        name: "lookup".to_owned(),
        rate: 10.0,
        kind: RequestClassKind::ReadOnly,
        target_ms: 150,
        deadline_ms: 1_200,
        retries: 1,
    }
}

fn faults(random: &mut fastrand::Rng, traffic_s: f64) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut at_s = FIRST_FAULT_S;
    while at_s < traffic_s - MAX_FAULT_S {
        let fault = draw_fault(random, &MACHINE_LOSSES, at_s);
        let grace_s = if fault.kind == FaultKind::TerminateCore {
            GRACE_S
        } else {
            0.0
        };
        at_s += fault.lasts_s.max(grace_s) + CATCH_UP_S + random.f64() * MAX_EXTRA_GAP_S;
        faults.push(fault);
    }
    for _ in 0..(traffic_s / 4.0) as usize {
        let at_s = random.f64() * traffic_s;
        faults.push(draw_fault(random, &OTHER_FAULTS, at_s));
    }
    faults
}

fn draw_fault(random: &mut fastrand::Rng, kinds: &[FaultKind], at_s: f64) -> Fault {
    let kind = kinds[random.usize(..kinds.len())];
    let number = if kind.role().is_some() {
        random.usize(..8)
    } else {
        random.usize(..3)
    };
    Fault {
        at_s,
        kind,
        number,
        lasts_s: random.f64() * MAX_FAULT_S,
    }
}
