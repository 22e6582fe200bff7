//! Bounds of experiments, which keep processes, servers, duration and rates low enough for one machine.

use super::file::{Experiment, Fault, FaultKind};
use dunespur_emulator::system::Role;

const MAX_MACHINES: usize = 40;
const MAX_CORE: usize = 7;
const MAX_SERVERS: usize = 64;
const MAX_TRAFFIC_S: f64 = 300.0;
const MAX_IDLE_S: f64 = 60.0;
const MAX_RATE: f64 = 2_000.0;

/// The reasons why an experiment cannot be played, each with the name of its field.
pub fn problems(experiment: &Experiment) -> Vec<String> {
    let mut problems = Problems::default();
    let machines = &experiment.machines;
    let count = machines.core + machines.gateways + machines.stores;
    problems.expect(
        !machines.zones.is_empty(),
        "machines.zones: must name at least one zone",
    );
    problems.expect(
        (1..=MAX_CORE).contains(&machines.core),
        "machines.core: must be 1 to 7",
    );
    problems.expect(
        count <= MAX_MACHINES,
        "machines: must be at most 40 in total",
    );
    let services = &experiment.services;
    let servers = services.models.servers + services.tools.servers;
    problems.expect(
        servers <= MAX_SERVERS,
        "service: servers must be at most 64 in total",
    );
    problems.expect(
        services.models.chunk_tokens > 0,
        "service.models.chunk_tokens: must be above 0",
    );
    problems.expect(
        services.models.read_per_ms > 0.0,
        "service.models.read_per_ms: must be above 0",
    );
    problems.expect(
        within(experiment.traffic_s, MAX_TRAFFIC_S),
        "traffic_s: must be above 0 and at most 300",
    );
    let idle = experiment.idle_s;
    problems.expect(
        idle == 0.0 || within(idle, MAX_IDLE_S),
        "idle_s: must be 0 to 60",
    );
    let programs = experiment
        .programs
        .iter()
        .map(|class| (&class.name, class.rate));
    let requests = experiment
        .requests
        .iter()
        .map(|class| (&class.name, class.rate));
    for (name, rate) in programs.chain(requests) {
        problems.expect(
            within(rate, MAX_RATE),
            &format!("{name}.rate: must be above 0 and at most 2000"),
        );
    }
    for (index, fault) in experiment.faults.iter().enumerate() {
        let target_exists = fault.number < target_count(experiment, fault);
        problems.expect(
            target_exists,
            &format!(
                "fault {index}.number: there is no machine or server with number {}",
                fault.number
            ),
        );
        problems.expect(
            fault.lasts_s >= 0.0,
            &format!("fault {index}.lasts_s: must be 0 or above"),
        );
    }
    problems.0
}

/// Number of machines or servers from which a fault's `number` selects one.
fn target_count(experiment: &Experiment, fault: &Fault) -> usize {
    let machines = &experiment.machines;
    match (fault.kind.role(), fault.kind) {
        (Some(Role::Core), _) => machines.core,
        (Some(Role::Gateway), _) => machines.gateways,
        (Some(Role::Store), _) => machines.stores,
        (None, FaultKind::LoseAnswers) => experiment.services.tools.servers,
        (None, FaultKind::ReplaceModel | FaultKind::CrashModel) => {
            experiment.services.models.servers
        }
        (None, _) => usize::MAX,
    }
}

fn within(value: f64, maximum: f64) -> bool {
    value > 0.0 && value <= maximum
}

#[derive(Default)]
struct Problems(Vec<String>);

impl Problems {
    fn expect(&mut self, condition: bool, problem: &str) {
        if !condition {
            self.0.push(problem.to_owned());
        }
    }
}
